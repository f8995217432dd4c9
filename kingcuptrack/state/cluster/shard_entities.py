"""Jobs, runs and workers as the scheduler of a shard knows them."""

from enum import StrEnum

import attrs

from ..jobs.progress import JobProgress
from ..jobs.steps import NO_RESOURCES, Resources, Submission, TaskRef
from .job_phases import PastRun
from .reports import WorkerEntry


class RunPhase(StrEnum):
    """What the scheduler knows about a run."""

    CLAIMED = "claimed"  # not committed; no start order was sent
    ORDERED = "ordered"  # committed; the start order may have been sent
    UNSETTLED = "unsettled"  # start order unanswered, or sent by an earlier leader
    CONFIRMED = "confirmed"  # the worker has accepted or listed the run


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task at a worker.

    ``is_remote`` means that the run is outside the rack where it would be fastest,
    ``is_start_observed`` that this scheduler started it without a checkpoint, so that
    its whole run time is known. The worker first reported progress at
    ``progress_since_seconds``, with ``first_percent``; ``percent`` last changed at
    ``percent_changed_at_seconds``; ``is_projected`` means that a run time was projected
    from it. The worker confirmed the run at ``confirmed_at_seconds``, None before, when
    its own clock was ``confirmed_clock_seconds``; ``has_survived`` means that the
    worker listed the run some time after that. ``token`` is the fencing token of its
    start order. ``kind`` names work that behaves alike. ``stop_cause`` is the kind of
    its ``stop_reason``. A new checkpoint was last reported at
    ``checkpoint_at_seconds``, None before the first, ``checkpoint_interval_seconds``
    after the one before it or after the claim. ``slowdown`` is the run time expected
    where the run was placed, relative to average workers; a gang has that of its
    slowest member. ``gang_worker_ids`` are the workers of its gang, one for each
    member, known when the first member is done.
    """

    ref: TaskRef
    number: int
    worker_id: str
    resources: Resources
    priority: int
    estimate_seconds: float
    kind: str = ""
    gang_worker_ids: tuple[str, ...] = ()
    has_checkpoints: bool = False
    is_remote: bool = False
    is_start_observed: bool = False
    phase: RunPhase = RunPhase.CLAIMED
    claimed_at_seconds: float = 0.0
    confirmed_at_seconds: float | None = None
    confirmed_clock_seconds: float = 0.0
    has_survived: bool = False
    token: int = 0
    checkpoint: str = ""
    checkpoint_at_seconds: float | None = None
    checkpoint_interval_seconds: float = 0.0
    is_progress_known: bool = False
    first_percent: int = 0
    progress_since_seconds: float = 0.0
    percent: int = 0
    percent_changed_at_seconds: float = 0.0
    is_projected: bool = False
    is_stopping: bool = False
    stop_reason: str = ""
    stop_cause: str = ""
    slowdown: float = 1.0

    @property
    def key(self):
        """Identity of the run."""
        return self.ref, self.number

    def note_checkpoint(self, checkpoint, *, now_seconds):
        """Record a new checkpoint that a report shows."""
        since_seconds = self.checkpoint_at_seconds
        if since_seconds is None:
            since_seconds = self.claimed_at_seconds
        self.checkpoint = checkpoint
        self.checkpoint_interval_seconds = now_seconds - since_seconds
        self.checkpoint_at_seconds = now_seconds


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A worker, its runs and its health.

    ``entry`` is None while the platform does not list the worker; ``last_entry`` is
    its latest entry. ``life`` is the incarnation of the worker that answered last, 0
    if the worker has not answered since this scheduler took over. ``failed_job_ids``
    are the jobs of its latest failures, cleared by a success.
    ``is_replaced`` means that another worker answers at its address.
    ``lost_at_seconds`` is when it stopped answering, None while it answers. While it is
    watched, ``lapsed_suspects`` are the runs that may have crashed it, among those that
    ended by the lapse of their lease.
    ``leaves_at_seconds`` is the earliest time at which a draining worker leaves.
    ``used`` and ``step_counts``, the number of runs by (job id, occurrence, step), are
    kept up to date with ``runs``.
    """

    worker_id: str
    entry: WorkerEntry | None = None
    last_entry: WorkerEntry | None = None
    life: int = 0
    answered_at_seconds: float = float("-inf")
    runs: dict[tuple[TaskRef, int], Run] = attrs.field(factory=dict)
    used: Resources = NO_RESOURCES
    step_counts: dict[tuple, int] = attrs.field(factory=dict)
    failed_job_ids: set[str] = attrs.field(factory=set)
    suspect_until_seconds: float = float("-inf")
    has_unknown_runs: bool = False
    is_replaced: bool = False
    lost_at_seconds: float | None = None
    lapsed_suspects: list[Run] = attrs.field(factory=list)
    watched_until_seconds: float = float("-inf")
    leaves_at_seconds: float | None = None

    @property
    def free(self):
        """Capacity that is not occupied by runs."""
        return self.entry.capacity.minus(self.used)


@attrs.define(kw_only=True, eq=False)
class Job:
    """A job, its progress and its runs.

    ``restarts`` counts restarts of stragglers by (occurrence, step), ``moves`` those of
    runs that slowed urgent work down. ``moved_for_room`` names the tasks, or the
    (occurrence, step) of gangs, that were stopped for a unit that starved.
    ``restarted_runs`` holds the numbers of the
    restarted runs by task, or by (occurrence, step) of a gang. ``suspect_refs``
    are the tasks that may have crashed their worker; ``has_survivor`` means that one of
    them has been cleared since the latest crash. The last suspicion or clearing was at
    ``suspects_changed_at_seconds``. ``ready_units`` are the units that are
    ready to start; None after a change that may affect them. This scheduler has known
    the job since ``known_since_seconds``; ``past_runs`` have ended since then.
    ``is_divided`` is whether its progress has several rows, ``is_held`` whether the
    store refuses them, so that nothing is started.
    """

    submission: Submission
    progress: JobProgress = attrs.field(factory=JobProgress)
    is_cancelled: bool = False
    has_started: bool = False
    known_since_seconds: float = 0.0
    ready_since_seconds: float = 0.0
    runs: dict[tuple[TaskRef, int], Run] = attrs.field(factory=dict)
    failed_worker_ids: set[str] = attrs.field(factory=set)
    restarts: dict[tuple[int, int], int] = attrs.field(factory=dict)
    restarted_runs: dict[tuple, set[int]] = attrs.field(factory=dict)
    moves: dict[tuple[int, int], int] = attrs.field(factory=dict)
    moved_for_room: set = attrs.field(factory=set)
    suspect_refs: set[TaskRef] = attrs.field(factory=set)
    has_survivor: bool = False
    suspects_changed_at_seconds: float = 0.0
    is_final_logged: bool = False
    ready_units: tuple | None = None
    past_runs: list[PastRun] = attrs.field(factory=list)
    is_divided: bool = False
    is_held: bool = False

    def step_runs(self, occurrence, step_number):
        """Return the runs of one step of one occurrence."""
        return [
            run
            for run in self.runs.values()
            if run.ref.occurrence == occurrence and run.ref.step == step_number
        ]


@attrs.define(kw_only=True)
class FinishedJob:
    """A job whose stored state is final.

    ``known_since_seconds`` is when this scheduler learned of the final state.
    """

    known_since_seconds: float
    is_cancelled: bool
