"""Reservations of workers for waiting gangs, with backfill of shorter work.

Designed for wide batches of small tasks beside large gangs: without reservations every
free accelerator goes to a small task, and a gang that needs whole workers starves.
"""

from .packing import count_fitting, count_tasks, is_eligible

# Added to the expected ends of runs, since estimates are rough.
ESTIMATE_MARGIN_SECONDS = 0.3


def reserve_slots(
    unit, requirements, slots, expected_ends, *, now_seconds, slowdown_seconds=None
):
    """Reserve the workers on which a unit is expected to fit first.

    Sets ``reserved_at_seconds`` of their slots; work that is expected to end by then
    may still use these slots.

    Parameters
    ----------
    unit : SchedulingUnit
    requirements : TaskRequirements
    slots : list of Slot
    expected_ends : callable
        Returns the (expected end, resources) of the runs of a worker.
    now_seconds : float
    slowdown_seconds : callable, optional
        Returns how much longer a task takes on a slot than on an average worker. The
        unit then gets the workers on which it is expected to end first.

    Returns
    -------
    float or None
        When the unit is expected to fit; None if it never fits.
    """
    ready = []
    for slot in slots:
        if is_eligible(slot, requirements):
            ready += _ready_times(
                slot, requirements, expected_ends, len(unit.indexes), now_seconds
            )
    if unit.step.same_rack:
        ready = _earliest_rack(ready, len(unit.indexes), slowdown_seconds)
    chosen = _earliest(ready, len(unit.indexes), slowdown_seconds)
    if len(chosen) < len(unit.indexes):
        return None
    begin_seconds = max(ready_seconds for ready_seconds, _ in chosen)
    for _, slot in chosen:
        slot.reserved_at_seconds = begin_seconds
    return begin_seconds


def ends_before_reservation(slot, *, end_seconds):
    """Return whether work with this end does not delay a reservation of the slot."""
    return slot.reserved_at_seconds is None or end_seconds <= slot.reserved_at_seconds


def _ready_times(slot, requirements, expected_ends, tasks_count, now_seconds):
    """Return (time, slot) for each task that fits on the worker, by time."""
    limit_count = tasks_count
    if requirements.tasks_per_worker_limit:
        taken_count = slot.step_counts.get(requirements.step_key, 0)
        limit_count = min(
            limit_count, requirements.tasks_per_worker_limit - taken_count
        )
    times = [(now_seconds, slot)] * count_fitting(slot, requirements, tasks_count)
    free = slot.free
    ends = [*expected_ends(slot.worker_id), *slot.planned_tasks]
    ends.sort(key=lambda item: item[0])
    for end_seconds, resources in ends:
        if len(times) >= limit_count:
            break
        free = free.plus(resources)
        fitting_count = count_tasks(free, requirements.demand, limit_count)
        while len(times) < fitting_count:
            times.append((end_seconds + ESTIMATE_MARGIN_SECONDS, slot))
    return times


def _end_key(item, slowdown_seconds):
    ready_seconds, slot = item
    return ready_seconds + (slowdown_seconds(slot) if slowdown_seconds else 0.0)


def _earliest(ready, tasks_count, slowdown_seconds):
    """Return the (time, slot) items on which tasks end first."""
    items = sorted(
        ready,
        key=lambda item: (_end_key(item, slowdown_seconds), item[1].worker_id),
    )
    return items[:tasks_count]


def _earliest_rack(ready, tasks_count, slowdown_seconds):
    """Return the (time, slot) items of the rack where all tasks end first."""
    racks = {}
    for item in ready:
        racks.setdefault(item[1].rack, []).append(item)
    complete = [
        sorted(items, key=lambda item: _end_key(item, slowdown_seconds))[:tasks_count]
        for _, items in sorted(racks.items())
        if len(items) >= tasks_count
    ]
    return min(
        complete,
        key=lambda items: _end_key(items[-1], slowdown_seconds),
        default=[],
    )
