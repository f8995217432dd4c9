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


class SlotPool:
    """The slots of one planning pass, with indexes that keep searches short.

    ``slots`` lists all of them, ``by_rack`` those of each rack. Tasks are deducted with
    `allocate` only, which keeps the indexes up to date.
    """

    def __init__(self, slots):
        self.slots = slots
        self.by_rack = {}
        self._workers_by_free_gpus = {}
        for slot in slots:
            self.by_rack.setdefault(slot.rack, []).append(slot)
            self._count_free_gpus(slot, 1)

    def most_fitting(self, gpus_count, limit_count):
        """Return an upper bound of the tasks that fit, by their accelerators alone."""
        if not gpus_count:
            return limit_count
        total_count = sum(
            workers_count * (free_count // gpus_count)
            for free_count, workers_count in self._workers_by_free_gpus.items()
        )
        return min(limit_count, total_count)

    def allocate(self, slots, requirements, *, end_seconds=None):
        """Deduct a task from each of ``slots``, until the expected end if given."""
        for slot in slots:
            if end_seconds is not None:
                slot.planned_tasks.append((end_seconds, requirements.demand))
            self._count_free_gpus(slot, -1)
            slot.free = slot.free.minus(requirements.demand)
            self._count_free_gpus(slot, 1)
            slot.step_counts[requirements.step_key] = (
                slot.step_counts.get(requirements.step_key, 0) + 1
            )

    def remove(self, slots):
        """Let nothing more be placed on ``slots``."""
        for slot in set(slots):
            self.slots.remove(slot)
            self.by_rack[slot.rack].remove(slot)
            self._count_free_gpus(slot, -1)

    def _count_free_gpus(self, slot, change):
        free_count = max(0, slot.free.gpus_count)
        self._workers_by_free_gpus[free_count] = (
            self._workers_by_free_gpus.get(free_count, 0) + change
        )


@attrs.frozen(kw_only=True)
class TaskRequirements:
    """Requirements of a step's tasks on a worker.

    ``step_key`` identifies the step, for ``tasks_per_worker_limit``, where 0 means no
    limit. With ``prefers_empty_workers``, the workers with the most free accelerators
    come first, otherwise those with the fewest.
    """

    step_key: tuple
    service: str
    demand: object
    required_label: str = ""
    tasks_per_worker_limit: int = 0
    avoided_worker_ids: frozenset[str] = frozenset()
    prefers_empty_workers: bool = False


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
    return count_tasks(slot.free, requirements.demand, limit_count)


def count_tasks(free, demand, limit_count):
    """Return how many tasks of a demand fit into free resources, at most the limit.

    Nothing fits if any resource is overused, as after a worker's capacity has shrunk.
    """
    if free.gpus_count < 0 or free.memory_mb < 0 or free.cpu_millicores < 0:
        return 0
    count = limit_count
    if demand.gpus_count:
        count = min(count, free.gpus_count // demand.gpus_count)
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    if demand.cpu_millicores:
        count = min(count, free.cpu_millicores // demand.cpu_millicores)
    return max(0, count)


def choose_slots(slots, requirements, tasks_count, *, rank=None):
    """Choose slots for as many of the tasks as fit.

    Prefers workers where no run of the job has failed, then those with the fewest
    accelerators left free, so that whole workers stay free for large tasks, or with the
    most free ones, as the requirements say.

    Parameters
    ----------
    slots : iterable of Slot
    requirements : TaskRequirements
    tasks_count : int
    rank : callable, optional
        Returns a number for a slot. Slots with a lower number come first; only slots
        with the same number are compared by their free accelerators.

    Returns
    -------
    list of Slot
        One entry for each task placed; may be shorter than ``tasks_count``.
    """
    fitting = []
    gpus_count = requirements.demand.gpus_count
    for slot in slots:
        if gpus_count and slot.free.gpus_count < gpus_count:
            continue
        count = count_fitting(slot, requirements, tasks_count)
        if count:
            fitting.append((slot, count))
    fitting.sort(
        key=lambda item: (
            item[0].worker_id in requirements.avoided_worker_ids,
            rank(item[0]) if rank else 0,
            -item[0].free.gpus_count if requirements.prefers_empty_workers else 0,
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


def choose_rack(slots, requirements, tasks_count, *, rank=None):
    """Choose slots of one rack for all tasks; an empty list if no rack has room.

    Chooses the rack with the lowest rank of its worst chosen slot, if ``rank`` is
    given; see `choose_slots`. Among these, the one with the fewest free accelerators.
    """
    best, best_key = [], None
    racks = {}
    for slot in slots:
        racks.setdefault(slot.rack, []).append(slot)
    for rack in sorted(racks):
        chosen = choose_slots(racks[rack], requirements, tasks_count, rank=rank)
        if len(chosen) < tasks_count:
            continue
        left = sum(max(0, slot.free.gpus_count) for slot in racks[rack])
        key = max(rank(slot) for slot in chosen) if rank else 0, left
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    return best
