"""Reservations of workers for waiting gangs, with backfill of shorter work.

Designed for wide batches of small tasks beside large gangs: without reservations every
free accelerator goes to a small task, and a gang that needs whole workers starves.
"""

from .packing import count_fitting, is_eligible

# Added to the expected ends of runs, since estimates are rough.
ESTIMATE_MARGIN_SECONDS = 0.3


def reserve_slots(unit, requirements, slots, shard_state, *, now_seconds):
    """Reserve the workers on which a unit is expected to fit first.

    Sets ``reserved_at_seconds`` of their slots; work that is expected to end by then
    may still use these slots.

    Returns
    -------
    float or None
        When the unit is expected to fit; None if it never fits.
    """
    ready = []
    for slot in slots:
        if is_eligible(slot, requirements):
            ready += _ready_times(
                slot, requirements, shard_state, len(unit.indexes), now_seconds
            )
    if unit.step.same_rack:
        ready = _earliest_rack(ready, len(unit.indexes))
    ready.sort(key=lambda item: (item[0], item[1].worker_id))
    chosen = ready[: len(unit.indexes)]
    if len(chosen) < len(unit.indexes):
        return None
    begin_seconds = chosen[-1][0]
    for _, slot in chosen:
        slot.reserved_at_seconds = begin_seconds
    return begin_seconds


def ends_before_reservation(slot, *, end_seconds):
    """Return whether work with this end does not delay a reservation of the slot."""
    return slot.reserved_at_seconds is None or end_seconds <= slot.reserved_at_seconds


def _ready_times(slot, requirements, shard_state, tasks_count, now_seconds):
    """Return (time, slot) for each task that fits on the worker, by time."""
    trial = slot.copy()
    times = [(now_seconds, slot)] * count_fitting(trial, requirements, tasks_count)
    worker = shard_state.workers[slot.worker_id]
    ends = [
        (shard_state.expected_end_seconds(run, now_seconds), run.resources)
        for run in worker.runs.values()
    ]
    ends += slot.planned_tasks
    for end_seconds, resources in sorted(ends, key=lambda item: item[0]):
        trial.free = trial.free.plus(resources)
        fitting = count_fitting(trial, requirements, tasks_count)
        while len(times) < fitting:
            times.append((end_seconds + ESTIMATE_MARGIN_SECONDS, slot))
    return times


def _earliest_rack(ready, tasks_count):
    """Return the (time, slot) items of the rack where all tasks fit first."""
    racks = {}
    for item in ready:
        racks.setdefault(item[1].rack, []).append(item)
    complete = [
        sorted(items, key=lambda item: item[0])[:tasks_count]
        for _, items in sorted(racks.items())
        if len(items) >= tasks_count
    ]
    return min(complete, key=lambda items: items[-1][0], default=[])
