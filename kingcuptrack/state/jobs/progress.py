"""Stored progress of a job's tasks, and its changes by ends of runs."""

from enum import StrEnum

import attrs

from .steps import TaskRef


class JobState(StrEnum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class EndKind(StrEnum):
    """How a run ended at its worker.

    ``LAPSED`` means that the lease of the worker lapsed, ``ALONE`` that the gang of
    the run was not complete in time, and ``BROKEN`` that the run ended because of
    another member of its gang.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.define(kw_only=True)
class TaskProgress:
    """Progress of one task.

    ``last_run`` is the number of the newest claimed run, 0 if there is none.
    ``worker_id`` is the worker of this run while the run may exist, else empty.
    ``crashed_worker_ids`` are the workers that crashed soon after they had started the
    task, and ``doubtful_crashes_count`` is the number of those that crashed and may
    have started it, since it last ran for some time.
    """

    last_run: int = 0
    failures_count: int = 0
    is_done: bool = False
    worker_id: str = ""
    checkpoint: str = ""
    crashed_worker_ids: list[str] = attrs.field(factory=list)
    doubtful_crashes_count: int = 0

    @property
    def crashes_count(self):
        """Number of crashes that the task may have caused."""
        return len(self.crashed_worker_ids) + self.doubtful_crashes_count

    def clear_crashes(self):
        """Forget the crashes, since the task has run for some time."""
        self.crashed_worker_ids = []
        self.doubtful_crashes_count = 0


@attrs.define(kw_only=True)
class StepProgress:
    """Progress of the tasks of one step in one occurrence.

    ``failed_runs`` holds the run numbers in which a gang failed.
    """

    tasks: list[TaskProgress]
    failed_runs: set[int] = attrs.field(factory=set)

    @property
    def is_done(self):
        """Whether all tasks are done."""
        return all(task.is_done for task in self.tasks)


@attrs.frozen(kw_only=True)
class OpenRun:
    """A run that may exist, by the progress of its job."""

    occurrence: int
    step: int
    index: int
    number: int
    worker_id: str

    def key(self, job_id):
        """Return the key of the run: its task and its number."""
        ref = TaskRef(
            job_id=job_id, occurrence=self.occurrence, step=self.step, index=self.index
        )
        return ref, self.number


@attrs.define(kw_only=True)
class JobProgress:
    """Progress of a job.

    ``occurrences`` maps the number of an occurrence to the progress of its steps;
    an occurrence that is done moves to ``done_occurrences``. ``failure_reason`` is why
    the job was given up, empty unless its tasks crash their workers. ``open_runs`` are
    the runs of a failed or cancelled job that have not ended: a new leader must count
    them and stop them.
    """

    state: JobState = JobState.QUEUED
    occurrences: dict[int, list[StepProgress]] = attrs.field(factory=dict)
    done_occurrences: set[int] = attrs.field(factory=set)
    failure_reason: str = ""
    open_runs: dict[tuple, OpenRun] = attrs.field(factory=dict)

    @property
    def is_final(self):
        """Whether the state can no longer change."""
        return self.state in FINAL_STATES

    def steps_of(self, occurrence, submission):
        """Return the progress of an occurrence's steps; creates it on first use."""
        if occurrence not in self.occurrences:
            self.occurrences[occurrence] = [
                StepProgress(tasks=[TaskProgress() for _ in range(step.task_count)])
                for step in submission.steps
            ]
        return self.occurrences[occurrence]

    def task(self, ref):
        """Return the progress of a task, or None if its occurrence is not kept."""
        steps = self.occurrences.get(ref.occurrence)
        if not steps or ref.step >= len(steps):
            return None
        tasks = steps[ref.step].tasks
        return tasks[ref.index] if ref.index < len(tasks) else None

    def held_run(self, ref):
        """Return the `OpenRun` of a task, or None if no worker holds the task."""
        open_run = self.open_runs.get((ref.occurrence, ref.step, ref.index))
        task = self.task(ref)
        if open_run is None and task is not None and task.worker_id:
            return _make_open_run(ref.occurrence, ref.step, ref.index, task)
        return open_run

    def list_held_runs(self):
        """Return an `OpenRun` for each run that may exist."""
        return [
            *self.open_runs.values(),
            *(
                _make_open_run(occurrence, number, index, task)
                for occurrence, steps in self.occurrences.items()
                for number, step in enumerate(steps)
                for index, task in enumerate(step.tasks)
                if task.worker_id
            ),
        ]

    def add_open_run(self, run):
        """Keep a run of a final job that has not ended."""
        self.open_runs[run.occurrence, run.step, run.index] = run


def _make_open_run(occurrence, step, index, task):
    return OpenRun(
        occurrence=occurrence,
        step=step,
        index=index,
        number=task.last_run,
        worker_id=task.worker_id,
    )


def record_end(progress, submission, ref, *, run, how, checkpoint):
    """Apply the end of a run to the progress of its job.

    ``how`` is an `EndKind`, or None if the worker has not reported the end. The end
    of a run older than the newest claimed one changes nothing. Returns whether the
    progress changed.
    """
    task = progress.task(ref)
    if task is None or task.last_run != run or progress.is_final:
        return False
    step = submission.steps[ref.step]
    step_progress = progress.occurrences[ref.occurrence][ref.step]
    # Clearing the worker is a change too: the end of another gang member may already
    # have set `is_done` of this task.
    changed = bool(task.worker_id)
    task.worker_id = ""
    if checkpoint:
        task.checkpoint = checkpoint
    if how == EndKind.DONE and not step.is_long_running and not task.is_done:
        # The members of a gang end together, so that one end completes all of them.
        members = step_progress.tasks if step.is_gang else [task]
        for member in members:
            member.is_done = True
        changed = True
    elif how == EndKind.FAILED and not step.is_long_running:
        changed = True
        if step.is_gang:
            # Failures of several members in one run count as one failure of the gang.
            step_progress.failed_runs.add(run)
            failures_count = len(step_progress.failed_runs)
            for member in step_progress.tasks:
                member.failures_count = failures_count
        else:
            task.failures_count += 1
    return changed


def record_open_run_end(progress, ref, *, run):
    """Remove an ended run of a final job; returns whether the progress changed."""
    key = ref.occurrence, ref.step, ref.index
    open_run = progress.open_runs.get(key)
    if open_run is None or open_run.number != run:
        return False
    del progress.open_runs[key]
    return True


def update_state(progress, submission, *, is_cancelled, has_started, changed_ref=None):
    """Set the state of a job from the progress of its tasks.

    Only the step and the occurrence of ``changed_ref`` are checked for the end of the
    job; all of them without it, which takes long for a wide job.

    Returns
    -------
    bool
        Whether the state changed.
    """
    if progress.is_final:
        return False
    before = progress.state
    if is_cancelled:
        progress.state = JobState.CANCELLED
    elif progress.failure_reason or _has_exhausted_attempts(
        progress, submission, changed_ref
    ):
        progress.state = JobState.FAILED
    else:
        _drop_done_occurrences(progress, changed_ref)
        if len(progress.done_occurrences) == submission.occurrences_count:
            progress.state = JobState.COMPLETED
        elif has_started:
            progress.state = JobState.RUNNING
    if progress.is_final:
        # The runs of a completed job have ended: the members of a gang end together.
        if progress.state != JobState.COMPLETED:
            for run in progress.list_held_runs():
                progress.add_open_run(run)
        progress.occurrences.clear()
    return progress.state != before


def _has_exhausted_attempts(progress, submission, changed_ref):
    if changed_ref is None:
        steps = [step for steps in progress.occurrences.values() for step in steps]
    else:
        steps = progress.occurrences.get(changed_ref.occurrence, ())
        steps = steps[changed_ref.step : changed_ref.step + 1]
    return any(
        not task.is_done and task.failures_count >= submission.attempts_limit
        for step in steps
        for task in step.tasks
    )


def _drop_done_occurrences(progress, changed_ref):
    occurrences = progress.occurrences
    if changed_ref is not None:
        kept = occurrences.get(changed_ref.occurrence)
        occurrences = {} if kept is None else {changed_ref.occurrence: kept}
    # Later steps end last, so that they are asked first.
    done = [
        occurrence
        for occurrence, steps in occurrences.items()
        if all(step.is_done for step in reversed(steps))
    ]
    for occurrence in done:
        del progress.occurrences[occurrence]
        progress.done_occurrences.add(occurrence)
