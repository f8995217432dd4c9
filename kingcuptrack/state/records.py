"""Encoding of the rows in the store, as MessagePack."""

import attrs
import msgspec

from .progress import JobProgress, JobState, StepProgress, TaskProgress
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
    return _decode(data, Submission)


def decode_leadership(data):
    """Return the `LeadershipRecord` of a row; raises `RecordError`."""
    return _decode(data, LeadershipRecord)


def decode_pending(data):
    """Return the counts of waiting jobs by queue; raises `RecordError`."""
    return _decode(data, dict[str, int])


def encode_progress(progress):
    """Return the bytes of a `JobProgress`; tasks are encoded as tuples."""
    occurrences = [
        (
            occurrence,
            [
                (
                    sorted(step.failed_runs),
                    [attrs.astuple(task) for task in step.tasks],
                )
                for step in steps
            ],
        )
        for occurrence, steps in progress.occurrences.items()
    ]
    return msgspec.msgpack.encode(
        (
            progress.state.value,
            sorted(progress.done_occurrences),
            occurrences,
        )
    )


_TaskRow = tuple[int, int, bool, str, str]
_ProgressRow = tuple[
    JobState,
    list[int],
    list[tuple[int, list[tuple[list[int], list[_TaskRow]]]]],
]


def decode_progress(data):
    """Return the `JobProgress` of a row; raises `RecordError`."""
    state, done_occurrences, rows = _decode(data, _ProgressRow)
    names = [field.name for field in attrs.fields(TaskProgress)]
    occurrences = {
        occurrence: [
            StepProgress(
                failed_runs=set(failed_runs),
                tasks=[
                    TaskProgress(**dict(zip(names, task, strict=True)))
                    for task in tasks
                ],
            )
            for failed_runs, tasks in steps
        ]
        for occurrence, steps in rows
    }
    return JobProgress(
        state=state,
        done_occurrences=set(done_occurrences),
        occurrences=occurrences,
    )


def _decode(data, kind):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RecordError(f"malformed row: {error}") from error
