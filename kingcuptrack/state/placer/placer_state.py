"""State that a placer schedules one data centre by, and the decisions it takes."""

import random
from collections.abc import Callable

import attrs

from .cluster import Cluster, capacity_amounts
from .guarantees import GuaranteePacking
from .health import Health
from .jobs import JobSpec
from .placement import best_fit_by_rack, tightest_level
from .plans import EMPTY_CONFIGURATION, Configuration
from .queues import Queues
from .reservations import Reservation
from .retry_budgets import RetryBudgets
from .shares import data_centre_shares


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
    """Decision to stop a gang whose capacity another job needs."""

    job_id: str
    for_job_id: str
    reason: str


@attrs.frozen(kw_only=True)
class CapacitySummary:
    """Free capacity of one data centre, for routing.

    Heartbeats carry it, so that a reader may see an outdated one.
    """

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
    """Capacity kept for a job that waits for reclaimed gangs to stop."""

    job: QueuedJob
    worker_ids: tuple[str, ...]
    is_guaranteed: bool
    reason: str
    runners_up: tuple[str, ...] = ()


@attrs.define(kw_only=True)
class JobHistory:
    """Failures of an open job, and the limits on its next attempt.

    The job waits until ``ready_seconds``, and avoids each worker of
    ``excluded_until_seconds`` until the time given there; both are on the placer's
    clock.
    """

    failures_count: int = 0
    ready_seconds: float = 0.0
    excluded_until_seconds: dict[str, float] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class OrganisationUse:
    """Amounts that an organisation uses in this data centre.

    ``now`` counts its running gangs; ``planned`` counts those that are not being
    reclaimed, and its holds.
    """

    now: list[int] = attrs.field(factory=lambda: [0] * 5)
    planned: list[int] = attrs.field(factory=lambda: [0] * 5)


@attrs.define(kw_only=True)
class PlacerState:
    """Scheduling state of one data centre, owned by its placer.

    The functions of `scheduling` and its modules take it as ``scheduler``.

    Parameters
    ----------
    lookahead_count : int
        Number of oldest jobs of an organisation and urgency that one decision
        examines.
    placements_limit_count : int
        Number of placements that one call of ``decide`` may try.
    reservation_after_seconds : float
        Wait after which a gang of urgency ``PATIENT`` gets an advance reservation.
    exclusion_seconds : float
        Time for which a job avoids a worker that refused it or on which it failed.

    Notes
    -----
    ``delayed`` and ``delay_heap`` hold the jobs that wait for their next attempt.
    ``reclaiming`` maps the job whose gang is being stopped to the job that it is
    stopped for. ``remote_use_by_organisation`` counts accelerators in use in other
    data centres. ``is_dirty`` tells that racks and guaranteed gangs have to be
    brought in line with changed workers, shares or plans.

    Four fields cache results. ``adjacency_level_by_gang`` is keyed by needs and task
    count, the others by the needs of one task. ``fitting_tasks_count_by_needs`` holds
    how many tasks fit all workers that are not leaving, if empty.
    ``unfit_tasks_count_by_needs`` and ``unreclaimable_tasks_count_by_needs`` hold the
    task count of the smallest gang found not to fit, at present or after a reclaim.
    """

    data_centre: str
    queue_limit_count: int = 2000
    lookahead_count: int = 8
    placements_limit_count: int = 32
    reservation_after_seconds: float = 120.0
    exclusion_seconds: float = 10.0
    history_limit_count: int = 4096
    place: Callable = best_fit_by_rack
    random_source: random.Random = attrs.field(factory=lambda: random.Random(0))
    configuration: Configuration = EMPTY_CONFIGURATION
    data_centres: tuple[str, ...] = ()
    cluster: Cluster = attrs.field(factory=Cluster)
    packing: GuaranteePacking = attrs.field(factory=GuaranteePacking)
    health: Health = attrs.field(factory=Health)
    budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    queues: Queues = attrs.field(
        default=attrs.Factory(
            lambda self: Queues(limit_count=self.queue_limit_count), takes_self=True
        )
    )
    delayed: dict[str, QueuedJob] = attrs.field(factory=dict)
    delay_heap: list = attrs.field(factory=list)
    gangs: dict[str, PlacedGang] = attrs.field(factory=dict)
    holds: dict[str, Hold] = attrs.field(factory=dict)
    reclaiming: dict[str, str] = attrs.field(factory=dict)
    reservation: Reservation | None = None
    histories: dict[str, JobHistory] = attrs.field(factory=dict)
    use_by_organisation: dict[str, OrganisationUse] = attrs.field(factory=dict)
    remote_use_by_organisation: dict[str, int] = attrs.field(factory=dict)
    waiting_reasons: dict[str, str] = attrs.field(factory=dict)
    adjacency_level_by_gang: dict = attrs.field(factory=dict)
    fitting_tasks_count_by_needs: dict = attrs.field(factory=dict)
    unfit_tasks_count_by_needs: dict = attrs.field(factory=dict)
    unreclaimable_tasks_count_by_needs: dict = attrs.field(factory=dict)
    is_dirty: bool = True
    is_isolated: bool = False

    @property
    def workers(self):
        """Last reported workers, by id."""
        return self.cluster.workers


@attrs.define(kw_only=True)
class DecisionRound:
    """State of one call of ``decide``."""

    now_seconds: float
    placements_left_count: int
    is_isolated: bool = False
    decisions: list = attrs.field(factory=list)


def plan_of(scheduler, organisation):
    """Return the plan of an organisation, or None."""
    name = scheduler.configuration.plan_by_organisation.get(organisation)
    return None if name is None else scheduler.configuration.plans[name]


def is_reclaimable(spec):
    """Return whether a gang of this job may be stopped and run again."""
    return spec.is_repeatable or spec.is_checkpointable


def is_out_of_service(scheduler):
    """Return whether this data centre is out of service."""
    return scheduler.data_centre in scheduler.configuration.data_centres_out


def gang_accelerators_count(spec):
    """Return the accelerators that all tasks of a job need together."""
    return spec.tasks_count * spec.shape.accelerators_count


def current_shares(scheduler):
    """Return the guaranteed gangs of this data centre by organisation."""
    data_centres = scheduler.data_centres or (scheduler.data_centre,)
    return data_centre_shares(
        scheduler.configuration, data_centres, scheduler.data_centre
    )


def worker_capacities(scheduler):
    """Return the amounts of each worker if empty, by worker id."""
    return {
        worker_id: capacity_amounts(worker.capacity)
        for worker_id, worker in scheduler.cluster.workers.items()
    }


def adjacency_level(scheduler, needs, tasks_count):
    """Return the tightest level at which a gang fits the known workers if empty."""
    key = (needs, tasks_count)
    level = scheduler.adjacency_level_by_gang.get(key)
    if level is None:
        if len(scheduler.adjacency_level_by_gang) >= 1024:
            scheduler.adjacency_level_by_gang.clear()
        level = scheduler.adjacency_level_by_gang[key] = tightest_level(
            scheduler.cluster.workers.values(),
            worker_capacities(scheduler),
            needs,
            tasks_count,
        )
    return level
