"""Placer: the task that owns the queue and the gangs of one data centre.

Every instance runs one; it is active while the membership view says so. Two active
placers are harmless: workers and the table reject the one that comes second.
"""

import time
import uuid

import anyio
import attrs
from loguru import logger

from ..logs import log_decision
from ..outcomes import Done, Refused
from ..protocol.messages import (
    AwaitJob,
    CancelJob,
    DataCentreDescription,
    DescribeDataCentre,
    JobAnswer,
    JobDescription,
    SubmitAnswer,
    SubmitJob,
    WorkerDescription,
)
from ..state.jobs import FINAL_PHASES, JobRow, JobSpec, Phase, Urgency
from ..state.scheduling import (
    QueuedJob,
    ReclaimGang,
    Scheduler,
    StartGang,
    add_job,
    capacity_summary,
    decide,
    gang_ended,
    remove_job,
    set_configuration,
    waiting_reason,
)
from ..transport.workers import GangKey
from .gangs import GangRun, gang_progress, make_members
from .takeover import rebuild, resolve_claimed
from .watchers import WorkerWatch

# Longest time between two decisions when no event arrives.
DECISION_INTERVAL_SECONDS = 0.25

# Period in which rows that nobody announced are looked for in the table.
SCAN_INTERVAL_SECONDS = 5.0

# Final answers stay in memory this long for callers that poll.
FINAL_KEPT_SECONDS = 60.0


@attrs.define(kw_only=True)
class OpenJob:
    """A job that this placer holds.

    ``row_version`` is 0 while the job is held in memory only. ``token`` is the
    newest fencing token used, which may exceed the attempt in the row.
    """

    job_id: str
    spec: JobSpec
    queued_seconds: float
    row_version: int = 0
    token: int = 0
    status: str = "queued"
    run: GangRun | None = None
    is_cancelled: bool = False
    answer: JobAnswer | None = None
    final_seconds: float = 0.0
    final: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.frozen(kw_only=True)
class GangEnded:
    """Event: an attempt holds no worker any more and has no outcome."""

    run: GangRun
    reason: str
    failed_worker_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class JobEnded:
    """Event: a job has its final outcome."""

    job_id: str
    answer: JobAnswer
    succeeded: bool = False
    failed_worker_ids: tuple[str, ...] = ()


