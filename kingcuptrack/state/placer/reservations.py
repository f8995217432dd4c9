"""Advance reservation of workers for a patient gang that waited too long.

A gang of many adjacent accelerators never fits while smaller gangs start on the
capacity that becomes free. Its reservation therefore names workers. Gangs that
already run there may finish, since declared run times are too inaccurate to plan
with. Gangs that start there later are backfill; they are reclaimed as soon as no
other gang blocks the reserved one.
"""

from collections import Counter

import attrs

from .cluster import fit_count
from .placement import adjacency_domains, assign_in_order
from .reclaim import target_in_domain


@attrs.define(kw_only=True)
class Reservation:
    """Reserved workers by task index, and the backfill that started on them.

    ``unplaced_tasks_count`` is the number of tasks that had no room on the workers
    when these were chosen, ``reviewed_seconds`` the time of the last search for
    better ones.
    """

    job_id: str
    worker_ids: tuple[str, ...]
    unplaced_tasks_count: int
    reviewed_seconds: float
    backfill_job_ids: set[str] = attrs.field(factory=set)


def make_reservation(
    cluster, job_id, needs, tasks_count, level, capacities, *, now_seconds
):
    """Reserve workers of the domain where the fewest tasks lack room.

    None if no domain has enough capacity, even without other gangs.
    """
    best = None
    for worker_ids in adjacency_domains(cluster.racks, level):
        capacity_counts = {
            worker_id: fit_count(capacities[worker_id], needs)
            for worker_id in worker_ids
        }
        if sum(capacity_counts.values()) < tasks_count:
            continue
        free_counts = {
            worker_id: fit_count(cluster.planned.free[worker_id], needs)
            for worker_id in worker_ids
        }
        order = sorted(
            worker_ids,
            key=lambda worker_id: capacity_counts[worker_id] - free_counts[worker_id],
        )
        chosen = assign_in_order(
            [(worker_id, capacity_counts[worker_id]) for worker_id in order],
            tasks_count,
        )
        unplaced_tasks_count = sum(
            max(0, count - free_counts[worker_id])
            for worker_id, count in Counter(chosen).items()
        )
        if best is None or unplaced_tasks_count < best[0]:
            best = (unplaced_tasks_count, chosen)
    if best is None:
        return None
    return Reservation(
        job_id=job_id,
        worker_ids=best[1],
        unplaced_tasks_count=best[0],
        reviewed_seconds=now_seconds,
    )


def count_unplaced_tasks(reservation, cluster, needs):
    """Return how many reserved tasks would lack room even without backfill."""
    unplaced_tasks_count = 0
    planned = cluster.planned
    for worker_id, count in Counter(reservation.worker_ids).items():
        free_amounts = list(planned.free[worker_id])
        for holder_id, tasks_count in planned.holders.get(worker_id, {}).items():
            if holder_id in reservation.backfill_job_ids:
                for index, amount in planned.needs[holder_id]:
                    free_amounts[index] += amount * tasks_count
        unplaced_tasks_count += max(0, count - fit_count(free_amounts, needs))
    return unplaced_tasks_count


def reservation_target(reservation, cluster, needs, tasks_count, cost_of):
    """Return a target on the reserved workers that stops backfill only, or None."""
    limits = Counter(reservation.worker_ids)
    return target_in_domain(
        cluster, list(limits), needs, tasks_count, cost_of, limits=limits
    )


def reservation_blockers(reservation, cluster):
    """Return the gangs on the reserved workers that are not backfill."""
    holder_ids = set()
    for worker_id in set(reservation.worker_ids):
        holder_ids.update(cluster.planned.holders.get(worker_id, ()))
    return holder_ids - reservation.backfill_job_ids
