"""Takeover: rebuilds the state of a data centre from its workers and the table."""

import time

import anyio
from loguru import logger

from ...outcomes import Done
from ...protocol.codecs import json_converter
from ...state.placer.jobs import FINAL_PHASES, JobSpec, Phase
from ...state.placer.scheduling import (
    PlacedGang,
    QueuedJob,
    adopt_gang,
    set_configuration,
)
from ...transport.workers import GangKey
from .gangs import GangRun, Member

# Limit of concurrent requests to workers.
CONCURRENT_READS_COUNT = 16


async def rebuild(placer):
    """Rebuild the state of a placer; sends one request per worker and open job."""
    context = placer.context
    started_seconds = time.monotonic()
    set_configuration(placer.scheduler, context.configuration.current)
    # Concurrent, since the time of a takeover is limited and each of the two may take
    # its whole timeout.
    async with anyio.create_task_group() as task_group:
        states = {}
        task_group.start_soon(_read_workers, placer, states)
        outcome = await context.job_table.list_open(context.data_centre)
    rows = {}
    is_table_answering = isinstance(outcome, Done)
    if is_table_answering:
        rows = {current.row.job_id: current for current in outcome.value}
    else:
        logger.warning(
            "open jobs could not be listed; using the workers' state only: {}", outcome
        )
    gangs_by_job = _group_gangs(states)
    for current in rows.values():
        _resolve_row(placer, current, gangs_by_job.pop(current.row.job_id, {}), states)
    async with anyio.create_task_group() as task_group:
        for job_id, gangs in gangs_by_job.items():
            if is_table_answering:
                task_group.start_soon(_resolve_unlisted, placer, job_id, gangs, states)
            else:
                _resolve_from_workers(placer, gangs, states)
    _mark_earlier_starts(placer, states)
    duration_seconds = time.monotonic() - started_seconds
    context.metrics.timing("takeover", 1000.0 * duration_seconds)
    logger.bind(
        workers_count=len(states),
        jobs_count=len(placer.jobs),
        duration_seconds=duration_seconds,
    ).info("takeover finished")


async def resolve_claimed(placer, current):
    """Adopt or stop the attempt of a claimed row found outside a takeover."""
    states = {}
    await _read_workers(placer, states)
    gangs = _group_gangs(states).get(current.row.job_id, {})
    if current.row.job_id not in placer.jobs:
        _resolve_row(placer, current, gangs, states)
        _mark_earlier_starts(placer, states)


async def resolve_handed_over(placer, message):
    """Adopt or stop the attempt of a job handed over by another placer, or queue it.

    Parameters
    ----------
    placer : Placer
    message : SubmitJob
    """
    states = {}
    await _read_workers(placer, states)
    if message.job_id in placer.jobs:
        return
    gangs = _group_gangs(states).get(message.job_id, {})
    if gangs:
        _resolve_from_workers(placer, gangs, states)
        return
    job = placer.open_job(
        message.job_id,
        message.spec,
        row_version=message.row_version,
        token=message.attempt,
        waited_seconds=message.waited_seconds,
    )
    job.may_have_row = message.may_have_row
    placer.queue_or_refuse(job)
    _mark_earlier_starts(placer, states)


def _resolve_row(placer, current, gangs, states):
    """Adopt or stop the newest attempt of an open row, or queue its job.

    Parameters
    ----------
    placer : Placer
    current : VersionedJob
    gangs : dict of str to GangState
        Gangs of the job that the workers reported, by worker id.
    states : dict of str to (address, WorkerState)
    """
    row = current.row
    newest_token = max((gang.token for gang in gangs.values()), default=0)
    if newest_token > row.attempt:
        # The newest attempt was reserved but not claimed yet, or was started while the
        # table was unavailable.
        _resolve_from_workers(placer, gangs, states, current=current)
    elif row.phase == Phase.CLAIMED:
        key = GangKey(job_id=row.job_id, token=row.attempt, holder=row.owner_id)
        job = placer.open_job(
            row.job_id, row.spec, row_version=current.version, token=row.attempt
        )
        job.is_claimed = True
        # If the job must not run again, an earlier attempt that ran would have made the
        # row final.
        can_rerun = row.spec.is_repeatable or row.spec.is_checkpointable
        job.may_have_run = can_rerun and row.attempt > 1
        run = _make_run(placer, job, key, row.worker_ids, gangs, states)
        _adopt_attempt(placer, job, run)
    else:
        placer.queue_row(current)


async def _resolve_unlisted(placer, job_id, gangs, states):
    """Adopt, stop or forget gangs whose job has no open row in this data centre.

    Their job has no row, is final, or belongs to another data centre.
    """
    read = await placer.context.job_table.read(job_id)
    if isinstance(read, Done) and read.value is not None:
        row = read.value.row
        if row.phase in FINAL_PHASES:
            # The outcome is recorded, so the workers may delete theirs.
            await _call_holders(gangs, states, placer.context.worker_client.forget)
            return
        if row.data_centre != placer.context.data_centre:
            await _call_holders(gangs, states, placer.context.worker_client.stop)
            return
        _resolve_row(placer, read.value, gangs, states)
        return
    _resolve_from_workers(placer, gangs, states)


