"""The scheduler of a shard during one term of leadership.

It owns the shard state. Every effect follows the same order: change the state, commit
the progress of the jobs concerned, then send orders and acknowledge ends.
"""

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
from .ports import HISTORY_LOST
from .rows import JOBS_TABLE, PROGRESS_TABLE, parse_job_key, read_table
from .sessions import Session

# Longest time between commits; several fit into the takeover time of candidates.
RENEW_SECONDS = 0.4
# Time without a commit after which leases are not extended any more. A new scheduler
# waits this long, and a lease, for workers that it cannot reach.
SILENCE_LIMIT_SECONDS = 6.0
# Reads of whole tables, of up to some megabytes.
READ_TIMEOUT_SECONDS = 2.0
# Pause after a read without an answer; a few for each second of an outage.
RETRY_SECONDS = 0.15
# A feed without changes is asked again this often.
FEED_WAIT_SECONDS = 5.0
# A third of the bound for work on workers that leave.
LIST_INTERVAL_SECONDS = 0.7
# Small beside a lease.
LAPSE_CHECK_SECONDS = 0.2
# The queue may be replanned without a new event, since waiting jobs age.
REPLAN_SECONDS = 0.25
# Room below the epoch in a fencing token for the orders that a session fences.
TOKENS_PER_EPOCH = 1 << 20


