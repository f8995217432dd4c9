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
from .model import (
    OrganisationUse,
    adjacency_level,
    gang_accelerators_count,
    is_reclaimable,
)
from .reasons import no_slot_reason, quota_reason
from .slots import apply_slot_choice, choose_slot


def try_guaranteed_placement(scheduler, round_, job, plan, *, is_last_resort=False):
    """Start a job in an unused slot of its organisation, or reclaim one for it.

    As a last resort an urgent job takes the slot of a patient gang of its
    organisation, whatever its size.

    Returns
    -------
    bool
        Whether the job left its queue.
    """
    organisation = job.spec.organisation
    slots = unused_slots(scheduler.packing, organisation)
    if not slots:
        slots = _slots_of_lesser(scheduler, job, is_last_resort)
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
            "the workers of its guaranteed capacity refused or failed it shortly before"
        )
        return False
    if choice.slot.job_id:
        demote_gang(scheduler, choice.slot.job_id)
    apply_slot_choice(scheduler.packing, choice)
    bind_slot(scheduler.packing, choice.slot, job.job_id)
    victims = set(choice.target.victim_ids) | set(quota_victims)
    excess = quota_excess(job.spec, plan, use.now[ACCELERATORS])
    reason = f"guaranteed gang of organisation {organisation}"
    workers, others = choice.target.worker_ids, choice.target.runners_up
    if choice.target.is_ready and not victims and excess <= 0:
        start_gang(scheduler, round_, job, workers, True, reason, others)
    else:
        hold_capacity(scheduler, round_, job, workers, True, reason, victims, others)
    return True


def _slots_of_lesser(scheduler, job, is_last_resort):
    """Return the own slot whose gang can borrow instead and matters less than a job.

    Without this, small jobs of an organisation would occupy all of its guaranteed
    gangs and keep out the large or irreclaimable gangs that need them. The order
    by rank, and that patient jobs never displace urgent ones, exclude cycles.
    """

    def rank(spec):
        return (
            not is_reclaimable(spec),
            is_last_resort and spec.urgency == Urgency.URGENT,
            gang_accelerators_count(spec),
        )

    found = []
    for slot in scheduler.packing.slots.get(job.spec.organisation, ()):
        gang = scheduler.gangs.get(slot.job_id)
        if (
            gang is not None
            and not slot.is_partial
            and is_reclaimable(gang.job.spec)
            and rank(gang.job.spec) < rank(job.spec)
            and gang.job.spec.urgency in (job.spec.urgency, Urgency.PATIENT)
        ):
            found.append(slot)
    found.sort(key=lambda slot: rank(scheduler.gangs[slot.job_id].job.spec))
    return found[:1]


def _quota_victims(scheduler, spec, plan, use, cost_of_gang):
    """Return own borrowed gangs to stop so that a guaranteed one is in its quota."""
    excess = quota_excess(spec, plan, use.planned[ACCELERATORS])
    if excess <= 0:
        return ()
    costs = []
    for job_id, item in (*scheduler.gangs.items(), *scheduler.holds.items()):
        own = item.job.spec
        if own.organisation == spec.organisation and gang_accelerators_count(own):
            cost = None if job_id in scheduler.reclaiming else cost_of_gang(job_id)
            if cost is not None:
                costs.append((cost, job_id, gang_accelerators_count(own)))
    victims = []
    for _, job_id, count in sorted(costs):
        victims.append(job_id)
        excess -= count
        if excess <= 0:
            return tuple(victims)
    return None
