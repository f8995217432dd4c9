"""Encoding of the rows in the store, as MessagePack."""

import attrs
import msgspec

from ...decoding import DecodingError, decode_msgpack
from .progress import JobProgress, JobState, OpenRun, StepProgress, TaskProgress
from .steps import Submission


class RecordError(ValueError):
    """A stored row that cannot be decoded."""


@attrs.frozen(kw_only=True)
class LeadershipRecord:
    """Content of the leadership row of a shard.

    ``sequence`` changes with every commit. ``is_released`` means that the holder has
    stopped and candidates need not wait. ``holder_cores`` is the processor time that
    the holder can use, 0 if unknown; ``is_idle`` means that it has no open job.
    """

    epoch: int
    holder: str
    sequence: int
    is_released: bool = False
    holder_cores: float = 0.0
    is_idle: bool = False


def encode_record(record):
    """Return the bytes of a `Submission`, `LeadershipRecord` or plain value."""
    return msgspec.msgpack.encode(record)


def decode_submission(data):
    """Return the `Submission` of a row; raises `RecordError`."""
    return decode_record(data, Submission)


def decode_leadership(data):
    """Return the `LeadershipRecord` of a row; raises `RecordError`."""
    return decode_record(data, LeadershipRecord)


def decode_pending(data):
    """Return the counts of waiting jobs by queue; raises `RecordError`."""
    return decode_record(data, dict[str, int])


def encode_progress(progress, *, is_divided=False):
    """Return the bytes of a `JobProgress`; tasks are encoded as tuples.

    Fields that earlier versions do not know are left out unless they are set. The row
    of a divided job has no tasks; see `progress_parts`. Earlier versions cannot read
    it, and so do not start its tasks again.
    """
    if is_divided:
        return msgspec.msgpack.encode(
            (
                progress.state.value,
                sorted(progress.done_occurrences),
                None,
                progress.failure_reason,
            )
        )
    occurrences = [
        (
            occurrence,
            [
                (
                    sorted(step.failed_runs),
                    [encode_task(task) for task in step.tasks],
                )
                for step in steps
            ],
        )
        for occurrence, steps in progress.occurrences.items()
    ]
    row = (progress.state.value, sorted(progress.done_occurrences), occurrences)
    if progress.failure_reason or progress.open_runs:
        row += (progress.failure_reason,)
    if progress.open_runs:
        row += ([attrs.astuple(run) for run in progress.open_runs.values()],)
    return msgspec.msgpack.encode(row)


def encode_task(task):
    """Return the tuple of a `TaskProgress`, which is decoded as a `TaskRow`."""
    row = (
        task.last_run,
        task.failures_count,
        task.is_done,
        task.worker_id,
        task.checkpoint,
    )
    if task.crashes_count:
        row += (task.crashed_worker_ids, task.doubtful_crashes_count)
    return row


class TaskRow(msgspec.Struct, array_like=True):
    """Stored `TaskProgress`."""

    last_run: int
    failures_count: int
    is_done: bool
    worker_id: str
    checkpoint: str
    crashed_worker_ids: list[str] = []
    doubtful_crashes_count: int = 0


class _OpenRunRow(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    number: int
    worker_id: str


class _ProgressRow(msgspec.Struct, array_like=True):
    state: JobState
    done_occurrences: list[int]
    # None for a divided job.
    occurrences: list[tuple[int, list[tuple[list[int], list[TaskRow]]]]] | None
    failure_reason: str = ""
    open_runs: list[_OpenRunRow] = []


def decode_progress(data):
    """Return the `JobProgress` of a row; raises `RecordError`."""
    row = decode_record(data, _ProgressRow)
    occurrences = {
        occurrence: [
            StepProgress(
                failed_runs=set(failed_runs),
                tasks=[TaskProgress(**msgspec.structs.asdict(task)) for task in tasks],
            )
            for failed_runs, tasks in steps
        ]
        for occurrence, steps in row.occurrences or ()
    }
    progress = JobProgress(
        state=row.state,
        done_occurrences=set(row.done_occurrences),
        occurrences=occurrences,
        failure_reason=row.failure_reason,
    )
    for run in row.open_runs:
        progress.add_open_run(OpenRun(**msgspec.structs.asdict(run)))
    return progress


def decode_record(data, kind):
    """Return the ``kind`` of a row; raises `RecordError`."""
    try:
        return decode_msgpack(data, kind)
    except DecodingError as error:
        raise RecordError(f"malformed row: {error}") from error