class Scheduler:
    """Plans, commits and orders for one shard.

    Parameters
    ----------
    environment : Environment
    policy_watch : PolicyWatch
    shard : Shard
    chain : CommitChain
    lease_seconds : float
        Longest lease that workers grant.
    remote_factor : float
        How many times as long a task takes outside its rack.
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
        self._sessions = {}
        self._tasks = None
        self._work = anyio.Event()
        self._feed_version = 0
        self._pending_counts = None
        self._begun_at = self.clocks.steady()
        self._listed_at = float("-inf")
        # Logged reasons of waiting work: (job id, occurrence, step) to the reason.
        self._wait_reasons = {}

    async def run(self):
        """Schedule until another instance takes over (`LeadershipLostError`)."""
        await self._load()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._follow_jobs)
            tasks.start_soon(self._follow_workers)
            tasks.start_soon(self._lapse_runs)
            await self._commit_loop()

    # What sessions need

    def may_extend_leases(self):
        """Return whether this scheduler may still be the only one."""
        silence_seconds = self.clocks.boottime() - self._chain.renewed_at_seconds
        return silence_seconds < SILENCE_LIMIT_SECONDS

    def may_start(self, worker_id):
        """Return whether a claimed run may still be started."""
        worker = self.shard_state.workers.get(worker_id)
        return (
            worker is not None
            and self.may_extend_leases()
            and is_usable(worker, self._policy(), now_seconds=self.clocks.steady())
        )

    def apply_report(self, session, report):
        """Apply a worker's report; returns the runs that must not exist."""
        ends, strangers = self.shard_state.apply_report(session.worker_id, report)
        for run, end in ends:
            if end.number <= session.received_end:
                continue
            session.received_end = end.number
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
        # Orders for runs that became superfluous go out at once.
        self._wake_stopping()
        self._note_work()
        return strangers

    def confirm_start(self, run, clock_seconds):
        """Note an accepted start order."""
        self.shard_state.confirm_start(run, clock_seconds=clock_seconds)
        if run.is_stopping:
            self._wake(run.worker_id)
        self._note_work()

    def withdraw(self, run):
        """Give up a run whose order did certainly not take effect."""
        self.shard_state.withdraw(run, now_seconds=self.clocks.steady())
        self._wake_stopping()
        self._note_work()

    def note_refusal(self, run, outcome):
        """Avoid a worker for a moment that refuses to start tasks."""
        self.shard_state.note_refusal(run, now_seconds=self.clocks.steady())
        self._metrics.count_start_refusal(outcome.code)

    def note_fenced(self, worker_id):
        """End the term: a worker has seen the token of another scheduler."""
        raise LeadershipLostError(f"worker {worker_id} has seen a higher token")

    def record_latency(self, name, seconds):
        """Record a latency."""
        self._metrics.observe(name, seconds)

    # Loading

    async def _load(self):
        """Read jobs and progress as the previous scheduler left them."""
        jobs = await self._read_until_done(JOBS_TABLE)
        # Progress after jobs: no progress can miss its job, and progress does not
        # change any more.
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
        # The runs of these workers are unknown until they answer.
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
            self.shard_state.add_job(
                submission,
                now_seconds=now_seconds,
                progress=progress_by_id.get(job_id),
                is_cancelled=job_id in cancelled,
            )
        for job_id in sorted(cancelled):
            if self.shard_state.cancel_job(job_id):
                log_event("cancel", outcome="noted", job_id=job_id)
        self._wake_stopping()

    # Followers

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
                self._note_work()

    async def _follow_workers(self):
        while True:
            outcome = await self.workers.list(timeout_seconds=READ_TIMEOUT_SECONDS)
            if isinstance(outcome, Done):
                self._listed_at = self.clocks.steady()
                self.shard_state.set_worker_entries(
                    outcome.value, now_seconds=self.clocks.steady()
                )
                for worker_id in list(self.shard_state.workers):
                    self._open_session(worker_id)
            await anyio.sleep(LIST_INTERVAL_SECONDS)

    def _open_session(self, worker_id):
        if worker_id in self._sessions:
            return
        earlier_leases_seconds = SILENCE_LIMIT_SECONDS + self._lease_seconds * 1.05
        session = Session(
            worker_id=worker_id,
            scheduler=self,
            token=self._chain.epoch * TOKENS_PER_EPOCH,
            leases=LeaseTracker(
                longest_lease_seconds=self._lease_seconds,
                lapse_at_seconds=self._begun_at + earlier_leases_seconds,
            ),
        )
        self._sessions[worker_id] = session
        if self._tasks is not None:
            self._tasks.start_soon(session.run)

    async def _lapse_runs(self):
        while True:
            await anyio.sleep(LAPSE_CHECK_SECONDS)
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
                self._wake_stopping()
                self._note_work()

    # Commits

    async def _commit_loop(self):
        for session in self._sessions.values():
            self._tasks.start_soon(session.run)
        while True:
            with anyio.move_on_after(self._idle_seconds()):
                await self._work.wait()
            self._work = anyio.Event()
            await self._commit_once()

    def _idle_seconds(self):
        return REPLAN_SECONDS if self.shard_state.jobs else RENEW_SECONDS

    async def _commit_once(self):
        claims = self._plan()
        batch = make_batch(
            self.shard_state,
            claims,
            shard=self._shard,
            closure_key=self.operators.closure_key,
            sessions=self._sessions.values(),
            stored_counts=self._pending_counts,
            now_seconds=self.clocks.steady(),
        )
        elapsed_seconds = self.clocks.boottime() - self._chain.renewed_at_seconds
        is_due = elapsed_seconds >= RENEW_SECONDS - REPLAN_SECONDS / 2
        if not batch.puts and not batch.removes and not is_due:
            return
        begun_at = self.clocks.steady()
        outcome = await self._chain.commit(
            expect=batch.expect, puts=batch.puts, removes=batch.removes
        )
        self._metrics.observe("commit", self.clocks.steady() - begun_at)
        if isinstance(outcome, Committed):
            self._finish_batch(batch)
            return
        self._undo_batch(batch)
        if isinstance(outcome, ConditionFailed):
            self._apply_obstacles(outcome.rows)
        self._note_work()

    def _plan(self):
        if self._policy_watch.policy is None:
            # Guarantees are unknown until the configuration has been read.
            return []
        begun_at = self.clocks.steady()
        self._stop_bad_runs(begun_at)
        plan = make_plan(
            self.shard_state,
            self._policy(),
            now_seconds=begun_at,
            wall_seconds=self.clocks.wall(),
            rules=self._rules,
        )
        self._log_waits(plan.waits)
        for run, reason in plan.stops:
            self._stop(run, reason)
        claims = []
        job_ids = set()
        for group in plan.groups:
            job_ids.add(group[0].ref.job_id)
            if len(job_ids) > JOBS_PER_COMMIT:
                break
            for placement in group:
                run = self.shard_state.claim(
                    placement.ref,
                    placement.worker_id,
                    number=placement.run_number,
                    now_seconds=begun_at,
                    is_remote=placement.is_remote,
                )
                claims.append(run)
            self._log_placement(group)
        self._metrics.observe("plan", self.clocks.steady() - begun_at)
        return claims

    def _stop_bad_runs(self, now_seconds):
        """Stop runs that hang or crawl, or whose worker leaves too early."""
        for straggler in find_stragglers(self.shard_state, now_seconds=now_seconds):
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
        self._wake(run.worker_id)

    def _log_waits(self, waits):
        """Log why work waits, once for each kind of reason."""
        reasons = {}
        for unit, reason in waits:
            key = unit.job.submission.job_id, unit.occurrence, unit.step_number
            kind = reason.partition(",")[0]
            reasons[key] = kind
            if self._wait_reasons.get(key) == kind:
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
                list_age_seconds=round(self.clocks.steady() - self._listed_at, 3),
            )
        self._wait_reasons = reasons

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
        self._pending_counts = batch.counts
        for session, (end_number, life) in batch.ends.items():
            session.acknowledge(end_number, life)
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
        spec = self.shard_state.jobs[run.ref.job_id].submission.spec
        self._sessions[run.worker_id].queue_start(run, spec)

    def _undo_batch(self, batch):
        now_seconds = self.clocks.steady()
        self.shard_state.dirty_job_ids.update(batch.job_ids)
        for run in batch.claims:
            self.shard_state.withdraw(run, now_seconds=now_seconds)

    def _apply_obstacles(self, rows):
        """Learn from failed conditions: cancelled jobs, closed data centres."""
        closures = {
            self.operators.closure_key(worker.entry.data_centre): (
                worker.entry.data_centre
            )
            for worker in self.shard_state.workers.values()
            if worker.entry is not None
        }
        for key in rows:
            if key in closures:
                self._policy_watch.note_closed(closures[key])
            elif key.table == JOBS_TABLE:
                job_id, _ = parse_job_key(key.key)
                self.shard_state.cancel_job(job_id)
                log_event("cancel", outcome="noted", job_id=job_id, via="condition")
        self._wake_stopping()

    # Helpers

    def _policy(self):
        policy = self._policy_watch.policy
        guaranteed = {
            organisation.name: organisation.guarantee_gpus
            for organisation in (policy.organisations if policy else ())
        }
        return PlanningPolicy(
            guarantee_gpus=guaranteed,
            closed_data_centres=self._policy_watch.closed_data_centres,
        )

    def _note_work(self):
        self._work.set()

    def _wake(self, worker_id):
        session = self._sessions.get(worker_id)
        if session is not None:
            session.wake()

    def _wake_stopping(self):
        for worker_id, worker in self.shard_state.workers.items():
            if any(run.is_stopping for run in worker.runs.values()):
                self._wake(worker_id)
