"""Room kept for a gang that waits for several workers at once.

Answers the load of wide batches of small tasks beside large gangs: without it every
free accelerator goes to a small task, and a gang that needs whole workers starves.
"""

from .packing import count_fitting, is_eligible

# Runs are expected to end at least this much later, since estimates are rough.
ESTIMATE_MARGIN_SECONDS = 0.3


def reserve(unit, want, slots, shard_state, *, now_seconds):
    """Reserve the workers that can take a gang first.

    Slots get ``reserved_at_seconds``: work that is expected to end by then may still
    use them.

    Returns
    -------
    float or None
        When the gang is expected to fit; None if it never does.
    """
    ready = []
    for slot in slots:
        if is_eligible(slot, want):
            ready += _ready_times(
                slot, want, shard_state, len(unit.indexes), now_seconds
            )
    if unit.step.same_rack:
        ready = _best_rack(ready, len(unit.indexes))
    ready.sort(key=lambda item: (item[0], item[1].worker_id))
    chosen = ready[: len(unit.indexes)]
    if len(chosen) < len(unit.indexes):
        return None
    begin_seconds = chosen[-1][0]
    for _, slot in chosen:
        slot.reserved_at_seconds = begin_seconds
    return begin_seconds


def may_use(slot, *, end_seconds):
    """Return whether work that ends by a time may use a slot."""
    return slot.reserved_at_seconds is None or end_seconds <= slot.reserved_at_seconds


def _ready_times(slot, want, shard_state, tasks_count, now_seconds):
    """Return (time, slot) for each task that the worker can take, in order."""
    trial = slot.copy()
    times = [(now_seconds, slot)] * count_fitting(trial, want, tasks_count)
    worker = shard_state.workers[slot.worker_id]
    ends = [
        (shard_state.expected_end_seconds(run, now_seconds), run.resources)
        for run in worker.runs.values()
    ]
    ends += slot.planned
    for end_seconds, resources in sorted(ends, key=lambda item: item[0]):
        trial.free = trial.free.plus(resources)
        fitting = count_fitting(trial, want, tasks_count)
        while len(times) < fitting:
            times.append((end_seconds + ESTIMATE_MARGIN_SECONDS, slot))
    return times


def _best_rack(ready, tasks_count):
    racks = {}
    for item in ready:
        racks.setdefault(item[1].rack, []).append(item)
    complete = [
        sorted(items, key=lambda item: item[0])[:tasks_count]
        for _, items in sorted(racks.items())
        if len(items) >= tasks_count
    ]
    return min(complete, key=lambda items: items[-1][0], default=[])
