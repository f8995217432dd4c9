"""Scheduling state of one data centre and the decisions taken on it.

The placer calls this module. All times are on the placer's monotonic clock and
passed in; nothing here does I/O.
"""

import heapq
import random
from collections.abc import Callable

import attrs

from ..outcomes import Refused
from . import budgets as budgets_module, health as health_module
from .budgets import RetryBudgets
from .cluster import (
    ACCELERATORS,
    Cluster,
    capacity_amounts,
    drop_worker,
    end_tasks,
    fit_count,
    hold_tasks,
    put_worker,
    release_plan,
    set_closed,
    start_tasks,
    task_needs,
)
from .guarantees import (
    Packing,
    bind_slot,
    is_within_guarantee,
    plan_kind,
    repack,
    shortfalls,
    unbind_slot,
    unused_slots,
)
from .health import Health
from .jobs import GANG_TASKS_LIMIT_COUNT, JobSpec, Urgency
from .placement import Level, best_fit_by_rack, largest_placeable_count, natural_level
from .plans import EMPTY_CONFIGURATION, Configuration
from .queues import (
    BORROWED_ACCESSES,
    GUARANTEED_ACCESSES,
    Access,
    Queues,
    all_jobs,
    drop_job,
    fair_order,
    find_job,
    first_jobs,
    has_room,
    push_job,
)
from .reclaim import cheapest_target, gang_cost
from .reservations import (
    Reservation,
    make_reservation,
    reservation_blockers,
    reservation_target,
)
from .shares import data_centre_shares
from .slots import apply_slot_choice, choose_slot


@attrs.frozen(kw_only=True)
class QueuedJob:
    """A job waiting for placement; ``queued_seconds`` is on the placer's clock."""

    job_id: str
    spec: JobSpec
    queued_seconds: float
    attempt: int = 0


@attrs.frozen(kw_only=True)
class PlacedGang:
    """A gang with capacity assigned: worker ids by task index."""

    job: QueuedJob
    worker_ids: tuple[str, ...]
    is_guaranteed: bool
    placed_seconds: float


@attrs.frozen(kw_only=True)
class StartGang:
    """Decision to start a gang; its capacity is already assigned."""

    gang: PlacedGang
    reason: str
    runners_up: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class ReclaimGang:
    """Decision to stop a gang so that its capacity can be used by another job."""

    job_id: str
    for_job_id: str
    reason: str


@attrs.frozen(kw_only=True)
class CapacitySummary:
    """What one data centre can take, for routing; compact and lagging."""

    data_centre: str
    free_accelerators_count: int
    total_accelerators_count: int
    waiting_jobs_count: int
    largest_free_accelerators_count: int
    largest_free_gang_accelerators_count: int = 0
    used_accelerators_count_by_organisation: dict[str, int] = attrs.field(factory=dict)
    unused_guaranteed_gangs_count_by_organisation: dict[str, int] = attrs.field(
        factory=dict
    )


@attrs.frozen(kw_only=True)
class Hold:
    """Capacity promised to a job that waits for gangs to stop."""

    job: QueuedJob
    worker_ids: tuple[str, ...]
    is_guaranteed: bool
    reason: str


@attrs.define(kw_only=True)
class JobHistory:
    """What earlier attempts of an open job mean for the next one."""

    failures_count: int = 0
    ready_seconds: float = 0.0
    excluded_until: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Use:
    """Amounts an organisation uses: running gangs, and running gangs that are not
    being reclaimed plus holds."""

    now: list[int] = attrs.field(factory=lambda: [0] * 5)
    planned: list[int] = attrs.field(factory=lambda: [0] * 5)


@attrs.define(kw_only=True)
class Scheduler:
    """Explicit state of one data centre, owned by its placer.

    Parameters
    ----------
    lookahead_count : int
        Oldest jobs of an organisation and urgency that one decision examines.
    attempts_limit_count : int
        Placements that one call of `decide` attempts.
    reservation_after_seconds : float
        Wait after which a patient gang gets an advance reservation.
    exclusion_seconds : float
        Time for which a job avoids a worker that refused or failed it.
    """

    data_centre: str
    queue_limit_count: int = 2000
    lookahead_count: int = 8
    attempts_limit_count: int = 64
    reservation_after_seconds: float = 120.0
    exclusion_seconds: float = 10.0
    history_limit_count: int = 4096
    place: Callable = best_fit_by_rack
    random_source: random.Random = attrs.field(factory=lambda: random.Random(0))
    configuration: Configuration = EMPTY_CONFIGURATION
    data_centres: tuple[str, ...] = ()
    cluster: Cluster = attrs.field(factory=Cluster)
    packing: Packing = attrs.field(factory=Packing)
    health: Health = attrs.field(factory=Health)
    budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    queues: Queues = attrs.field(
        default=attrs.Factory(
            lambda self: Queues(limit_count=self.queue_limit_count), takes_self=True
        )
    )
    delayed: dict[str, QueuedJob] = attrs.field(factory=dict)
    delays: list = attrs.field(factory=list)
    gangs: dict[str, PlacedGang] = attrs.field(factory=dict)
    holds: dict[str, Hold] = attrs.field(factory=dict)
    reclaiming: dict[str, str] = attrs.field(factory=dict)
    reservation: Reservation | None = None
    histories: dict[str, JobHistory] = attrs.field(factory=dict)
    use: dict[str, Use] = attrs.field(factory=dict)
    remote_use: dict[str, int] = attrs.field(factory=dict)
    reasons: dict[str, str] = attrs.field(factory=dict)
    levels: dict = attrs.field(factory=dict)
    fits: dict = attrs.field(factory=dict)
    unfit: dict = attrs.field(factory=dict)
    unreclaimable: dict = attrs.field(factory=dict)
    is_dirty: bool = True

    @property
    def workers(self):
        """Workers by id, as last reported."""
        return self.cluster.workers


