"""The scheduler of a shard during one term of leadership.

It owns the shard state. Every change is made in the same order: update the shard state,
commit the progress of the affected jobs, then send orders to workers and acknowledge
the ends of runs.
"""

import functools

import anyio

from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.departures import find_runs_past_departure
from ..state.planner import DEFAULT_RULES, make_plan
from ..state.records import RecordError, decode_progress, decode_submission
from ..state.scheduling_units import PlanningPolicy, is_usable
from ..state.shard_state import RunPhase, ShardState
from ..state.stragglers import find_stragglers
from .batches import JOBS_PER_COMMIT, make_batch
from .commits import Committed, ConditionFailed, LeadershipLostError
from .leases import LeaseTracker
from .order_window import OrderWindow
from .own_delay import OwnDelay
from .ports import HISTORY_LOST
from .rows import JOBS_TABLE, PROGRESS_TABLE, parse_job_key, read_table
from .sessions import Session, poll_wait_seconds
from .supervision import describe_error, supervise

# Interval between commits without changes, which renew the leadership row; while there
# are jobs, it is rounded to planning intervals. Two renewals must fit into
# `leadership.TAKEOVER_SECONDS`, the silence after which a candidate takes over.
RENEWAL_INTERVAL_SECONDS = 0.4
# Age of the last commit from which leases are no longer extended. A new scheduler
# waits this long plus the longest lease before it takes the runs of an unreachable
# worker as ended.
COMMIT_AGE_LIMIT_SECONDS = 6.0
# Timeout of reads of the worker list and of whole tables, which can have some
# megabytes.
READ_TIMEOUT_SECONDS = 2.0
# Pause after a read without an answer, so that an outage causes only a few reads per
# second.
RETRY_SECONDS = 0.15
# Longest wait of one read of the change feed, which is then repeated.
FEED_WAIT_SECONDS = 5.0
# Interval between reads of the worker list: a third of the time within which a leaving
# worker must stop getting new work.
WORKER_LIST_INTERVAL_SECONDS = 0.7
# Well below `lease_seconds`, since it delays the restart of tasks after a lapse.
LAPSE_CHECK_INTERVAL_SECONDS = 0.2
# Interval between plans without an event; the waiting time of jobs changes the plan.
REPLAN_INTERVAL_SECONDS = 0.25
# Interval between searches for runs that hang, are slow or whose worker leaves.
RUN_CHECK_INTERVAL_SECONDS = 0.25
# Largest fraction of the time that planning may take; the rest is left for renewals,
# orders and polls.
PLANNING_SHARE = 0.4
# Fencing tokens of one epoch; a session raises its token to fence unanswered orders.
TOKENS_PER_EPOCH = 1 << 20


def plan_pause_seconds(plan_seconds):
    """Return the time after a plan in which no further plan is made.

    It keeps planning below `PLANNING_SHARE` of the time, but lasts no longer than
    `REPLAN_INTERVAL_SECONDS`, so that urgent work does not wait for it.
    """
    pause_seconds = plan_seconds * (1 - PLANNING_SHARE) / PLANNING_SHARE
    return min(pause_seconds, REPLAN_INTERVAL_SECONDS)


