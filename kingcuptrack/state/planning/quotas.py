"""Limits of what an organisation may have running at a time.

Designed for several organisations on one cluster, whose operators bound each of them.
The limit applies to starts: nothing is stopped when it is lowered.
"""

import attrs

from ..jobs.steps import GUARANTEED_PRIORITY, NO_RESOURCES, Resources
from .starvation import ROOM_FACTOR

# Most of a maximum that is kept free for guaranteed work, as a divisor. A job must not
# wait while its organisation uses less than half of its maximum.
KEPT_DIVISOR = 2
# In the order of the fields of `Resources`.
_RESOURCE_NAMES = ("thousandths of a core", "MB", "accelerators")


def combine_maxima(policies):
    """Return the lowest maximum of each organisation over several configurations.

    Parameters
    ----------
    policies : iterable of ClusterPolicy

    Returns
    -------
    dict of str to Resources
        Only organisations with a maximum; resources of 0 are not limited.
    """
    maxima = {}
    for policy in policies:
        for organisation in policy.organisations:
            if organisation.maximum == NO_RESOURCES:
                continue
            known = maxima.get(organisation.name, NO_RESOURCES)
            maxima[organisation.name] = Resources(
                **{
                    field.name: min(
                        filter(None, (getattr(known, field.name), amount)), default=0
                    )
                    for field in attrs.fields(Resources)
                    for amount in (getattr(organisation.maximum, field.name),)
                }
            )
    return maxima


def is_within(used, maximum):
    """Return whether usage is within a maximum."""
    return all(
        not limit or amount <= limit
        for amount, limit in zip(
            attrs.astuple(used), attrs.astuple(maximum), strict=True
        )
    )


def count_allowed(used, maximum, demand, limit_count):
    """Return how many tasks a maximum allows beside what is used, at most the limit."""
    count = limit_count
    for amount, limit, needed in zip(
        attrs.astuple(used),
        attrs.astuple(maximum),
        attrs.astuple(demand),
        strict=True,
    ):
        if limit and needed:
            count = min(count, (limit - amount) // needed)
    return max(0, count)


def find_maximum_problem(steps, maximum):
    """Return why a step can never run within a maximum, or an empty string."""
    for number, step in enumerate(steps):
        tasks_count = step.task_count if step.is_gang else 1
        allowed_count = count_allowed(
            NO_RESOURCES, maximum, step.resources, tasks_count
        )
        if allowed_count < tasks_count:
            what = f"the gang of {tasks_count} tasks" if step.is_gang else "a task"
            return f"steps[{number}]: {what} exceeds the maximum of the organisation"
    return ""


@attrs.define(kw_only=True, eq=False)
class Quotas:
    """What organisations with a maximum may still start during a planning pass.

    Parameters
    ----------
    maxima : dict of str to Resources
    guarantee_gpus : dict of str to int
    used : dict of str to Resources
        Resources of all runs that may exist, by organisation.
    urgent_gpus : dict of str to int
        Accelerators that runs of urgent jobs use, by organisation.
    """

    maxima: dict
    guarantee_gpus: dict
    used: dict
    urgent_gpus: dict

    def limit(self, unit):
        """Return the part of a unit that may start within the maximum.

        This is the unit itself if all of it may, and None if nothing may; a gang
        starts whole.
        """
        organisation = unit.job.submission.organisation
        maximum = self.maxima.get(organisation)
        if maximum is None:
            return unit
        tasks_count = len(unit.indexes)
        count = self._count_allowed(unit, maximum, tasks_count)
        if count == tasks_count:
            return unit
        if unit.step.is_gang or not count:
            return None
        return attrs.evolve(unit, indexes=unit.indexes[:count])

    def limit_starving(self, unit):
        """Return the part of a starving unit that may use what is kept, or None.

        A gang, or one task of another unit, if it fits twice into what its organisation
        does not use, and that is half of the maximum or more.
        """
        organisation = unit.job.submission.organisation
        maximum = self.maxima[organisation]
        used = self.used.get(organisation, NO_RESOURCES)
        part = unit
        if not unit.step.is_gang:
            part = attrs.evolve(unit, indexes=unit.indexes[:1])
        limit_count = ROOM_FACTOR * len(part.indexes)
        demand = unit.step.resources
        if not is_within(used.times(KEPT_DIVISOR), maximum):
            return None
        if count_allowed(used, maximum, demand, limit_count) < limit_count:
            return None
        return part

    def add(self, unit, tasks_count):
        """Count tasks of a unit as running."""
        organisation = unit.job.submission.organisation
        if organisation not in self.maxima:
            return
        resources = unit.step.resources
        used = self.used.get(organisation, NO_RESOURCES)
        self.used[organisation] = used.plus(resources.times(tasks_count))
        if unit.priority == GUARANTEED_PRIORITY:
            gpus_count = self.urgent_gpus.get(organisation, 0)
            gpus_count += tasks_count * resources.gpus_count
            self.urgent_gpus[organisation] = gpus_count

    def describe(self, unit):
        """Return why a unit waits for the maximum, with the usage."""
        organisation = unit.job.submission.organisation
        used = attrs.astuple(self.used.get(organisation, NO_RESOURCES))
        limits = attrs.astuple(self.maxima[organisation])
        amounts = ", ".join(
            f"{amount} of {limit} {name}"
            for amount, limit, name in zip(used, limits, _RESOURCE_NAMES, strict=True)
            if limit
        )
        return f"its organisation is at its maximum, it uses {amounts}"

    def _count_allowed(self, unit, maximum, tasks_count):
        organisation = unit.job.submission.organisation
        demand = unit.step.resources
        used = self.used.get(organisation, NO_RESOURCES)
        if unit.priority == GUARANTEED_PRIORITY:
            return count_allowed(used, maximum, demand, tasks_count)
        kept = self._kept_for_guarantee(organisation, maximum)
        count = count_allowed(used.plus(kept), maximum, demand, tasks_count)
        least_count = tasks_count if unit.step.is_gang else 1
        has_patient_runs = used.gpus_count > self.urgent_gpus.get(organisation, 0)
        if count < least_count and not has_patient_runs:
            # Otherwise work that needs more than what is not kept would never start.
            count = count_allowed(used, maximum, demand, least_count)
        return count

    def _kept_for_guarantee(self, organisation, maximum):
        """Return the part of a maximum that only urgent work may use.

        Nothing is stopped for a unit that the maximum holds back, so that guaranteed
        work would otherwise start too late when other work fills the maximum.
        """
        unused_count = self.guarantee_gpus.get(organisation, 0)
        unused_count -= self.urgent_gpus.get(organisation, 0)
        if not maximum.gpus_count or unused_count <= 0:
            return NO_RESOURCES
        kept_count = min(unused_count, maximum.gpus_count // KEPT_DIVISOR)
        return Resources(
            cpu_millicores=maximum.cpu_millicores * kept_count // maximum.gpus_count,
            memory_mb=maximum.memory_mb * kept_count // maximum.gpus_count,
            gpus_count=kept_count,
        )


def make_quotas(shard_state, policy):
    """Return the `Quotas` of a planning pass over a shard state."""
    return Quotas(
        maxima=policy.maxima,
        guarantee_gpus=policy.guarantee_gpus,
        used=dict(shard_state.used_by_organisation),
        urgent_gpus=dict(shard_state.urgent_gpus),
    )
