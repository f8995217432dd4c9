"""Division of the progress of a job into rows of bounded size.

A small job has one row. The tasks of any other job are divided into parts with a row
each, so that a change of a task writes little, however many tasks the job has.
"""

import contextlib

import attrs
import msgspec

from .progress import JobProgress, OpenRun, TaskProgress
from .records import (
    RecordError,
    TaskRow,
    decode_progress,
    decode_record,
    encode_progress,
    encode_task,
)

# Tasks in one part; consecutive tasks of one step of one occurrence.
TASKS_PER_PART_COUNT = 32


@attrs.frozen(kw_only=True, order=True)
class Part:
    """Some consecutive tasks of a step; ``number`` counts the parts of the step."""

    occurrence: int
    step: int
    number: int

    @property
    def first_index(self):
        """Number of the first task in its step."""
        return self.number * TASKS_PER_PART_COUNT


def is_divided(submission):
    """Return whether the progress of a job is divided into parts."""
    tasks_count = sum(step.task_count for step in submission.steps)
    return tasks_count * submission.occurrences_count > TASKS_PER_PART_COUNT


def find_part(ref):
    """Return the part of a task."""
    return Part(
        occurrence=ref.occurrence,
        step=ref.step,
        number=ref.index // TASKS_PER_PART_COUNT,
    )


def list_parts(submission, occurrence, step_number):
    """Return the parts of a step of one occurrence."""
    tasks_count = submission.steps[step_number].task_count
    return [
        Part(occurrence=occurrence, step=step_number, number=number)
        for number in range(-(-tasks_count // TASKS_PER_PART_COUNT))
    ]


def format_part(part):
    """Return the part as a text for keys."""
    return f"{part.occurrence}/{part.step}/{part.number}"


def parse_part(text):
    """Return the part of a text; raises `RecordError`."""
    try:
        occurrence, step, number = map(int, text.split("/"))
    except ValueError as error:
        raise RecordError(f"{text!r} is not a part of a job") from error
    return Part(occurrence=occurrence, step=step, number=number)


def is_needed(progress, part):
    """Return whether the row of a part may still be read."""
    if not progress.is_final:
        return part.occurrence not in progress.done_occurrences
    return any(_find_open_runs(progress, part))


def encode_head(progress, submission, *, limit_bytes):
    """Return the bytes of the row of a job, which holds all tasks of a small one.

    Checkpoints are left out, largest first, if the row would exceed the limit.
    """
    if is_divided(submission):
        return encode_progress(progress, is_divided=True)
    data = encode_progress(progress)
    if len(data) <= limit_bytes:
        return data
    tasks = [
        task
        for steps in progress.occurrences.values()
        for step in steps
        for task in step.tasks
    ]
    with _without_checkpoints(tasks, len(data) - limit_bytes):
        return encode_progress(progress)


def encode_part(progress, part, *, limit_bytes):
    """Return the bytes of a part, or None if its row is not needed any more.

    Checkpoints are left out, largest first, if the row would exceed the limit.
    """
    if not is_needed(progress, part):
        return None
    failed_runs, tasks = _collect_tasks(progress, part)

    def encode():
        return msgspec.msgpack.encode((failed_runs, [encode_task(t) for t in tasks]))

    data = encode()
    if len(data) <= limit_bytes:
        return data
    with _without_checkpoints(tasks, len(data) - limit_bytes):
        return encode()


@contextlib.contextmanager
def _without_checkpoints(tasks, excess_bytes):
    """Leave out the largest checkpoints of tasks, of this size together, meanwhile."""
    kept = {}
    for task in sorted(tasks, key=lambda task: len(task.checkpoint), reverse=True):
        if excess_bytes <= 0:
            break
        excess_bytes -= len(task.checkpoint.encode())
        kept[id(task)] = task, task.checkpoint
        task.checkpoint = ""
    try:
        yield
    finally:
        for task, checkpoint in kept.values():
            task.checkpoint = checkpoint


@attrs.frozen(kw_only=True)
class StoredRows:
    """Which rows the progress of a job has in the store.

    ``parts`` are those with a row, ``obsolete_parts`` those of them that are not needed
    any more. ``has_head`` is whether the job has a row of its own, ``is_outdated``
    whether that row holds tasks that belong to parts, as earlier versions wrote it.
    """

    parts: tuple = ()
    obsolete_parts: tuple = ()
    has_head: bool = True
    is_outdated: bool = False


def restore_progress(submission, rows):
    """Return the `JobProgress` and the `StoredRows` of a job; None without rows.

    Parameters
    ----------
    submission : Submission
    rows : dict
        Contents of the rows by the text of the part, which is empty for the head.

    Raises
    ------
    RecordError
    """
    if not rows:
        return None, StoredRows(has_head=False)
    progress = decode_progress(rows[""]) if "" in rows else JobProgress()
    has_tasks = bool(progress.occurrences or progress.open_runs)
    parts = {parse_part(text): data for text, data in rows.items() if text}
    for part, data in parts.items():
        restore_part(progress, submission, part, data)
    return progress, StoredRows(
        parts=tuple(parts),
        obsolete_parts=tuple(p for p in parts if not is_needed(progress, p)),
        has_head="" in rows,
        is_outdated=has_tasks and is_divided(submission),
    )


def restore_part(progress, submission, part, data):
    """Take up the stored row of a part; raises `RecordError`."""
    failed_runs, rows = decode_record(data, tuple[list[int], list[TaskRow]])
    tasks = [TaskProgress(**msgspec.structs.asdict(row)) for row in rows]
    _check_place(submission, part, len(tasks))
    if progress.is_final:
        for index, task in enumerate(tasks, part.first_index):
            if task.worker_id:
                progress.add_open_run(
                    OpenRun(
                        occurrence=part.occurrence,
                        step=part.step,
                        index=index,
                        number=task.last_run,
                        worker_id=task.worker_id,
                    )
                )
    elif part.occurrence not in progress.done_occurrences:
        step = progress.steps_of(part.occurrence, submission)[part.step]
        step.failed_runs.update(failed_runs)
        step.tasks[part.first_index : part.first_index + len(tasks)] = tasks


def _collect_tasks(progress, part):
    if progress.is_final:
        runs = list(_find_open_runs(progress, part))
        tasks = [TaskProgress() for _ in range(runs[-1].index + 1 - part.first_index)]
        for run in runs:
            tasks[run.index - part.first_index] = TaskProgress(
                last_run=run.number, worker_id=run.worker_id
            )
        return [], tasks
    step = progress.occurrences[part.occurrence][part.step]
    tasks = step.tasks[part.first_index : part.first_index + TASKS_PER_PART_COUNT]
    # The failures of a gang belong to the step; its first part holds them.
    return sorted(step.failed_runs) if part.number == 0 else [], tasks


def _find_open_runs(progress, part):
    """Yield the open runs of a final job in a part, by ascending index."""
    for index in range(part.first_index, part.first_index + TASKS_PER_PART_COUNT):
        run = progress.open_runs.get((part.occurrence, part.step, index))
        if run is not None:
            yield run


def _check_place(submission, part, tasks_count):
    is_known = (
        0 <= part.occurrence < submission.occurrences_count
        and 0 <= part.step < len(submission.steps)
        and part.number >= 0
        and part.first_index + tasks_count <= submission.steps[part.step].task_count
    )
    if not is_known:
        raise RecordError(f"the job has no part {format_part(part)}")
