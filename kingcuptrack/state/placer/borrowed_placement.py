"""Placement of gangs on borrowed capacity."""

from . import health as health_module
from .cluster import ACCELERATORS, fit_count, task_needs
from .commitments import excluded_worker_ids, hold_capacity, reclaim_cost, start_gang
from .guaranteed_placement import try_guaranteed_placement
from .guarantees import is_within_guarantee
from .jobs import Urgency
from .limits import fitting_tasks_count, quota_excess, refusal
from .placement import AdjacencyLevel
from .placer_state import (
    OrganisationUse,
    adjacency_level,
    is_reclaimable,
    plan_of,
    worker_capacities,
)
from .queues import find_job
from .reasons import quota_reason, reservation_reason
from .reclaim import cheapest_target
from .reservations import count_unplaced_tasks, make_reservation, reservation_target

# Time between two searches for better workers to reserve; bounds their cost.
RESERVATION_REVIEW_SECONDS = 10.0


def try_borrowed_placement(scheduler, round_, job, plan):
    """Start a job on free capacity, or reclaim capacity for it if it is urgent.

    Returns
    -------
    bool
        Whether the job left its queue.
    """
    spec = job.spec
    job_id = job.job_id
    if not is_reclaimable(spec):
        return False
    use = scheduler.use_by_organisation.get(spec.organisation) or OrganisationUse()
    used_count = max(use.now[ACCELERATORS], use.planned[ACCELERATORS])
    used_count += scheduler.remote_use_by_organisation.get(spec.organisation, 0)
    if quota_excess(spec, plan, used_count) > 0:
        scheduler.waiting_reasons[job_id] = quota_reason(scheduler, spec, plan)
        return False
    needs = task_needs(spec.shape)
    if spec.tasks_count > fitting_tasks_count(scheduler, needs):
        scheduler.waiting_reasons[job_id] = refusal(scheduler, spec).message
        return False
    is_urgent = spec.urgency == Urgency.URGENT
    worker_ids = _find_free_workers(scheduler, round_, job, needs)
    if worker_ids is not None:
        reason = f"free capacity, borrowed by organisation {spec.organisation}"
        runners_up = _runners_up(scheduler, needs, worker_ids)
        start_gang(scheduler, round_, job, worker_ids, False, reason, runners_up)
        return True
    if is_urgent and _reclaim_for_urgent(scheduler, round_, job, needs):
        return True
    if (
        is_urgent
        and is_within_guarantee(plan, spec)
        and try_guaranteed_placement(scheduler, round_, job, plan, is_last_resort=True)
    ):
        return True
    scheduler.waiting_reasons[job_id] = (
        f"no room for {spec.tasks_count} tasks of its shape in the free capacity"
    )
    if is_urgent:
        scheduler.waiting_reasons[job_id] += " and in what patient borrowed gangs use"
    elif (
        scheduler.reservation is None
        and round_.now_seconds - job.queued_seconds
        >= scheduler.reservation_after_seconds
    ):
        round_.placements_left_count -= 1
        scheduler.reservation = _choose_reservation(scheduler, round_, job, needs)
    if scheduler.reservation is not None and scheduler.reservation.job_id == job_id:
        scheduler.waiting_reasons[job_id] = reservation_reason(scheduler)
    return False


def _find_free_workers(scheduler, round_, job, needs):
    """Return workers with room for a borrowed gang now, or None."""
    spec = job.spec
    cluster = scheduler.cluster
    # Only the smallest gang that did not fit is kept; no larger one fits.
    if spec.tasks_count >= scheduler.unfit_tasks_count_by_needs.get(
        needs, spec.tasks_count + 1
    ):
        if spec.tasks_count > 1:
            return None
        return _find_probe_worker(scheduler, round_, job, needs)
    round_.placements_left_count -= 1
    excluded = excluded_worker_ids(scheduler, job.job_id, round_.now_seconds)
    if spec.urgency == Urgency.PATIENT:
        probe = _find_probe_worker(scheduler, round_, job, needs)
        if probe is not None:
            return probe
    # An urgent gang uses reserved workers only if it fits nowhere else.
    avoided = excluded
    if spec.urgency == Urgency.URGENT and scheduler.reservation is not None:
        avoided = excluded | set(scheduler.reservation.worker_ids)
    levels = tuple(AdjacencyLevel)[
        adjacency_level(scheduler, needs, spec.tasks_count) :
    ]
    for skipped in (avoided, excluded) if avoided != excluded else (excluded,):
        racks = cluster.racks
        if skipped:
            racks = {
                rack: [item for item in ids if item not in skipped]
                for rack, ids in racks.items()
            }
        worker_ids = scheduler.place(
            racks, cluster.available, needs, spec.tasks_count, levels
        )
        if worker_ids is not None:
            return worker_ids
    if not excluded:
        scheduler.unfit_tasks_count_by_needs[needs] = spec.tasks_count
    return _find_probe_worker(scheduler, round_, job, needs)