class Placer:
    """State and task of the placer; others talk to it through its mailbox."""

    def __init__(
        self,
        *,
        settings,
        membership,
        configuration,
        job_table,
        gang_calls,
        worker_client,
        mailbox,
        move_job,
        metrics,
    ):
        self.settings = settings
        self.membership = membership
        self.configuration = configuration
        self.job_table = job_table
        self.gang_calls = gang_calls
        self.worker_client = worker_client
        self.mailbox = mailbox
        self.metrics = metrics
        self.jobs = {}
        self.scheduler = self._new_scheduler()
        self.watch = None
        self._move_job = move_job
        self._is_active = False
        self._scope = None
        self._task_group = None
        self._next_scan_seconds = 0.0
        self._drain_seconds = None
        self._moving_job_ids = set()

    @property
    def summary(self):
        """Capacity summary for other instances, or None while not active."""
        return capacity_summary(self.scheduler) if self._is_active else None

    async def run(self):
        """Handle events and take decisions until cancelled."""
        while True:
            if not self.membership.is_placer():
                request = await self.mailbox.receive(
                    timeout_seconds=DECISION_INTERVAL_SECONDS
                )
                if request is not None:
                    self._handle_inactive(request)
                continue
            await self._run_active()

    async def _run_active(self):
        """Act as placer until another instance does."""
        self.jobs = {}
        self.scheduler = self._new_scheduler()
        self._drain_seconds = None
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self.watch = WorkerWatch(placer=self, task_group=task_group)
            await rebuild(self)
            self._is_active = True
            logger.info("acting as placer of {}", self.settings.data_centre)
            while self.membership.is_placer():
                request = await self.mailbox.receive(
                    timeout_seconds=DECISION_INTERVAL_SECONDS
                )
                while request is not None:
                    self._handle(request)
                    request = self.mailbox.receive_nowait()
                self._advance()
            logger.info("no longer placer of {}", self.settings.data_centre)
            self._is_active = False
            await self._hand_over()
            task_group.cancel_scope.cancel()

    def open_job(self, job_id, spec, *, row_version, token):
        """Hold a job; return its `OpenJob`."""
        job = OpenJob(
            job_id=job_id,
            spec=spec,
            queued_seconds=time.monotonic(),
            row_version=row_version,
            token=token,
        )
        self.jobs[job_id] = job
        return job

    def queue_job(self, job):
        """Put a held job into the queue; a refusal makes it final."""
        job.status = "queued"
        job.run = None
        queued = QueuedJob(
            job_id=job.job_id,
            spec=job.spec,
            queued_seconds=job.queued_seconds,
            attempt=job.token,
        )
        return add_job(self.scheduler, queued, now_seconds=time.monotonic())

    def attach_run(self, job, run):
        """Start the task of an attempt, new or adopted."""
        job.run = run
        job.token = run.key.token
        self.watch.add_run(run)
        self._task_group.start_soon(self._run_attempt, job, run)

    def _new_scheduler(self):
        return Scheduler(
            data_centre=self.settings.data_centre,
            queue_limit_count=self.settings.queue_limit_count,
        )

    def _advance(self):
        now_seconds = time.monotonic()
        if self.scheduler.configuration is not self.configuration.current:
            set_configuration(self.scheduler, self.configuration.current)
        self.watch.update_workers()
        if now_seconds >= self._next_scan_seconds:
            self._next_scan_seconds = now_seconds + SCAN_INTERVAL_SECONDS
            self._task_group.start_soon(self._scan_table)
            self._drop_old_answers(now_seconds)
        if self.settings.data_centre in self.configuration.data_centres_out():
            self._drain(now_seconds)
            return
        self._drain_seconds = None
        for decision in decide(self.scheduler, now_seconds=now_seconds):
            if isinstance(decision, StartGang):
                self._begin_attempt(decision)
            elif isinstance(decision, ReclaimGang):
                self._reclaim(decision)

    def _begin_attempt(self, decision):
        gang = decision.gang
        job = self.jobs[gang.job.job_id]
        job.status = "starting"
        key = GangKey(job_id=job.job_id, token=job.token + 1, holder=str(uuid.uuid4()))
        run = GangRun(
            gang=gang,
            key=key,
            members=make_members(gang, self.scheduler.workers),
        )
        log_decision(
            "placement",
            choice=sorted(run.members),
            reason=decision.reason,
            runners_up=decision.runners_up,
            job_id=job.job_id,
            organisation=job.spec.organisation,
            token=key.token,
            holder=key.holder,
            is_guaranteed=gang.is_guaranteed,
        )
        self.attach_run(job, run)

    def _reclaim(self, decision):
        job = self.jobs.get(decision.job_id)
        log_decision(
            "reclaim",
            choice=decision.job_id,
            reason=decision.reason,
            for_job_id=decision.for_job_id,
        )
        if job is not None and job.run is not None:
            job.run.request_stop(
                f"reclaimed: {decision.reason}", is_checkpoint_wanted=True
            )

    # Attempts

    async def _run_attempt(self, job, run):
        try:
            ended = await self._execute_attempt(job, run)
        finally:
            self.watch.remove_run(run)
        self.mailbox.post(ended)

    async def _execute_attempt(self, job, run):
        """Take an attempt from reservation to its end; return the event."""
        if not run.started_seconds and not run.stop_reason:
            failure = await self._start_attempt(job, run)
            if failure is not None:
                return failure
        while not run.stop_reason:
            progress = gang_progress(run, now_seconds=time.monotonic())
            if progress == "finished":
                return await self._finish_attempt(job, run)
            if progress != "running":
                failed_ids = _failed_worker_ids(run)
                run.request_stop(f"gang {progress}")
                return await self._stop_attempt(job, run, failed_ids, progress)
            changed = run.changed
            with anyio.move_on_after(self.settings.lease_margin_seconds):
                await changed.wait()
        return await self._stop_attempt(job, run, (), "stopped")

    async def _start_attempt(self, job, run):
        """Reserve, claim and start; return an event if the attempt ended."""
        outcomes = await self.gang_calls.reserve(run, row_version=job.row_version)
        refusing_ids = _not_done(outcomes)
        if refusing_ids or run.stop_reason:
            await self.gang_calls.stop(run)
            reason = f"not reserved at {', '.join(refusing_ids) or 'any'}"
            return GangEnded(
                run=run, reason=reason, failed_worker_ids=tuple(refusing_ids)
            )
        refusal = await self._claim(job, run)
        if refusal or not self.gang_calls.has_start_time(run):
            await self.gang_calls.stop(run)
            return GangEnded(run=run, reason=refusal or "leases about to lapse")
        refusal = self._start_refusal(run)
        if refusal:
            await self.gang_calls.stop(run)
            return GangEnded(run=run, reason=refusal)
        run.started_seconds = time.monotonic()
        outcomes = await self.gang_calls.start(run)
        failed_ids = _not_done(outcomes)
        if failed_ids:
            reason = f"not started at {', '.join(failed_ids)}"
            run.request_stop(reason)
            return await self._stop_attempt(job, run, tuple(failed_ids), reason)
        job.status = "running"
        self.watch.poll_soon(run)
        self.metrics.timing(
            f"start.{job.spec.urgency}",
            1000.0 * (time.monotonic() - job.queued_seconds),
        )
        return None

    def _start_refusal(self, run):
        """Return why this data centre may not start the gang now, or ''."""
        if self.settings.data_centre in self.configuration.data_centres_out():
            return "data centre is out of service"
        if not self.membership.is_placer():
            return "not the placer any more"
        if self.configuration.is_isolated():
            spec = run.gang.job.spec
            is_allowed = spec.is_repeatable and (
                run.gang.is_guaranteed or spec.urgency == Urgency.URGENT
            )
            if self.settings.isolated_start_policy == "stop" or not is_allowed:
                return "data centre is isolated"
        return ""

    async def _claim(self, job, run):
        """Record the attempt in the job row; return a reason if it may not start."""
        if job.spec.is_repeatable and self.configuration.is_table_silent():
            return ""
        row = self._make_row(job, phase=Phase.CLAIMED, run=run, reason="")
        outcome = await self.job_table.write(row, expected_version=job.row_version)
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            return await self._resolve_claim_conflict(job, row, outcome.detail)
        if isinstance(outcome, Done):
            job.row_version = outcome.value.version
            return ""
        if job.spec.is_repeatable:
            # Without the table, the workers' records alone guard against a second
            # attempt; nobody but this data centre may start a row assigned to it.
            return ""
        return f"claim not recorded: {outcome.message}"

    async def _resolve_claim_conflict(self, job, row, current):
        if current is None:
            return "the job row disappeared"
        if current.row.phase in FINAL_PHASES:
            self._finish_from_row(current)
            return "the job is final already"
        is_open_here = (
            current.row.phase == Phase.QUEUED
            and current.row.data_centre == self.settings.data_centre
            and current.row.attempt < row.attempt
        )
        if not is_open_here:
            return "the job is claimed or moved elsewhere"
        outcome = await self.job_table.write(row, expected_version=current.version)
        if isinstance(outcome, Done):
            job.row_version = outcome.value.version
            return ""
        return "the job row changed again"

    async def _finish_attempt(self, job, run):
        outcome = await self.gang_calls.collect_results(run)
        if not isinstance(outcome, Done):
            run.request_stop(f"results not read: {outcome.message}")
            return await self._stop_attempt(
                job, run, tuple(run.members), "results not read"
            )
        row = self._make_row(
            job, phase=Phase.DONE, run=run, reason="", results=outcome.value
        )
        answer, is_written = await self._record_final(job, row)
        if is_written:
            await self.gang_calls.forget(run)
        else:
            self._task_group.start_soon(self._record_later, job, row, run)
        return JobEnded(job_id=job.job_id, answer=answer, succeeded=True)

    async def _stop_attempt(self, job, run, failed_worker_ids, progress):
        """Stop every member, then decide between a new attempt and an outcome."""
        if run.is_checkpoint_wanted:
            run.is_checkpointed = await self.gang_calls.checkpoint(run)
        await self.gang_calls.stop(run)
        may_rerun = (
            job.spec.is_repeatable
            or not run.may_have_run
            or (job.spec.is_checkpointable and run.is_checkpointed)
        )
        if may_rerun and not job.is_cancelled:
            return GangEnded(
                run=run,
                reason=run.stop_reason or progress,
                failed_worker_ids=failed_worker_ids,
            )
        if job.is_cancelled:
            phase = Phase.UNKNOWN if run.may_have_run else Phase.CANCELLED
            reason = "cancelled"
        elif progress == "failed":
            phase, reason = Phase.FAILED, "a task reported an error"
        else:
            phase, reason = Phase.UNKNOWN, run.stop_reason
        row = self._make_row(job, phase=phase, run=run, reason=reason)
        answer, is_written = await self._record_final(job, row)
        if not is_written:
            self._task_group.start_soon(self._record_later, job, row, run)
        return JobEnded(
            job_id=job.job_id, answer=answer, failed_worker_ids=failed_worker_ids
        )

    async def _record_final(self, job, row):
        """Write a final row.

        Returns
        -------
        answer : JobAnswer
            Taken from the row that stands, if another one was final first.
        is_written : bool
        """
        outcome = await self.job_table.finish(row, expected_version=job.row_version)
        if isinstance(outcome, Done):
            job.row_version = outcome.value.version
            return make_answer(row, is_recorded=True), True
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            current = outcome.detail
            if current is not None and current.row.phase in FINAL_PHASES:
                results = await self.job_table.read_results(current.row)
                if isinstance(results, Done):
                    standing = attrs.evolve(current.row, results=results.value)
                    return make_answer(standing, is_recorded=True), True
        return make_answer(row, is_recorded=False), False

    async def _record_later(self, job, row, run):
        """Repeat the write of a final row until the table takes it."""
        delay_seconds = 1.0
        while True:
            await anyio.sleep(delay_seconds)
            _, is_written = await self._record_final(job, row)
            if is_written:
                await self.gang_calls.forget(run)
                return
            delay_seconds = min(2 * delay_seconds, 10.0)

    def _make_row(self, job, *, phase, run, reason, results=()):
        return JobRow(
            job_id=job.job_id,
            spec=job.spec,
            phase=phase,
            data_centre=self.settings.data_centre,
            attempt=run.key.token if run is not None else job.token,
            owner_id=run.key.holder if run is not None else "",
            worker_ids=tuple(run.gang.worker_ids) if run is not None else (),
            reason=reason,
            results=results,
        )

    # Events and requests

    def _handle(self, request):
        message = request.message
        if isinstance(message, SubmitJob):
            request.reply(self._submit(message))
        elif isinstance(message, AwaitJob):
            self._task_group.start_soon(self._await_job, message, request)
        elif isinstance(message, CancelJob):
            self._task_group.start_soon(self._cancel_job, message, request)
        elif isinstance(message, DescribeDataCentre):
            request.reply(self._describe())
        elif isinstance(message, GangEnded):
            self._end_gang(message)
        elif isinstance(message, JobEnded):
            self._end_job(message)

    def _handle_inactive(self, request):
        message = request.message
        if isinstance(message, SubmitJob):
            request.reply(SubmitAnswer(is_accepted=False, code="not_placer"))
        elif isinstance(message, AwaitJob | CancelJob):
            request.reply(JobAnswer(is_known=False))
        else:
            request.reply(None)

    def _submit(self, message):
        job = self.jobs.get(message.job_id)
        if job is not None:
            return SubmitAnswer(is_accepted=True)
        if self.settings.data_centre in self.configuration.data_centres_out():
            return SubmitAnswer(is_accepted=False, code="data_centre_out")
        set_configuration(self.scheduler, self.configuration.current)
        job = self.open_job(
            message.job_id,
            message.spec,
            row_version=message.row_version,
            token=message.attempt,
        )
        refusal = self.queue_job(job)
        if refusal is not None:
            del self.jobs[message.job_id]
            return SubmitAnswer(
                is_accepted=False,
                code=refusal.code,
                message=refusal.message,
                retry_after_seconds=refusal.retry_after_seconds,
            )
        return SubmitAnswer(is_accepted=True)

    async def _await_job(self, message, request):
        job = self.jobs.get(message.job_id)
        if job is None:
            request.reply(JobAnswer(is_known=False))
            return
        with anyio.move_on_after(message.wait_seconds):
            await job.final.wait()
        request.reply(job.answer or self._pending_answer(job))

    def _pending_answer(self, job):
        phase = Phase.QUEUED if job.status == "queued" else Phase.CLAIMED
        return JobAnswer(
            is_known=True,
            job_id=job.job_id,
            phase=phase,
            attempt=job.token,
            reason=waiting_reason(self.scheduler, job.job_id) or job.status,
            is_recorded=job.row_version > 0,
        )

    async def _cancel_job(self, message, request):
        job = self.jobs.get(message.job_id)
        if job is None:
            request.reply(JobAnswer(is_known=False))
            return
        job.is_cancelled = True
        if job.run is not None:
            job.run.request_stop("cancelled")
        elif remove_job(self.scheduler, job.job_id) is not None:
            row = self._make_row(
                job, phase=Phase.CANCELLED, run=None, reason="cancelled"
            )
            await self._finish_waiting(job, row)
        await job.final.wait()
        request.reply(job.answer)

    async def _finish_waiting(self, job, row):
        """Make a job that waits final; it holds no worker."""
        job.status = "ending"
        answer, is_written = await self._record_final(job, row)
        if not is_written:
            run = GangRun(gang=None, key=None, members={})
            self._task_group.start_soon(self._record_later, job, row, run)
        self._end_job(JobEnded(job_id=job.job_id, answer=answer))

    def _end_gang(self, event):
        """Queue the job of an ended attempt again, with its age kept."""
        job = self.jobs.get(event.run.job_id)
        gang_ended(
            self.scheduler,
            event.run.job_id,
            now_seconds=time.monotonic(),
            failed_worker_ids=event.failed_worker_ids,
        )
        if job is None or job.answer is not None:
            return
        logger.bind(
            job_id=job.job_id, token=event.run.key.token, reason=event.reason
        ).info("attempt ended without an outcome")
        if job.is_cancelled:
            job.run = None
            row = self._make_row(
                job, phase=Phase.CANCELLED, run=None, reason="cancelled"
            )
            self._task_group.start_soon(self._finish_waiting, job, row)
            return
        refusal = self.queue_job(job)
        if refusal is not None:
            phase = Phase.UNKNOWN if event.run.may_have_run else Phase.REFUSED
            reason = f"{refusal.code}: {refusal.message}"
            row = self._make_row(job, phase=phase, run=None, reason=reason)
            self._task_group.start_soon(self._finish_waiting, job, row)

    def _end_job(self, event):
        job = self.jobs[event.job_id]
        gang_ended(
            self.scheduler,
            event.job_id,
            now_seconds=time.monotonic(),
            failed_worker_ids=event.failed_worker_ids,
            succeeded=event.succeeded,
        )
        job.status = "final"
        job.run = None
        job.answer = event.answer
        job.final_seconds = time.monotonic()
        job.final.set()
        self.metrics.incr(f"job.{event.answer.phase}")

    def _finish_from_row(self, current):
        job = self.jobs[current.row.job_id]
        if job.answer is None and not current.row.results_key:
            answer = make_answer(current.row, is_recorded=True)
            self.mailbox.post(JobEnded(job_id=job.job_id, answer=answer))

    def _drop_old_answers(self, now_seconds):
        for job_id, job in list(self.jobs.items()):
            is_old = job.final_seconds < now_seconds - FINAL_KEPT_SECONDS
            if job.answer is not None and is_old:
                del self.jobs[job_id]

    async def _scan_table(self):
        """Take in open rows of this data centre that nobody announced."""
        outcome = await self.job_table.list_open(
            self.settings.data_centre, known_job_ids=frozenset(self.jobs)
        )
        if not isinstance(outcome, Done):
            logger.debug("open jobs not listed: {}", outcome)
            return
        for current in outcome.value:
            if current.row.job_id in self.jobs:
                continue
            if current.row.phase == Phase.CLAIMED:
                await resolve_claimed(self, current, {})
            else:
                self.take_in_row(current)

    def take_in_row(self, current):
        """Queue the job of a row that waits."""
        job = self.open_job(
            current.row.job_id,
            current.row.spec,
            row_version=current.version,
            token=current.row.attempt,
        )
        refusal = self.queue_job(job)
        if refusal is not None:
            reason = f"{refusal.code}: {refusal.message}"
            row = self._make_row(job, phase=Phase.REFUSED, run=None, reason=reason)
            self._task_group.start_soon(self._finish_waiting, job, row)

    # A data centre that leaves, and a placer that does

    def _drain(self, now_seconds):
        """Move waiting jobs away; after the drain time running ones too."""
        if self._drain_seconds is None:
            self._drain_seconds = now_seconds + self.settings.drain_timeout_seconds
        for job in list(self.jobs.values()):
            if job.answer is not None or job.job_id in self._moving_job_ids:
                continue
            if job.status == "queued":
                self._moving_job_ids.add(job.job_id)
                self._task_group.start_soon(self._move_away, job)
                continue
            is_due = now_seconds >= self._drain_seconds
            if job.run is not None and is_due and job.spec.is_repeatable:
                job.run.request_stop(
                    "data centre is out of service", is_checkpoint_wanted=True
                )

    async def _move_away(self, job):
        try:
            if remove_job(self.scheduler, job.job_id) is None:
                return
            is_moved = await self._move_job(job)
            if is_moved:
                self.jobs.pop(job.job_id, None)
                job.final.set()
            else:
                self.queue_job(job)
        finally:
            self._moving_job_ids.discard(job.job_id)

    async def _hand_over(self):
        """Pass the waiting jobs held in memory only to the new placer."""
        placer = self.membership.placer_of(self.settings.data_centre)
        for job in self.jobs.values():
            if placer is not None and not job.row_version and job.status == "queued":
                message = SubmitJob(
                    job_id=job.job_id, spec=job.spec, row_version=0, attempt=job.token
                )
                await self.membership.call(
                    placer,
                    message,
                    timeout_seconds=self.settings.peer_call_timeout_seconds,
                )
            # Fronts that wait here ask the new placer instead.
            if job.answer is None:
                job.answer = JobAnswer(is_known=False)
            job.final.set()
        await anyio.sleep(0)

    def _describe(self):
        tasks_counts = {}
        accelerators_counts = {}
        for gang in self.scheduler.gangs.values():
            for worker_id in gang.worker_ids:
                tasks_counts[worker_id] = tasks_counts.get(worker_id, 0) + 1
                accelerators_counts[worker_id] = (
                    accelerators_counts.get(worker_id, 0)
                    + gang.job.spec.shape.accelerators_count
                )
        workers = tuple(
            WorkerDescription(
                worker_id=worker.worker_id,
                rack=worker.rack,
                is_leaving=worker.is_leaving,
                accelerators_count=worker.capacity.accelerators_count,
                free_accelerators_count=worker.capacity.accelerators_count
                - accelerators_counts.get(worker.worker_id, 0),
                tasks_count=tasks_counts.get(worker.worker_id, 0),
            )
            for worker in self.scheduler.workers.values()
        )
        jobs = tuple(
            self._describe_job(job) for job in self.jobs.values() if not job.answer
        )
        return DataCentreDescription(
            data_centre=self.settings.data_centre,
            placer_id=self.settings.instance_id,
            workers=workers,
            jobs=jobs,
        )

    def _describe_job(self, job):
        gang = self.scheduler.gangs.get(job.job_id)
        return JobDescription(
            job_id=job.job_id,
            organisation=job.spec.organisation,
            urgency=job.spec.urgency,
            status=job.status,
            attempt=job.token,
            tasks_count=job.spec.tasks_count,
            accelerators_count=job.spec.tasks_count * job.spec.shape.accelerators_count,
            is_guaranteed=gang is not None and gang.is_guaranteed,
            reason=waiting_reason(self.scheduler, job.job_id),
        )


def make_answer(row, *, is_recorded):
    """Return the answer to callers for a final row."""
    return JobAnswer(
        is_known=True,
        job_id=row.job_id,
        phase=row.phase,
        attempt=row.attempt,
        reason=row.reason,
        results=row.results,
        is_recorded=is_recorded,
    )


def _not_done(outcomes):
    return sorted(
        worker_id
        for worker_id, outcome in outcomes.items()
        if not isinstance(outcome, Done)
    )


def _failed_worker_ids(run):
    return tuple(
        member.worker_id
        for member in run.members.values()
        if member.phase not in ("running", "finished")
        or any(task.state == "failed" for task in member.tasks.values())
    )
