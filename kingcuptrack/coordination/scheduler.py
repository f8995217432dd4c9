"""The scheduler of a shard during one term of leadership.

It owns the shard state. Every change is made in the same order: update the shard state,
commit the progress of the affected jobs, then send orders to workers and acknowledge
the ends of runs.
"""

import functools

import anyio

from ..logs import log_event
from ..outcomes import Done
from ..state.cluster.shard_entities import RunPhase
from ..state.cluster.shard_state import ShardState
from ..state.planning.departures import find_runs_past_departure
from ..state.planning.load_view import make_load_view
from ..state.planning.plan_rules import DEFAULT_RULES
from ..state.planning.planner import make_plan
from ..state.planning.quotas import combine_maxima, is_within
from ..state.planning.scheduling_units import PlanningPolicy, is_usable
from ..state.planning.separation import find_move
from ..state.planning.shares import make_weights
from ..state.planning.stragglers import find_stragglers
from .batches import ClaimRoom, make_batch
from .commits import Committed, ConditionFailed, Denied, LeadershipLostError
from .decision_log import (
    DecisionLog,
    log_crash,
    log_estimate_failure,
    log_pair,
    log_placement,
    log_restored_run,
    log_speed,
    log_stop,
)
from .denied_commits import DeniedCommits
from .hedging import hedge
from .job_feed import JobFeed
from .job_log import JobLog
from .learned_rows import (
    INTERFERENCE_SUBJECT,
    SPEEDS_SUBJECT,
    LearnedRows,
    LearnedSubject,
)
from .leases import LeaseTracker
from .load_views import LoadViewWriter
from .lost_work import StopCause, count_lost_work
from .order_window import OrderWindow
from .organisation_figures import OrganisationFigures
from .own_delay import OwnDelay
from .plan_timing import REPLAN_INTERVAL_SECONDS, PlanTiming
from .rows import JOBS_TABLE, parse_job_key
from .sessions import Session, poll_wait_seconds
from .starvation_log import StarvationLog
from .supervision import supervise
from .withdrawals import WithdrawalCleaner

