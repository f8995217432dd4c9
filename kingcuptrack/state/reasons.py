"""Reasons why jobs wait, in terms of the limit that applies."""

from .cluster import ACCELERATORS
from .model import OrganisationUse, gang_accelerators_count
from .reservations import reservation_blockers


def no_slot_reason(scheduler, organisation):
    """Return why an irreclaimable job has no slot."""
    slots = scheduler.packing.slots.get(organisation, ())
    missing = sum(not slot.worker_ids for slot in slots)
    limit = (
        "it is neither repeatable nor checkpointable, so it may only run on "
        "guaranteed capacity: "
    )
    if missing:
        return limit + (
            f"{missing} of {len(slots)} guaranteed gangs of organisation "
            f"{organisation} do not fit the present workers"
        )
    return limit + (
        f"all {len(slots)} guaranteed gangs of organisation {organisation} in this "
        "data centre are in use"
    )


def quota_reason(scheduler, spec, plan):
    """Return how the quota keeps a job waiting."""
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
    """Return which gangs a job with promised capacity waits for."""
    stopping = set()
    for worker_id in set(hold.worker_ids):
        stopping.update(scheduler.cluster.now.holders.get(worker_id, ()))
    stopping &= scheduler.reclaiming.keys()
    if not stopping:
        return "its workers are free; it starts with the next decision"
    return f"waits for {len(stopping)} gangs to stop on its workers: " + ", ".join(
        sorted(stopping)[:5]
    )


def reservation_reason(scheduler):
    """Return what keeps the job of the advance reservation waiting."""
    reservation = scheduler.reservation
    blockers = reservation_blockers(reservation, scheduler.cluster)
    return (
        f"{len(set(reservation.worker_ids))} workers are reserved for it; gangs still "
        "running there: " + ", ".join(sorted(blockers)[:5])
    )