def add_job(scheduler, job, *, now_seconds, is_requeue=False):
    """Queue a job.

    A job that was accepted before is never refused: it keeps its place by age and
    may exceed the bound of the queue. A job whose gang has just ended counts as
    such without ``is_requeue``.

    Returns
    -------
    Refused or None
        A refusal if the job can never run or the queue is full.
    """
    job_id = job.job_id
    if job_id in scheduler.gangs:
        message = "the gang of this job has not ended"
        return Refused(code="already_placed", message=message)
    if _find_waiting(scheduler, job_id) is not None:
        return None
    history = scheduler.histories.get(job_id)
    if not is_requeue and history is None:
        refused = _refusal(scheduler, job.spec)
        if refused is not None:
            return refused
        organisations_count = len(scheduler.configuration.plan_by_organisation)
        if not has_room(scheduler.queues, job.spec.organisation, organisations_count):
            message = f"the queue holds {scheduler.queue_limit_count} jobs"
            return Refused(code="queue_full", message=message, retry_after_seconds=1.0)
    if history is not None and history.ready_seconds > now_seconds:
        scheduler.delayed[job_id] = job
        heapq.heappush(scheduler.delays, (history.ready_seconds, job_id))
    else:
        _enqueue(scheduler, job)
    return None


def remove_job(scheduler, job_id):
    """Remove a waiting job; return it, or None if it does not wait."""
    job = _find_waiting(scheduler, job_id)
    if job is None:
        return None
    scheduler.delayed.pop(job_id, None)
    if job_id in scheduler.holds:
        _drop_hold(scheduler, job_id)
    drop_job(scheduler.queues, job_id)
    forget_job(scheduler, job_id)
    return job


def forget_job(scheduler, job_id):
    """Forget what is remembered about a job that has a final outcome."""
    scheduler.reasons.pop(job_id, None)
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
    scheduler.fits.clear()


def remove_worker(scheduler, worker_id):
    """Forget a worker; its gangs end through `gang_ended`."""
    if worker_id in scheduler.cluster.workers:
        drop_worker(scheduler.cluster, worker_id)
        health_module.forget_worker(scheduler.health, worker_id)
        budgets_module.forget_endpoint(scheduler.budgets, worker_id)
        scheduler.is_dirty = True
        scheduler.fits.clear()


def set_configuration(scheduler, configuration):
    """Use a newer configuration from now on; waiting jobs keep their age."""
    if configuration == scheduler.configuration:
        return
    scheduler.configuration = configuration
    jobs = all_jobs(scheduler.queues)
    scheduler.queues = Queues(limit_count=scheduler.queue_limit_count)
    for job in jobs:
        _enqueue(scheduler, job)
    for job_id in list(scheduler.holds):
        _requeue_hold(scheduler, job_id)
    scheduler.is_dirty = True


def set_data_centres(scheduler, data_centres):
    """Use the list of all data centres, in service or not, to compute shares."""
    data_centres = tuple(sorted(set(data_centres)))
    if data_centres != scheduler.data_centres:
        scheduler.data_centres = data_centres
        scheduler.is_dirty = True


def set_remote_use(scheduler, accelerators_count_by_organisation):
    """Count use in other data centres against the quota of borrowed work.

    Guaranteed work is limited by local use only: late reports of others must not
    deny a guarantee.
    """
    scheduler.remote_use = dict(accelerators_count_by_organisation)


def decide(scheduler, *, now_seconds):
    """Return the decisions possible now; capacity of starts is assigned.

    Examines the oldest jobs of each queue and attempts a bounded number of
    placements; each costs at most linear time in the workers.
    """
    decisions = []
    scheduler.reasons.clear()
    _queue_delayed(scheduler, now_seconds)
    _repair(scheduler)
    if not scheduler.cluster.workers or _is_out(scheduler):
        return decisions
    _start_held(scheduler, decisions, now_seconds)
    _follow_reservation(scheduler, decisions, now_seconds)
    attempts = [scheduler.attempts_limit_count]
    for accesses, attempt in (
        (GUARANTEED_ACCESSES, _attempt_guaranteed),
        (BORROWED_ACCESSES, _attempt_borrowed),
    ):
        for urgency in (Urgency.URGENT, Urgency.PATIENT):
            _run_pass(
                scheduler, decisions, now_seconds, urgency, accesses, attempt, attempts
            )
    # A hold that took over a promise, and needs no gang to stop, is ready at once.
    _start_held(scheduler, decisions, now_seconds)
    return decisions


