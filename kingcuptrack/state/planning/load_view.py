"""Load of a shard by service, priority class, organisation and queue.

Instances decide by it whether a job can still end in time to be of use. It is computed
from the shard state at most once a second; `docs/design/admission.md` explains it.
"""

import math

import attrs
import msgspec

from ..jobs.records import decode_record, encode_record
from ..jobs.steps import GUARANTEED_PRIORITY
from .scheduling_units import find_ready_units

# Time constant of the average drain rate: several times the longest gap between the
# ends of runs, and well below the waits that lead to a refusal.
DRAIN_AVERAGE_SECONDS = 10.0
# Time constant of the average rate of lost work, which comes in the lumps of whole
# gangs.
LOST_AVERAGE_SECONDS = 30.0
# Least fraction of the work under way that counts as drained.
LEAST_DRAINED_FRACTION = 0.1
# Longest time that one view adds to the average. After a pause, such as an outage of
# the store, the accelerators in use tell nothing of the rate during the pause.
LONGEST_STEP_SECONDS = 2.0
# Wait of a backlog that does not drain; JSON, and so log lines, know no infinity.
LONGEST_WAIT_SECONDS = 86400.0


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load of a service.

    ``drain_gpus`` is the rate, in accelerator-seconds per second, at which the backlog
    of work without urgency shrinks if nothing is added: the accelerators at work less
    ``lost_gpus``, those whose runs are stopped or fail and start again.
    ``working_gpus`` and ``lost_gpus`` are averages, ``lost_gpu_seconds`` is the sum
    since the leader took over.
    """

    service: str
    usable_gpus_count: int
    drain_gpus: float
    working_gpus: float = 0.0
    lost_gpus: float = 0.0
    lost_gpu_seconds: float = 0.0


class ClassLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load of one priority class of a service.

    Amounts are accelerator-seconds: ``backlog_gpu_seconds`` of tasks without a run,
    ``running_gpu_seconds`` that runs still need. ``wait_seconds`` is the expected wait
    of a job that comes now.
    """

    service: str
    priority: int
    backlog_gpu_seconds: float
    running_gpu_seconds: float
    used_gpus_count: int
    drain_gpus: float
    wait_seconds: float


class OrganisationLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load of an organisation in a service by work without urgency.

    ``wait_seconds`` is the expected wait if the organisation had its ``share`` (0 to
    1) of the drain rate for itself; ``oldest_wait_seconds`` is the age of its oldest
    job with waiting tasks.
    """

    service: str
    organisation: str
    backlog_gpu_seconds: float
    running_gpu_seconds: float
    used_gpus_count: int
    drain_gpus: float
    wait_seconds: float
    share: float
    oldest_wait_seconds: float


class QueueTimes(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Learned run times of a queue; see `RunTimes.prediction`."""

    queue: str
    seconds: float
    ratio: float

    def expect_seconds(self, estimate_seconds):
        """Return the expected run time of a task."""
        if self.ratio and estimate_seconds > 0:
            return estimate_seconds * self.ratio
        return self.seconds


