"""Scheduling decisions of one data centre.

The placer calls this module. Callers pass the time, in seconds of the placer's
monotonic clock; nothing here does I/O.
"""

import heapq

import attrs

from ...outcomes import Refused
from . import health as health_module, retry_budgets
from .borrowed_placement import process_reservation, try_borrowed_placement
from .cluster import (
    ACCELERATORS,
    drop_worker,
    end_tasks,
    put_worker,
    set_quarantined,
    task_needs,
)
from .commitments import (
    change_use,
    demote_gang,
    drop_hold,
    enqueue_job,
    occupy_workers,
    requeue_hold,
    start_held_gangs,
)
from .guaranteed_placement import try_guaranteed_placement
from .guarantees import (
    guaranteed_gang_kind,
    repack,
    shortfalls,
    unbind_slot,
    unused_slots,
)
from .jobs import Urgency
from .limits import access_of, is_blocked_by_isolation, quota_excess, refusal
from .placement import largest_placeable_count
from .placer_state import (
    CapacitySummary,
    DecisionRound,
    JobHistory,
    PlacedGang,
    PlacerState,
    QueuedJob,
    ReclaimGang,
    StartGang,
    adjacency_level,
    current_shares,
    is_out_of_service,
    is_reclaimable,
    plan_of,
    worker_capacities,
)
from .queues import (
    BORROWED_ACCESSES,
    GUARANTEED_ACCESSES,
    Access,
    Queues,
    all_jobs,
    drop_job,
    fair_share_heap,
    find_job,
    first_jobs,
    has_room,
)
from .reasons import hold_reason

__all__ = [
    "CapacitySummary",
    "PlacedGang",
    "QueuedJob",
    "ReclaimGang",
    "PlacerState",
    "StartGang",
    "add_job",
    "adopt_gang",
    "capacity_summary",
    "decide",
    "exceeds_quota",
    "failure_verdict",
    "forget_job",
    "gang_ended",
    "guarantee_shortfalls",
    "never_fitting_jobs",
    "quarantined_worker_ids",
    "remove_job",
    "remove_worker",
    "set_configuration",
    "set_data_centres",
    "set_remote_use",
    "set_worker",
    "waiting_reason",
]


def add_job(scheduler, job, *, now_seconds, is_requeue=False):
    """Queue a job.

    A job that was accepted before is never refused: it is queued by its age, even
    beyond the limit of the queue. These are jobs with ``is_requeue`` and jobs with a
    history of earlier attempts, such as one whose gang has just ended.

    Returns
    -------
    Refused or None
        A refusal if the job can never run or the queue is full.
    """
    job_id = job.job_id
    if job_id in scheduler.gangs:
        message = "the gang of this job has not ended"
        return Refused(code="already_placed", message=message)
    if _find_waiting_job(scheduler, job_id) is not None:
        return None
    history = scheduler.histories.get(job_id)
    if not is_requeue and history is None:
        refused = refusal(scheduler, job.spec)
        if refused is not None:
            return refused
        organisations_count = len(scheduler.configuration.plan_by_organisation)
        if not has_room(scheduler.queues, job.spec.organisation, organisations_count):
            message = f"the queue holds {scheduler.queue_limit_count} jobs"
            return Refused(code="queue_full", message=message, retry_after_seconds=1.0)
    if history is not None and history.ready_seconds > now_seconds:
        scheduler.delayed[job_id] = job
        heapq.heappush(scheduler.delay_heap, (history.ready_seconds, job_id))
    else:
        enqueue_job(scheduler, job)
    return None


def remove_job(scheduler, job_id):
    """Remove a waiting job; return it, or None if it does not wait."""
    job = _find_waiting_job(scheduler, job_id)
    if job is None:
        return None
    scheduler.delayed.pop(job_id, None)
    if job_id in scheduler.holds:
        drop_hold(scheduler, job_id)
    drop_job(scheduler.queues, job_id)
    forget_job(scheduler, job_id)
    return job


def forget_job(scheduler, job_id):
    """Drop the state that is kept of a job that has a final outcome."""
    scheduler.waiting_reasons.pop(job_id, None)
    scheduler.histories.pop(job_id, None)
    health_module.forget_job(scheduler.health, job_id)
    if scheduler.reservation is not None and scheduler.reservation.job_id == job_id:
        scheduler.reservation = None