class Scheduler:
    """Plans runs, commits them and orders workers to start and stop them.

    Parameters
    ----------
    environment : Environment
    policy_watch : PolicyWatch
    shard : Shard
    chain : CommitChain
    lease_seconds : float
        Longest lease that workers accept.
    remote_factor : float
        Run time of a task outside its rack, relative to that inside.
    metrics : PrometheusMetrics
    rules : PlanRules
    """

    def __init__(
        self,
        *,
        environment,
        policy_watch,
        shard,
        chain,
        lease_seconds,
        remote_factor,
        metrics,
        rules=DEFAULT_RULES,
    ):
        self.store = environment.store
        self.workers = environment.workers
        self.operators = environment.operators
        self.clocks = environment.clocks
        self.shard_state = ShardState(remote_factor=remote_factor)
        self._policy_watch = policy_watch
        self._shard = shard
        self._chain = chain
        self._lease_seconds = lease_seconds
        self._metrics = metrics
        self._rules = rules
        self.own_delay = OwnDelay(
            clock=self.clocks.steady,
            observe=functools.partial(metrics.observe, "own_delay"),
        )
        self._order_window = OrderWindow()
        # Whether planned work was not claimed because of the orders under way.
        self._is_window_full = False
        self._sessions = {}
        self._task_group = None
        self._commit_trigger = anyio.Event()
        # `ShardState.placement_changes_count` at the last plan, when a plan is due
        # without a change, and the earliest time of the next plan.
        self._planned_changes_count = -1
        self._replan_at_seconds = float("-inf")
        self._plan_from_seconds = float("-inf")
        self._check_runs_at_seconds = float("-inf")
        # Sessions with ends that the worker may not forget yet.
        self._sessions_with_ends = set()
        self._planning_policy_key = None
        self._kept_planning_policy = None
        self._feed_version = 0
        self._stored_counts = None
        self._started_at_seconds = self.clocks.steady()
        self._listed_at_seconds = float("-inf")
        # Reasons already logged for waiting work, by (job id, occurrence, step).
        self._logged_wait_reasons = {}

    async def run(self):
        """Schedule until another instance takes over.

        Raises
        ------
        LeadershipLostError
        """
        await self._load()
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            for name, function in (
                ("own_delay", self.own_delay.run),
                ("job_feed", self._follow_jobs),
                ("worker_list", self._follow_workers),
                ("lapsed_runs", self._end_lapsed_runs),
            ):
                task_group.start_soon(supervise, name, function)
            await self._commit_loop()

    # Called by sessions

    def may_extend_leases(self):
        """Return whether the last commit is recent enough to extend leases.

        Without recent commits, another instance may have taken over.
        """
        commit_age_seconds = self.clocks.boottime() - self._chain.renewed_at_seconds
        return commit_age_seconds < COMMIT_AGE_LIMIT_SECONDS

    def may_start(self, worker_id):
        """Return whether a claimed run may still be started on a worker."""
        worker = self.shard_state.workers.get(worker_id)
        return (
            worker is not None
            and self.may_extend_leases()
            and is_usable(
                worker, self._planning_policy(), now_seconds=self.clocks.steady()
            )
        )

    def apply_report(self, session, report):
        """Apply a worker's report; returns its runs that the shard state lacks."""
        ends, unknown_runs = self.shard_state.apply_report(session.worker_id, report)
        for run, end in ends:
            if end.number <= session.received_end:
                continue
            session.received_end = end.number
            self._sessions_with_ends.add(session)
            self._metrics.count_run_end(end.how)
            log_event(
                "end",
                outcome=end.how,
                task=str(end.ref),
                run=end.run,
                worker_id=session.worker_id,
                current=run is not None,
                end_number=end.number,
            )
        # Runs that the report has made superfluous are stopped at once.
        self._wake_stopping_sessions()
        self._request_commit_of_changes()
        return unknown_runs

    def confirm_start(self, run, clock_seconds):
        """Record that the worker accepted the start order of a run."""
        self.shard_state.confirm_start(run, clock_seconds=clock_seconds)
        if run.is_stopping:
            self._wake_session(run.worker_id)
        self._request_commit_of_changes()

    def withdraw(self, run):
        """Remove a run whose start order certainly had no effect."""
        self.shard_state.withdraw(run, now_seconds=self.clocks.steady())
        self._wake_stopping_sessions()
        self._request_commit()

    def note_refusal(self, run, outcome):
        """Avoid a worker for some time after it refused to start a run."""
        self.shard_state.note_refusal(run, now_seconds=self.clocks.steady())
        self._metrics.count_start_refusal(outcome.code)

    def note_order_settled(self, *, is_sent):
        """Record that a queued start order is not under way any more."""
        self._order_window.note_settled(self.clocks.steady(), is_sent=is_sent)
        if self._is_window_full and self._order_window.has_room(1):
            self._is_window_full = False
            self._planned_changes_count = -1
            self._request_commit()

    def poll_wait_seconds(self):
        """Return how long polls of busy workers wait for the end of a run."""
        busy_workers_count = self.shard_state.busy_workers_count
        return poll_wait_seconds(busy_workers_count, self._chain.holder_cores)

    def end_fenced_term(self, worker_id):
        """Raise `LeadershipLostError`: a worker has seen a newer scheduler's token."""
        raise LeadershipLostError(f"worker {worker_id} has seen a higher fencing token")

    def record_latency(self, name, seconds):
        """Record the duration of an operation in the metrics."""
        self._metrics.observe(name, seconds)

    async def _load(self):
        """Load the jobs and the progress that the previous scheduler stored."""
        jobs = await self._read_until_done(JOBS_TABLE)
        # Progress is read after the jobs, so that the job of every progress row is
        # known. Only the leader writes progress, so that it cannot change meanwhile.
        progress = await self._read_until_done(PROGRESS_TABLE)
        self._feed_version = jobs.version
        progress_by_id = {}
        for row in progress.rows:
            try:
                progress_by_id[row.key.key] = decode_progress(row.value)
            except RecordError as error:
                log_event("row", outcome="unreadable", row=str(row.key), reason=error)
        self._apply_job_rows(jobs.rows, progress_by_id)
        log_event(
            "takeover",
            outcome="loaded",
            epoch=self._chain.epoch,
            jobs_count=len(self.shard_state.jobs),
            finished_count=len(self.shard_state.finished_jobs),
            version=jobs.version,
        )
        # Which runs exist on these workers is unknown until they answer.
        for worker_id in list(self.shard_state.workers):
            self._open_session(worker_id)

    async def _read_until_done(self, table):
        while True:
            outcome = await read_table(
                self.store,
                table,
                self._shard.part,
                timeout_seconds=READ_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, Done):
                return outcome.value
            # The empty commit renews the leadership until a read is answered.
            await self._chain.commit(expect={}, puts={})
            await anyio.sleep(RETRY_SECONDS)

    def _apply_job_rows(self, rows, progress_by_id):
        now_seconds = self.clocks.steady()
        cancelled = {
            job_id
            for job_id, is_cancel in (
                parse_job_key(row.key.key) for row in rows if not row.is_removed
            )
            if is_cancel
        }
        for row in rows:
            job_id, is_cancel = parse_job_key(row.key.key)
            if row.is_removed or is_cancel or row.key.part != self._shard.part:
                continue
            try:
                submission = decode_submission(row.value)
            except RecordError as error:
                log_event("row", outcome="unreadable", row=str(row.key), reason=error)
                continue
            try:
                self.shard_state.add_job(
                    submission,
                    now_seconds=now_seconds,
                    progress=progress_by_id.get(job_id),
                    is_cancelled=job_id in cancelled,
                )
            except Exception as error:  # rows that contradict each other
                log_event(
                    "row",
                    outcome="unusable",
                    row=str(row.key),
                    reason=describe_error(error),
                )
        for job_id in sorted(cancelled):
            if self.shard_state.cancel_job(job_id):
                log_event("cancel", outcome="noted", job_id=job_id)
        self._wake_stopping_sessions()

    async def _follow_jobs(self):
        while True:
            outcome = await self.store.follow(
                table=JOBS_TABLE,
                after_version=self._feed_version,
                wait_seconds=FEED_WAIT_SECONDS,
            )
            if isinstance(outcome, Refused) and outcome.code == HISTORY_LOST:
                log_event("feed", outcome="history_lost", version=self._feed_version)
                outcome = await read_table(
                    self.store,
                    JOBS_TABLE,
                    self._shard.part,
                    timeout_seconds=READ_TIMEOUT_SECONDS,
                )
            if not isinstance(outcome, Done):
                await anyio.sleep(RETRY_SECONDS)
                continue
            self._feed_version = max(self._feed_version, outcome.value.version)
            if outcome.value.rows:
                self._apply_job_rows(outcome.value.rows, {})
                self._request_commit()

    async def _follow_workers(self):
        while True:
            outcome = await self.workers.list(timeout_seconds=READ_TIMEOUT_SECONDS)
            if isinstance(outcome, Done):
                self._listed_at_seconds = self.clocks.steady()
                self.shard_state.set_worker_entries(
                    outcome.value, now_seconds=self.clocks.steady()
                )
                for worker_id in list(self.shard_state.workers):
                    self._open_session(worker_id)
                self._request_commit_of_changes()
            await anyio.sleep(WORKER_LIST_INTERVAL_SECONDS)

    def _open_session(self, worker_id):
        if worker_id in self._sessions:
            return
        # Leases that an earlier scheduler granted while its last commit was recent
        # enough; the 5% on the lease exceed `leases.CLOCK_DRIFT_FACTOR`.
        earlier_leases_seconds = COMMIT_AGE_LIMIT_SECONDS + self._lease_seconds * 1.05
        session = Session(
            worker_id=worker_id,
            scheduler=self,
            token=self._chain.epoch * TOKENS_PER_EPOCH,
            leases=LeaseTracker(
                longest_lease_seconds=self._lease_seconds,
                lapse_at_seconds=self._started_at_seconds + earlier_leases_seconds,
            ),
        )
        self._sessions[worker_id] = session
        if self._task_group is not None:
            self._task_group.start_soon(session.run)

    async def _end_lapsed_runs(self):
        while True:
            await anyio.sleep(LAPSE_CHECK_INTERVAL_SECONDS)
            now_seconds = self.clocks.steady()
            for worker_id, worker in list(self.shard_state.workers.items()):
                session = self._sessions.get(worker_id)
                if not worker.runs or session is None:
                    continue
                if now_seconds < session.leases.lapse_at_seconds:
                    continue
                for run in self.shard_state.end_lapsed_runs(
                    worker_id, now_seconds=now_seconds
                ):
                    log_event(
                        "end",
                        outcome="lease_lapsed",
                        task=str(run.ref),
                        run=run.number,
                        worker_id=worker_id,
                        silence_seconds=round(
                            now_seconds - worker.answered_at_seconds, 3
                        ),
                    )
                self._wake_stopping_sessions()
                self._request_commit()

    async def _commit_loop(self):
        # The first polls settle what runs, so that workers with runs come first.
        for session in sorted(
            self._sessions.values(), key=lambda session: not session.has_runs
        ):
            self._task_group.start_soon(session.run)
        while True:
            with anyio.move_on_after(self._commit_wait_seconds()):
                await self._commit_trigger.wait()
            self._commit_trigger = anyio.Event()
            await self._commit_once()

    def _commit_wait_seconds(self):
        if not self.shard_state.jobs:
            return RENEWAL_INTERVAL_SECONDS
        if self._has_placement_changes():
            plan_at_seconds = self._plan_from_seconds
        else:
            plan_at_seconds = self._replan_at_seconds
        wait_seconds = plan_at_seconds - self.clocks.steady()
        return min(max(0.0, wait_seconds), REPLAN_INTERVAL_SECONDS)

    def _has_placement_changes(self):
        changes_count = self.shard_state.placement_changes_count
        return changes_count != self._planned_changes_count

    def _is_plan_due(self):
        """Return whether to plan now.

        Events that come while a plan is not allowed yet are planned for together.
        """
        now_seconds = self.clocks.steady()
        if now_seconds < self._plan_from_seconds:
            return False
        return self._has_placement_changes() or now_seconds >= self._replan_at_seconds

    async def _commit_once(self):
        """Plan and commit; without changes, commit only if a renewal is due."""
        claims = self._plan() if self._is_plan_due() else []
        batch = make_batch(
            self.shard_state,
            claims,
            shard=self._shard,
            closure_key=self.operators.closure_key,
            sessions=self._sessions_with_ends,
            stored_counts=self._stored_counts,
            now_seconds=self.clocks.steady(),
        )
        commit_age_seconds = self.clocks.boottime() - self._chain.renewed_at_seconds
        # Plans without an event are REPLAN_INTERVAL_SECONDS apart; the plan nearest to
        # the end of the renewal interval renews.
        is_due = (
            commit_age_seconds >= RENEWAL_INTERVAL_SECONDS - REPLAN_INTERVAL_SECONDS / 2
        )
        if not batch.puts and not batch.removes and not is_due:
            return
        self._chain.is_idle = not self.shard_state.jobs
        started_at_seconds = self.clocks.steady()
        outcome = await self._chain.commit(
            expect=batch.expect, puts=batch.puts, removes=batch.removes
        )
        self._metrics.observe("commit", self.clocks.steady() - started_at_seconds)
        if isinstance(outcome, Committed):
            self._finish_batch(batch)
            return
        self._undo_batch(batch)
        if isinstance(outcome, ConditionFailed):
            self._apply_failed_conditions(outcome.rows)
        self._request_commit()

    def _plan(self):
        """Plan once; returns the claimed runs."""
        started_at_seconds = self.clocks.steady()
        if self._policy_watch.policy is None:
            # Without the configuration, the guarantees are unknown.
            self._plan_from_seconds = started_at_seconds + REPLAN_INTERVAL_SECONDS
            return []
        if started_at_seconds >= self._check_runs_at_seconds:
            self._check_runs_at_seconds = (
                started_at_seconds + RUN_CHECK_INTERVAL_SECONDS
            )
            self._stop_slow_or_departing_runs(started_at_seconds)
        self._planned_changes_count = self.shard_state.placement_changes_count
        plan = make_plan(
            self.shard_state,
            self._planning_policy(),
            now_seconds=started_at_seconds,
            wall_seconds=self.clocks.wall(),
            rules=self._rules,
        )
        self._log_waits(plan.waits)
        for run, reason in plan.stops:
            self._stop(run, reason)
        claims = self._claim_groups(plan.groups, started_at_seconds)
        ended_at_seconds = self.clocks.steady()
        plan_seconds = ended_at_seconds - started_at_seconds
        self._plan_from_seconds = ended_at_seconds + plan_pause_seconds(plan_seconds)
        self._replan_at_seconds = ended_at_seconds + REPLAN_INTERVAL_SECONDS
        self._metrics.observe("plan", plan_seconds)
        return claims

    def _claim_groups(self, groups, now_seconds):
        """Claim the planned groups of as many jobs as one commit may cover."""
        claims = []
        job_ids = set()
        for group in groups:
            job_ids.add(group[0].ref.job_id)
            if len(job_ids) > JOBS_PER_COMMIT:
                # The rest is planned again after this commit.
                self._planned_changes_count = -1
                break
            if not self._order_window.has_room(len(group), claimed_count=len(claims)):
                # The rest is planned again when orders have been sent.
                self._is_window_full = True
                break
            for placement in group:
                run = self.shard_state.claim(
                    placement.ref,
                    placement.worker_id,
                    number=placement.run_number,
                    now_seconds=now_seconds,
                    is_remote=placement.is_remote,
                )
                claims.append(run)
            self._log_placement(group)
        return claims

    def _stop_slow_or_departing_runs(self, now_seconds):
        """Stop runs that hang or are too slow, or whose worker leaves too early."""
        stragglers = find_stragglers(
            self.shard_state,
            now_seconds=now_seconds,
            poll_wait_seconds=self.poll_wait_seconds(),
        )
        for straggler in stragglers:
            self.shard_state.record_straggler(straggler.run, now_seconds=now_seconds)
            self._stop(straggler.run, straggler.reason)
        for run in find_runs_past_departure(self.shard_state, now_seconds=now_seconds):
            self._stop(run, "the worker leaves before the run can end")

    def _stop(self, run, reason):
        self.shard_state.request_stop(run, reason)
        log_event(
            "preempt",
            outcome="stopping",
            task=str(run.ref),
            run=run.number,
            worker_id=run.worker_id,
            priority=run.priority,
            reason=reason,
        )
        self._wake_session(run.worker_id)

    def _log_waits(self, waits):
        """Log why work is waiting, once until the kind of the reason changes."""
        reasons = {}
        for unit, reason in waits:
            key = unit.job.submission.job_id, unit.occurrence, unit.step_number
            kind = reason.partition(",")[0]
            reasons[key] = kind
            if self._logged_wait_reasons.get(key) == kind:
                continue
            log_event(
                "wait",
                outcome="not_placed",
                job_id=unit.job.submission.job_id,
                step=unit.step_number,
                priority=unit.priority,
                reason=reason,
                tasks_count=len(unit.indexes),
                gpus_each=unit.step.resources.gpus_count,
                workers_count=len(self.shard_state.workers),
                list_age_seconds=round(
                    self.clocks.steady() - self._listed_at_seconds, 3
                ),
            )
        self._logged_wait_reasons = reasons

    def _log_placement(self, group):
        job = self.shard_state.jobs[group[0].ref.job_id]
        log_event(
            "placement",
            outcome="claimed",
            job_id=group[0].ref.job_id,
            step=group[0].ref.step,
            run=group[0].run_number,
            workers=[placement.worker_id for placement in group],
            reason=group[0].reason,
            waited_seconds=round(self.clocks.steady() - job.ready_since_seconds, 3),
            configuration=self._policy_watch.policy.version,
        )

    def _finish_batch(self, batch):
        now_seconds = self.clocks.steady()
        self._stored_counts = batch.counts
        for session, (end_number, life) in batch.ends.items():
            session.acknowledge(end_number, life)
            if session.received_end == end_number:
                self._sessions_with_ends.discard(session)
        for run in batch.claims:
            self._start(run, now_seconds=now_seconds)
        for job_id in batch.job_ids:
            job = self.shard_state.jobs[job_id]
            if job.progress.is_final and job_id not in self.shard_state.dirty_job_ids:
                self._log_final(job)
        if batch.removes:
            self.shard_state.forget_finished_job(parse_job_key(batch.removes[0].key)[0])
        self.shard_state.move_finished_jobs(now_seconds=now_seconds)

    def _log_final(self, job):
        if not job.is_final_logged:
            job.is_final_logged = True
            log_event(
                "job",
                outcome=job.progress.state.value,
                job_id=job.submission.job_id,
                queue=job.submission.queue,
                seconds=round(
                    self.clocks.wall() - job.submission.accepted_at_seconds, 3
                ),
            )

    def _start(self, run, *, now_seconds):
        if run.is_stopping:
            self.shard_state.withdraw(run, now_seconds=now_seconds)
            return
        run.phase = RunPhase.ORDERED
        self._order_window.note_queued(now_seconds)
        spec = self.shard_state.jobs[run.ref.job_id].submission.spec
        self._sessions[run.worker_id].queue_start(run, spec)

    def _undo_batch(self, batch):
        now_seconds = self.clocks.steady()
        self.shard_state.dirty_job_ids.update(batch.job_ids)
        for run in batch.claims:
            self.shard_state.withdraw(run, now_seconds=now_seconds)

    def _apply_failed_conditions(self, rows):
        """Apply the cancels and take-outs of data centres that failed a commit."""
        data_centre_by_key = {
            self.operators.closure_key(worker.entry.data_centre): (
                worker.entry.data_centre
            )
            for worker in self.shard_state.workers.values()
            if worker.entry is not None
        }
        for key in rows:
            if key in data_centre_by_key:
                self._policy_watch.note_closed(data_centre_by_key[key])
            elif key.table == JOBS_TABLE:
                job_id, _ = parse_job_key(key.key)
                self.shard_state.cancel_job(job_id)
                log_event("cancel", outcome="noted", job_id=job_id, via="condition")
        self._wake_stopping_sessions()

    def _planning_policy(self):
        """Return the `PlanningPolicy` of the configuration in force."""
        policy = self._policy_watch.policy
        closed_data_centres = self._policy_watch.closed_data_centres
        key = policy and policy.row_version, closed_data_centres
        if self._planning_policy_key != key:
            self._planning_policy_key = key
            self._kept_planning_policy = PlanningPolicy(
                guarantee_gpus={
                    organisation.name: organisation.guarantee_gpus
                    for organisation in (policy.organisations if policy else ())
                },
                closed_data_centres=closed_data_centres,
            )
        return self._kept_planning_policy

    def _request_commit_of_changes(self):
        """Request a commit if there is something to store, or a reason to plan."""
        if (
            self.shard_state.dirty_job_ids
            or self._sessions_with_ends
            or self._has_placement_changes()
        ):
            self._request_commit()

    def _request_commit(self):
        self._commit_trigger.set()

    def _wake_session(self, worker_id):
        session = self._sessions.get(worker_id)
        if session is not None:
            session.wake()

    def _wake_stopping_sessions(self):
        for worker_id in sorted(self.shard_state.take_workers_to_stop()):
            self._wake_session(worker_id)