def adopt_gang(scheduler, gang):
    """Take over a gang that runs already."""
    job_id = gang.job.job_id
    if job_id in scheduler.gangs:
        return
    remove_job(scheduler, job_id)
    if not _is_reclaimable(gang.job.spec):
        gang = attrs.evolve(gang, is_guaranteed=True)
    _occupy(scheduler, gang)
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
    refused_worker_ids : sequence of str
        Workers that refused the gang, for instance for lack of capacity; the job
        avoids them for a while and nothing else follows.
    tasks_failed : bool
        Whether tasks ran on the failed workers and reported an error, which
        counts against the job as well.
    """
    gang = scheduler.gangs.pop(job_id, None)
    if gang is None:
        return
    spec = gang.job.spec
    if job_id not in scheduler.reclaiming:
        _change_use(scheduler, spec, planned=-1)
    _change_use(scheduler, spec, now=-1)
    scheduler.reclaiming.pop(job_id, None)
    end_tasks(scheduler.cluster, job_id)
    scheduler.unfit.clear()
    scheduler.unreclaimable.clear()
    slot = unbind_slot(scheduler.packing, job_id)
    if slot is not None and slot.is_partial:
        scheduler.is_dirty = True
    health = scheduler.health
    if succeeded:
        if health_module.record_success(health, set(gang.worker_ids), job_id):
            scheduler.is_dirty = True
        budgets_module.record_success(
            scheduler.budgets,
            organisation=spec.organisation,
            endpoints=set(gang.worker_ids),
            now_seconds=now_seconds,
        )
        forget_job(scheduler, job_id)
        return
    history = _history(scheduler, job_id)
    for worker_id in (*failed_worker_ids, *refused_worker_ids):
        history.excluded_until[worker_id] = now_seconds + scheduler.exclusion_seconds
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

    Call it after `gang_ended`: a job that failed on several healthy workers is at
    fault itself.
    """
    return health_module.job_verdict(scheduler.health, job_id)


def guarantee_shortfalls(scheduler):
    """Return the guarantees that do not fit the present workers, by organisation."""
    _repair(scheduler)
    return shortfalls(scheduler.packing)


def never_fitting_jobs(scheduler):
    """Return ``(job, refusal)`` of waiting jobs that can no longer run.

    Meant for changes of configuration or workers; linear in the waiting jobs.
    """
    jobs = all_jobs(scheduler.queues)
    refusals = ((job, _refusal(scheduler, job.spec)) for job in jobs)
    return [(job, refused) for job, refused in refusals if refused is not None]


def quarantined_worker_ids(scheduler):
    """Return the workers that get no work because they failed several jobs."""
    return tuple(sorted(scheduler.health.quarantines))


def waiting_reason(scheduler, job_id):
    """Return why a job waits, or an empty string."""
    job = _find_waiting(scheduler, job_id)
    if job is None:
        return ""
    if _is_out(scheduler):
        return f"data centre {scheduler.data_centre} is out of service"
    if not scheduler.cluster.workers:
        return "no worker of this data centre is known"
    if job_id in scheduler.holds:
        return _hold_reason(scheduler, scheduler.holds[job_id])
    if job_id in scheduler.delayed:
        failures_count = scheduler.histories[job_id].failures_count
        return f"delayed after failed attempt {failures_count}"
    reason = scheduler.reasons.get(job_id)
    if reason:
        return reason
    refused = _refusal(scheduler, job.spec)
    if refused is not None:
        return refused.message
    return f"behind older jobs of organisation {job.spec.organisation}"


def capacity_summary(scheduler):
    """Return the compact summary that other data centres route by."""
    _repair(scheduler)
    cluster = scheduler.cluster
    free_counts = [
        max(0, cluster.available[worker_id][ACCELERATORS])
        for worker_ids in cluster.racks.values()
        for worker_id in worker_ids
    ]
    return CapacitySummary(
        data_centre=scheduler.data_centre,
        free_accelerators_count=sum(free_counts),
        total_accelerators_count=cluster.totals[ACCELERATORS],
        waiting_jobs_count=len(scheduler.queues.queue_by_job)
        + len(scheduler.delayed)
        + len(scheduler.holds),
        largest_free_accelerators_count=max(free_counts, default=0),
        largest_free_gang_accelerators_count=largest_placeable_count(
            cluster.racks, cluster.available, _capacities(scheduler)
        ),
        used_accelerators_count_by_organisation={
            organisation: use.now[ACCELERATORS]
            for organisation, use in scheduler.use.items()
            if use.now[ACCELERATORS]
        },
        unused_guaranteed_gangs_count_by_organisation={
            organisation: len(unused_slots(scheduler.packing, organisation))
            for organisation in scheduler.packing.slots
        },
    )


def _find_waiting(scheduler, job_id):
    if job_id in scheduler.holds:
        return scheduler.holds[job_id].job
    if job_id in scheduler.delayed:
        return scheduler.delayed[job_id]
    return find_job(scheduler.queues, job_id)


def _enqueue(scheduler, job):
    push_job(scheduler.queues, job, _access(scheduler, job.spec))


