"""Choice of workers for the tasks of a gang.

Accelerators on one worker are closest to each other, then those in one rack, then
those in one data centre. A placement function takes
``(racks, free, needs, tasks_count, levels)`` and returns the worker id of each task,
or None if the gang fits at none of the levels. ``free`` and ``needs`` have the form
described in `cluster`.
"""

from enum import IntEnum

from .cluster import ACCELERATORS, fit_count


class AdjacencyLevel(IntEnum):
    """Level at which the workers of a gang are adjacent, tightest first."""

    WORKER = 0
    RACK = 1
    DATA_CENTRE = 2


def adjacency_domains(racks, level):
    """Return the lists of worker ids that are adjacent at a level."""
    if level == AdjacencyLevel.WORKER:
        return [[worker_id] for ids in racks.values() for worker_id in ids]
    if level == AdjacencyLevel.RACK:
        return list(racks.values())
    return [[worker_id for ids in racks.values() for worker_id in ids]]


def tightest_level(workers, capacities, needs, tasks_count):
    """Return the tightest level at which a gang fits if all workers are empty."""
    totals = {}
    level = AdjacencyLevel.DATA_CENTRE
    for worker in workers:
        count = fit_count(capacities[worker.worker_id], needs)
        if count >= tasks_count:
            return AdjacencyLevel.WORKER
        totals[worker.rack] = totals.get(worker.rack, 0) + count
        if totals[worker.rack] >= tasks_count:
            level = AdjacencyLevel.RACK
    return level


def make_placement(score, order, rack_score=None):
    """Return a placement function.

    Parameters
    ----------
    score : callable
        ``score(free, worker_ids, fit_count)`` of a worker or rack that the gang
        fits; the lowest score is chosen.
    order : callable
        ``order(counts)`` sorts the ``(worker id, fit count)`` pairs of one rack;
        tasks are assigned to the first workers.
    rack_score : callable, optional
        ``rack_score(free, worker_ids)`` of the rack of a worker; the lowest is
        chosen among workers of equal score.
    """

    def place(racks, free, needs, tasks_count, levels):
        for level in levels:
            if level == AdjacencyLevel.WORKER:
                worker_ids = _place_on_worker(racks, free, needs, tasks_count)
            elif level == AdjacencyLevel.RACK:
                worker_ids = _place_in_rack(racks, free, needs, tasks_count)
            else:
                worker_ids = _place_across(racks, free, needs, tasks_count)
            if worker_ids is not None:
                return worker_ids
        return None

    def _place_on_worker(racks, free, needs, tasks_count):
        best = None
        for rack_ids in racks.values():
            rack_key = None
            for worker_id in rack_ids:
                count = fit_count(free[worker_id], needs)
                if count < tasks_count:
                    continue
                key = score(free, (worker_id,), count)
                if best is not None and key > best[0]:
                    continue
                if rack_key is None and rack_score is not None:
                    rack_key = rack_score(free, rack_ids)
                if best is None or (key, rack_key or 0) < best[:2]:
                    best = (key, rack_key or 0, worker_id)
        return None if best is None else (best[2],) * tasks_count

    def _place_in_rack(racks, free, needs, tasks_count):
        best = None
        for worker_ids in racks.values():
            counts = _fit_counts(worker_ids, free, needs)
            total = sum(count for _, count in counts)
            if total >= tasks_count:
                key = score(free, worker_ids, total)
                if best is None or key < best[0]:
                    best = (key, counts)
        return None if best is None else assign_in_order(order(best[1]), tasks_count)

    def _place_across(racks, free, needs, tasks_count):
        counts_by_rack = []
        for worker_ids in racks.values():
            counts = _fit_counts(worker_ids, free, needs)
            total = sum(count for _, count in counts)
            if total:
                counts_by_rack.append((total, counts))
        if sum(total for total, _ in counts_by_rack) < tasks_count:
            return None
        # To span few racks, the gang fills the racks that fit the most tasks, and its
        # remaining tasks go to the rack with the least room that suffices.
        counts_by_rack.sort(key=lambda item: -item[0])
        chosen = []
        while counts_by_rack:
            remaining = tasks_count - len(chosen)
            index = 0
            for position, (total, _) in enumerate(counts_by_rack):
                if total >= remaining:
                    index = position
            total, counts = counts_by_rack.pop(index)
            chosen += assign_in_order(order(counts), min(total, remaining))
            if len(chosen) == tasks_count:
                break
        return tuple(chosen)

    return place


def assign_in_order(counts, tasks_count):
    """Return a worker id for each task; fills the workers in the given order."""
    chosen = []
    for worker_id, count in counts:
        chosen += [worker_id] * min(count, tasks_count - len(chosen))
        if len(chosen) == tasks_count:
            break
    return tuple(chosen)


def _fit_counts(worker_ids, free, needs):
    counts = [
        (worker_id, fit_count(free[worker_id], needs)) for worker_id in worker_ids
    ]
    return [item for item in counts if item[1]]


def _remaining_room(free, worker_ids, total):
    """Return tasks that fit, free accelerators and free cores of the first worker."""
    amounts = [free[worker_id] for worker_id in worker_ids]
    return (total, sum(item[ACCELERATORS] for item in amounts), amounts[0][1])


def _least_room_first(counts):
    return sorted(counts, key=lambda item: item[1])


def _free_accelerators_count(free, worker_ids):
    return sum(free[worker_id][ACCELERATORS] for worker_id in worker_ids)


# Among equally suitable workers, the one in the rack with the fewest free accelerators
# is used, so that other racks stay free for large gangs.
best_fit_by_rack = make_placement(
    _remaining_room, _least_room_first, _free_accelerators_count
)
first_fit = make_placement(lambda free, worker_ids, total: 0, lambda counts: counts)


def make_random_fit(random_source):
    """Return a placement function that picks at random among what fits."""

    def score(free, worker_ids, total):
        return random_source.random()

    def order(counts):
        random_source.shuffle(counts)
        return counts

    return make_placement(score, order)


def largest_placeable_count(racks, free, capacities):
    """Return the accelerators of the largest adjacent gang that still fits.

    The gang consists of tasks that each take all accelerators of a worker, within
    one rack. If no worker has all accelerators free, the count is that of the
    largest single task.
    """
    largest_count = 0
    for worker_ids in racks.values():
        whole_count = 0
        for worker_id in worker_ids:
            count = free[worker_id][ACCELERATORS]
            largest_count = max(largest_count, count)
            if count == capacities[worker_id][ACCELERATORS]:
                whole_count += count
        largest_count = max(largest_count, whole_count)
    return largest_count


def unfragmented_ratio(racks, free, capacities):
    """Return the largest placeable gang's part of the free accelerators.

    The ratio is 1.0 if no accelerator is free, and falls as free accelerators are
    spread over more racks and partly used workers. An empty data centre of several
    racks has a ratio below one, so that values are comparable only between policies
    on the same trace.
    """
    free_count = sum(
        free[worker_id][ACCELERATORS] for ids in racks.values() for worker_id in ids
    )
    if free_count == 0:
        return 1.0
    return largest_placeable_count(racks, free, capacities) / free_count
