"""Scheduling units: steps that are ready to start, and workers that may run them."""

import attrs

from ..jobs.steps import GUARANTEED_PRIORITY, Resources, Step
from .packing import Slot, TaskRequirements

# A worker that has not answered for this long gets no new work. Must exceed three
# times `IDLE_POLL_INTERVAL_SECONDS` of `coordination/sessions.py`.
ANSWER_AGE_LIMIT_SECONDS = 6.5
# Largest number of tasks in the occurrences of a job that are open at once, as far as
# there is more than one: each takes memory, and time of every plan. The capacity target
# has 8,000 running tasks.
OPEN_TASKS_LIMIT_COUNT = 16_000


@attrs.frozen(kw_only=True)
class PlanningPolicy:
    """The parts of the configuration and of the operators' orders that planning needs.

    ``guarantee_gpus`` maps an organisation to its guaranteed number of accelerators.
    ``maxima`` maps an organisation to the limit of what it may have running, if it has
    one; resources of 0 are not limited. ``weights`` holds the weights of all
    organisations, and is empty if none is configured. ``closed_data_centres`` are out
    of service.
    """

    guarantee_gpus: dict[str, int] = attrs.field(factory=dict)
    maxima: dict[str, Resources] = attrs.field(factory=dict)
    weights: dict[str, float] = attrs.field(factory=dict)
    closed_data_centres: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True, eq=False)
class SchedulingUnit:
    """Tasks of one step of one occurrence that are ready to start.

    ``indexes`` are the numbers of these tasks in the step. ``is_suspect`` means that
    they are started apart from other work, since they may crash their worker.
    """

    job: object
    occurrence: int
    step_number: int
    step: Step
    indexes: tuple[int, ...]
    is_suspect: bool = False

    @property
    def key(self):
        """Job id, occurrence and step."""
        return self.job.submission.job_id, self.occurrence, self.step_number

    @property
    def priority(self):
        """Priority of the job's queue."""
        return self.job.submission.priority

    @property
    def gpus_count(self):
        """Number of accelerators that all tasks of the unit need together."""
        return self.step.resources.gpus_count * len(self.indexes)


def find_ready_units(shard_state, *, wall_seconds):
    """Return the units that are due and whose earlier steps are done."""
    units = []
    for job in shard_state.jobs.values():
        if job.progress.is_final or job.is_cancelled or job.is_held:
            continue
        if job.submission.is_timed:
            # Time makes occurrences due, and their progress is created only then.
            units += _due_units(job, wall_seconds)
            continue
        if job.ready_units is None:
            job.ready_units = tuple(_due_units(job, wall_seconds))
        units += job.ready_units
    return units


def _due_units(job, wall_seconds):
    submission = job.submission
    tasks_count = sum(step.task_count for step in submission.steps)
    open_tasks_count = 0
    for occurrence in range(submission.occurrences_count):
        if occurrence in job.progress.done_occurrences:
            continue
        if submission.due_at_seconds(occurrence) > wall_seconds:
            break
        open_tasks_count += tasks_count
        if open_tasks_count > max(tasks_count, OPEN_TASKS_LIMIT_COUNT):
            # Later occurrences wait for the end of earlier ones.
            break
        yield from _ready_steps(job, occurrence)


def _ready_steps(job, occurrence):
    steps = job.progress.steps_of(occurrence, job.submission)
    for number, step in enumerate(job.submission.steps):
        tasks = steps[number].tasks
        if not all(steps[earlier].is_done for earlier in step.after):
            continue
        waiting = tuple(
            index
            for index, task in enumerate(tasks)
            if not task.is_done and not task.worker_id
        )
        if not waiting:
            continue
        if step.is_gang and (
            len(waiting) < len(tasks) or job.step_runs(occurrence, number)
        ):
            # A gang waits until every member of its earlier run has ended.
            continue
        for indexes, is_suspect in _split_suspects(job, occurrence, number, waiting):
            yield SchedulingUnit(
                job=job,
                occurrence=occurrence,
                step_number=number,
                step=step,
                indexes=indexes,
                is_suspect=is_suspect,
            )