def _runners_up(scheduler, needs, worker_ids):
    """Return, for the log, the choice outside the racks of these workers."""
    workers = scheduler.cluster.workers
    used = {workers[worker_id].rack for worker_id in worker_ids}
    racks = {
        rack: ids for rack, ids in scheduler.cluster.racks.items() if rack not in used
    }
    others = scheduler.place(
        racks,
        scheduler.cluster.available,
        needs,
        len(worker_ids),
        tuple(AdjacencyLevel),
    )
    return () if others is None else (",".join(sorted(set(others))[:3]),)


def _find_probe_worker(scheduler, round_, job, needs):
    """Return a quarantined worker due for a probe with this job, or None."""
    if job.spec.tasks_count != 1 or not job.spec.is_repeatable:
        return None
    excluded = excluded_worker_ids(scheduler, job.job_id, round_.now_seconds)
    for worker_id in scheduler.health.quarantines:
        worker = scheduler.cluster.workers.get(worker_id)
        if (
            worker is not None
            and not worker.is_leaving
            and worker_id not in excluded
            and health_module.is_probe_due(
                scheduler.health, worker_id, now_seconds=round_.now_seconds
            )
            and fit_count(scheduler.cluster.available[worker_id], needs)
        ):
            return (worker_id,)
    return None


def _reclaim_for_urgent(scheduler, round_, job, needs):
    """Reclaim the cheapest patient borrowed gangs; return whether that suffices."""
    spec = job.spec
    if spec.tasks_count >= scheduler.unreclaimable_tasks_count_by_needs.get(
        needs, spec.tasks_count + 1
    ):
        return False
    round_.placements_left_count -= 1
    excluded = excluded_worker_ids(scheduler, job.job_id, round_.now_seconds)
    racks = {
        rack: [item for item in ids if item not in excluded]
        for rack, ids in scheduler.cluster.racks.items()
    }
    target = cheapest_target(
        scheduler.cluster,
        racks,
        tuple(AdjacencyLevel)[adjacency_level(scheduler, needs, spec.tasks_count) :],
        needs,
        spec.tasks_count,
        lambda holder_id: reclaim_cost(
            scheduler, holder_id, round_.now_seconds, is_patient_only=True
        ),
    )
    if target is None:
        if not excluded:
            scheduler.unreclaimable_tasks_count_by_needs[needs] = spec.tasks_count
        return False
    reason = f"urgent job of organisation {spec.organisation}"
    victims = set(target.victim_ids)
    workers, runners_up = target.worker_ids, target.runners_up
    hold_capacity(scheduler, round_, job, workers, False, reason, victims, runners_up)
    return True


def _choose_reservation(scheduler, round_, job, needs):
    tasks_count = job.spec.tasks_count
    return make_reservation(
        scheduler.cluster,
        job.job_id,
        needs,
        tasks_count,
        adjacency_level(scheduler, needs, tasks_count),
        worker_capacities(scheduler),
        now_seconds=round_.now_seconds,
    )


def _move_reservation(scheduler, round_, job, needs):
    """Reserve other workers if they have room for more tasks than the reserved ones.

    Without this, a gang that runs for days on the reserved workers would keep the
    job waiting while other workers become free.
    """
    reservation = scheduler.reservation
    age_seconds = round_.now_seconds - reservation.reviewed_seconds
    if age_seconds < RESERVATION_REVIEW_SECONDS:
        return
    reservation.reviewed_seconds = round_.now_seconds
    other = _choose_reservation(scheduler, round_, job, needs)
    unplaced_tasks_count = count_unplaced_tasks(reservation, scheduler.cluster, needs)
    if other is not None and other.unplaced_tasks_count < unplaced_tasks_count:
        scheduler.reservation = other


def process_reservation(scheduler, round_):
    """Start the reserved job, or reclaim for it, once only backfill blocks it.

    The reservation ends if its job no longer waits or would exceed its quota. While
    other gangs run on the reserved workers, it may move to better ones.
    """
    reservation = scheduler.reservation
    if reservation is None:
        return
    job = find_job(scheduler.queues, reservation.job_id)
    plan = None if job is None else plan_of(scheduler, job.spec.organisation)
    if plan is None:
        scheduler.reservation = None
        return
    use = scheduler.use_by_organisation.get(job.spec.organisation) or OrganisationUse()
    used_count = max(use.now[ACCELERATORS], use.planned[ACCELERATORS])
    used_count += scheduler.remote_use_by_organisation.get(job.spec.organisation, 0)
    if quota_excess(job.spec, plan, used_count) > 0:
        scheduler.reservation = None
        return

    def cost_of(holder_id):
        if holder_id not in reservation.backfill_job_ids:
            return None
        return reclaim_cost(scheduler, holder_id, round_.now_seconds)

    target = reservation_target(
        reservation,
        scheduler.cluster,
        task_needs(job.spec.shape),
        job.spec.tasks_count,
        cost_of,
    )
    if target is None:
        _move_reservation(scheduler, round_, job, task_needs(job.spec.shape))
        return
    reason = f"advance reservation of organisation {job.spec.organisation}"
    if target.is_ready:
        start_gang(scheduler, round_, job, target.worker_ids, False, reason)
    else:
        victims = set(target.victim_ids)
        hold_capacity(scheduler, round_, job, target.worker_ids, False, reason, victims)
