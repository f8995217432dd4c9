"""Fixtures: shard states with workers and jobs for tests of scheduling decisions."""

from kingcuptrack.state.cluster.reports import (
    EndedRun,
    RunningRun,
    WorkerEntry,
    WorkerReport,
)
from kingcuptrack.state.cluster.shard_state import ShardState
from kingcuptrack.state.jobs.progress import EndKind
from kingcuptrack.state.jobs.steps import Resources, Step, Submission, TaskRef
from kingcuptrack.state.planning.scheduling_units import PlanningPolicy

WORKER_CAPACITY = Resources(cpu_millicores=32000, memory_mb=65536, gpus_count=8)
POLICY = PlanningPolicy(guarantee_gpus={"acme": 16})


def make_entry(
    worker_id,
    *,
    rack="r0",
    data_centre="dc0",
    is_draining=False,
    remaining_service_seconds=0,
    cold_remaining_seconds=0,
):
    """Return the registry entry of a worker."""
    return WorkerEntry(
        worker_id=worker_id,
        service="studio",
        address=worker_id,
        data_centre=data_centre,
        rack=rack,
        labels=frozenset({"a", rack}),
        capacity=WORKER_CAPACITY,
        is_draining=is_draining,
        remaining_service_seconds=remaining_service_seconds,
        cold_remaining_seconds=cold_remaining_seconds,
    )


def make_shard_state(racks, *, now_seconds=0.0, learns_speeds=False):
    """Return a shard state; ``racks`` maps a rack to the ids of its workers."""
    shard_state = ShardState(learns_speeds=learns_speeds)
    entries = [
        make_entry(worker_id, rack=rack)
        for rack, worker_ids in racks.items()
        for worker_id in worker_ids
    ]
    shard_state.set_worker_entries(entries, now_seconds=now_seconds)
    for entry in entries:
        shard_state.apply_report(entry.worker_id, make_report(now_seconds=now_seconds))
    return shard_state


def make_report(
    *, now_seconds=0.0, running=(), ended=(), life=1, token=1, clock_seconds=None
):
    """Return the report of a worker.

    ``running`` holds tuples (ref, run, percent), ``ended`` tuples (number, ref, run,
    how).
    """
    return WorkerReport(
        life=life,
        clock_seconds=now_seconds if clock_seconds is None else clock_seconds,
        running=tuple(
            RunningRun(ref=ref, run=run, checkpoint="", percent=percent)
            for ref, run, percent in running
        ),
        ended=tuple(
            EndedRun(number=number, ref=ref, run=run, how=EndKind(how), checkpoint="")
            for number, ref, run, how in ended
        ),
        token=token,
        received_at_seconds=now_seconds,
    )


def make_step(*, tasks=1, gpus=1, memory_mb=1000, seconds=4.0, **fields):
    """Return a step; resource counts are per task."""
    return Step(
        task_count=tasks,
        resources=Resources(cpu_millicores=1000, memory_mb=memory_mb, gpus_count=gpus),
        estimate_seconds=seconds,
        **fields,
    )


def add_job(
    shard_state,
    job_id,
    *steps,
    priority=1,
    organisation="acme",
    now_seconds=0.0,
    **fields,
):
    """Add a job to a shard state and return it."""
    submission = Submission(
        **{
            "job_id": job_id,
            "queue": f"queue-{priority}",
            "organisation": organisation,
            "service": "studio",
            "priority": priority,
            "attempts_limit": 3,
            "stretch": 3.0,
            "target_latency_seconds": 1.0,
            "spec": "",
            "steps": tuple(steps),
            "accepted_at_seconds": now_seconds,
            **fields,
        }
    )
    return shard_state.add_job(submission, now_seconds=now_seconds)


def make_ref(job_id, index=0, *, step=0, occurrence=0):
    """Return the identity of a task."""
    return TaskRef(job_id=job_id, occurrence=occurrence, step=step, index=index)


def start_run(shard_state, job_id, worker_id, *, index=0, number=1, now_seconds=0.0):
    """Claim and start a run and return it."""
    run = shard_state.claim(
        make_ref(job_id, index), worker_id, number=number, now_seconds=now_seconds
    )
    shard_state.confirm_start(run, clock_seconds=now_seconds, now_seconds=now_seconds)
    return run


def placed_workers(plan, job_id):
    """Return the workers that a plan chooses for a job, sorted."""
    return sorted(
        placement.worker_id
        for group in plan.groups
        for placement in group
        if placement.ref.job_id == job_id
    )
