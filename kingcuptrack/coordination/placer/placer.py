"""Placer: the task that owns the queue and the gangs of one data centre.

Every instance runs one; it is active while the membership names its instance as the
placer. Two active placers at once are safe: workers and the table reject the later of
two conflicting requests.
"""

import time
import uuid

import anyio
from loguru import logger

from ...logs import log_decision
from ...outcomes import Done
from ...protocol.messages import (
    AwaitJob,
    CancelJob,
    DescribeDataCentre,
    JobAnswer,
    SubmitAnswer,
    SubmitJob,
)
from ...state.placer.health import Health
from ...state.placer.jobs import Phase, spec_digest
from ...state.placer.scheduling import (
    PlacerState,
    QueuedJob,
    ReclaimGang,
    StartGang,
    add_job,
    capacity_summary,
    decide,
    failure_verdict,
    forget_job,
    gang_ended,
    never_fitting_jobs,
    remove_job,
    set_configuration,
    set_data_centres,
    set_remote_use,
    waiting_reason,
)
from ...transport.workers import GangKey
from .attempts import finish_waiting_job, not_run_phase, run_attempt
from .descriptions import describe_data_centre
from .gangs import GangRun, make_members
from .gauges import send_gauges
from .handover import hand_over, release_waiters, unclaimed_submissions
from .moves import Moves, drain, rebalance
from .open_jobs import GangEnded, JobDropped, JobEnded, OpenJob
from .takeover import rebuild, resolve_claimed, resolve_handed_over
from .watchers import WorkerWatch

# Longest time between two decisions when no message arrives.
DECISION_INTERVAL_SECONDS = 0.25

# Longest period of the scans for open rows that no message announced to the placer.
SCAN_INTERVAL_SECONDS = 5.0

# Share of the remaining time of an unrenewed lease that may pass until a scan finds its
# gang; the rest is left for reading the workers' state and for the first renewal.
SCAN_LEASE_FRACTION = 0.8

# Time for which final answers stay in memory, for callers that poll.
FINAL_ANSWER_RETENTION_SECONDS = 60.0

# Delay before a job is queued again whose start this data centre refused.
REFUSED_START_DELAY_SECONDS = 0.5


def scan_interval_seconds(settings):
    """Return the period of scans that finds gangs before their leases lapse.

    Their last renewal may have come from a placer that this instance does not have in
    its membership, so that its failure starts no takeover.
    """
    remaining_seconds = (
        settings.lease_seconds
        - settings.renewal_interval_seconds
        - settings.lease_margin_seconds
    )
    return min(SCAN_INTERVAL_SECONDS, SCAN_LEASE_FRACTION * remaining_seconds)