def set_worker(scheduler, worker):
    """Add or update a worker."""
    known = scheduler.cluster.workers.get(worker.worker_id)
    if known == worker:
        return
    if known is not None and known.incarnation != worker.incarnation:
        health_module.forget_worker(scheduler.health, worker.worker_id)
    put_worker(scheduler.cluster, worker)
    scheduler.is_dirty = True
    scheduler.fitting_tasks_count_by_needs.clear()


def remove_worker(scheduler, worker_id):
    """Remove a worker; the caller ends its gangs with `gang_ended`."""
    if worker_id in scheduler.cluster.workers:
        drop_worker(scheduler.cluster, worker_id)
        health_module.forget_worker(scheduler.health, worker_id)
        retry_budgets.forget_endpoint(scheduler.budgets, worker_id)
        scheduler.is_dirty = True
        scheduler.fitting_tasks_count_by_needs.clear()


def set_configuration(scheduler, configuration):
    """Replace the configuration; waiting jobs are queued again by their age."""
    if configuration == scheduler.configuration:
        return
    scheduler.configuration = configuration
    jobs = all_jobs(scheduler.queues)
    scheduler.queues = Queues(limit_count=scheduler.queue_limit_count)
    for job in jobs:
        enqueue_job(scheduler, job)
    for job_id in list(scheduler.holds):
        requeue_hold(scheduler, job_id)
    scheduler.is_dirty = True


def set_data_centres(scheduler, data_centres):
    """Set all data centres, in or out of service, that share the guarantees."""
    data_centres = tuple(sorted(set(data_centres)))
    if data_centres != scheduler.data_centres:
        scheduler.data_centres = data_centres
        scheduler.is_dirty = True


def set_remote_use(scheduler, accelerators_count_by_organisation):
    """Set the use in other data centres; for borrowed work the quota includes it.

    Guaranteed work is limited by local use only, so that a late report of another
    data centre cannot deny a guarantee.
    """
    scheduler.remote_use_by_organisation = dict(accelerators_count_by_organisation)


def decide(scheduler, *, now_seconds, is_isolated=False):
    """Return the decisions that are possible now.

    The workers of started gangs are assigned. Examines the ``lookahead_count``
    oldest jobs of each queue and attempts at most ``placements_limit_count``
    placements; each takes at most linear time in the workers. While the data centre
    is isolated, only repeatable work that is guaranteed or urgent starts.
    """
    round_ = DecisionRound(
        now_seconds=now_seconds,
        placements_left_count=scheduler.placements_limit_count,
        is_isolated=is_isolated,
    )
    scheduler.is_isolated = is_isolated
    scheduler.waiting_reasons.clear()
    _queue_delayed_jobs(scheduler, now_seconds)
    if health_module.release_unprobed(scheduler.health, now_seconds=now_seconds):
        scheduler.is_dirty = True
    _refresh_derived_state(scheduler)
    if not scheduler.cluster.workers or is_out_of_service(scheduler):
        return round_.decisions
    start_held_gangs(scheduler, round_)
    if not is_isolated:
        process_reservation(scheduler, round_)
    borrowed_urgencies = (
        (Urgency.URGENT,) if is_isolated else (Urgency.URGENT, Urgency.PATIENT)
    )
    # Jobs that may run only on guaranteed capacity are not repeatable and wait until
    # the isolation ends.
    guaranteed_accesses = (Access.EITHER,) if is_isolated else GUARANTEED_ACCESSES
    for urgency in (Urgency.URGENT, Urgency.PATIENT):
        _run_placement_pass(
            scheduler, round_, urgency, guaranteed_accesses, try_guaranteed_placement
        )
    for urgency in borrowed_urgencies:
        _run_placement_pass(
            scheduler, round_, urgency, BORROWED_ACCESSES, try_borrowed_placement
        )
    # A hold whose only victims were other holds needs no gang to stop.
    start_held_gangs(scheduler, round_)
    return round_.decisions


