"""Choice of workers for the tasks of a step.

A planning pass works on slots: copies of the workers' free capacity, from which placed
tasks are deducted.
"""

import attrs


@attrs.define(kw_only=True, eq=False)
class Slot:
    """Free capacity of one worker during a planning pass.

    ``planned_tasks`` holds (expected end, resources) of the tasks that this pass placed
    here. ``step_counts`` are the numbers of tasks here by step key.
    ``reserved_at_seconds`` is when a gang with a reservation is expected to start.
    """

    worker_id: str
    data_centre: str
    rack: str
    service: str
    labels: frozenset[str]
    free: object
    step_counts: dict = attrs.field(factory=dict)
    reserved_at_seconds: float | None = None
    planned_tasks: list = attrs.field(factory=list)

    def copy(self):
        """Return a copy whose changes leave this slot as it is."""
        return attrs.evolve(
            self,
            step_counts=dict(self.step_counts),
            planned_tasks=list(self.planned_tasks),
        )

    def count_fitting_tasks(self, demand, limit_count):
        """Return how many tasks of this demand fit, at most the limit."""
        counts = [limit_count]
        for free, needed in zip(
            attrs.astuple(self.free), attrs.astuple(demand), strict=True
        ):
            if needed > 0:
                counts.append(max(free, 0) // needed)
        return max(0, min(counts))


@attrs.frozen(kw_only=True)
class TaskRequirements:
    """Requirements of a step's tasks on a worker.

    ``step_key`` identifies the step, for ``tasks_per_worker_limit``, where 0 means no
    limit.
    """

    step_key: tuple
    service: str
    demand: object
    required_label: str = ""
    tasks_per_worker_limit: int = 0
    avoided_worker_ids: frozenset[str] = frozenset()


def is_eligible(slot, requirements):
    """Return whether a worker has the service and the label that tasks need."""
    return slot.service == requirements.service and (
        not requirements.required_label or requirements.required_label in slot.labels
    )


def count_fitting(slot, requirements, limit_count):
    """Return how many tasks fit on a worker now, at most the limit."""
    if not is_eligible(slot, requirements):
        return 0
    if requirements.tasks_per_worker_limit:
        taken_count = slot.step_counts.get(requirements.step_key, 0)
        limit_count = min(
            limit_count, requirements.tasks_per_worker_limit - taken_count
        )
    return slot.count_fitting_tasks(requirements.demand, max(0, limit_count))


def choose_slots(slots, requirements, tasks_count):
    """Choose slots for as many of the tasks as fit.

    Prefers workers where no run of the job has failed, then those with the fewest
    accelerators left free, so that whole workers stay free for large tasks.

    Returns
    -------
    list of Slot
        One entry for each task placed; may be shorter than ``tasks_count``.
    """
    fitting = []
    for slot in slots:
        count = count_fitting(slot, requirements, tasks_count)
        if count:
            fitting.append((slot, count))
    fitting.sort(
        key=lambda item: (
            item[0].worker_id in requirements.avoided_worker_ids,
            item[0].free.gpus_count - item[1] * requirements.demand.gpus_count,
            item[0].free.memory_mb - item[1] * requirements.demand.memory_mb,
            item[0].worker_id,
        )
    )
    chosen = []
    for slot, count in fitting:
        take_count = min(count, tasks_count - len(chosen))
        chosen += [slot] * take_count
        if len(chosen) == tasks_count:
            break
    return chosen


def choose_rack(slots, requirements, tasks_count):
    """Choose slots of one rack for all tasks; an empty list if no rack has room.

    Chooses the rack with the fewest free accelerators.
    """
    best, best_left = [], None
    racks = {}
    for slot in slots:
        racks.setdefault(slot.rack, []).append(slot)
    for rack in sorted(racks):
        chosen = choose_slots(racks[rack], requirements, tasks_count)
        if len(chosen) < tasks_count:
            continue
        left = sum(max(0, slot.free.gpus_count) for slot in racks[rack])
        if best_left is None or left < best_left:
            best, best_left = chosen, left
    return best


def allocate(slots, requirements, *, end_seconds=None):
    """Deduct one task from each entry of ``slots``, until the expected end if given."""
    for slot in slots:
        if end_seconds is not None:
            slot.planned_tasks.append((end_seconds, requirements.demand))
        slot.free = slot.free.minus(requirements.demand)
        slot.step_counts[requirements.step_key] = (
            slot.step_counts.get(requirements.step_key, 0) + 1
        )