class Placer:
    """State and task of the placer; other tasks send it messages through its mailbox.

    Parameters
    ----------
    context : PlacerContext
    router : Router
        Moves waiting jobs to other data centres.
    decide : callable
        Placement policy with the signature of `scheduling.decide`.
    """

    def __init__(self, *, context, router, decide=decide):
        self.context = context
        self.jobs = {}
        self.scheduler = self._make_scheduler()
        self.watch = None
        self.summary = None
        self._router = router
        self._decide_placements = decide
        self._task_group = None
        self._next_scan_seconds = 0.0
        self._next_refresh_seconds = 0.0
        self._moves = None
        self._kept_submissions = []

    async def run(self):
        """Handle messages and take decisions until cancelled."""
        while True:
            if self.context.membership.is_placer():
                await self._run_active()
                continue
            request = await self.context.mailbox.receive(
                timeout_seconds=DECISION_INTERVAL_SECONDS
            )
            if request is not None:
                self._handle_inactive(request)

    async def _run_active(self):
        """Act as the placer until the membership names another instance."""
        context = self.context
        self.jobs = {}
        self.scheduler = self._make_scheduler()
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            self._moves = Moves(placer=self, router=self._router, task_group=task_group)
            self.watch = WorkerWatch(
                context=context, scheduler=self.scheduler, task_group=task_group
            )
            await rebuild(self)
            self._refuse_unknown_organisations()
            for submission in self._kept_submissions:
                self._submit(submission)
            self._kept_submissions = []
            logger.info("acting as placer of {}", context.data_centre)
            last_iteration_seconds = time.monotonic()
            while context.membership.is_placer():
                if (
                    time.monotonic() - last_iteration_seconds
                    > context.settings.peer_timeout_seconds
                ):
                    # After a silence of peer_timeout_seconds another instance may
                    # have become the placer and started gangs.
                    logger.info("rebuilding after a stall beyond the peer timeout")
                    self._kept_submissions = unclaimed_submissions(self.jobs.values())
                    for job in self.jobs.values():
                        release_waiters(job)
                    break
                last_iteration_seconds = time.monotonic()
                self._advance()
                request = await context.mailbox.receive(
                    timeout_seconds=DECISION_INTERVAL_SECONDS
                )
                while request is not None:
                    self._handle(request)
                    request = context.mailbox.receive_nowait()
            else:
                logger.info("no longer placer of {}", context.data_centre)
                self.summary = None
                await hand_over(context, self.watch, list(self.jobs.values()))
            task_group.cancel_scope.cancel()

    def _make_scheduler(self):
        settings = self.context.settings
        return PlacerState(
            data_centre=settings.data_centre,
            queue_limit_count=settings.queue_limit_count,
            health=Health(probe_delay_seconds=settings.worker_probe_delay_seconds),
        )

    def _advance(self):
        """Apply the configuration and the worker list, then take decisions."""
        now_seconds = time.monotonic()
        self._apply_configuration()
        if now_seconds >= self._next_refresh_seconds:
            self._next_refresh_seconds = now_seconds + DECISION_INTERVAL_SECONDS
            self._refresh_scheduler_inputs()
        if now_seconds >= self._next_scan_seconds:
            self._next_scan_seconds = now_seconds + scan_interval_seconds(
                self.context.settings
            )
            self._task_group.start_soon(self._scan_table)
            self._remove_expired_answers(now_seconds)
            send_gauges(self.context.metrics, self.scheduler, self.summary)
        if self.context.is_out_of_service():
            drain(self._moves, now_seconds=now_seconds)
        else:
            self._decide(now_seconds)
            rebalance(self._moves, now_seconds=now_seconds)

    def _refresh_scheduler_inputs(self):
        """Update workers, remote use and the summary; too costly for every event."""
        membership = self.context.membership
        set_data_centres(self.scheduler, membership.all_data_centres())
        set_remote_use(self.scheduler, self._remote_use())
        self.watch.update_workers()
        self.summary = capacity_summary(self.scheduler)

    def _remote_use(self):
        """Return the accelerators that organisations use in other data centres."""
        membership = self.context.membership
        counts = {}
        for name in membership.known_data_centres - {self.context.data_centre}:
            placer = membership.placer_of(name)
            if placer is None or placer.summary is None:
                continue
            used = placer.summary.used_accelerators_count_by_organisation
            for organisation, count in used.items():
                counts[organisation] = counts.get(organisation, 0) + count
        return counts

    def _decide(self, now_seconds):
        is_isolated = self.context.configuration.is_isolated()
        if is_isolated and self.context.settings.isolated_start_policy == "stop":
            return
        decisions = self._decide_placements(
            self.scheduler, now_seconds=now_seconds, is_isolated=is_isolated
        )
        for decision in decisions:
            if isinstance(decision, StartGang):
                self._begin_attempt(decision)
            elif isinstance(decision, ReclaimGang):
                self._reclaim(decision)

    def _begin_attempt(self, decision):
        gang = decision.gang
        job = self.jobs[gang.job.job_id]
        job.status = "starting"
        key = GangKey(job_id=job.job_id, token=job.token + 1, holder=str(uuid.uuid4()))
        members = make_members(gang, self.scheduler.workers)
        log_decision(
            "placement",
            choice=sorted(members),
            reason=decision.reason,
            runners_up=decision.runners_up,
            job_id=job.job_id,
            organisation=job.spec.organisation,
            token=key.token,
            holder=key.holder,
            is_guaranteed=gang.is_guaranteed,
        )
        self.attach_run(job, GangRun(gang=gang, key=key, members=members))

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

    def open_job(self, job_id, spec, *, row_version, token, waited_seconds=0.0):
        """Add a job to the jobs of this placer; return its `OpenJob`."""
        now_seconds = time.monotonic()
        job = OpenJob(
            job_id=job_id,
            spec=spec,
            queued_seconds=now_seconds - waited_seconds,
            received_seconds=now_seconds,
            row_version=row_version,
            token=token,
            # A job that is neither repeatable nor checkpointable is queued again only
            # if none of its attempts ran.
            may_have_run=token > 0 and (spec.is_repeatable or spec.is_checkpointable),
        )
        self.jobs[job_id] = job
        return job

    def queue_job(self, job, *, is_requeue=False):
        """Queue a job; return the refusal if the scheduler does not accept it.

        A job that is queued again keeps its position and is never refused.
        """
        job.status = "queued"
        job.run = None
        queued = QueuedJob(
            job_id=job.job_id,
            spec=job.spec,
            queued_seconds=job.queued_seconds,
            attempt=job.token,
        )
        return add_job(
            self.scheduler,
            queued,
            now_seconds=time.monotonic(),
            is_requeue=is_requeue,
        )

    def queue_or_refuse(self, job):
        """Queue a job found in the table; a refusal becomes its outcome."""
        # A job with an earlier attempt passed the admission check before.
        refusal = self.queue_job(job, is_requeue=job.token > 0)
        if refusal is not None:
            reason = f"{refusal.code}: {refusal.message}"
            self.end_waiting_job(job, not_run_phase(job, Phase.REFUSED), reason)

    def queue_row(self, current):
        """Queue the job of a row that is not claimed."""
        job = self.open_job(
            current.row.job_id,
            current.row.spec,
            row_version=current.version,
            token=current.row.attempt,
        )
        self.queue_or_refuse(job)

    def adopt_run(self, job, run):
        """Attach the attempt of another placer and renew its leases at once.

        Workers without attempts of this placer are polled only once every
        ``worker_poll_interval_seconds``; the leases may lapse before that.
        """
        self.attach_run(job, run)
        self.watch.reschedule_polls(run)

    def attach_run(self, job, run):
        """Start the task that runs an attempt, new or adopted."""
        job.run = run
        job.token = run.key.token
        self.watch.add_run(run)
        self._task_group.start_soon(run_attempt, self.context, self.watch, job, run)

    def end_waiting_job(self, job, phase, reason):
        """Start recording the outcome of a job that holds no worker."""
        job.status = "ending"

        async def finish():
            await finish_waiting_job(self.context, job, phase=phase, reason=reason)

        self._task_group.start_soon(finish)

    async def _scan_table(self):
        """Add the jobs of open rows that this placer does not hold yet."""
        outcome = await self.context.job_table.list_open(
            self.context.data_centre, known_job_ids=frozenset(self.jobs)
        )
        if not isinstance(outcome, Done):
            logger.debug("scan could not list the open jobs: {}", outcome)
            return
        for current in outcome.value:
            if current.row.job_id in self.jobs:
                continue
            if current.row.phase == Phase.CLAIMED:
                await resolve_claimed(self, current)
            else:
                self.queue_row(current)

    def _apply_configuration(self):
        """Give the scheduler the newest configuration."""
        configuration = self.context.configuration.current
        if self.scheduler.configuration is not configuration:
            set_configuration(self.scheduler, configuration)
            self._refuse_unknown_organisations()

    def _refuse_unknown_organisations(self):
        """Refuse waiting jobs whose organisation is no longer configured."""
        for queued, refusal in never_fitting_jobs(self.scheduler):
            job = self.jobs.get(queued.job_id)
            if refusal.code != "unknown_organisation" or job is None:
                continue
            remove_job(self.scheduler, queued.job_id)
            phase = not_run_phase(job, Phase.REFUSED)
            self.end_waiting_job(job, phase, refusal.message)

    def _remove_expired_answers(self, now_seconds):
        for job_id, job in list(self.jobs.items()):
            is_expired = (
                job.final_seconds < now_seconds - FINAL_ANSWER_RETENTION_SECONDS
            )
            # Until the row is final, a scan would find it and open the job again.
            if job.answer is not None and job.answer.is_recorded and is_expired:
                del self.jobs[job_id]

    def _handle(self, request):
        message = request.message
        if isinstance(message, SubmitJob):
            request.reply(self._submit(message))
        elif isinstance(message, AwaitJob):
            self._task_group.start_soon(self._await_job, message, request)
        elif isinstance(message, CancelJob):
            self._task_group.start_soon(self._cancel_job, message, request)
        elif isinstance(message, DescribeDataCentre):
            request.reply(
                describe_data_centre(
                    self.scheduler,
                    self.jobs.values(),
                    placer_id=self.context.settings.instance_id,
                )
            )
        elif isinstance(message, GangEnded):
            self._end_gang(message)
        elif isinstance(message, JobEnded):
            self._end_job(message)
        elif isinstance(message, JobDropped):
            self._drop_job(message)

    def _handle_inactive(self, request):
        message = request.message
        if isinstance(message, SubmitJob):
            request.reply(SubmitAnswer(is_accepted=False, code="not_placer"))
        elif isinstance(message, AwaitJob | CancelJob):
            request.reply(JobAnswer(is_known=False))
        else:
            request.reply(None)

    def _submit(self, message):
        known = self.jobs.get(message.job_id)
        if known is not None and spec_digest(known.spec) != spec_digest(message.spec):
            return SubmitAnswer(
                is_accepted=False,
                code="key_conflict",
                message="the idempotency key belongs to a job with another body",
            )
        if known is not None:
            return SubmitAnswer(is_accepted=True)
        if self.context.is_out_of_service():
            return SubmitAnswer(is_accepted=False, code="data_centre_out")
        self._apply_configuration()
        if message.attempt:
            # Workers may still run an attempt that is not recorded in the job's row.
            self._task_group.start_soon(resolve_handed_over, self, message)
            return SubmitAnswer(is_accepted=True)
        job = self.open_job(
            message.job_id,
            message.spec,
            row_version=message.row_version,
            token=message.attempt,
            waited_seconds=message.waited_seconds,
        )
        job.may_have_row = message.may_have_row
        refusal = self.queue_job(job)
        if refusal is not None:
            log_decision(
                "admission",
                choice=None,
                reason=f"{refusal.code}: {refusal.message}",
                job_id=message.job_id,
                organisation=message.spec.organisation,
            )
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
            self.end_waiting_job(job, not_run_phase(job, Phase.CANCELLED), "cancelled")
        await job.final.wait()
        request.reply(job.answer)

    def _end_gang(self, event):
        """Queue the job of an ended attempt again, with its queuing time kept."""
        job = self.jobs.get(event.run.job_id)
        gang_ended(
            self.scheduler,
            event.run.job_id,
            now_seconds=time.monotonic(),
            failed_worker_ids=event.failed_worker_ids,
            refused_worker_ids=event.refused_worker_ids,
            tasks_failed=event.is_task_failed,
        )
        if job is None or job.answer is not None:
            return
        logger.bind(
            job_id=job.job_id, token=event.run.key.token, reason=event.reason
        ).info("attempt ended without an outcome")
        job.run = None
        verdict = failure_verdict(self.scheduler, job.job_id)
        if job.is_cancelled:
            self.end_waiting_job(job, not_run_phase(job, Phase.CANCELLED), "cancelled")
        elif verdict:
            self.end_waiting_job(job, Phase.FAILED, verdict)
        elif event.is_refused_by_data_centre:
            job.status = "delayed"
            self._task_group.start_soon(self._queue_after_delay, job)
        else:
            self.queue_job(job, is_requeue=True)

    async def _queue_after_delay(self, job):
        """Queue a job again after a delay, so that refused starts make no busy loop."""
        await anyio.sleep(REFUSED_START_DELAY_SECONDS)
        if job.is_cancelled:
            self.end_waiting_job(job, not_run_phase(job, Phase.CANCELLED), "cancelled")
        else:
            self.queue_job(job, is_requeue=True)

    def _drop_job(self, event):
        """Stop managing a job; the next scan reads its current row."""
        gang_ended(self.scheduler, event.job_id, now_seconds=time.monotonic())
        forget_job(self.scheduler, event.job_id)
        job = self.jobs.get(event.job_id)
        if job is None or job.answer is not None:
            return
        logger.bind(job_id=job.job_id, reason=event.reason).info("job dropped")
        del self.jobs[job.job_id]
        release_waiters(job)
        self._next_scan_seconds = 0.0

    def _end_job(self, event):
        gang_ended(
            self.scheduler,
            event.job_id,
            now_seconds=time.monotonic(),
            failed_worker_ids=event.failed_worker_ids,
            succeeded=event.succeeded,
            tasks_failed=event.is_task_failed,
        )
        forget_job(self.scheduler, event.job_id)
        job = self.jobs.get(event.job_id)
        if job is None or job.answer is not None:
            if job is not None and event.answer.is_recorded:
                job.answer = event.answer
            return
        job.status = "final"
        job.run = None
        job.answer = event.answer
        job.final_seconds = time.monotonic()
        job.final.set()
        self.context.metrics.incr(f"job.{event.answer.phase}")
