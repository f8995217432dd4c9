"""Limits of jobs: refusals, quotas, and the capacity that a job may use."""

from ...outcomes import Refused
from .cluster import capacity_amounts, fit_count, task_needs
from .guarantees import is_within_guarantee
from .jobs import GANG_TASKS_LIMIT_COUNT
from .placer_state import (
    current_shares,
    gang_accelerators_count,
    is_out_of_service,
    is_reclaimable,
    plan_of,
)
from .queues import Access


def access_of(scheduler, spec):
    """Return which capacity a job may use under the current plans."""
    plan = plan_of(scheduler, spec.organisation)
    if plan is None or not is_within_guarantee(plan, spec):
        return Access.BORROWED_ONLY
    if is_reclaimable(spec):
        return Access.EITHER
    return Access.GUARANTEED_ONLY


def refusal(scheduler, spec):
    """Return why a job cannot run here under the current limits, or None."""
    organisation = spec.organisation
    plan = plan_of(scheduler, organisation)
    if plan is None:
        message = f"organisation {organisation} is not in the configuration"
        return Refused(code="unknown_organisation", message=message)
    if is_out_of_service(scheduler):
        message = f"data centre {scheduler.data_centre} is out of service"
        return Refused(code="data_centre_out", message=message)
    if not 1 <= spec.tasks_count <= GANG_TASKS_LIMIT_COUNT:
        message = (
            f"the job has {spec.tasks_count} tasks; a gang has 1 to "
            f"{GANG_TASKS_LIMIT_COUNT}"
        )
        return Refused(code="never_fits", message=message)
    needed_count = gang_accelerators_count(spec)
    if needed_count > plan.quota_accelerators_count:
        message = (
            f"the job needs {needed_count} accelerators; the quota of plan {plan.name} "
            f"is {plan.quota_accelerators_count}"
        )
        return Refused(code="never_fits", message=message)
    if not scheduler.cluster.workers:
        message = "no worker of this data centre is known"
        return Refused(code="no_workers", message=message, retry_after_seconds=1.0)
    fitting_count = fitting_tasks_count(scheduler, task_needs(spec.shape))
    if fitting_count < spec.tasks_count:
        message = (
            f"the job has {spec.tasks_count} tasks; at most {fitting_count} of this "
            f"shape fit all workers of data centre {scheduler.data_centre} together"
        )
        return Refused(code="never_fits", message=message)
    if not is_reclaimable(spec):
        return _guaranteed_refusal(scheduler, spec, plan)
    return None


def _guaranteed_refusal(scheduler, spec, plan):
    message = (
        "it is neither repeatable nor checkpointable, so it may only run on "
        "guaranteed capacity: "
    )
    if not is_within_guarantee(plan, spec):
        message += (
            f"it is larger than a guaranteed gang of plan {plan.name}, "
            f"{plan.guaranteed_tasks_count} tasks of {plan.guaranteed_shape}"
        )
    elif not current_shares(scheduler).get(spec.organisation):
        message += (
            f"data centre {scheduler.data_centre} has no guaranteed gang of "
            f"organisation {spec.organisation}"
        )
    else:
        return None
    return Refused(code="never_guaranteed", message=message)


def fitting_tasks_count(scheduler, needs):
    """Return how many tasks fit all workers that are not leaving, if empty."""
    count = scheduler.fitting_tasks_count_by_needs.get(needs)
    if count is None:
        if len(scheduler.fitting_tasks_count_by_needs) >= 256:
            scheduler.fitting_tasks_count_by_needs.clear()
        count = scheduler.fitting_tasks_count_by_needs[needs] = sum(
            fit_count(capacity_amounts(worker.capacity), needs)
            for worker in scheduler.cluster.workers.values()
            if not worker.is_leaving
        )
    return count


def is_blocked_by_isolation(is_isolated, spec):
    """Return whether a job may not start because the data centre is isolated.

    The start of a job that is not repeatable needs a claim in the table, which an
    isolated data centre cannot reach.
    """
    return is_isolated and not spec.is_repeatable


def quota_excess(spec, plan, used_count):
    """Return by how many accelerators a gang would exceed the quota.

    Zero or less means that the gang is within the quota.
    """
    return used_count + gang_accelerators_count(spec) - plan.quota_accelerators_count
