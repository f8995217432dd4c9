"""Commitments of capacity: running gangs, holds and reclaims in progress."""

import attrs

from . import health as health_module
from .cluster import ACCELERATORS, hold_tasks, release_planned, start_tasks, task_needs
from .guarantees import unbind_slot
from .jobs import Urgency
from .limits import access_of, is_blocked_by_isolation, quota_excess
from .placer_state import (
    Hold,
    OrganisationUse,
    PlacedGang,
    ReclaimGang,
    StartGang,
    plan_of,
)
from .queues import drop_job, push_job
from .reclaim import stopping_cost


def enqueue_job(scheduler, job):
    """Queue a job under the kinds of capacity that it may use."""
    push_job(scheduler.queues, job, access_of(scheduler, job.spec))


def change_use(scheduler, spec, *, now=0, planned=0):
    """Add the use of a gang to that of its organisation, or subtract it.

    ``now`` and ``planned`` are 1 to add to that figure, -1 to subtract, 0 to leave it.
    """
    use = scheduler.use_by_organisation.get(spec.organisation)
    if use is None:
        use = scheduler.use_by_organisation[spec.organisation] = OrganisationUse()
    for index, amount in task_needs(spec.shape):
        use.now[index] += now * amount * spec.tasks_count
        use.planned[index] += planned * amount * spec.tasks_count


def occupy_workers(scheduler, gang):
    """Record a running gang; it replaces a hold of the same job."""
    job_id = gang.job.job_id
    spec = gang.job.spec
    scheduler.gangs[job_id] = gang
    scheduler.unreclaimable_tasks_count_by_needs.clear()
    is_held = scheduler.holds.pop(job_id, None) is not None
    start_tasks(scheduler.cluster, job_id, task_needs(spec.shape), gang.worker_ids)
    change_use(scheduler, spec, now=1, planned=0 if is_held else 1)


def demote_gang(scheduler, job_id):
    """Make a guaranteed gang a borrowed one."""
    unbind_slot(scheduler.packing, job_id)
    scheduler.gangs[job_id] = attrs.evolve(scheduler.gangs[job_id], is_guaranteed=False)


def start_gang(
    scheduler, round_, job, worker_ids, is_guaranteed, reason, runners_up=()
):
    """Decide to start a gang on these workers."""
    gang = PlacedGang(
        job=job,
        worker_ids=worker_ids,
        is_guaranteed=is_guaranteed,
        placed_seconds=round_.now_seconds,
    )
    is_held = job.job_id in scheduler.holds
    drop_job(scheduler.queues, job.job_id)
    occupy_workers(scheduler, gang)
    scheduler.waiting_reasons.pop(job.job_id, None)
    for worker_id in worker_ids:
        if worker_id in scheduler.health.quarantines:
            health_module.start_probe(scheduler.health, worker_id, job.job_id)
    reservation = scheduler.reservation
    if reservation is not None:
        if reservation.job_id == job.job_id:
            scheduler.reservation = None
        elif not set(worker_ids).isdisjoint(reservation.worker_ids):
            if is_guaranteed:
                # A guaranteed gang cannot be reclaimed: reserve other workers.
                scheduler.reservation = None
            elif job.spec.urgency == Urgency.PATIENT and not is_held:
                # A patient gang that starts from a hold had the reservation before.
                # As backfill it would be reclaimed at once, and the two gangs would
                # reclaim each other in turn.
                reservation.backfill_job_ids.add(job.job_id)
    round_.decisions.append(StartGang(gang=gang, reason=reason, runners_up=runners_up))


def hold_capacity(
    scheduler, round_, job, worker_ids, is_guaranteed, reason, victim_ids, runners_up=()
):
    """Order the victims to stop and hold their capacity for a job.

    Victims that are holds themselves lose them and are queued again.
    """
    for victim_id in sorted(victim_ids):
        if victim_id in scheduler.holds:
            requeue_hold(scheduler, victim_id)
            continue
        scheduler.reclaiming[victim_id] = job.job_id
        release_planned(scheduler.cluster, victim_id)
        scheduler.unfit_tasks_count_by_needs.clear()
        change_use(scheduler, scheduler.gangs[victim_id].job.spec, planned=-1)
        round_.decisions.append(
            ReclaimGang(job_id=victim_id, for_job_id=job.job_id, reason=reason)
        )
    drop_job(scheduler.queues, job.job_id)
    scheduler.unreclaimable_tasks_count_by_needs.clear()
    scheduler.holds[job.job_id] = Hold(
        job=job,
        worker_ids=worker_ids,
        is_guaranteed=is_guaranteed,
        reason=reason,
        runners_up=runners_up,
    )
    hold_tasks(scheduler.cluster, job.job_id, task_needs(job.spec.shape), worker_ids)
    change_use(scheduler, job.spec, planned=1)
    scheduler.waiting_reasons.pop(job.job_id, None)
    reservation = scheduler.reservation
    if reservation is not None and (
        reservation.job_id == job.job_id
        or is_guaranteed
        and not set(worker_ids).isdisjoint(reservation.worker_ids)
    ):
        scheduler.reservation = None