class LoadView(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load of a shard; ``made_at_seconds`` is in seconds since 1970."""

    made_at_seconds: float
    services: list[ServiceLoad]
    classes: list[ClassLoad]
    organisations: list[OrganisationLoad]
    queues: list[QueueTimes]

    def service(self, name):
        """Return the `ServiceLoad` of a service, or None."""
        return next((load for load in self.services if load.service == name), None)

    def class_wait_seconds(self, service, priority):
        """Return the expected wait of a class; 0 if it has no load.

        Classes without urgency wait for each other, so that a class without load has
        the longest wait of these.
        """
        return max(
            (
                load.wait_seconds
                for load in self.classes
                if load.service == service
                and (load.priority > GUARANTEED_PRIORITY)
                == (priority > GUARANTEED_PRIORITY)
            ),
            default=0.0,
        )

    def organisations_of(self, service):
        """Return the loads of the organisations in a service, by name."""
        return {
            load.organisation: load
            for load in self.organisations
            if load.service == service
        }

    def expect_seconds(self, queue, estimate_seconds):
        """Return the expected run time of a task; its estimate for an unknown queue."""
        for times in self.queues:
            if times.queue == queue:
                return times.expect_seconds(estimate_seconds)
        return estimate_seconds


def decode_load_view(data):
    """Return the `LoadView` of a row; raises `RecordError`."""
    return decode_record(data, LoadView)


def encode_load_view(view):
    """Return the bytes of a `LoadView`."""
    return encode_record(view)


def find_shares(policy):
    """Return the share of each organisation under full contention, 0 to 1.

    The shares are proportional to the weights; without weights to the guarantees, and
    equal if there are none.

    Parameters
    ----------
    policy : PlanningPolicy
    """
    amounts = policy.weights or policy.guarantee_gpus
    total = sum(amounts.values())
    if not total:
        return {name: 1 / len(amounts) for name in amounts}
    return {name: amount / total for name, amount in amounts.items()}


def time_to_drain(gpu_seconds, drain_gpus):
    """Return the time to drain a backlog, at most `LONGEST_WAIT_SECONDS`."""
    if not gpu_seconds:
        return 0.0
    if drain_gpus <= 0:
        return LONGEST_WAIT_SECONDS
    return min(gpu_seconds / drain_gpus, LONGEST_WAIT_SECONDS)


@attrs.define(kw_only=True, eq=False)
class _Sums:
    backlog_gpu_seconds: float = 0.0
    running_gpu_seconds: float = 0.0
    used_gpus_count: int = 0
    oldest_at_seconds: float = math.inf

    def add(self, amounts):
        self.backlog_gpu_seconds += amounts.backlog_gpu_seconds
        self.running_gpu_seconds += amounts.running_gpu_seconds
        self.used_gpus_count += amounts.used_gpus_count
        self.oldest_at_seconds = min(self.oldest_at_seconds, amounts.oldest_at_seconds)


def make_load_view(
    shard_state, policy, *, rules, now_seconds, wall_seconds, previous=None
):
    """Return the `LoadView` of a shard.

    Parameters
    ----------
    shard_state : ShardState
    policy : PlanningPolicy
    rules : PlanRules
    now_seconds : float
        Time of the monotonic clock.
    wall_seconds : float
        Time of day.
    previous : LoadView or None
        The view before, whose drain rates are averaged with the present ones.
    """
    by_class, by_organisation, lasting_gpus = _sum_jobs(
        shard_state, now_seconds=now_seconds, wall_seconds=wall_seconds
    )
    waiting_gpus = _count_waiting_gpus(shard_state, wall_seconds)
    usable_gpus = _count_usable_gpus(shard_state, policy)
    step_seconds = 0.0
    if previous is not None:
        step_seconds = wall_seconds - previous.made_at_seconds
    services = [
        _make_service_load(
            service,
            usable_gpus_count=usable_gpus.get(service, 0),
            working_gpus=_measure_working_gpus(
                usable_gpus_count=usable_gpus.get(service, 0),
                urgent_gpus_count=_sum_used(by_class, service, is_urgent=True),
                other_gpus_count=_sum_used(by_class, service, is_urgent=False)
                - lasting_gpus.get(service, 0),
                lasting_gpus_count=lasting_gpus.get(service, 0),
                waiting_gpus_count=waiting_gpus.get(service, 0),
                rules=rules,
            ),
            lost_gpu_seconds=shard_state.lost_gpu_seconds.get(service, 0.0),
            earlier=previous.service(service) if previous else None,
            step_seconds=step_seconds,
        )
        for service in sorted({key[0] for key in by_class} | set(usable_gpus))
    ]
    load_by_service = {load.service: load for load in services}
    return LoadView(
        made_at_seconds=wall_seconds,
        services=services,
        classes=[
            _make_class_load(key, sums, by_class, load_by_service[key[0]])
            for key, sums in sorted(by_class.items())
        ],
        organisations=_make_organisation_loads(
            by_organisation, load_by_service, find_shares(policy), wall_seconds
        ),
        queues=_make_queue_times(shard_state.run_times),
    )


def _sum_jobs(shard_state, *, now_seconds, wall_seconds):
    """Return sums by class and by organisation, and lasting accelerators by service.

    Lasting accelerators are those of long-running steps without urgency, which are not
    expected to become free.
    """
    by_class, by_organisation, lasting_gpus = {}, {}, {}
    for job in shard_state.jobs.values():
        submission = job.submission
        service = submission.service
        sums = _sum_job(shard_state, job, now_seconds, wall_seconds)
        by_class.setdefault((service, submission.priority), _Sums()).add(sums)
        if submission.priority == GUARANTEED_PRIORITY:
            continue
        key = service, submission.organisation
        by_organisation.setdefault(key, _Sums()).add(sums)
        lasting_count = sum(
            run.resources.gpus_count
            for run in job.runs.values()
            if submission.steps[run.ref.step].is_long_running
        )
        lasting_gpus[service] = lasting_gpus.get(service, 0) + lasting_count
    return by_class, by_organisation, lasting_gpus


def _sum_job(shard_state, job, now_seconds, wall_seconds):
    sums = _Sums(backlog_gpu_seconds=_sum_waiting_tasks(shard_state, job, wall_seconds))
    if sums.backlog_gpu_seconds:
        sums.oldest_at_seconds = job.submission.accepted_at_seconds
    for run in job.runs.values():
        gpus_count = run.resources.gpus_count
        sums.used_gpus_count += gpus_count
        if gpus_count and not job.submission.steps[run.ref.step].is_long_running:
            end_seconds = shard_state.expected_end_seconds(run, now_seconds)
            sums.running_gpu_seconds += gpus_count * max(0.0, end_seconds - now_seconds)
    return sums


def _sum_waiting_tasks(shard_state, job, wall_seconds):
    """Return the accelerator-seconds of the due tasks of a job without a run."""
    submission, progress = job.submission, job.progress
    if progress.is_final or job.is_cancelled:
        return 0.0
    total = 0.0
    for occurrence in range(submission.occurrences_count):
        if occurrence in progress.done_occurrences:
            continue
        if submission.due_at_seconds(occurrence) > wall_seconds:
            break
        kept_steps = progress.occurrences.get(occurrence)
        for number, step in enumerate(submission.steps):
            if step.is_long_running or not step.resources.gpus_count:
                continue
            tasks_count = step.task_count
            if kept_steps is not None:
                tasks_count = sum(
                    not task.is_done and not task.worker_id
                    for task in kept_steps[number].tasks
                )
            total += (
                tasks_count
                * step.resources.gpus_count
                * shard_state.expect_task_seconds(
                    submission.queue, step.estimate_seconds
                )
            )
    return total


def _count_waiting_gpus(shard_state, wall_seconds):
    """Return the accelerators that ready tasks without urgency need, by service."""
    waiting_gpus = {}
    for unit in find_ready_units(shard_state, wall_seconds=wall_seconds):
        if unit.priority > GUARANTEED_PRIORITY:
            service = unit.job.submission.service
            waiting_gpus[service] = waiting_gpus.get(service, 0) + unit.gpus_count
    return waiting_gpus


def _count_usable_gpus(shard_state, policy):
    """Return the accelerators of listed workers that may serve, by service.

    Workers that have not answered a new scheduler yet count, since most of them will.
    """
    usable_gpus = {}
    for worker in shard_state.workers.values():
        entry = worker.entry
        if (
            entry is not None
            and not entry.is_draining
            and not worker.is_replaced
            and worker.lost_at_seconds is None
            and entry.data_centre not in policy.closed_data_centres
        ):
            service = entry.service
            gpus_count = usable_gpus.get(service, 0) + entry.capacity.gpus_count
            usable_gpus[service] = gpus_count
    return usable_gpus


def _sum_used(by_class, service, *, is_urgent):
    return sum(
        sums.used_gpus_count
        for (name, priority), sums in by_class.items()
        if name == service and (priority == GUARANTEED_PRIORITY) == is_urgent
    )


def _measure_working_gpus(
    *,
    usable_gpus_count,
    urgent_gpus_count,
    other_gpus_count,
    lasting_gpus_count,
    waiting_gpus_count,
    rules,
):
    """Return the accelerators that work without urgency has, or may take at once.

    If too little work waits to fill what it may take, its use does not show what is
    possible: on an idle cluster, a burst would look like an overload.
    """
    possible_gpus = (
        min(
            rules.hurried_share * usable_gpus_count,
            usable_gpus_count - urgent_gpus_count,
        )
        - lasting_gpus_count
    )
    possible_gpus = max(0.0, float(possible_gpus), other_gpus_count)
    if other_gpus_count + waiting_gpus_count < possible_gpus:
        return possible_gpus
    return float(other_gpus_count)


def _make_service_load(
    service,
    *,
    usable_gpus_count,
    working_gpus,
    lost_gpu_seconds,
    earlier,
    step_seconds,
):
    """Return the load of a service, averaged with the ``earlier`` one if there is one.

    ``step_seconds`` is the time between them.
    """
    lost_gpus = 0.0
    if earlier is not None and step_seconds > 0:
        lost_now = (lost_gpu_seconds - earlier.lost_gpu_seconds) / step_seconds
        step_seconds = min(step_seconds, LONGEST_STEP_SECONDS)
        working_gpus = _average(
            earlier.working_gpus, working_gpus, step_seconds / DRAIN_AVERAGE_SECONDS
        )
        lost_gpus = _average(
            earlier.lost_gpus, lost_now, step_seconds / LOST_AVERAGE_SECONDS
        )
    return ServiceLoad(
        service=service,
        usable_gpus_count=usable_gpus_count,
        drain_gpus=max(working_gpus - lost_gpus, LEAST_DRAINED_FRACTION * working_gpus),
        working_gpus=working_gpus,
        lost_gpus=lost_gpus,
        lost_gpu_seconds=lost_gpu_seconds,
    )


def _average(earlier, now, step):
    """Return a moving average; ``step`` is the time step in time constants."""
    return earlier + (1 - math.exp(-step)) * (now - earlier)


def _make_class_load(key, sums, by_class, service_load):
    service, priority = key
    if priority == GUARANTEED_PRIORITY:
        drain_gpus = float(service_load.usable_gpus_count)
        ahead_gpu_seconds = sums.backlog_gpu_seconds
    else:
        drain_gpus = service_load.drain_gpus
        # Work without urgency is ordered by slack and not by priority, and urgent work
        # is placed before it.
        ahead_gpu_seconds = sum(
            other.backlog_gpu_seconds
            for (name, _), other in by_class.items()
            if name == service
        )
    return ClassLoad(
        service=service,
        priority=priority,
        backlog_gpu_seconds=sums.backlog_gpu_seconds,
        running_gpu_seconds=sums.running_gpu_seconds,
        used_gpus_count=sums.used_gpus_count,
        drain_gpus=drain_gpus,
        wait_seconds=time_to_drain(ahead_gpu_seconds, drain_gpus),
    )


def _make_organisation_loads(by_organisation, load_by_service, shares, wall_seconds):
    loads = []
    for (service, organisation), sums in sorted(by_organisation.items()):
        share = shares.get(organisation, 0.0)
        drain_gpus = share * load_by_service[service].drain_gpus
        oldest_wait_seconds = 0.0
        if sums.oldest_at_seconds < math.inf:
            oldest_wait_seconds = max(0.0, wall_seconds - sums.oldest_at_seconds)
        loads.append(
            OrganisationLoad(
                service=service,
                organisation=organisation,
                backlog_gpu_seconds=sums.backlog_gpu_seconds,
                running_gpu_seconds=sums.running_gpu_seconds,
                used_gpus_count=sums.used_gpus_count,
                drain_gpus=drain_gpus,
                wait_seconds=time_to_drain(sums.backlog_gpu_seconds, drain_gpus),
                share=share,
                oldest_wait_seconds=oldest_wait_seconds,
            )
        )
    return loads


def _make_queue_times(run_times):
    times = []
    for queue in sorted(run_times.known_queues()):
        seconds, ratio = run_times.prediction(queue)
        times.append(QueueTimes(queue=queue, seconds=seconds, ratio=ratio))
    return times