def _access(scheduler, spec):
    plan = _plan(scheduler, spec.organisation)
    if plan is None or not is_within_guarantee(plan, spec):
        return Access.BORROWED_ONLY
    if _is_reclaimable(spec):
        return Access.EITHER
    return Access.GUARANTEED_ONLY


def _plan(scheduler, organisation):
    name = scheduler.configuration.plan_by_organisation.get(organisation)
    return None if name is None else scheduler.configuration.plans[name]


def _is_reclaimable(spec):
    return spec.is_repeatable or spec.is_checkpointable


def _is_out(scheduler):
    return scheduler.data_centre in scheduler.configuration.data_centres_out


def _accelerators_count(spec):
    return spec.tasks_count * spec.shape.accelerators_count


def _refusal(scheduler, spec):
    """Return why a job can never run here under the present limits, or None."""
    organisation = spec.organisation
    plan = _plan(scheduler, organisation)
    if plan is None:
        message = f"organisation {organisation} is not in the configuration"
        return Refused(code="unknown_organisation", message=message)
    if _is_out(scheduler):
        message = f"data centre {scheduler.data_centre} is out of service"
        return Refused(code="data_centre_out", message=message)
    if not 1 <= spec.tasks_count <= GANG_TASKS_LIMIT_COUNT:
        message = (
            f"the job has {spec.tasks_count} tasks; a gang has 1 to "
            f"{GANG_TASKS_LIMIT_COUNT}"
        )
        return Refused(code="never_fits", message=message)
    need_count = _accelerators_count(spec)
    if need_count > plan.quota_accelerators_count:
        message = (
            f"the job needs {need_count} accelerators; the quota of plan {plan.name} "
            f"is {plan.quota_accelerators_count}"
        )
        return Refused(code="never_fits", message=message)
    if not scheduler.cluster.workers:
        message = "no worker of this data centre is known"
        return Refused(code="no_workers", message=message, retry_after_seconds=1.0)
    fits_count = _fits_count(scheduler, task_needs(spec.shape))
    if fits_count < spec.tasks_count:
        message = (
            f"the job has {spec.tasks_count} tasks; at most {fits_count} of this "
            f"shape fit all workers of data centre {scheduler.data_centre} together"
        )
        return Refused(code="never_fits", message=message)
    if not _is_reclaimable(spec):
        return _guaranteed_refusal(scheduler, spec, plan)
    return None


def _guaranteed_refusal(scheduler, spec, plan):
    limit = (
        "it is neither repeatable nor checkpointable, so it may only run on "
        "guaranteed capacity: "
    )
    if not is_within_guarantee(plan, spec):
        limit += (
            f"it is larger than a guaranteed gang of plan {plan.name}, "
            f"{plan.guaranteed_tasks_count} tasks of {plan.guaranteed_shape}"
        )
    elif not _shares(scheduler).get(spec.organisation):
        limit += (
            f"data centre {scheduler.data_centre} has no guaranteed gang of "
            f"organisation {spec.organisation}"
        )
    else:
        return None
    return Refused(code="never_guaranteed", message=limit)


def _fits_count(scheduler, needs):
    count = scheduler.fits.get(needs)
    if count is None:
        if len(scheduler.fits) >= 256:
            scheduler.fits.clear()
        count = scheduler.fits[needs] = sum(
            fit_count(capacity_amounts(worker.capacity), needs)
            for worker in scheduler.cluster.workers.values()
            if not worker.is_leaving
        )
    return count


def _shares(scheduler):
    data_centres = scheduler.data_centres or (scheduler.data_centre,)
    return data_centre_shares(
        scheduler.configuration, data_centres, scheduler.data_centre
    )


def _capacities(scheduler):
    return {
        worker_id: capacity_amounts(worker.capacity)
        for worker_id, worker in scheduler.cluster.workers.items()
    }


def _history(scheduler, job_id):
    history = scheduler.histories.get(job_id)
    if history is None:
        history = scheduler.histories[job_id] = JobHistory()
        if len(scheduler.histories) > scheduler.history_limit_count:
            del scheduler.histories[next(iter(scheduler.histories))]
    return history


def _delay_retry(scheduler, job, history, failed_worker_ids, now_seconds):
    history.failures_count += 1
    delay_seconds = budgets_module.retry_delay_seconds(
        history.failures_count, scheduler.random_source
    )
    is_in_budget = budgets_module.take_retry(
        scheduler.budgets,
        organisation=job.spec.organisation,
        endpoints=set(failed_worker_ids),
        now_seconds=now_seconds,
    )
    if not is_in_budget:
        # The longest delay: an accepted job is not refused for lack of budget.
        delay_seconds = budgets_module.retry_delay_seconds(32, scheduler.random_source)
    history.ready_seconds = now_seconds + delay_seconds


def _queue_delayed(scheduler, now_seconds):
    while scheduler.delays and scheduler.delays[0][0] <= now_seconds:
        ready_seconds, job_id = heapq.heappop(scheduler.delays)
        history = scheduler.histories.get(job_id)
        if history is not None and history.ready_seconds > ready_seconds:
            continue
        job = scheduler.delayed.pop(job_id, None)
        if job is not None:
            _enqueue(scheduler, job)


