"""Reasons why jobs wait, each naming the limit that applies."""

from .cluster import ACCELERATORS
from .placer_state import OrganisationUse, gang_accelerators_count
from .reservations import reservation_blockers


def no_slot_reason(scheduler, organisation):
    """Return why a job that cannot be reclaimed has no guaranteed slot."""
    slots = scheduler.packing.slots.get(organisation, ())
    unplaced_count = sum(not slot.worker_ids for slot in slots)
    reason = (
        "it is neither repeatable nor checkpointable, so it may only run on "
        "guaranteed capacity: "
    )
    if unplaced_count:
        return reason + (
            f"{unplaced_count} of {len(slots)} guaranteed gangs of organisation "
            f"{organisation} do not fit the present workers"
        )
    return reason + (
        f"all {len(slots)} guaranteed gangs of organisation {organisation} in this "
        "data centre are in use"
    )


def quota_reason(scheduler, spec, plan):
    """Return how the quota prevents a job from starting."""
    use = scheduler.use_by_organisation.get(spec.organisation) or OrganisationUse()
    used_count = max(use.now[ACCELERATORS], use.planned[ACCELERATORS])
    reason = (
        f"organisation {spec.organisation} uses {used_count} accelerators of its quota "
        f"of {plan.quota_accelerators_count} here"
    )
    remote_count = scheduler.remote_use_by_organisation.get(spec.organisation, 0)
    if remote_count:
        reason += f" and {remote_count} in other data centres"
    return reason + f"; the job needs {gang_accelerators_count(spec)}"


def hold_reason(scheduler, hold):
    """Return which gangs a job with a hold waits for."""
    stopping_ids = set()
    for worker_id in set(hold.worker_ids):
        stopping_ids.update(scheduler.cluster.now.holders.get(worker_id, ()))
    stopping_ids &= scheduler.reclaiming.keys()
    if not stopping_ids:
        return "its workers are free; it starts with the next decision"
    return f"waits for {len(stopping_ids)} gangs to stop on its workers: " + ", ".join(
        sorted(stopping_ids)[:5]
    )


def reservation_reason(scheduler):
    """Return which gangs the job of the advance reservation waits for."""
    reservation = scheduler.reservation
    blockers = reservation_blockers(reservation, scheduler.cluster)
    return (
        f"{len(set(reservation.worker_ids))} workers are reserved for it; gangs still "
        "running there: " + ", ".join(sorted(blockers)[:5])
    )
