"""Scheduling state of one data centre and the decisions taken on it."""

from collections import deque

import attrs

from ..outcomes import Refused
from .jobs import JobSpec
from .plans import EMPTY_CONFIGURATION, Configuration
from .shapes import Worker, subtract_tasks, tasks_that_fit_count


@attrs.frozen(kw_only=True)
class QueuedJob:
    """A job waiting for placement; ``queued_seconds`` is on the placer's clock."""

    job_id: str
    spec: JobSpec
    queued_seconds: float
    attempt: int = 0


@attrs.frozen(kw_only=True)
class PlacedGang:
    """A gang with capacity assigned: worker ids by task index."""

    job: QueuedJob
    worker_ids: tuple[str, ...]
    is_guaranteed: bool
    placed_seconds: float


@attrs.frozen(kw_only=True)
class StartGang:
    """Decision to start a gang; its capacity is already assigned."""

    gang: PlacedGang
    reason: str
    runners_up: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ReclaimGang:
    """Decision to stop a gang so that its capacity can be used by another job."""

    job_id: str
    for_job_id: str
    reason: str


@attrs.frozen(kw_only=True)
class CapacitySummary:
    """What one data centre can take, for routing; compact and lagging."""

    data_centre: str
    free_accelerators_count: int
    total_accelerators_count: int
    waiting_jobs_count: int
    largest_free_accelerators_count: int


@attrs.define(kw_only=True)
class Scheduler:
    """Explicit state of one data centre, owned by its placer."""

    data_centre: str
    queue_limit_count: int = 2000
    configuration: Configuration = EMPTY_CONFIGURATION
    workers: dict[str, Worker] = attrs.field(factory=dict)
    queue: deque = attrs.field(factory=deque)
    gangs: dict[str, PlacedGang] = attrs.field(factory=dict)
    waiting_reasons: dict[str, str] = attrs.field(factory=dict)


def add_job(scheduler, job, *, now_seconds):
    """Queue a job.

    Returns
    -------
    Refused or None
        A refusal if the job can never run or the queue is full.
    """
    spec = job.spec
    if spec.organisation not in scheduler.configuration.plan_by_organisation:
        return Refused(code="unknown_organisation", message=spec.organisation)
    fit_count = sum(
        tasks_that_fit_count(worker.capacity, spec.shape)
        for worker in scheduler.workers.values()
    )
    if fit_count < spec.tasks_count:
        message = f"{spec.tasks_count} tasks; at most {fit_count} can ever run here"
        return Refused(code="never_fits", message=message)
    if len(scheduler.queue) >= scheduler.queue_limit_count:
        return Refused(code="queue_full", retry_after_seconds=1.0)
    scheduler.queue.append(job)
    return None


def remove_job(scheduler, job_id):
    """Remove a waiting job; return it, or None if it does not wait."""
    for job in scheduler.queue:
        if job.job_id == job_id:
            scheduler.queue.remove(job)
            scheduler.waiting_reasons.pop(job_id, None)
            return job
    return None


def set_worker(scheduler, worker):
    """Add or update a worker."""
    scheduler.workers[worker.worker_id] = worker


def remove_worker(scheduler, worker_id):
    """Forget a worker; its gangs end through `gang_ended`."""
    scheduler.workers.pop(worker_id, None)


def set_configuration(scheduler, configuration):
    """Use a newer configuration from now on."""
    scheduler.configuration = configuration


def decide(scheduler, *, now_seconds):
    """Return the decisions possible now; capacity of starts is assigned."""
    decisions = []
    free = _free_capacities(scheduler)
    for job in list(scheduler.queue):
        worker_ids = _first_fit(free, job.spec)
        if worker_ids is None:
            scheduler.waiting_reasons[job.job_id] = "not enough free capacity"
            continue
        scheduler.queue.remove(job)
        gang = PlacedGang(
            job=job,
            worker_ids=worker_ids,
            is_guaranteed=False,
            placed_seconds=now_seconds,
        )
        scheduler.gangs[job.job_id] = gang
        decisions.append(StartGang(gang=gang, reason="first fit"))
    return decisions


def adopt_gang(scheduler, gang):
    """Take over a gang that runs already."""
    scheduler.gangs[gang.job.job_id] = gang


def gang_ended(
    scheduler, job_id, *, now_seconds, failed_worker_ids=(), succeeded=False
):
    """Free the capacity of a gang that no longer holds any worker."""
    scheduler.gangs.pop(job_id, None)


def waiting_reason(scheduler, job_id):
    """Return why a job waits, or an empty string."""
    return scheduler.waiting_reasons.get(job_id, "")


def capacity_summary(scheduler):
    """Return the compact summary that other data centres route by."""
    free_counts = [
        capacity.accelerators_count for capacity in _free_capacities(scheduler).values()
    ]
    return CapacitySummary(
        data_centre=scheduler.data_centre,
        free_accelerators_count=sum(free_counts),
        total_accelerators_count=sum(
            worker.capacity.accelerators_count for worker in scheduler.workers.values()
        ),
        waiting_jobs_count=len(scheduler.queue),
        largest_free_accelerators_count=max(free_counts, default=0),
    )


def _free_capacities(scheduler):
    free = {
        worker.worker_id: worker.capacity
        for worker in scheduler.workers.values()
        if not worker.is_leaving
    }
    for gang in scheduler.gangs.values():
        for worker_id in gang.worker_ids:
            if worker_id in free:
                free[worker_id] = subtract_tasks(
                    free[worker_id], gang.job.spec.shape, 1
                )
    return free


def _first_fit(free, spec):
    chosen = []
    remaining = dict(free)
    for worker_id, capacity in free.items():
        count = min(
            tasks_that_fit_count(capacity, spec.shape), spec.tasks_count - len(chosen)
        )
        remaining[worker_id] = subtract_tasks(capacity, spec.shape, count)
        chosen += [worker_id] * count
    if len(chosen) < spec.tasks_count:
        return None
    free.update(remaining)
    return tuple(chosen)