def _repair(scheduler):
    """Bring racks, levels and the packing in line with workers and shares."""
    if not scheduler.is_dirty:
        return
    scheduler.is_dirty = False
    cluster = scheduler.cluster
    set_closed(cluster, scheduler.health.quarantines)
    scheduler.levels.clear()
    scheduler.unfit.clear()
    scheduler.unreclaimable.clear()
    open_ids = {item for ids in cluster.racks.values() for item in ids}
    for job_id, hold in list(scheduler.holds.items()):
        if not open_ids.issuperset(hold.worker_ids):
            _requeue_hold(scheduler, job_id)
    if scheduler.reservation is not None and not open_ids.issuperset(
        scheduler.reservation.worker_ids
    ):
        scheduler.reservation = None
    plans = scheduler.configuration.plan_by_organisation
    guaranteed = {
        job_id: (
            item.job.spec.organisation,
            task_needs(item.job.spec.shape),
            item.worker_ids,
            job_id in scheduler.holds or _is_reclaimable(item.job.spec),
        )
        for job_id, item in (*scheduler.gangs.items(), *scheduler.holds.items())
        if item.is_guaranteed
    }
    demoted = repack(
        scheduler.packing,
        cluster.racks,
        _capacities(scheduler),
        _shares(scheduler),
        {name: plan_kind(_plan(scheduler, name)) for name in plans},
        lambda kind: _level(scheduler, kind.needs, kind.tasks_count),
        guaranteed,
    )
    for job_id in demoted:
        if job_id in scheduler.holds:
            _requeue_hold(scheduler, job_id)
        else:
            _demote(scheduler, job_id)


def _level(scheduler, needs, tasks_count):
    key = (needs, tasks_count)
    level = scheduler.levels.get(key)
    if level is None:
        if len(scheduler.levels) >= 1024:
            scheduler.levels.clear()
        level = scheduler.levels[key] = natural_level(
            scheduler.cluster.workers.values(),
            _capacities(scheduler),
            needs,
            tasks_count,
        )
    return level


def _change_use(scheduler, spec, *, now=0, planned=0):
    use = scheduler.use.get(spec.organisation)
    if use is None:
        use = scheduler.use[spec.organisation] = Use()
    for index, amount in task_needs(spec.shape):
        use.now[index] += now * amount * spec.tasks_count
        use.planned[index] += planned * amount * spec.tasks_count


def _fair_share(scheduler, organisation):
    plan = _plan(scheduler, organisation)
    use = scheduler.use.get(organisation)
    if plan is None or use is None:
        return 0.0
    totals = scheduler.cluster.totals
    shares = (
        amount / total
        for amount, total in zip(use.planned, totals, strict=True)
        if total
    )
    dominant = max(shares, default=0.0)
    return dominant / plan.weight


def _run_pass(scheduler, decisions, now_seconds, urgency, accesses, attempt, attempts):
    """Offer capacity to the organisations in turn until none can use it."""

    def share_of(organisation):
        return _fair_share(scheduler, organisation)

    heap = fair_order(scheduler.queues, urgency, accesses, share_of)
    while heap and attempts[0] > 0:
        _, _, organisation = heapq.heappop(heap)
        plan = _plan(scheduler, organisation)
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
            if attempts[0] <= 0:
                break
            if attempt(scheduler, decisions, job, plan, now_seconds, attempts):
                # Other jobs of the organisation have their turn by its new share.
                rest = first_jobs(scheduler.queues, organisation, urgency, accesses, 1)
                if rest:
                    key = (share_of(organisation), rest[0].queued_seconds, organisation)
                    heapq.heappush(heap, key)
                break


def _quota_excess(scheduler, spec, plan, used_count):
    return used_count + _accelerators_count(spec) - plan.quota_accelerators_count


def _attempt_guaranteed(scheduler, decisions, job, plan, now_seconds, attempts):
    organisation = job.spec.organisation
    slots = unused_slots(scheduler.packing, organisation)
    if not slots:
        slots = _slots_of_smaller(scheduler, job)
    if not slots:
        if not _is_reclaimable(job.spec):
            scheduler.reasons[job.job_id] = _no_slot_reason(scheduler, organisation)
        return False
    use = scheduler.use.get(organisation) or Use()
    demoted_id = slots[0].job_id

    def reclaim_cost(holder_id):
        return _reclaim_cost(scheduler, holder_id, now_seconds, demoted_id=demoted_id)

    quota_victims = _quota_victims(scheduler, job.spec, plan, use, reclaim_cost)
    if quota_victims is None:
        scheduler.reasons[job.job_id] = _quota_reason(scheduler, job.spec, plan)
        return False
    attempts[0] -= 1

    def cost_of(holder_id):
        return 0.0 if holder_id in quota_victims else reclaim_cost(holder_id)

    choice = choose_slot(
        scheduler.packing,
        scheduler.cluster,
        slots,
        task_needs(job.spec.shape),
        job.spec.tasks_count,
        cost_of,
        _level(scheduler, slots[0].kind.needs, slots[0].kind.tasks_count),
        _excluded(scheduler, job.job_id, now_seconds),
    )
    if choice is None:
        scheduler.reasons[job.job_id] = (
            "the workers of its guaranteed capacity refused or failed it shortly before"
        )
        return False
    if choice.slot.job_id:
        _demote(scheduler, choice.slot.job_id)
    apply_slot_choice(scheduler.packing, choice)
    bind_slot(scheduler.packing, choice.slot, job.job_id)
    victims = set(choice.target.victim_ids) | set(quota_victims)
    excess = _quota_excess(scheduler, job.spec, plan, use.now[ACCELERATORS])
    reason = f"guaranteed gang of organisation {organisation}"
    if choice.target.is_ready and not victims and excess <= 0:
        _start(
            scheduler,
            decisions,
            job,
            choice.target.worker_ids,
            True,
            reason,
            now_seconds,
        )
    else:
        _hold(
            scheduler, decisions, job, choice.target.worker_ids, True, reason, victims
        )
    return True