def _resolve_from_workers(placer, gangs, states, *, current=None):
    """Adopt or stop the newest attempt, using the details of its reservations.

    ``current`` is the row, with an older attempt. If it is claimed, the newer
    reservations may come from a placer that did not know of the claim, so that the
    older attempt may have run or may still be running.
    """
    newest = max(gangs.values(), key=lambda gang: gang.token)
    spec = json_converter.structure(newest.details["spec"], JobSpec)
    row_version = newest.details["row_version"]
    is_claimed = False
    if current is not None:
        row_version = current.version
        is_claimed = current.row.phase == Phase.CLAIMED
    job = placer.open_job(
        newest.job_id, spec, row_version=row_version, token=newest.token
    )
    can_rerun = spec.is_repeatable or spec.is_checkpointable
    job.may_have_run = is_claimed or (can_rerun and newest.token > 1)
    key = GangKey(job_id=newest.job_id, token=newest.token, holder=newest.holder)
    worker_ids = tuple(newest.details["worker_ids"])
    run = _make_run(placer, job, key, worker_ids, gangs, states)
    is_running = all(
        member.phase in ("running", "finished") for member in run.members.values()
    )
    if is_claimed and not is_running:
        claimed_run = _make_run(placer, job, key, current.row.worker_ids, gangs, states)
        run.members = claimed_run.members | run.members
    _adopt_attempt(placer, job, run)


def _mark_earlier_starts(placer, states):
    """Mark the jobs with an ended attempt that a worker reports as started.

    Attempts that were started while the table was unavailable are in no row.
    """
    for _, state in states.values():
        for gang in state.gangs:
            job = placer.jobs.get(gang.job_id)
            is_earlier = gang.phase in ("stopped", "lapsed")
            if job is not None and is_earlier and gang.was_started:
                job.may_have_run = True


def _make_run(placer, job, key, worker_ids, gangs, states):
    now_seconds = time.monotonic()
    settings = placer.context.settings
    margin_seconds = settings.lease_margin_seconds
    is_guaranteed = any(
        gang.details.get("is_guaranteed", False) for gang in gangs.values()
    )
    gang = PlacedGang(
        job=QueuedJob(
            job_id=job.job_id,
            spec=job.spec,
            queued_seconds=job.queued_seconds,
            attempt=key.token,
        ),
        worker_ids=worker_ids,
        is_guaranteed=is_guaranteed,
        placed_seconds=now_seconds,
    )
    members = {}
    for worker_id in dict.fromkeys(worker_ids):
        address, state = states.get(worker_id, ("", None))
        if not address:
            listed = placer.context.membership.listed_by_id.get(worker_id)
            address = listed.address if listed is not None else ""
        gang_state = gangs.get(worker_id)
        is_current = gang_state is not None and gang_state.token == key.token
        phase = gang_state.phase if is_current else "absent"
        members[worker_id] = Member(
            worker_id=worker_id,
            address=address,
            incarnation=state.incarnation if state is not None else "",
            task_indices=tuple(
                index for index, name in enumerate(worker_ids) if name == worker_id
            ),
            phase=phase,
            tasks={task.task_index: task for task in gang_state.tasks}
            if is_current
            else {},
            lease_valid_until_seconds=now_seconds
            + (gang_state.lease_remaining_seconds if is_current else 0.0)
            - margin_seconds,
            # A placer that stopped without a successor extended the leases to
            # handover_lease_seconds.
            lease_lapsed_by_seconds=now_seconds
            + max(settings.lease_seconds, settings.handover_lease_seconds)
            + margin_seconds,
            # Only a worker that still reports the reservation has certainly not
            # started its tasks.
            may_have_started=phase != "reserved",
        )
    return GangRun(gang=gang, key=key, members=members)


def _adopt_attempt(placer, job, run):
    phases = {member.phase for member in run.members.values()}
    adopt_gang(placer.scheduler, run.gang)
    if phases <= {"running", "finished"}:
        run.mark_started(time.monotonic())
        job.status = "running"
    else:
        job.status = "stopping"
        run.request_stop(f"takeover found tasks in phases {sorted(phases)}")
    logger.bind(
        job_id=job.job_id, token=run.key.token, stop_reason=run.stop_reason
    ).info("attempt adopted")
    placer.adopt_run(job, run)


async def _call_holders(gangs, states, call):
    """Send a stop or forget request to every worker that holds one of the gangs."""
    async with anyio.create_task_group() as task_group:
        for worker_id, gang in gangs.items():
            address, _ = states[worker_id]
            key = GangKey(job_id=gang.job_id, token=gang.token, holder=gang.holder)
            task_group.start_soon(call, address, key)


def _group_gangs(states):
    """Return the newest gang of each job, by job id and worker id."""
    gangs_by_job = {}
    for worker_id, (_, state) in states.items():
        for gang in state.gangs:
            if gang.phase in ("stopped", "lapsed"):
                continue
            by_worker = gangs_by_job.setdefault(gang.job_id, {})
            known = by_worker.get(worker_id)
            if known is None or gang.token > known.token:
                by_worker[worker_id] = gang
    return gangs_by_job


async def _read_workers(placer, states):
    """Read the listed workers; fill ``states`` with those that answer, by id."""
    limiter = anyio.CapacityLimiter(CONCURRENT_READS_COUNT)

    async def read_worker(listed):
        async with limiter:
            outcome = await placer.context.worker_client.read_state(listed.address)
        if isinstance(outcome, Done):
            states[listed.instance_id] = (listed.address, outcome.value)
            placer.watch.store_worker_state(listed.address, outcome.value)

    async with anyio.create_task_group() as task_group:
        for listed in placer.context.membership.listed_workers().values():
            task_group.start_soon(read_worker, listed)
