"""Choice of the gangs to stop so that one gang fits."""

import math

import attrs

from .cluster import ACCELERATORS, fit_count
from .placement import adjacency_domains, assign_in_order

# Seconds of work that stopping and restarting any gang costs, whatever its age.
RESTART_LOSS_SECONDS = 30.0
# Fraction of its run time that a checkpointable gang loses.
CHECKPOINT_LOSS_FRACTION = 0.1


@attrs.frozen(kw_only=True)
class PlacementTarget:
    """Workers for a gang and the gangs to stop first.

    ``is_ready`` tells that the gang fits right now.
    """

    worker_ids: tuple[str, ...]
    victim_ids: tuple[str, ...]
    cost: float
    is_ready: bool
    runners_up: tuple[str, ...] = ()


def describe_target(target):
    """Return a target in the form used for runners-up in log lines."""
    workers = sorted(set(target.worker_ids))
    shown = ",".join(workers[:3]) + (",..." if len(workers) > 3 else "")
    return f"{shown}: {len(target.victim_ids)} victims, cost {target.cost:.0f}"


def record_runner_up(target, best):
    """Return a better target with the one that it replaces as runner-up."""
    if best is None:
        return target
    return attrs.evolve(target, runners_up=(describe_target(best),))


def stopping_cost(spec, run_seconds):
    """Return what stopping a gang costs, in accelerator seconds of lost work."""
    lost_seconds = max(0.0, run_seconds)
    if spec.is_checkpointable:
        lost_seconds *= CHECKPOINT_LOSS_FRACTION
    units_count = spec.tasks_count * max(1, spec.shape.accelerators_count)
    return units_count * (lost_seconds + RESTART_LOSS_SECONDS)


def target_in_domain(
    cluster,
    worker_ids,
    needs,
    tasks_count,
    cost_of,
    *,
    limits=None,
    cost_limit=math.inf,
):
    """Return the cheapest target found inside one domain, or None.

    Victims are taken in the order of their cost per task that they make possible
    nearby; those that turn out unnecessary are spared afterwards.

    Parameters
    ----------
    cost_of : callable
        Cost of a holder, or None if it must not be stopped.
    limits : dict of str to int, optional
        Most tasks to place on each worker.
    cost_limit : float
        Cost from which on a target is of no interest.
    """

    def limited(worker_id, amounts):
        count = fit_count(amounts, needs)
        return count if limits is None else min(count, limits.get(worker_id, 0))

    ready = [(item, limited(item, cluster.available[item])) for item in worker_ids]
    if sum(count for _, count in ready) >= tasks_count:
        return PlacementTarget(
            worker_ids=assign_in_order(_most_first(ready), tasks_count),
            victim_ids=(),
            cost=0.0,
            is_ready=True,
        )
    planned = cluster.planned
    counts = {item: limited(item, planned.free[item]) for item in worker_ids}
    total = sum(counts.values())
    victims = []
    free = {}
    if total < tasks_count:
        for holder_id, cost in _candidates(planned, worker_ids, cost_of):
            if cost >= cost_limit:
                continue
            victims.append((cost, holder_id))
            total += _change(planned, holder_id, counts, free, limited, 1)
            if total >= tasks_count:
                break
        else:
            return None
        for item in sorted(victims, reverse=True):
            total += _change(planned, item[1], counts, free, limited, -1)
            if total >= tasks_count:
                victims.remove(item)
            else:
                total += _change(planned, item[1], counts, free, limited, 1)
    cost = sum(cost for cost, _ in victims)
    if cost >= cost_limit:
        return None
    return PlacementTarget(
        worker_ids=assign_in_order(_most_first(counts.items()), tasks_count),
        victim_ids=tuple(holder_id for _, holder_id in victims),
        cost=cost,
        is_ready=False,
    )


def cheapest_target(cluster, racks, levels, needs, tasks_count, cost_of):
    """Return the cheapest target at the tightest level that has one, or None."""
    for level in levels:
        best = None
        for worker_ids in adjacency_domains(racks, level):
            target = target_in_domain(
                cluster,
                worker_ids,
                needs,
                tasks_count,
                cost_of,
                cost_limit=math.inf if best is None else best.cost,
            )
            if target is not None:
                best = record_runner_up(target, best)
        if best is not None:
            return best
    return None


def _candidates(planned, worker_ids, cost_of):
    tasks = {}
    for worker_id in worker_ids:
        for holder_id, count in planned.holders.get(worker_id, {}).items():
            tasks[holder_id] = tasks.get(holder_id, 0) + count
    ranked = []
    for holder_id, count in tasks.items():
        cost = cost_of(holder_id)
        if cost is not None:
            units_count = count * max(
                1, dict(planned.needs[holder_id]).get(ACCELERATORS, 0)
            )
            ranked.append((cost / units_count, holder_id, cost))
    ranked.sort()
    return [(holder_id, cost) for _, holder_id, cost in ranked]


def _change(planned, holder_id, counts, free, limited, sign):
    """Add or remove what a victim frees; return the change of the fit count."""
    gain = 0
    for worker_id, tasks in planned.workers[holder_id].items():
        if worker_id not in counts:
            continue
        amounts = free.get(worker_id)
        if amounts is None:
            amounts = free[worker_id] = list(planned.free[worker_id])
        for index, amount in planned.needs[holder_id]:
            amounts[index] += sign * tasks * amount
        count = limited(worker_id, amounts)
        gain += count - counts[worker_id]
        counts[worker_id] = count
    return gain


def _most_first(counts):
    return sorted(counts, key=lambda item: -item[1])