def _slots_of_smaller(scheduler, job):
    """Return the own slot whose gang can borrow instead and matters less than a job.

    Without this, small jobs of an organisation would occupy all of its guaranteed
    gangs and keep out the large or irreclaimable gangs that need them. The order
    by rank excludes cycles.
    """

    def rank(spec):
        return (not _is_reclaimable(spec), _accelerators_count(spec))

    found = []
    for slot in scheduler.packing.slots.get(job.spec.organisation, ()):
        gang = scheduler.gangs.get(slot.job_id)
        if (
            gang is not None
            and not slot.is_partial
            and _is_reclaimable(gang.job.spec)
            and rank(gang.job.spec) < rank(job.spec)
            and gang.job.spec.urgency in (job.spec.urgency, Urgency.PATIENT)
        ):
            found.append(slot)
    found.sort(key=lambda slot: rank(scheduler.gangs[slot.job_id].job.spec))
    return found[:1]


def _demote(scheduler, job_id):
    """Make a guaranteed gang a borrowed one."""
    unbind_slot(scheduler.packing, job_id)
    scheduler.gangs[job_id] = attrs.evolve(scheduler.gangs[job_id], is_guaranteed=False)


def _quota_victims(scheduler, spec, plan, use, reclaim_cost):
    """Return own borrowed gangs to stop so that a guaranteed one is in its quota."""
    excess = _quota_excess(scheduler, spec, plan, use.planned[ACCELERATORS])
    if excess <= 0:
        return ()
    costs = []
    for job_id, item in (*scheduler.gangs.items(), *scheduler.holds.items()):
        own = item.job.spec
        if own.organisation == spec.organisation and _accelerators_count(own):
            cost = None if job_id in scheduler.reclaiming else reclaim_cost(job_id)
            if cost is not None:
                costs.append((cost, job_id, _accelerators_count(own)))
    victims = []
    for _, job_id, count in sorted(costs):
        victims.append(job_id)
        excess -= count
        if excess <= 0:
            return tuple(victims)
    return None


def _reclaim_cost(
    scheduler, holder_id, now_seconds, *, is_patient_only=False, demoted_id=""
):
    """Return the cost of stopping a borrowed gang or dropping a hold, or None."""
    hold = scheduler.holds.get(holder_id)
    item = hold or scheduler.gangs[holder_id]
    is_guaranteed = item.is_guaranteed and holder_id != demoted_id
    if is_guaranteed or holder_id in scheduler.reclaiming:
        return None
    if is_patient_only and item.job.spec.urgency != Urgency.PATIENT:
        return None
    if hold is not None:
        return 0.0
    return gang_cost(item.job.spec, now_seconds - item.placed_seconds)


def _attempt_borrowed(scheduler, decisions, job, plan, now_seconds, attempts):
    spec = job.spec
    job_id = job.job_id
    if not _is_reclaimable(spec):
        return False
    use = scheduler.use.get(spec.organisation) or Use()
    used_count = max(use.now[ACCELERATORS], use.planned[ACCELERATORS])
    used_count += scheduler.remote_use.get(spec.organisation, 0)
    if _quota_excess(scheduler, spec, plan, used_count) > 0:
        scheduler.reasons[job_id] = _quota_reason(scheduler, spec, plan)
        return False
    needs = task_needs(spec.shape)
    if spec.tasks_count > _fits_count(scheduler, needs):
        scheduler.reasons[job_id] = _refusal(scheduler, spec).message
        return False
    is_urgent = spec.urgency == Urgency.URGENT
    worker_ids = _find_free(scheduler, job, needs, now_seconds, attempts)
    if worker_ids is not None:
        reason = f"free capacity, borrowed by organisation {spec.organisation}"
        _start(scheduler, decisions, job, worker_ids, False, reason, now_seconds)
        return True
    if is_urgent and _reclaim_for_urgent(
        scheduler, decisions, job, needs, now_seconds, attempts
    ):
        return True
    scheduler.reasons[job_id] = (
        f"no room for {spec.tasks_count} tasks of its shape in the free capacity"
    )
    if is_urgent:
        scheduler.reasons[job_id] += " and in what patient borrowed gangs use"
    elif (
        scheduler.reservation is None
        and now_seconds - job.queued_seconds >= scheduler.reservation_after_seconds
    ):
        attempts[0] -= 1
        scheduler.reservation = make_reservation(
            scheduler.cluster,
            job_id,
            needs,
            spec.tasks_count,
            _level(scheduler, needs, spec.tasks_count),
            _capacities(scheduler),
        )
    if scheduler.reservation is not None and scheduler.reservation.job_id == job_id:
        scheduler.reasons[job_id] = _reservation_reason(scheduler)
    return False


