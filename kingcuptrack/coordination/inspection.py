"""Stored state of a shard, for operators and on-call engineers."""

import attrs

from ..outcomes import Done
from ..state.cluster.worker_speeds import decode_factors
from ..state.jobs.progress import JobState
from ..state.jobs.progress_parts import restore_progress
from ..state.jobs.records import (
    RecordError,
    decode_leadership,
    decode_pending,
    decode_submission,
)
from ..state.jobs.steps import NO_RESOURCES
from ..state.planning.load_view import decode_load_view
from .job_feed import group_progress
from .learned_rows import LEARNED_TABLE, SPEEDS_SUBJECT
from .rows import (
    JOBS_TABLE,
    LEADERSHIP_TABLE,
    LOAD_TABLE,
    PENDING_TABLE,
    PROGRESS_TABLE,
    job_range,
    parse_job_key,
    read_table,
)

# Timeout of reads, the longest of which read a whole table.
CALL_TIMEOUT_SECONDS = 2.0


class InspectionError(Exception):
    """The store cannot be read, or holds no such job."""


@attrs.frozen(kw_only=True)
class ClusterView:
    """State of a shard as stored.

    ``leader`` is None before the first election. ``jobs_by_state`` are the numbers of
    all jobs whose rows are kept, ``pending`` those of waiting jobs by queue.
    ``learned`` holds the content of the rows of learned state by subject.
    ``load`` is the `LoadView`, None if no leader has written one.
    ``worker_factors`` are the learned run times by worker relative to the average;
    empty without the feature.
    ``used_by_organisation`` are the resources of all runs that may exist.
    """

    policy: object
    closed_data_centres: frozenset[str]
    leader: object
    workers: list
    jobs_by_state: dict
    pending: dict
    used_by_organisation: dict
    learned: dict
    load: object = None
    worker_factors: dict = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class JobView:
    """A job as stored."""

    submission: object
    progress: object
    is_cancelled: bool


async def inspect_cluster(environment, shard):
    """Return the `ClusterView` of a shard; raises `InspectionError`."""
    operators = await _require_value(
        environment.operators.read(timeout_seconds=CALL_TIMEOUT_SECONDS)
    )
    workers = await _require_value(
        environment.workers.list(timeout_seconds=CALL_TIMEOUT_SECONDS)
    )
    leaders = await _read_rows(environment, shard, LEADERSHIP_TABLE, decode_leadership)
    pending = await _read_rows(environment, shard, PENDING_TABLE, decode_pending)
    loads = await _read_rows(environment, shard, LOAD_TABLE, decode_load_view)
    progress_rows = group_progress(await _read_all(environment, shard, PROGRESS_TABLE))
    learned = await _read_rows(environment, shard, LEARNED_TABLE, bytes)
    counts, used = {}, {}
    for row in await _read_all(environment, shard, JOBS_TABLE):
        job_id, is_cancel = parse_job_key(row.key.key)
        if not is_cancel:
            progress = _restore(row, progress_rows.get(job_id, {}))
            state = progress.state if progress else JobState.QUEUED
            counts[state.value] = counts.get(state.value, 0) + 1
            if progress is not None:
                _add_used(used, row, progress)
    return ClusterView(
        policy=operators.policy,
        closed_data_centres=operators.closed_data_centres,
        leader=next(iter(leaders.values()), None),
        workers=workers,
        jobs_by_state=counts,
        pending=next(iter(pending.values()), {}),
        learned=learned,
        load=next(iter(loads.values()), None),
        worker_factors=_decode_speeds(learned),
        used_by_organisation=used,
    )


def _add_used(used_by_organisation, row, progress):
    """Add the resources of the stored runs of a job to those of its organisation."""
    step_numbers = [run.step for run in progress.open_runs.values()] + [
        number
        for steps in progress.occurrences.values()
        for number, step in enumerate(steps)
        for task in step.tasks
        if task.worker_id
    ]
    if not step_numbers:
        return
    try:
        submission = decode_submission(row.value)
    except RecordError as error:
        raise InspectionError(f"row {row.key}: {error}") from error
    used = used_by_organisation.get(submission.organisation, NO_RESOURCES)
    for number in step_numbers:
        used = used.plus(submission.steps[number].resources)
    used_by_organisation[submission.organisation] = used


async def inspect_job(environment, shard, job_id):
    """Return the `JobView` of a job; raises `InspectionError`."""
    first, last = job_range(job_id)
    jobs = await _require_value(
        environment.store.read(
            table=JOBS_TABLE,
            part=shard.part,
            first=first,
            last=last,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
    )
    job_row, is_cancelled = None, False
    for row in jobs.rows:
        if parse_job_key(row.key.key)[1]:
            is_cancelled = True
        else:
            job_row = row
    if job_row is None:
        raise InspectionError(f"no job {job_id} is stored")
    rows = group_progress(await _read_all(environment, shard, PROGRESS_TABLE))
    return JobView(
        submission=decode_submission(job_row.value),
        progress=_restore(job_row, rows.get(job_id, {})),
        is_cancelled=is_cancelled,
    )


def _restore(job_row, rows):
    """Return the `JobProgress` of a job, or None without rows of it."""
    try:
        return restore_progress(decode_submission(job_row.value), rows)[0]
    except RecordError as error:
        raise InspectionError(f"row {job_row.key}: {error}") from error


def _decode_speeds(learned):
    if SPEEDS_SUBJECT not in learned:
        return {}
    try:
        return decode_factors(learned[SPEEDS_SUBJECT])
    except RecordError as error:
        raise InspectionError(f"row {SPEEDS_SUBJECT}: {error}") from error


async def _read_all(environment, shard, table):
    read = await _require_value(
        read_table(
            environment.store, table, shard.part, timeout_seconds=CALL_TIMEOUT_SECONDS
        )
    )
    return read.rows


async def _read_rows(environment, shard, table, decode):
    rows = {}
    for row in await _read_all(environment, shard, table):
        try:
            rows[row.key.key] = decode(row.value)
        except RecordError as error:
            raise InspectionError(f"row {row.key}: {error}") from error
    return rows


async def _require_value(call):
    outcome = await call
    if not isinstance(outcome, Done):
        raise InspectionError(f"the store cannot be read: {outcome.message}")
    return outcome.value
