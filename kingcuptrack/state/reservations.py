"""Advance reservation of workers for a patient gang that waited too long.

A gang of many adjacent accelerators never fits while smaller gangs take what
becomes free. Its reservation names workers. What runs there may finish, since
declared run times are too inaccurate to plan with; what starts there afterwards
is backfill and is reclaimed as soon as nothing else is in the way.
"""

from collections import Counter

import attrs

from .cluster import fit_count
from .placement import adjacency_domains, assign_in_order
from .reclaim import target_in_domain


@attrs.define(kw_only=True)
class Reservation:
    """Workers by task index, and the gangs that started on them since.

    ``unplaced_tasks_count`` tasks had no room when the workers were chosen.
    """

    job_id: str
    worker_ids: tuple[str, ...]
    unplaced_tasks_count: int
    reviewed_seconds: float
    backfill_job_ids: set[str] = attrs.field(factory=set)


def make_reservation(
    cluster, job_id, needs, tasks_count, level, capacities, *, now_seconds
):
    """Reserve the domain with the most room already; None if no domain suffices."""
    best = None
    for worker_ids in adjacency_domains(cluster.racks, level):
        whole = {item: fit_count(capacities[item], needs) for item in worker_ids}
        if sum(whole.values()) < tasks_count:
            continue
        free = {
            item: fit_count(cluster.planned.free[item], needs) for item in worker_ids
        }
        order = sorted(worker_ids, key=lambda item: whole[item] - free[item])
        chosen = assign_in_order([(item, whole[item]) for item in order], tasks_count)
        unplaced_tasks_count = sum(
            max(0, count - free[item]) for item, count in Counter(chosen).items()
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
    """Return the reserved tasks without room even if all backfill stopped."""
    unplaced_tasks_count = 0
    planned = cluster.planned
    for worker_id, count in Counter(reservation.worker_ids).items():
        left = list(planned.free[worker_id])
        for holder_id, tasks_count in planned.holders.get(worker_id, {}).items():
            if holder_id in reservation.backfill_job_ids:
                for index, amount in planned.needs[holder_id]:
                    left[index] += amount * tasks_count
        unplaced_tasks_count += max(0, count - fit_count(left, needs))
    return unplaced_tasks_count


def reservation_target(reservation, cluster, needs, tasks_count, cost_of):
    """Return a target on the reserved workers that stops backfill only, or None."""
    limits = Counter(reservation.worker_ids)
    return target_in_domain(
        cluster, list(limits), needs, tasks_count, cost_of, limits=limits
    )


def reservation_blockers(reservation, cluster):
    """Return the gangs on the reserved workers that may finish first."""
    found = set()
    for worker_id in set(reservation.worker_ids):
        found.update(cluster.planned.holders.get(worker_id, ()))
    return found - reservation.backfill_job_ids