def _split_suspects(job, occurrence, number, waiting):
    """Return (indexes, whether they are suspects) of waiting tasks that may start.

    After a crash, one suspect of a step starts first, and nothing else until it is
    cleared, so that a step whose tasks all crash their workers takes down one worker
    more.
    """
    if not job.suspect_refs:
        return [(waiting, False)]
    indexes = {
        ref.index
        for ref in job.suspect_refs
        if (ref.occurrence, ref.step) == (occurrence, number)
    }
    suspects = tuple(index for index in waiting if index in indexes)
    has_started_suspect = any(
        run.ref.index in indexes for run in job.step_runs(occurrence, number)
    )
    if not suspects and not has_started_suspect:
        return [(waiting, False)]
    if job.submission.steps[number].is_gang:
        return [(waiting, True)]
    if not job.has_survivor:
        if has_started_suspect:
            return []
        tasks = job.progress.occurrences[occurrence][number].tasks
        first = max(suspects, key=lambda index: tasks[index].crashes_count)
        return [((first,), True)]
    others = tuple(index for index in waiting if index not in indexes)
    parts = [(others, False), (suspects, True)]
    return [(indexes, is_suspect) for indexes, is_suspect in parts if indexes]


def find_guaranteed(units, urgent_gpus, guarantee_gpus):
    """Return the urgent units within the guarantees; older jobs take precedence.

    Parameters
    ----------
    units : list of SchedulingUnit
    urgent_gpus, guarantee_gpus : dict of str to int
        Accelerators that urgent work uses, and that are guaranteed, by organisation.
    """
    promised = dict(urgent_gpus)
    guaranteed = set()
    urgent = [unit for unit in units if unit.priority == GUARANTEED_PRIORITY]
    urgent.sort(key=lambda unit: unit.job.submission.accepted_at_seconds)
    for unit in urgent:
        organisation = unit.job.submission.organisation
        total = promised.get(organisation, 0) + unit.gpus_count
        if total <= guarantee_gpus.get(organisation, 0):
            promised[organisation] = total
            guaranteed.add(unit)
    return guaranteed


def make_slots(shard_state, policy, *, now_seconds):
    """Return a slot with the free capacity of each worker that may get new work."""
    held_worker_ids = shard_state.held_worker_ids()
    return [
        Slot(
            worker_id=worker.worker_id,
            data_centre=worker.entry.data_centre,
            rack=worker.entry.rack,
            service=worker.entry.service,
            labels=worker.entry.labels,
            free=worker.free,
            step_counts=dict(worker.step_counts),
        )
        for worker in shard_state.workers.values()
        if is_usable(worker, policy, now_seconds=now_seconds)
        and worker.worker_id not in held_worker_ids
    ]


def is_usable(worker, policy, *, now_seconds):
    """Return whether a worker may get new work."""
    return (
        worker.entry is not None
        and not worker.entry.is_draining
        and worker.life != 0
        and not worker.is_replaced
        and worker.lost_at_seconds is None
        and not worker.has_unknown_runs
        and worker.entry.data_centre not in policy.closed_data_centres
        and now_seconds - worker.answered_at_seconds < ANSWER_AGE_LIMIT_SECONDS
        and now_seconds >= worker.suspect_until_seconds
    )


def make_requirements(unit):
    """Return what a worker must offer for the tasks of a unit."""
    return step_requirements(
        unit.job,
        unit.occurrence,
        unit.step_number,
        prefers_empty_workers=unit.is_suspect,
    )


def step_requirements(job, occurrence, step_number, *, prefers_empty_workers=False):
    """Return what a worker must offer for the tasks of a step."""
    submission = job.submission
    step = submission.steps[step_number]
    return TaskRequirements(
        step_key=(submission.job_id, occurrence, step_number),
        service=submission.service,
        demand=step.resources,
        required_label=step.required_label,
        tasks_per_worker_limit=step.tasks_per_worker_limit,
        avoided_worker_ids=frozenset(job.failed_worker_ids),
        prefers_empty_workers=prefers_empty_workers,
    )
