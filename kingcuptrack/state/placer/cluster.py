"""Capacity of the workers of one data centre, updated incrementally.

Amounts are lists of five numbers: accelerators, cores, memory bytes, connections
and slots. Needs of one task are tuples of ``(index, amount)``, where the index is the
position in such a list; resources that the task does not need are left out.
"""

from collections import Counter
from functools import lru_cache

import attrs

ACCELERATORS = 0


@lru_cache(maxsize=4096)
def task_needs(shape):
    """Return the needs of one task of a shape, including its slot."""
    amounts = (
        shape.accelerators_count,
        shape.cores_count,
        shape.memory_bytes,
        shape.connections_count,
        1,
    )
    return tuple((index, amount) for index, amount in enumerate(amounts) if amount)


def capacity_amounts(capacity):
    """Return the amounts of an empty worker."""
    return [
        capacity.accelerators_count,
        capacity.cores_count,
        capacity.memory_bytes,
        capacity.connections_count,
        capacity.slots_count,
    ]


def fit_count(amounts, needs):
    """Return how many tasks fit into amounts; zero if an amount is negative."""
    fewest_count = None
    for index, amount in needs:
        count = amounts[index] // amount
        if count <= 0:
            return 0
        if fewest_count is None or count < fewest_count:
            fewest_count = count
    return fewest_count


@attrs.define(kw_only=True)
class Ledger:
    """Free amounts by worker, and what holders have allocated on each.

    A holder is a gang or the hold of a waiting job, under its job id. Allocations
    on workers without an entry in ``free`` are kept, so that a worker that is
    removed and reported again has the same free amounts. ``holders`` is keyed by
    worker and holder and gives counts of tasks; ``needs`` and ``workers`` are keyed
    by holder.
    """

    free: dict[str, list[int]] = attrs.field(factory=dict)
    holders: dict[str, dict[str, int]] = attrs.field(factory=dict)
    needs: dict[str, tuple] = attrs.field(factory=dict)
    workers: dict[str, Counter] = attrs.field(factory=dict)


def set_worker_capacity(ledger, worker_id, amounts):
    """Set the amounts of an empty worker; None removes the worker."""
    if amounts is None:
        ledger.free.pop(worker_id, None)
        return
    ledger.free[worker_id] = remaining = list(amounts)
    for holder_id, count in ledger.holders.get(worker_id, {}).items():
        for index, amount in ledger.needs[holder_id]:
            remaining[index] -= amount * count


def allocate(ledger, holder_id, needs, worker_ids):
    """Allocate one task on each of ``worker_ids``, which may contain duplicates."""
    counts = Counter(worker_ids)
    ledger.needs[holder_id] = needs
    ledger.workers[holder_id] = counts
    for worker_id, count in counts.items():
        ledger.holders.setdefault(worker_id, {})[holder_id] = count
        remaining = ledger.free.get(worker_id)
        if remaining is not None:
            for index, amount in needs:
                remaining[index] -= amount * count


def release(ledger, holder_id):
    """Free all allocations of a holder; return the worker ids, empty if none."""
    counts = ledger.workers.pop(holder_id, None)
    if counts is None:
        return ()
    needs = ledger.needs.pop(holder_id)
    for worker_id, count in counts.items():
        holders = ledger.holders[worker_id]
        del holders[holder_id]
        if not holders:
            del ledger.holders[worker_id]
        remaining = ledger.free.get(worker_id)
        if remaining is not None:
            for index, amount in needs:
                remaining[index] += amount * count
    return tuple(counts)


@attrs.define(kw_only=True)
class Cluster:
    """Workers of one data centre.

    ``now`` records the allocations of running gangs, including those that are being
    reclaimed. ``planned`` records the running gangs that are not being reclaimed and
    the holds of jobs that wait for a reclaim. A task may start on a worker only if it
    fits the free amounts of both, whose minimum is in ``available``: otherwise the
    task would take capacity that is still in use or already promised. ``racks`` lists
    the workers that accept new tasks, by rack; ``closed`` holds the ids of the
    quarantined workers.
    """

    workers: dict = attrs.field(factory=dict)
    now: Ledger = attrs.field(factory=Ledger)
    planned: Ledger = attrs.field(factory=Ledger)
    available: dict[str, list[int]] = attrs.field(factory=dict)
    total_amounts: list[int] = attrs.field(factory=lambda: [0] * 5)
    racks: dict[str, list[str]] = attrs.field(factory=dict)
    closed: set[str] = attrs.field(factory=set)


def put_worker(cluster, worker):
    """Add or update a worker."""
    drop_worker(cluster, worker.worker_id)
    amounts = capacity_amounts(worker.capacity)
    cluster.workers[worker.worker_id] = worker
    cluster.total_amounts = [
        a + b for a, b in zip(cluster.total_amounts, amounts, strict=True)
    ]
    set_worker_capacity(cluster.now, worker.worker_id, amounts)
    set_worker_capacity(cluster.planned, worker.worker_id, amounts)
    _update_available(cluster, (worker.worker_id,))


def drop_worker(cluster, worker_id):
    """Remove a worker; allocations on it are kept."""
    worker = cluster.workers.pop(worker_id, None)
    if worker is None:
        return
    amounts = capacity_amounts(worker.capacity)
    cluster.total_amounts = [
        a - b for a, b in zip(cluster.total_amounts, amounts, strict=True)
    ]
    set_worker_capacity(cluster.now, worker_id, None)
    set_worker_capacity(cluster.planned, worker_id, None)
    cluster.available.pop(worker_id, None)


def set_quarantined(cluster, quarantined_ids):
    """Set the quarantined workers; list the others that are not leaving in racks."""
    cluster.closed = set(quarantined_ids)
    cluster.racks = {}
    for worker_id in sorted(cluster.workers):
        worker = cluster.workers[worker_id]
        if not worker.is_leaving and worker_id not in quarantined_ids:
            cluster.racks.setdefault(worker.rack, []).append(worker_id)


def start_tasks(cluster, holder_id, needs, worker_ids):
    """Allocate the capacity of a gang that starts; a hold of it is already planned."""
    allocate(cluster.now, holder_id, needs, worker_ids)
    if holder_id not in cluster.planned.workers:
        allocate(cluster.planned, holder_id, needs, worker_ids)
    _update_available(cluster, set(worker_ids))


def end_tasks(cluster, holder_id):
    """Free the capacity of a gang that no longer runs."""
    worker_ids = release(cluster.now, holder_id)
    release(cluster.planned, holder_id)
    _update_available(cluster, worker_ids)


def hold_tasks(cluster, holder_id, needs, worker_ids):
    """Hold capacity for a job that waits for reclaimed gangs to stop."""
    allocate(cluster.planned, holder_id, needs, worker_ids)
    _update_available(cluster, set(worker_ids))


def release_planned(cluster, holder_id):
    """Release a hold, or the planned capacity of a gang that is being reclaimed."""
    _update_available(cluster, release(cluster.planned, holder_id))


def _update_available(cluster, worker_ids):
    for worker_id in worker_ids:
        free_now = cluster.now.free.get(worker_id)
        free_planned = cluster.planned.free.get(worker_id)
        if free_now is None:
            continue
        if free_now == free_planned:
            cluster.available[worker_id] = free_now
        else:
            cluster.available[worker_id] = list(map(min, free_now, free_planned))
