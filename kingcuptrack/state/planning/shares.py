"""Fair shares: whose units are planned next when organisations have weights.

Weighted dominant resource fairness (Ghodsi and others, NSDI 2011). Designed for several
organisations that together need more than the cluster has, one of which may send many
times its usual load.
"""

import attrs

from ..jobs.steps import GUARANTEED_PRIORITY, NO_RESOURCES

# Weight of an organisation without one, where others have a weight.
DEFAULT_WEIGHT = 1.0


def rank_by_share(ratio):
    """Return the rank of an organisation by its usage, whatever the slack of its units.

    ``ratio`` is its usage divided by its fair share.
    """
    return ratio


def rank_by_slack(ratio):
    """Return the rank of an organisation: within its share, or above.

    Among organisations of one rank, the slack of their units decides.
    """
    return float(ratio >= 1.0)


def make_weights(policy):
    """Return the weights of all organisations; empty if none is configured."""
    weights = {item.name: item.weight for item in policy.organisations}
    if not any(weights.values()):
        return {}
    return {name: weight or DEFAULT_WEIGHT for name, weight in weights.items()}


def sum_resources(items):
    """Return the sum of resources."""
    total = NO_RESOURCES
    for item in items:
        total = total.plus(item)
    return total


def dominant_share(used, capacity):
    """Return the largest fraction of a resource that is used."""
    return max(
        (
            used.gpus_count / capacity.gpus_count if capacity.gpus_count else 0.0,
            used.cpu_millicores / capacity.cpu_millicores
            if capacity.cpu_millicores
            else 0.0,
            used.memory_mb / capacity.memory_mb if capacity.memory_mb else 0.0,
        )
    )


@attrs.define(kw_only=True, eq=False)
class Shares:
    """Usage of the organisations, and the order of their units.

    Parameters
    ----------
    weights : dict of str to float
        If it is empty, units stay in the order of their keys.
    capacity : Resources
        Capacity of all listed workers.
    used : dict of str to Resources
        Resources of all runs that may exist, by organisation.
    recent_usage : RecentUsage
    rank : callable
        `rank_by_share` or `rank_by_slack`.
    """

    weights: dict
    capacity: object
    used: dict
    recent_usage: object
    rank: object
    _active_weight: float = attrs.field(default=0.0, init=False)
    _is_gang_waiting: bool = attrs.field(default=False, init=False)

    def add(self, unit, tasks_count):
        """Count tasks of a unit as running."""
        organisation = unit.job.submission.organisation
        used = self.used.get(organisation, NO_RESOURCES)
        self.used[organisation] = used.plus(unit.step.resources.times(tasks_count))

    def draw(self, keyed_units, guaranteed):
        """Yield units in the order in which they are planned.

        Guaranteed units come first, then other urgent units of organisations within
        their share, then the rest. Within these classes, the next unit is the first one
        of the organisation with the lowest rank. Units that were started since the
        previous one are counted.

        Parameters
        ----------
        keyed_units : list of (key, SchedulingUnit)
            Sorted by the key.
        guaranteed : set of SchedulingUnit
        """
        if not self.weights:
            yield from (unit for _, unit in keyed_units)
            return
        classes = [], {}, {}
        for key, unit in keyed_units:
            if unit in guaranteed:
                classes[0].append(unit)
                continue
            queues = classes[1 if unit.priority == GUARANTEED_PRIORITY else 2]
            queues.setdefault(unit.job.submission.organisation, []).append((key, unit))
        self._active_weight = sum(
            self._weight(name)
            for name in {
                *classes[1],
                *classes[2],
                *(name for name, used in self.used.items() if used != NO_RESOURCES),
            }
        )
        yield from classes[0]
        yield from self._draw_class(classes[1], is_within_only=True)
        for name, queue in classes[1].items():
            # These sort before the other units of their organisation.
            classes[2][name] = queue + classes[2].get(name, [])
        yield from self._draw_class(classes[2])

    def may_reclaim(self, unit):
        """Return whether other work may be stopped for a unit beyond the guarantees.

        Above its share, an organisation must not take what others use.
        """
        return not self.weights or self.ratio(unit.job.submission.organisation) < 1.0

    def held_gpus_count(self, unit):
        """Return the accelerators to keep for a gang that waits for its share.

        Otherwise small tasks of others, which fit at any time, would keep taking what
        the runs that end leave. One gang at a time, so that not all work waits.
        """
        if not self.weights or self._is_gang_waiting or not self.may_reclaim(unit):
            return 0
        self._is_gang_waiting = True
        return unit.gpus_count

    def _draw_class(self, queues, *, is_within_only=False):
        """Yield units and remove them; a queue with a drawn unit keeps its order.

        With ``is_within_only``, the units of organisations above their share are left.
        """
        while True:
            ratios = {name: self.ratio(name) for name, queue in queues.items() if queue}
            if is_within_only:
                ratios = {name: ratio for name, ratio in ratios.items() if ratio < 1.0}
            if not ratios:
                return
            name = min(
                ratios, key=lambda name: (self.rank(ratios[name]), queues[name][0][0])
            )
            _, unit = queues[name].pop(0)
            yield unit

    def ratio(self, organisation):
        """Return the usage of an organisation divided by its fair share.

        Usage is that of the resource of which it uses most, on average over the last
        seconds or now, whichever is more: runs that have begun since count at once,
        and those that have ended for some time. An idle organisation has a ratio of 0,
        so that it does not save up a claim.
        """
        fair_share = self._weight(organisation) / (self._active_weight or 1.0)
        used = self.used.get(organisation, NO_RESOURCES)
        recent = self.recent_usage.amounts(organisation)
        share = max(
            dominant_share(used, self.capacity), dominant_share(recent, self.capacity)
        )
        return share / fair_share

    def _weight(self, organisation):
        return self.weights.get(organisation, DEFAULT_WEIGHT)


def make_shares(shard_state, policy, rank):
    """Return the `Shares` of a planning pass over a shard state."""
    workers = shard_state.workers.values() if policy.weights else ()
    return Shares(
        weights=policy.weights,
        capacity=sum_resources(
            worker.entry.capacity for worker in workers if worker.entry is not None
        ),
        used=dict(shard_state.used_by_organisation),
        recent_usage=shard_state.recent_usage,
        rank=rank,
    )