def _find_free(scheduler, job, needs, now_seconds, attempts):
    """Return workers with room for a borrowed gang now, or None."""
    spec = job.spec
    cluster = scheduler.cluster
    # Only the smallest gang that failed is kept: a larger one fails as well.
    if spec.tasks_count >= scheduler.unfit.get(needs, spec.tasks_count + 1):
        if spec.tasks_count > 1:
            return None
        return _find_probe(scheduler, job, needs, now_seconds)
    attempts[0] -= 1
    excluded = _excluded(scheduler, job.job_id, now_seconds)
    if spec.urgency == Urgency.PATIENT:
        probe = _find_probe(scheduler, job, needs, now_seconds)
        if probe is not None:
            return probe
    avoided = excluded
    if spec.urgency == Urgency.URGENT and scheduler.reservation is not None:
        avoided = excluded | set(scheduler.reservation.worker_ids)
    levels = tuple(Level)[_level(scheduler, needs, spec.tasks_count) :]
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
        scheduler.unfit[needs] = spec.tasks_count
    return _find_probe(scheduler, job, needs, now_seconds)


def _find_probe(scheduler, job, needs, now_seconds):
    """Return a quarantined worker due for a probe with this job, or None."""
    if job.spec.tasks_count != 1 or not job.spec.is_repeatable:
        return None
    excluded = _excluded(scheduler, job.job_id, now_seconds)
    for worker_id in scheduler.health.quarantines:
        worker = scheduler.cluster.workers.get(worker_id)
        if (
            worker is not None
            and not worker.is_leaving
            and worker_id not in excluded
            and health_module.probe_due(
                scheduler.health, worker_id, now_seconds=now_seconds
            )
            and fit_count(scheduler.cluster.available[worker_id], needs)
        ):
            return (worker_id,)
    return None


def _reclaim_for_urgent(scheduler, decisions, job, needs, now_seconds, attempts):
    spec = job.spec
    if spec.tasks_count >= scheduler.unreclaimable.get(needs, spec.tasks_count + 1):
        return False
    attempts[0] -= 1
    excluded = _excluded(scheduler, job.job_id, now_seconds)
    racks = {
        rack: [item for item in ids if item not in excluded]
        for rack, ids in scheduler.cluster.racks.items()
    }
    target = cheapest_target(
        scheduler.cluster,
        racks,
        tuple(Level)[_level(scheduler, needs, spec.tasks_count) :],
        needs,
        spec.tasks_count,
        lambda holder_id: _reclaim_cost(
            scheduler, holder_id, now_seconds, is_patient_only=True
        ),
    )
    if target is None:
        if not excluded:
            scheduler.unreclaimable[needs] = spec.tasks_count
        return False
    reason = f"urgent job of organisation {spec.organisation}"
    victims = set(target.victim_ids)
    _hold(scheduler, decisions, job, target.worker_ids, False, reason, victims)
    return True


def _excluded(scheduler, job_id, now_seconds):
    history = scheduler.histories.get(job_id)
    if history is None or not history.excluded_until:
        return frozenset()
    history.excluded_until = {
        worker_id: until_seconds
        for worker_id, until_seconds in history.excluded_until.items()
        if until_seconds > now_seconds
    }
    return frozenset(history.excluded_until)


def _occupy(scheduler, gang):
    job_id = gang.job.job_id
    spec = gang.job.spec
    scheduler.gangs[job_id] = gang
    scheduler.unreclaimable.clear()
    is_held = scheduler.holds.pop(job_id, None) is not None
    start_tasks(scheduler.cluster, job_id, task_needs(spec.shape), gang.worker_ids)
    _change_use(scheduler, spec, now=1, planned=0 if is_held else 1)


def _start(scheduler, decisions, job, worker_ids, is_guaranteed, reason, now_seconds):
    gang = PlacedGang(
        job=job,
        worker_ids=worker_ids,
        is_guaranteed=is_guaranteed,
        placed_seconds=now_seconds,
    )
    drop_job(scheduler.queues, job.job_id)
    _occupy(scheduler, gang)
    scheduler.reasons.pop(job.job_id, None)
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
            elif job.spec.urgency == Urgency.PATIENT:
                reservation.backfill_job_ids.add(job.job_id)
    decisions.append(StartGang(gang=gang, reason=reason))