# Interval between commits without changes, which renew the leadership row; while there
# are jobs, it is rounded to planning intervals. Two renewals must fit into
# `leadership.TAKEOVER_SECONDS`, the silence after which a candidate takes over.
RENEWAL_INTERVAL_SECONDS = 0.4
# Age of the last commit from which leases are no longer extended. A new scheduler
# waits this long plus the longest lease before it takes the runs of an unreachable
# worker as ended.
COMMIT_AGE_LIMIT_SECONDS = 6.0
# Timeout of reads of the worker list, which can have some hundred kilobytes, and time
# after which a read without an answer is repeated. With it, a silent connection does
# not make the list too old to plan by.
LIST_TIMEOUT_SECONDS = 2.0
LIST_HEDGE_DELAY_SECONDS = 0.85
# Interval between reads of the worker list: a third of the time within which a leaving
# worker must stop getting new work.
WORKER_LIST_INTERVAL_SECONDS = 0.7
# Age of the worker list from which nothing is started, since the capacity of workers
# may have shrunk. Starts may count on the earlier capacity for 4.5 s; the list shows
# the change within 1.5 s, and an order takes at most `sessions.CALL_TIMEOUT_SECONDS`.
# A plan needs a list that will not be too old for its orders.
LIST_AGE_LIMIT_SECONDS = 2.4
PLANNING_LIST_AGE_LIMIT_SECONDS = 2.0
# Well below `lease_seconds`, since it delays the restart of tasks after a lapse.
LAPSE_CHECK_INTERVAL_SECONDS = 0.2
# Interval between searches for runs that hang, are slow or whose worker leaves.
RUN_CHECK_INTERVAL_SECONDS = 0.25
# Interval between searches for tasks that are held without a run, and the tasks that
# one search looks at, so that it takes less than a millisecond.
STATE_CHECK_INTERVAL_SECONDS = 0.25
STATE_CHECK_TASKS_COUNT = 500
# Pause after a commit that the store has denied.
DENIAL_PAUSE_SECONDS = 0.1
# Fencing tokens of one epoch; a session raises its token to fence unanswered orders.
TOKENS_PER_EPOCH = 1 << 20


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
        self.shard_state = ShardState(
            remote_factor=remote_factor,
            learns_speeds=rules.features.speeds,
            learns_interference=rules.features.interference,
        )
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
        self._job_feed = JobFeed(
            store=self.store,
            clocks=self.clocks,
            shard=shard,
            chain=chain,
            shard_state=self.shard_state,
            note_changes=self._note_job_rows,
            metrics=metrics,
        )
        self._withdrawal_cleaner = WithdrawalCleaner(
            store=self.store, clocks=self.clocks, shard=shard
        )
        self._plan_timing = PlanTiming(shard_state=self.shard_state)
        self._decision_log = DecisionLog()
        self._job_log = JobLog(
            clocks=self.clocks, metrics=metrics, run_times=self.shard_state.run_times
        )
        self._learned_rows = LearnedRows(
            shard=shard, subjects=_list_subjects(self.shard_state, rules.features)
        )
        self._load_view_writer = LoadViewWriter(
            shard=shard,
            make_view=self._make_load_view if rules.features.admission else None,
        )
        self._organisation_figures = OrganisationFigures(metrics=metrics)
        self._starvation_log = StarvationLog(metrics=metrics)
        self._check_runs_at_seconds = float("-inf")
        # Sessions with ends that the worker may not forget yet, as keys in the order of
        # their ends.
        self._sessions_with_ends = {}
        self._planning_policy_key = None
        self._kept_planning_policy = None
        self._stored_counts = None
        self._denied_commits = DeniedCommits(shard_state=self.shard_state)
        self._started_at_seconds = self.clocks.steady()
        self._listed_at_seconds = float("-inf")

    async def run(self):
        """Schedule until another instance takes over.

        Raises
        ------
        LeadershipLostError
        """
        await self._job_feed.load()
        await self._learned_rows.load(self.store)
        # Which runs exist on these workers is unknown until they answer.
        for worker_id in list(self.shard_state.workers):
            self._open_session(worker_id)
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            for name, function in (
                ("own_delay", self.own_delay.run),
                ("job_feed", self._job_feed.follow),
                ("worker_list", self._follow_workers),
                ("lapsed_runs", self._end_lapsed_runs),
                ("state_checks", self._check_state),
                ("withdrawals", self._withdrawal_cleaner.run),
            ):
                task_group.start_soon(supervise, name, function)
            try:
                await self._commit_loop()
            finally:
                self._organisation_figures.clear()
                self._starvation_log.clear()

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

    def find_capacity_obstacle(self, worker_id):
        """Return why the runs of a worker may not fit; empty if they do."""
        if self._list_age_seconds() >= LIST_AGE_LIMIT_SECONDS:
            return "the worker list is too old"
        worker = self.shard_state.workers[worker_id]
        if not worker.used.fits_in(worker.entry.capacity):
            return "the worker's capacity has shrunk"
        return ""

    def find_maximum_obstacle(self, run):
        """Return why a claimed run exceeds a maximum; empty if it does not.

        The maximum may have been lowered since the claim.
        """
        organisation = self.shard_state.jobs[run.ref.job_id].submission.organisation
        maximum = self._planning_policy().maxima.get(organisation)
        used = self.shard_state.used_by_organisation[organisation]
        if maximum is None or is_within(used, maximum):
            return ""
        return "its organisation is above its maximum"

    def apply_report(self, session, report):
        """Apply a worker's report; returns its runs that the shard state lacks."""
        ends, unknown_runs = self.shard_state.apply_report(session.worker_id, report)
        for run, end in ends:
            if end.number <= session.received_end:
                continue
            session.note_end(end)
            self._sessions_with_ends[session] = True
            self._metrics.count_run_end(end.how)
            log_event(
                "end",
                outcome=end.how,
                task=str(end.ref),
                run=end.run,
                worker_id=session.worker_id,
                current=run is not None,
                end_number=end.number,
                **(self._count_lost_work(run, end) if run is not None else {}),
            )
        self._log_restored_runs()
        self._log_crashes()
        self._log_pairs()
        # Runs that the report has made superfluous are stopped at once.
        self._wake_stopping_sessions()
        self._request_commit_of_changes()
        return unknown_runs

    def confirm_start(self, run, clock_seconds):
        """Record that the worker accepted the start order of a run."""
        self.shard_state.confirm_start(
            run, clock_seconds=clock_seconds, now_seconds=self.clocks.steady()
        )
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
            self._plan_timing.request()
            self._request_commit()

    def poll_wait_seconds(self):
        """Return how long polls of busy workers wait for the end of a run."""
        busy_workers_count = self.shard_state.busy_workers_count
        return poll_wait_seconds(busy_workers_count, self._chain.holder_cores)

    def end_replaced_worker(self, worker_id):
        """End the runs of a worker whose address another worker has taken over."""
        worker = self.shard_state.workers.get(worker_id)
        if worker is None:
            return
        was_replaced = worker.is_replaced
        runs = self.shard_state.end_replaced_worker(
            worker_id, now_seconds=self.clocks.steady()
        )
        if not was_replaced or runs:
            log_event(
                "worker",
                outcome="replaced",
                worker_id=worker_id,
                runs_count=len(runs),
            )
        for run in runs:
            log_event(
                "end",
                outcome="worker_replaced",
                task=str(run.ref),
                run=run.number,
                worker_id=worker_id,
                **self._count_lost_work(run),
            )
        self._log_crashes()
        self._wake_stopping_sessions()
        self._request_commit_of_changes()

    def note_worker_lost(self, worker_id):
        """Record that a worker has stopped answering."""
        self.shard_state.note_lost(worker_id, now_seconds=self.clocks.steady())

    def end_fenced_term(self, worker_id):
        """Raise `LeadershipLostError`: a worker has seen a newer scheduler's token."""
        raise LeadershipLostError(f"worker {worker_id} has seen a higher fencing token")

    def record_latency(self, name, seconds):
        """Record the duration of an operation in the metrics."""
        self._metrics.observe(name, seconds)

    def _count_lost_work(self, run, end=None):
        return count_lost_work(
            self._metrics,
            self.shard_state,
            run,
            end,
            now_seconds=self.clocks.steady(),
        )

    def _log_crashes(self):
        for worker_id, finding in self.shard_state.take_crash_findings():
            log_crash(worker_id, finding)
            if finding.is_certain:
                is_cause_known = bool(finding.given_up)
                self._metrics.count_worker_crash(is_cause_known=is_cause_known)

    def _report_estimate_failures(self):
        for failure in self.shard_state.estimates.take_failures():
            log_estimate_failure(failure)
            self._metrics.count_estimate_failures(failure.name, failure.count)

    def _log_restored_runs(self):
        for run in self.shard_state.take_restored_runs():
            log_restored_run(run)
            self._metrics.count_restored_run()
            self._wake_session(run.worker_id)

    def _log_pairs(self):
        for finding in self.shard_state.take_pair_findings():
            log_pair(finding)
            self._metrics.count_interference_finding(is_learned=finding.is_learned)

    def _note_job_rows(self):
        self._wake_stopping_sessions()
        self._request_commit()

    async def _follow_workers(self):
        while True:
            sent_at_seconds = self.clocks.boottime()
            outcome = await hedge(
                self.workers.list,
                delay_seconds=LIST_HEDGE_DELAY_SECONDS,
                limit_seconds=LIST_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, Done):
                self._listed_at_seconds = sent_at_seconds
                self.shard_state.set_worker_entries(
                    outcome.value, now_seconds=self.clocks.steady()
                )
                for worker_id in list(self.shard_state.workers):
                    self._open_session(worker_id)
                self._plan_timing.resume()
                self._request_commit_of_changes()
            await anyio.sleep(WORKER_LIST_INTERVAL_SECONDS)

    def _open_session(self, worker_id):
        if worker_id in self._sessions:
            self._sessions[worker_id].note_known()
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
                        **self._count_lost_work(run),
                    )
                self._log_crashes()
                self._wake_stopping_sessions()
                self._request_commit()

    async def _check_state(self):
        """Recreate missing runs, and report errors of estimates."""
        while True:
            await anyio.sleep(STATE_CHECK_INTERVAL_SECONDS)
            self.shard_state.restore_missing_runs(
                tasks_limit_count=STATE_CHECK_TASKS_COUNT,
                now_seconds=self.clocks.steady(),
            )
            self._log_restored_runs()
            self._wake_stopping_sessions()
            self._report_estimate_failures()

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
        return self._plan_timing.wait_seconds(self.clocks.steady())

    async def _commit_once(self):
        """Plan and commit; without changes, commit only if a renewal is due."""
        is_plan_due = self._plan_timing.is_due(self.clocks.steady())
        claims = self._plan() if is_plan_due else []
        batch = self._make_batch(claims)
        commit_age_seconds = self.clocks.boottime() - self._chain.renewed_at_seconds
        # Plans without an event are REPLAN_INTERVAL_SECONDS apart; the plan nearest to
        # the end of the renewal interval renews.
        is_due = (
            commit_age_seconds >= RENEWAL_INTERVAL_SECONDS - REPLAN_INTERVAL_SECONDS / 2
        )
        started_at_seconds = self.clocks.steady()
        allows_optional_rows = self._denied_commits.allows_optional_rows(
            started_at_seconds
        )
        count_rows = batch.count_rows if allows_optional_rows else {}
        if not (batch.puts or count_rows or batch.removes or is_due):
            return
        self._chain.is_idle = not self.shard_state.jobs
        optional_rows = {}
        if allows_optional_rows:
            optional_rows = self._list_optional_rows(count_rows, started_at_seconds)
        outcome = await self._chain.commit(
            expect=batch.expect,
            puts={**batch.puts, **optional_rows},
            removes=batch.removes,
        )
        self._metrics.observe("commit", self.clocks.steady() - started_at_seconds)
        if isinstance(outcome, Committed):
            if count_rows:
                self._stored_counts = batch.counts
            self._finish_batch(batch)
            return
        self._undo_batch(batch)
        if isinstance(outcome, ConditionFailed):
            self._apply_failed_conditions(outcome.rows)
        elif isinstance(outcome, Denied):
            self._metrics.count_denied_commit()
            self._denied_commits.note_denied(
                batch.job_ids,
                outcome.reason,
                had_optional_rows=bool(optional_rows),
                now_seconds=self.clocks.steady(),
            )
            # A denial of the leadership row alone would come again at once.
            await anyio.sleep(DENIAL_PAUSE_SECONDS)
        self._request_commit()

    def _list_optional_rows(self, count_rows, now_seconds):
        """Return the due rows that can be missing; too large ones are logged."""
        rows = {
            **count_rows,
            **self.shard_state.estimates.call(
                self._learned_rows.changed_rows, now_seconds, default={}
            ),
            **self._load_view_writer.due_rows(now_seconds),
        }
        limit_bytes = self.store.limits.row_bytes
        for key, data in rows.items():
            if len(data) > limit_bytes:
                log_event(
                    "row", outcome="too_large", row=str(key), size_bytes=len(data)
                )
        return {key: data for key, data in rows.items() if len(data) <= limit_bytes}

    def _make_batch(self, claims):
        """Return the contents of the next commit; claims that do not fit are undone."""
        now_seconds = self.clocks.steady()
        # A held job is tried alone, so that a denial costs no claims.
        trial_job_id = ""
        if not claims:
            trial_job_id = self._denied_commits.take_due_job(now_seconds)
        batch = make_batch(
            self.shard_state,
            claims,
            shard=self._shard,
            closure_key=self.operators.closure_key,
            sessions=self._sessions_with_ends,
            stored_counts=self._stored_counts,
            now_seconds=now_seconds,
            limits=self.store.limits,
            jobs_limit_count=self._denied_commits.jobs_limit_count,
            trial_job_id=trial_job_id,
        )
        for run in batch.deferred_claims:
            self.shard_state.withdraw(run, now_seconds=now_seconds)
        if batch.deferred_claims:
            log_event(
                "commit", outcome="claims_deferred", count=len(batch.deferred_claims)
            )
            self._plan_timing.request()
        for job_id, size_bytes in batch.oversized.items():
            reason = f"a row of {size_bytes} bytes"
            self._denied_commits.hold(job_id, reason, now_seconds=now_seconds)
        if batch.deferred_claims and not batch.rows:
            # The changes that left no room for the claims are stored first.
            return self._make_batch([])
        return batch

    def _plan(self):
        """Plan once; returns the claimed runs."""
        started_at_seconds = self.clocks.steady()
        if self._policy_watch.policy is None:
            # Without the configuration, the guarantees are unknown.
            self._plan_timing.postpone(started_at_seconds)
            return []
        if started_at_seconds >= self._check_runs_at_seconds:
            self._check_runs_at_seconds = (
                started_at_seconds + RUN_CHECK_INTERVAL_SECONDS
            )
            self._stop_slow_or_departing_runs(started_at_seconds)
            self._show_slow_workers(started_at_seconds)
        list_age_seconds = self._list_age_seconds()
        is_list_old = list_age_seconds >= PLANNING_LIST_AGE_LIMIT_SECONDS
        self._decision_log.log_worker_list(is_list_old, list_age_seconds)
        if is_list_old:
            self._plan_timing.postpone(started_at_seconds)
            return []
        self._plan_timing.begin()
        self.shard_state.advance_usage(started_at_seconds)
        plan = make_plan(
            self.shard_state,
            self._planning_policy(),
            now_seconds=started_at_seconds,
            wall_seconds=self.clocks.wall(),
            rules=self._rules,
        )
        self._decision_log.log_plan_errors(plan.errors)
        longest_waits = self._decision_log.log_waits(
            plan.waits,
            workers_count=len(self.shard_state.workers),
            list_age_seconds=self._list_age_seconds(),
            now_seconds=started_at_seconds,
        )
        self._metrics.set_longest_waits(longest_waits)
        self._organisation_figures.update(
            self.shard_state,
            self._planning_policy(),
            plan.waits,
            now_seconds=started_at_seconds,
        )
        for run, reason in plan.stops:
            self._stop(run, reason, StopCause.RECLAIM)
        for run, reason in plan.moves:
            self.shard_state.record_room_move(run)
            self._stop(run, reason, StopCause.DEFRAGMENTATION)
        for worker_ids, unit_key in plan.holds:
            self.shard_state.room_holds.hold(
                worker_ids, unit_key, now_seconds=started_at_seconds
            )
        self._starvation_log.update(
            plan.waits,
            self.shard_state,
            self._planning_policy(),
            now_seconds=started_at_seconds,
            wall_seconds=self.clocks.wall(),
        )
        claims = self._claim_groups(plan.groups, started_at_seconds)
        ended_at_seconds = self.clocks.steady()
        self._plan_timing.finish(
            started_at_seconds=started_at_seconds, now_seconds=ended_at_seconds
        )
        self._metrics.observe("plan", ended_at_seconds - started_at_seconds)
        return claims

    def _claim_groups(self, groups, now_seconds):
        """Claim the planned groups of as many jobs as one commit may cover."""
        claims = []
        room = ClaimRoom(
            shard_state=self.shard_state,
            limits=self.store.limits,
            jobs_limit_count=self._denied_commits.jobs_limit_count,
        )
        for group in groups:
            fitting = room.take(group)
            if len(fitting) < len(group) and (
                claims or fitting or self.shard_state.has_storable_changes()
            ):
                # The rest is planned again after this commit.
                self._plan_timing.request()
            if not fitting:
                if claims:
                    break
                # Earlier changes of its job take up the room, but not that of others.
                continue
            if not self._order_window.has_room(len(fitting), claimed_count=len(claims)):
                # The rest is planned again when orders have been sent.
                self._is_window_full = True
                break
            for placement in fitting:
                run = self.shard_state.claim(
                    placement.ref,
                    placement.worker_id,
                    number=placement.run_number,
                    now_seconds=now_seconds,
                    is_remote=placement.is_remote,
                    slowdown=placement.slowdown,
                )
                claims.append(run)
            job = self.shard_state.jobs[group[0].ref.job_id]
            log_placement(
                fitting,
                waited_seconds=now_seconds - job.ready_since_seconds,
                configuration_version=self._policy_watch.policy.version,
            )
        return claims

    def _list_age_seconds(self):
        return self.clocks.boottime() - self._listed_at_seconds

    def _stop_slow_or_departing_runs(self, now_seconds):
        """Stop runs that are too slow, on leaving workers, or slow urgent work down."""
        stragglers = find_stragglers(
            self.shard_state,
            now_seconds=now_seconds,
            poll_wait_seconds=self.poll_wait_seconds(),
        )
        for straggler in stragglers:
            self.shard_state.record_straggler(straggler.run, now_seconds=now_seconds)
            self._stop(straggler.run, straggler.reason, StopCause.STRAGGLER)
        for run in find_runs_past_departure(self.shard_state, now_seconds=now_seconds):
            reason = "the worker leaves before the run can end"
            self._stop(run, reason, StopCause.DEPARTURE)
        move = self.shard_state.estimates.call(
            find_move,
            self.shard_state,
            self._planning_policy(),
            now_seconds=now_seconds,
        )
        if move is not None:
            self.shard_state.record_move(move[0], now_seconds=now_seconds)
            self._stop(*move, StopCause.INTERFERENCE)

    def _show_slow_workers(self, now_seconds):
        speeds = self.shard_state.worker_speeds
        for worker_id, factor, is_slow in self.shard_state.estimates.call(
            speeds.take_changed_workers, now_seconds=now_seconds, default=()
        ):
            log_speed(worker_id, factor, is_slow=is_slow)
        self._metrics.set_slow_workers(len(speeds.slow_worker_ids))

    def _stop(self, run, reason, cause):
        self.shard_state.request_stop(run, reason, cause=cause)
        log_stop(run, reason, cause=cause)
        self._wake_session(run.worker_id)

    def _finish_batch(self, batch):
        now_seconds = self.clocks.steady()
        for session, (end_number, life) in batch.ends.items():
            session.acknowledge(end_number, life)
            if session.received_end == end_number:
                del self._sessions_with_ends[session]
        for run in batch.claims:
            self._start(run, now_seconds=now_seconds)
        for job_id in batch.job_ids:
            job = self.shard_state.jobs[job_id]
            if job.progress.is_final and job_id not in self.shard_state.unstored:
                self.shard_state.estimates.call(
                    self._job_log.note_final_state, job, now_seconds=now_seconds
                )
        self.shard_state.unstored.note_removed(batch.removed_parts)
        if batch.expired_job_id:
            self.shard_state.forget_finished_job(batch.expired_job_id)
        self._denied_commits.note_applied(batch.job_ids)
        self.shard_state.move_finished_jobs(now_seconds=now_seconds)
        if self.shard_state.unstored.job_ids:
            self._request_commit()

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
        for job_id, rows in batch.rows.items():
            self.shard_state.unstored.restore(self.shard_state.jobs[job_id], rows)
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

    def _make_load_view(self, previous):
        return make_load_view(
            self.shard_state,
            self._planning_policy(),
            rules=self._rules,
            now_seconds=self.clocks.steady(),
            wall_seconds=self.clocks.wall(),
            previous=previous,
        )

    def _planning_policy(self):
        """Return the `PlanningPolicy` of the configuration in force."""
        policies = self._policy_watch.policies_in_force()
        policy = self._policy_watch.policy
        closed_data_centres = self._policy_watch.closed_data_centres
        key = tuple(item.row_version for item in policies), closed_data_centres
        if self._planning_policy_key != key:
            self._planning_policy_key = key
            self._kept_planning_policy = PlanningPolicy(
                guarantee_gpus={
                    organisation.name: organisation.guarantee_gpus
                    for organisation in (policy.organisations if policy else ())
                },
                maxima=combine_maxima(policies),
                weights=make_weights(policy) if policy else {},
                closed_data_centres=closed_data_centres,
            )
        return self._kept_planning_policy

    def _request_commit_of_changes(self):
        """Request a commit if there is something to store, or a reason to plan."""
        if (
            self.shard_state.unstored.job_ids
            or self._sessions_with_ends
            or self._plan_timing.has_changes()
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


def _list_subjects(shard_state, features):
    """Return the `LearnedSubject` of each part that is on and keeps what it learns."""
    subjects = []
    if features.speeds:
        speeds = shard_state.worker_speeds
        subjects.append(
            LearnedSubject(
                name=SPEEDS_SUBJECT, encode=speeds.encode, restore=speeds.restore
            )
        )
    if features.interference:
        interference = shard_state.interference
        subjects.append(
            LearnedSubject(
                name=INTERFERENCE_SUBJECT,
                encode=interference.encode,
                restore=interference.restore,
            )
        )
    return tuple(subjects)