def adopt_gang(scheduler, gang):
    """Record a gang that already runs, as after a takeover.

    A gang that cannot be reclaimed counts as guaranteed.
    """
    job_id = gang.job.job_id
    if job_id in scheduler.gangs:
        return
    remove_job(scheduler, job_id)
    if not is_reclaimable(gang.job.spec):
        gang = attrs.evolve(gang, is_guaranteed=True)
    occupy_workers(scheduler, gang)
    scheduler.is_dirty = True


def gang_ended(
    scheduler,
    job_id,
    *,
    now_seconds,
    failed_worker_ids=(),
    succeeded=False,
    refused_worker_ids=(),
    tasks_failed=False,
):
    """Free the capacity of a gang that no longer holds any worker.

    Parameters
    ----------
    failed_worker_ids : sequence of str
        Workers that failed, timed out or were lost.
    succeeded : bool
        Whether the job has finished.
    refused_worker_ids : sequence of str
        Workers that refused the gang, for instance for lack of capacity; the job
        avoids them for ``exclusion_seconds``, and their health is not affected.
    tasks_failed : bool
        Whether tasks ran on the failed workers and reported an error, which
        counts as a failure of the job too.
    """
    gang = scheduler.gangs.pop(job_id, None)
    if gang is None:
        return
    spec = gang.job.spec
    if job_id not in scheduler.reclaiming:
        change_use(scheduler, spec, planned=-1)
    change_use(scheduler, spec, now=-1)
    scheduler.reclaiming.pop(job_id, None)
    end_tasks(scheduler.cluster, job_id)
    scheduler.unfit_tasks_count_by_needs.clear()
    scheduler.unreclaimable_tasks_count_by_needs.clear()
    slot = unbind_slot(scheduler.packing, job_id)
    if slot is not None and slot.is_partial:
        scheduler.is_dirty = True
    health = scheduler.health
    if succeeded:
        if health_module.record_success(health, set(gang.worker_ids), job_id):
            scheduler.is_dirty = True
        retry_budgets.record_success(
            scheduler.budgets,
            organisation=spec.organisation,
            endpoints=set(gang.worker_ids),
            now_seconds=now_seconds,
        )
        forget_job(scheduler, job_id)
        return
    history = _history(scheduler, job_id)
    for worker_id in (*failed_worker_ids, *refused_worker_ids):
        history.excluded_until_seconds[worker_id] = (
            now_seconds + scheduler.exclusion_seconds
        )
    for worker_id in set(failed_worker_ids):
        if health_module.record_failure(
            health,
            worker_id,
            job_id,
            now_seconds=now_seconds,
            tasks_failed=tasks_failed,
        ):
            scheduler.is_dirty = True
    for worker_id in set(gang.worker_ids):
        health_module.end_probe(health, worker_id, job_id)
    if failed_worker_ids or refused_worker_ids:
        _delay_retry(scheduler, gang.job, history, failed_worker_ids, now_seconds)


def failure_verdict(scheduler, job_id):
    """Return why a job should fail instead of being tried again, or an empty string.

    Call it after `gang_ended`. A job that failed on several healthy workers is
    considered faulty itself.
    """
    return health_module.job_fault_reason(scheduler.health, job_id)


def guarantee_shortfalls(scheduler):
    """Return a `Shortfall` for each organisation whose guarantee does not fit."""
    _refresh_derived_state(scheduler)
    return shortfalls(scheduler.packing)


def never_fitting_jobs(scheduler):
    """Return ``(job, refusal)`` of waiting jobs that can no longer run.

    Meant for changes of configuration or workers; linear in the waiting jobs.
    """
    jobs = all_jobs(scheduler.queues)
    refusals = ((job, refusal(scheduler, job.spec)) for job in jobs)
    return [(job, refused) for job, refused in refusals if refused is not None]


def quarantined_worker_ids(scheduler):
    """Return the workers that get only probes, since they failed several jobs."""
    return tuple(sorted(scheduler.health.quarantines))


def exceeds_quota(scheduler, spec):
    """Return whether the quota keeps a job waiting in every data centre."""
    plan = plan_of(scheduler, spec.organisation)
    use = scheduler.use_by_organisation.get(spec.organisation)
    used_count = use.now[ACCELERATORS] if use is not None else 0
    used_count += scheduler.remote_use_by_organisation.get(spec.organisation, 0)
    return plan is None or quota_excess(spec, plan, used_count) > 0


