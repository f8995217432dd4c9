"""Moves of waiting jobs to other data centres, for a drain or for free capacity."""

import itertools

import anyio
import attrs

from ...logs import log_decision
from ...state.placer.jobs import Phase
from ...state.placer.scheduling import exceeds_quota, remove_job, waiting_reason
from .attempts import not_run_phase
from .handover import release_waiters

# A job that waited here for this time is moved to a data centre with free capacity. At
# most one job is moved per interval: capacity summaries arrive late, and a data centre
# that returns to service must not receive more jobs than it can start.
REBALANCE_WAIT_SECONDS = 2.0
REBALANCE_INTERVAL_SECONDS = 1.0
# Waiting jobs examined in one interval, in the order in which they came to this placer.
REBALANCE_JOBS_COUNT = 16

# Delay after a failed move before the job may be moved again.
MOVE_RETRY_SECONDS = 1.0


@attrs.define(kw_only=True)
class Moves:
    """State of the moves out of one data centre.

    ``drain_end_seconds`` is the time at which running repeatable work is stopped; None
    while the data centre is in service.
    """

    placer: object
    router: object
    task_group: object
    drain_end_seconds: float | None = None
    moving_job_ids: set = attrs.field(factory=set)
    next_rebalance_seconds: float = 0.0


def drain(moves, *, now_seconds):
    """Move waiting jobs away; stop running repeatable ones when the drain time ends."""
    placer = moves.placer
    if moves.drain_end_seconds is None:
        drain_timeout_seconds = placer.context.settings.drain_timeout_seconds
        moves.drain_end_seconds = now_seconds + drain_timeout_seconds
    for job in list(placer.jobs.values()):
        if job.answer is not None or job.job_id in moves.moving_job_ids:
            continue
        is_due = now_seconds >= moves.drain_end_seconds
        if job.status == "queued":
            _start_move(moves, job, None)
        elif job.run is not None and is_due and job.spec.is_repeatable:
            job.run.request_stop(
                "data centre is out of service", is_checkpoint_wanted=True
            )


def rebalance(moves, *, now_seconds):
    """Move one waiting job to a data centre that can start it now."""
    placer = moves.placer
    moves.drain_end_seconds = None
    is_due = now_seconds >= moves.next_rebalance_seconds
    if not is_due or placer.context.configuration.is_table_silent():
        return
    moves.next_rebalance_seconds = now_seconds + REBALANCE_INTERVAL_SECONDS
    waiting = (
        job
        for job in placer.jobs.values()
        if job.status == "queued"
        and job.row_version
        and now_seconds - job.received_seconds >= REBALANCE_WAIT_SECONDS
        and job.job_id not in moves.moving_job_ids
    )
    for job in itertools.islice(waiting, REBALANCE_JOBS_COUNT):
        if exceeds_quota(placer.scheduler, job.spec):
            continue
        choice = moves.router.find_free_data_centre(job.spec)
        if choice is None:
            continue
        log_decision(
            "rebalancing",
            choice=choice,
            reason=waiting_reason(placer.scheduler, job.job_id),
            job_id=job.job_id,
            organisation=job.spec.organisation,
        )
        _start_move(moves, job, choice)
        return


def _start_move(moves, job, data_centre):
    moves.moving_job_ids.add(job.job_id)
    moves.task_group.start_soon(_move_job, moves, job, data_centre)


async def _move_job(moves, job, data_centre):
    placer = moves.placer
    try:
        if remove_job(placer.scheduler, job.job_id) is None:
            return
        job.status = "moving"
        if await moves.router.move_job(job, data_centre=data_centre):
            placer.jobs.pop(job.job_id, None)
            release_waiters(job)
            return
        if job.is_cancelled:
            phase = not_run_phase(job, Phase.CANCELLED)
            placer.end_waiting_job(job, phase, "cancelled")
        else:
            placer.queue_job(job, is_requeue=True)
        await anyio.sleep(MOVE_RETRY_SECONDS)
    finally:
        moves.moving_job_ids.discard(job.job_id)
