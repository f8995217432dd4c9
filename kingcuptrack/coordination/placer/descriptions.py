"""Description of a data centre for operators."""

from ...protocol.messages import (
    DataCentreDescription,
    JobDescription,
    WorkerDescription,
)
from ...state.placer.scheduling import quarantined_worker_ids, waiting_reason


def describe_data_centre(scheduler, jobs, *, placer_id):
    """Return the state of a data centre.

    Parameters
    ----------
    scheduler : PlacerState
    jobs : iterable of OpenJob
    placer_id : str
    """
    tasks_counts, accelerators_counts = _count_use(scheduler)
    quarantined_ids = set(quarantined_worker_ids(scheduler))
    workers = tuple(
        WorkerDescription(
            worker_id=worker.worker_id,
            rack=worker.rack,
            is_leaving=worker.is_leaving,
            capacity=worker.capacity,
            accelerators_count=worker.capacity.accelerators_count,
            free_accelerators_count=worker.capacity.accelerators_count
            - accelerators_counts.get(worker.worker_id, 0),
            tasks_count=tasks_counts.get(worker.worker_id, 0),
            health="quarantined" if worker.worker_id in quarantined_ids else "",
        )
        for worker in scheduler.workers.values()
    )
    return DataCentreDescription(
        data_centre=scheduler.data_centre,
        placer_id=placer_id,
        workers=workers,
        jobs=tuple(_describe_job(scheduler, job) for job in jobs if not job.answer),
    )


def _count_use(scheduler):
    tasks_counts = {}
    accelerators_counts = {}
    for gang in scheduler.gangs.values():
        task_accelerators_count = gang.job.spec.shape.accelerators_count
        for worker_id in gang.worker_ids:
            tasks_counts[worker_id] = tasks_counts.get(worker_id, 0) + 1
            accelerators_counts[worker_id] = (
                accelerators_counts.get(worker_id, 0) + task_accelerators_count
            )
    return tasks_counts, accelerators_counts


def _describe_job(scheduler, job):
    gang = scheduler.gangs.get(job.job_id)
    spec = job.spec
    return JobDescription(
        job_id=job.job_id,
        organisation=spec.organisation,
        urgency=spec.urgency,
        status=job.status,
        attempt=job.token,
        tasks_count=spec.tasks_count,
        accelerators_count=spec.tasks_count * spec.shape.accelerators_count,
        is_guaranteed=gang is not None and gang.is_guaranteed,
        reason=waiting_reason(scheduler, job.job_id),
    )