def waiting_reason(scheduler, job_id):
    """Return why a job waits, or an empty string."""
    job = _find_waiting_job(scheduler, job_id)
    if job is None:
        return ""
    if is_out_of_service(scheduler):
        return f"data centre {scheduler.data_centre} is out of service"
    if not scheduler.cluster.workers:
        return "no worker of this data centre is known"
    if is_blocked_by_isolation(scheduler.is_isolated, job.spec):
        return (
            f"data centre {scheduler.data_centre} is isolated and the job is not "
            "repeatable"
        )
    if job_id in scheduler.holds:
        return hold_reason(scheduler, scheduler.holds[job_id])
    if job_id in scheduler.delayed:
        return "delayed after a failed attempt"
    reason = scheduler.waiting_reasons.get(job_id)
    if reason:
        return reason
    refused = refusal(scheduler, job.spec)
    if refused is not None:
        return refused.message
    if scheduler.is_isolated and job.spec.urgency == Urgency.PATIENT:
        return (
            f"data centre {scheduler.data_centre} is isolated and the job is neither "
            "urgent nor next for guaranteed capacity"
        )
    accesses = (access_of(scheduler, job.spec),)
    oldest = first_jobs(
        scheduler.queues, job.spec.organisation, job.spec.urgency, accesses, 1
    )
    if oldest == [job]:
        return "not examined yet"
    return f"behind older jobs of organisation {job.spec.organisation}"


def capacity_summary(scheduler):
    """Return the compact summary that other data centres route by."""
    _refresh_derived_state(scheduler)
    cluster = scheduler.cluster
    free_counts = [
        max(0, cluster.available[worker_id][ACCELERATORS])
        for worker_ids in cluster.racks.values()
        for worker_id in worker_ids
    ]
    return CapacitySummary(
        data_centre=scheduler.data_centre,
        free_accelerators_count=sum(free_counts),
        total_accelerators_count=cluster.total_amounts[ACCELERATORS],
        waiting_jobs_count=len(scheduler.queues.queue_by_job)
        + len(scheduler.delayed)
        + len(scheduler.holds),
        largest_free_accelerators_count=max(free_counts, default=0),
        largest_free_gang_accelerators_count=largest_placeable_count(
            cluster.racks, cluster.available, worker_capacities(scheduler)
        ),
        used_accelerators_count_by_organisation={
            organisation: use.now[ACCELERATORS]
            for organisation, use in scheduler.use_by_organisation.items()
            if use.now[ACCELERATORS]
        },
        unused_guaranteed_gangs_count_by_organisation={
            organisation: len(unused_slots(scheduler.packing, organisation))
            for organisation in scheduler.packing.slots
        },
    )


def _find_waiting_job(scheduler, job_id):
    if job_id in scheduler.holds:
        return scheduler.holds[job_id].job
    if job_id in scheduler.delayed:
        return scheduler.delayed[job_id]
    return find_job(scheduler.queues, job_id)


def _history(scheduler, job_id):
    history = scheduler.histories.get(job_id)
    if history is None:
        history = scheduler.histories[job_id] = JobHistory()
        if len(scheduler.histories) > scheduler.history_limit_count:
            del scheduler.histories[next(iter(scheduler.histories))]
    return history


def _delay_retry(scheduler, job, history, failed_worker_ids, now_seconds):
    history.failures_count += 1
    delay_seconds = retry_budgets.retry_delay_seconds(
        history.failures_count, scheduler.random_source
    )
    is_in_budget = retry_budgets.consume_retry(
        scheduler.budgets,
        organisation=job.spec.organisation,
        endpoints=set(failed_worker_ids),
        now_seconds=now_seconds,
    )
    if not is_in_budget:
        # An accepted job is never refused: it is retried after the longest delay,
        # which 32 failures give.
        delay_seconds = retry_budgets.retry_delay_seconds(32, scheduler.random_source)
    history.ready_seconds = now_seconds + delay_seconds