def drop_hold(scheduler, job_id):
    """Release the capacity that is held for a job; return the hold."""
    hold = scheduler.holds.pop(job_id)
    release_planned(scheduler.cluster, job_id)
    change_use(scheduler, hold.job.spec, planned=-1)
    scheduler.unfit_tasks_count_by_needs.clear()
    scheduler.unreclaimable_tasks_count_by_needs.clear()
    unbind_slot(scheduler.packing, job_id)
    return hold


def requeue_hold(scheduler, job_id):
    """Release the capacity that is held for a job and queue the job by its age."""
    enqueue_job(scheduler, drop_hold(scheduler, job_id).job)


def start_held_gangs(scheduler, round_):
    """Start the jobs whose held capacity has become free.

    Freed capacity goes to holds in order of priority: a hold may not use what one of
    higher priority still waits for on the same worker.
    """
    blocked_amounts = {}
    free = scheduler.cluster.now.free
    order = sorted(
        scheduler.holds.values(),
        key=lambda hold: (
            not hold.is_guaranteed,
            hold.job.spec.urgency != Urgency.URGENT,
            hold.job.queued_seconds,
        ),
    )
    for hold in order:
        spec = hold.job.spec
        needed = {}
        for worker_id in hold.worker_ids:
            amounts = needed.setdefault(worker_id, [0] * 5)
            for index, amount in task_needs(spec.shape):
                amounts[index] += amount
        plan = plan_of(scheduler, spec.organisation)
        use = scheduler.use_by_organisation[spec.organisation]
        is_kept_waiting = is_blocked_by_isolation(round_.is_isolated, spec) or (
            round_.is_isolated
            and not hold.is_guaranteed
            and spec.urgency == Urgency.PATIENT
        )
        is_ready = (
            not is_kept_waiting and quota_excess(spec, plan, use.now[ACCELERATORS]) <= 0
        )
        for worker_id, amounts in needed.items():
            blocked = blocked_amounts.get(worker_id, (0,) * 5)
            is_ready = is_ready and all(
                free_amount >= amount + blocked_amount
                for free_amount, amount, blocked_amount in zip(
                    free[worker_id], amounts, blocked, strict=True
                )
                if amount
            )
        if is_ready:
            start_gang(
                scheduler,
                round_,
                hold.job,
                hold.worker_ids,
                hold.is_guaranteed,
                hold.reason,
                hold.runners_up,
            )
            continue
        for worker_id, amounts in needed.items():
            blocked = blocked_amounts.setdefault(worker_id, [0] * 5)
            for index, amount in enumerate(amounts):
                blocked[index] += amount


def reclaim_cost(
    scheduler, holder_id, now_seconds, *, is_patient_only=False, demoted_id=""
):
    """Return the cost of stopping a borrowed gang; 0 for a hold, which is dropped.

    None if it is guaranteed or already being reclaimed, or if it is not patient and
    ``is_patient_only`` is set. The gang of the job ``demoted_id`` counts as borrowed.
    """
    hold = scheduler.holds.get(holder_id)
    commitment = hold or scheduler.gangs[holder_id]
    is_guaranteed = commitment.is_guaranteed and holder_id != demoted_id
    if is_guaranteed or holder_id in scheduler.reclaiming:
        return None
    if is_patient_only and commitment.job.spec.urgency != Urgency.PATIENT:
        return None
    if hold is not None:
        return 0.0
    return stopping_cost(commitment.job.spec, now_seconds - commitment.placed_seconds)


def excluded_worker_ids(scheduler, job_id, now_seconds):
    """Return the workers that a job avoids since they recently refused or failed it."""
    history = scheduler.histories.get(job_id)
    if history is None or not history.excluded_until_seconds:
        return frozenset()
    history.excluded_until_seconds = {
        worker_id: until_seconds
        for worker_id, until_seconds in history.excluded_until_seconds.items()
        if until_seconds > now_seconds
    }
    return frozenset(history.excluded_until_seconds)
