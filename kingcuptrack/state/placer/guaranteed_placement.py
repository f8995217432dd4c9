"""Placement of gangs on guaranteed capacity."""

from .cluster import ACCELERATORS, task_needs
from .commitments import (
    demote_gang,
    excluded_worker_ids,
    hold_capacity,
    reclaim_cost,
    start_gang,
)
from .guarantees import bind_slot, unused_slots
from .jobs import Urgency
from .limits import quota_excess
from .placer_state import (
    OrganisationUse,
    adjacency_level,
    gang_accelerators_count,
    is_reclaimable,
)
from .reasons import no_slot_reason, quota_reason
from .slots import apply_slot_choice, choose_slot


def try_guaranteed_placement(scheduler, round_, job, plan, *, is_last_resort=False):
    """Start a job in a slot of its organisation, or hold the slot and reclaim it.

    Without an unused slot, the job takes the slot of a gang of its organisation that
    ranks below it. With ``is_last_resort`` an urgent job ranks above each patient
    gang, whatever the size of the gang.

    Returns
    -------
    bool
        Whether the job left its queue.
    """
    organisation = job.spec.organisation
    slots = unused_slots(scheduler.packing, organisation)
    if not slots:
        slots = _displaceable_slots(scheduler, job, is_last_resort)
    if not slots:
        if not is_reclaimable(job.spec):
            scheduler.waiting_reasons[job.job_id] = no_slot_reason(
                scheduler, organisation
            )
        return False
    use = scheduler.use_by_organisation.get(organisation) or OrganisationUse()
    demoted_id = slots[0].job_id

    def cost_of_gang(holder_id):
        return reclaim_cost(
            scheduler, holder_id, round_.now_seconds, demoted_id=demoted_id
        )

    quota_victims = _quota_victims(scheduler, job.spec, plan, use, cost_of_gang)
    if quota_victims is None:
        scheduler.waiting_reasons[job.job_id] = quota_reason(scheduler, job.spec, plan)
        return False
    round_.placements_left_count -= 1

    def cost_of(holder_id):
        return 0.0 if holder_id in quota_victims else cost_of_gang(holder_id)

    choice = choose_slot(
        scheduler.packing,
        scheduler.cluster,
        slots,
        task_needs(job.spec.shape),
        job.spec.tasks_count,
        cost_of,
        adjacency_level(scheduler, slots[0].kind.needs, slots[0].kind.tasks_count),
        excluded_worker_ids(scheduler, job.job_id, round_.now_seconds),
    )
    if choice is None:
        scheduler.waiting_reasons[job.job_id] = (
            "workers of its guaranteed capacity recently refused or failed this job"
        )
        return False
    if choice.slot.job_id:
        demote_gang(scheduler, choice.slot.job_id)
    apply_slot_choice(scheduler.packing, choice)
    bind_slot(scheduler.packing, choice.slot, job.job_id)
    victims = set(choice.target.victim_ids) | set(quota_victims)
    excess = quota_excess(job.spec, plan, use.now[ACCELERATORS])
    reason = f"guaranteed gang of organisation {organisation}"
    workers, runners_up = choice.target.worker_ids, choice.target.runners_up
    if choice.target.is_ready and not victims and excess <= 0:
        start_gang(scheduler, round_, job, workers, True, reason, runners_up)
    else:
        hold_capacity(
            scheduler, round_, job, workers, True, reason, victims, runners_up
        )
    return True


def _displaceable_slots(scheduler, job, is_last_resort):
    """Return a list with the slot whose gang a job may displace; empty if none.

    Of the organisation's gangs that can run on borrowed capacity instead, it is the
    one with the lowest rank, if that is below the rank of the job. Without this,
    small jobs of an organisation would occupy all of its guaranteed gangs and keep
    out the large or irreclaimable gangs that need them. Jobs cannot displace each
    other in turn: a gang is displaced only by a job of higher rank, and an urgent
    one never by a patient job.
    """

    def rank(spec):
        return (
            not is_reclaimable(spec),
            is_last_resort and spec.urgency == Urgency.URGENT,
            gang_accelerators_count(spec),
        )

    displaceable = []
    for slot in scheduler.packing.slots.get(job.spec.organisation, ()):
        gang = scheduler.gangs.get(slot.job_id)
        if (
            gang is not None
            and not slot.is_partial
            and is_reclaimable(gang.job.spec)
            and rank(gang.job.spec) < rank(job.spec)
            and gang.job.spec.urgency in (job.spec.urgency, Urgency.PATIENT)
        ):
            displaceable.append(slot)
    displaceable.sort(key=lambda slot: rank(scheduler.gangs[slot.job_id].job.spec))
    return displaceable[:1]


def _quota_victims(scheduler, spec, plan, use, cost_of_gang):
    """Return borrowed gangs to stop so that a guaranteed one is within the quota.

    These are gangs and holds of the same organisation, the cheapest first; None if
    stopping all of them is not enough.
    """
    excess = quota_excess(spec, plan, use.planned[ACCELERATORS])
    if excess <= 0:
        return ()
    costs = []
    for job_id, commitment in (*scheduler.gangs.items(), *scheduler.holds.items()):
        other = commitment.job.spec
        if other.organisation == spec.organisation and gang_accelerators_count(other):
            cost = None if job_id in scheduler.reclaiming else cost_of_gang(job_id)
            if cost is not None:
                costs.append((cost, job_id, gang_accelerators_count(other)))
    victims = []
    for _, job_id, accelerators_count in sorted(costs):
        victims.append(job_id)
        excess -= accelerators_count
        if excess <= 0:
            return tuple(victims)
    return None