def _queue_delayed_jobs(scheduler, now_seconds):
    while scheduler.delay_heap and scheduler.delay_heap[0][0] <= now_seconds:
        ready_seconds, job_id = heapq.heappop(scheduler.delay_heap)
        history = scheduler.histories.get(job_id)
        if history is not None and history.ready_seconds > ready_seconds:
            continue
        job = scheduler.delayed.pop(job_id, None)
        if job is not None:
            enqueue_job(scheduler, job)


def _refresh_derived_state(scheduler):
    """Recompute racks, adjacency levels and the packing after a change.

    Holds, the reservation and guarantees that no longer fit are withdrawn.
    """
    if not scheduler.is_dirty:
        return
    scheduler.is_dirty = False
    cluster = scheduler.cluster
    set_quarantined(cluster, scheduler.health.quarantines)
    scheduler.adjacency_level_by_gang.clear()
    scheduler.unfit_tasks_count_by_needs.clear()
    scheduler.unreclaimable_tasks_count_by_needs.clear()
    accepting_ids = {worker_id for ids in cluster.racks.values() for worker_id in ids}
    for job_id, hold in list(scheduler.holds.items()):
        if not accepting_ids.issuperset(hold.worker_ids):
            requeue_hold(scheduler, job_id)
    if scheduler.reservation is not None and not accepting_ids.issuperset(
        scheduler.reservation.worker_ids
    ):
        scheduler.reservation = None
    plans = scheduler.configuration.plan_by_organisation
    guaranteed_commitments = {
        job_id: (
            commitment.job.spec.organisation,
            task_needs(commitment.job.spec.shape),
            commitment.worker_ids,
            not is_reclaimable(commitment.job.spec),
            job_id in scheduler.gangs,
        )
        for job_id, commitment in (*scheduler.gangs.items(), *scheduler.holds.items())
        if commitment.is_guaranteed
    }
    demoted = repack(
        scheduler.packing,
        cluster.racks,
        worker_capacities(scheduler),
        current_shares(scheduler),
        {name: guaranteed_gang_kind(plan_of(scheduler, name)) for name in plans},
        lambda kind: adjacency_level(scheduler, kind.needs, kind.tasks_count),
        guaranteed_commitments,
    )
    for job_id in demoted:
        if job_id in scheduler.holds:
            requeue_hold(scheduler, job_id)
        else:
            demote_gang(scheduler, job_id)


def _weighted_dominant_share(scheduler, organisation):
    """Return an organisation's largest share of any resource, by its weight."""
    plan = plan_of(scheduler, organisation)
    use = scheduler.use_by_organisation.get(organisation)
    if plan is None or use is None:
        return 0.0
    totals = scheduler.cluster.total_amounts
    shares = (
        amount / total
        for amount, total in zip(use.planned, totals, strict=True)
        if total
    )
    dominant = max(shares, default=0.0)
    return dominant / plan.weight


def _run_placement_pass(scheduler, round_, urgency, accesses, attempt):
    """Attempt to place jobs of one urgency, by weighted dominant share.

    The organisation with the lowest share comes first. The pass ends when no
    organisation has a job that fits, or the attempts of this call are used up.
    """

    def share_of(organisation):
        return _weighted_dominant_share(scheduler, organisation)

    heap = fair_share_heap(scheduler.queues, urgency, accesses, share_of)
    while heap and round_.placements_left_count > 0:
        _, _, organisation = heapq.heappop(heap)
        plan = plan_of(scheduler, organisation)
        if plan is None:
            continue
        jobs = first_jobs(
            scheduler.queues,
            organisation,
            urgency,
            accesses,
            scheduler.lookahead_count,
        )
        for job in jobs:
            if round_.placements_left_count <= 0:
                break
            if is_blocked_by_isolation(round_.is_isolated, job.spec):
                continue
            if attempt(scheduler, round_, job, plan):
                # The organisation's other jobs are ordered by its new share.
                oldest = first_jobs(
                    scheduler.queues, organisation, urgency, accesses, 1
                )
                if oldest:
                    key = (
                        share_of(organisation),
                        oldest[0].queued_seconds,
                        organisation,
                    )
                    heapq.heappush(heap, key)
                break
