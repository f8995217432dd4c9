"""Choice of the gangs to stop so that another gang fits."""

import math

import attrs

from .cluster import ACCELERATORS, fit_count
from .placement import adjacency_domains, assign_in_order

# Work that a gang loses by stopping and restarting, whatever its run time.
RESTART_LOSS_SECONDS = 30.0
# Fraction of its run time that a checkpointable gang loses.
CHECKPOINT_LOSS_FRACTION = 0.1


@attrs.frozen(kw_only=True)
class PlacementTarget:
    """Workers for a gang, by task index, and the gangs to stop before it starts.

    ``cost`` is in accelerator seconds of lost work. With ``is_ready`` the gang fits
    the capacity that is free now. ``runners_up`` describe the alternatives for the
    log.
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


def record_runner_up(target, replaced):
    """Return ``target``, with the target that it replaces as its runner-up."""
    if replaced is None:
        return target
    return attrs.evolve(target, runners_up=(describe_target(replaced),))


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

    Victims are added in the order of their cost per accelerator that they use in the
    domain (per task if they use none) until the gang fits. Then those without which
    it still fits are removed, the most expensive first.

    Parameters
    ----------
    cost_of : callable
        Cost of a holder, or None if it must not be stopped.
    limits : dict of str to int, optional
        Largest number of tasks to place on each worker; none on other workers.
    cost_limit : float
        Targets of this cost or more are left out.
    """

    def count_fitting_tasks(worker_id, amounts):
        count = fit_count(amounts, needs)
        return count if limits is None else min(count, limits.get(worker_id, 0))

    ready_counts = [
        (worker_id, count_fitting_tasks(worker_id, cluster.available[worker_id]))
        for worker_id in worker_ids
    ]
    if sum(count for _, count in ready_counts) >= tasks_count:
        return PlacementTarget(
            worker_ids=assign_in_order(_by_count_descending(ready_counts), tasks_count),
            victim_ids=(),
            cost=0.0,
            is_ready=True,
        )
    planned = cluster.planned
    counts = {
        worker_id: count_fitting_tasks(worker_id, planned.free[worker_id])
        for worker_id in worker_ids
    }
    total_count = sum(counts.values())
    victims = []
    changed_free = {}
    if total_count < tasks_count:
        for holder_id, cost in _rank_victims(planned, worker_ids, cost_of):
            if cost >= cost_limit:
                continue
            victims.append((cost, holder_id))
            total_count += _apply_victim(
                planned, holder_id, counts, changed_free, count_fitting_tasks, 1
            )
            if total_count >= tasks_count:
                break
        else:
            return None
        for victim in sorted(victims, reverse=True):
            total_count += _apply_victim(
                planned, victim[1], counts, changed_free, count_fitting_tasks, -1
            )
            if total_count >= tasks_count:
                victims.remove(victim)
            else:
                total_count += _apply_victim(
                    planned, victim[1], counts, changed_free, count_fitting_tasks, 1
                )
    cost = sum(cost for cost, _ in victims)
    if cost >= cost_limit:
        return None
    return PlacementTarget(
        worker_ids=assign_in_order(_by_count_descending(counts.items()), tasks_count),
        victim_ids=tuple(holder_id for _, holder_id in victims),
        cost=cost,
        is_ready=False,
    )


def cheapest_target(cluster, racks, levels, needs, tasks_count, cost_of):
    """Return the cheapest target at the tightest adjacency that has one, or None."""
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


def _rank_victims(planned, worker_ids, cost_of):
    """Return ``(holder id, cost)`` by cost per accelerator used on the workers."""
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


def _apply_victim(planned, holder_id, counts, changed_free, count_fitting_tasks, sign):
    """Add what a victim frees, or remove it again; return the change in fitting tasks.

    ``sign`` is 1 to add and -1 to remove; ``counts`` and ``changed_free`` are updated.
    """
    gain = 0
    for worker_id, tasks in planned.workers[holder_id].items():
        if worker_id not in counts:
            continue
        amounts = changed_free.get(worker_id)
        if amounts is None:
            amounts = changed_free[worker_id] = list(planned.free[worker_id])
        for index, amount in planned.needs[holder_id]:
            amounts[index] += sign * tasks * amount
        count = count_fitting_tasks(worker_id, amounts)
        gain += count - counts[worker_id]
        counts[worker_id] = count
    return gain


def _by_count_descending(counts):
    return sorted(counts, key=lambda item: -item[1])