def _hold(scheduler, decisions, job, worker_ids, is_guaranteed, reason, victim_ids):
    """Order the victims to stop and promise their capacity to a job."""
    for victim_id in sorted(victim_ids):
        if victim_id in scheduler.holds:
            _requeue_hold(scheduler, victim_id)
            continue
        scheduler.reclaiming[victim_id] = job.job_id
        release_plan(scheduler.cluster, victim_id)
        scheduler.unfit.clear()
        _change_use(scheduler, scheduler.gangs[victim_id].job.spec, planned=-1)
        decisions.append(
            ReclaimGang(job_id=victim_id, for_job_id=job.job_id, reason=reason)
        )
    drop_job(scheduler.queues, job.job_id)
    scheduler.unreclaimable.clear()
    scheduler.holds[job.job_id] = Hold(
        job=job, worker_ids=worker_ids, is_guaranteed=is_guaranteed, reason=reason
    )
    hold_tasks(scheduler.cluster, job.job_id, task_needs(job.spec.shape), worker_ids)
    _change_use(scheduler, job.spec, planned=1)
    scheduler.reasons.pop(job.job_id, None)
    reservation = scheduler.reservation
    if reservation is not None and (
        reservation.job_id == job.job_id
        or is_guaranteed
        and not set(worker_ids).isdisjoint(reservation.worker_ids)
    ):
        scheduler.reservation = None


def _drop_hold(scheduler, job_id):
    hold = scheduler.holds.pop(job_id)
    release_plan(scheduler.cluster, job_id)
    _change_use(scheduler, hold.job.spec, planned=-1)
    scheduler.unfit.clear()
    scheduler.unreclaimable.clear()
    unbind_slot(scheduler.packing, job_id)
    return hold


def _requeue_hold(scheduler, job_id):
    _enqueue(scheduler, _drop_hold(scheduler, job_id).job)


def _start_held(scheduler, decisions, now_seconds):
    """Start the jobs whose promised capacity is free by now.

    Freed capacity goes to holds in order of priority: a lower one may not use what
    a higher one on the same worker still waits for.
    """
    blocked = {}
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
        plan = _plan(scheduler, spec.organisation)
        use = scheduler.use[spec.organisation]
        is_ready = _quota_excess(scheduler, spec, plan, use.now[ACCELERATORS]) <= 0
        for worker_id, amounts in needed.items():
            taken = blocked.get(worker_id, (0,) * 5)
            is_ready = is_ready and all(
                left >= amount + other
                for left, amount, other in zip(
                    free[worker_id], amounts, taken, strict=True
                )
                if amount
            )
        if is_ready:
            _start(
                scheduler,
                decisions,
                hold.job,
                hold.worker_ids,
                hold.is_guaranteed,
                hold.reason,
                now_seconds,
            )
            continue
        for worker_id, amounts in needed.items():
            taken = blocked.setdefault(worker_id, [0] * 5)
            for index, amount in enumerate(amounts):
                taken[index] += amount


def _follow_reservation(scheduler, decisions, now_seconds):
    """Start the job of the advance reservation if only backfill is in its way."""
    reservation = scheduler.reservation
    if reservation is None:
        return
    job = find_job(scheduler.queues, reservation.job_id)
    plan = None if job is None else _plan(scheduler, job.spec.organisation)
    if plan is None:
        scheduler.reservation = None
        return
    use = scheduler.use.get(job.spec.organisation) or Use()
    used_count = max(use.now[ACCELERATORS], use.planned[ACCELERATORS])
    used_count += scheduler.remote_use.get(job.spec.organisation, 0)
    if _quota_excess(scheduler, job.spec, plan, used_count) > 0:
        scheduler.reservation = None
        return

    def cost_of(holder_id):
        if holder_id not in reservation.backfill_job_ids:
            return None
        return _reclaim_cost(scheduler, holder_id, now_seconds)

    target = reservation_target(
        reservation,
        scheduler.cluster,
        task_needs(job.spec.shape),
        job.spec.tasks_count,
        cost_of,
    )
    if target is None:
        return
    reason = f"advance reservation of organisation {job.spec.organisation}"
    if target.is_ready:
        _start(scheduler, decisions, job, target.worker_ids, False, reason, now_seconds)
    else:
        victims = set(target.victim_ids)
        _hold(scheduler, decisions, job, target.worker_ids, False, reason, victims)


def _no_slot_reason(scheduler, organisation):
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


def _quota_reason(scheduler, spec, plan):
    use = scheduler.use.get(spec.organisation) or Use()
    used_count = max(use.now[ACCELERATORS], use.planned[ACCELERATORS])
    reason = (
        f"organisation {spec.organisation} uses {used_count} accelerators of its quota "
        f"of {plan.quota_accelerators_count} here"
    )
    remote_count = scheduler.remote_use.get(spec.organisation, 0)
    if remote_count:
        reason += f" and {remote_count} in other data centres"
    return reason + f"; the job needs {_accelerators_count(spec)}"


def _hold_reason(scheduler, hold):
    stopping = set()
    for worker_id in set(hold.worker_ids):
        stopping.update(scheduler.cluster.now.holders.get(worker_id, ()))
    stopping &= scheduler.reclaiming.keys()
    if not stopping:
        return "its workers are free; it starts with the next decision"
    return f"waits for {len(stopping)} gangs to stop on its workers: " + ", ".join(
        sorted(stopping)[:5]
    )


def _reservation_reason(scheduler):
    reservation = scheduler.reservation
    blockers = reservation_blockers(reservation, scheduler.cluster)
    return (
        f"{len(set(reservation.worker_ids))} workers are reserved for it; gangs still "
        "running there: " + ", ".join(sorted(blockers)[:5])
    )
