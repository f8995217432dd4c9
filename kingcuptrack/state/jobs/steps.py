"""Steps and tasks of submitted jobs, and checks of a submission."""

import attrs

# Priority of the jobs that the guarantees of organisations cover.
GUARANTEED_PRIORITY = 0
# Largest number of tasks in one step; the capacity target has gangs of this size.
STEP_TASKS_LIMIT_COUNT = 1024
STEPS_LIMIT_COUNT = 64
# Largest number of occurrences of a timed job.
OCCURRENCES_LIMIT_COUNT = 1000


@attrs.frozen(kw_only=True)
class Resources:
    """Processor time, memory and accelerators of a task or a worker."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus_count: int = 0

    def fits_in(self, other):
        """Return whether ``other`` has at least as much of each resource."""
        return (
            self.cpu_millicores <= other.cpu_millicores
            and self.memory_mb <= other.memory_mb
            and self.gpus_count <= other.gpus_count
        )

    def plus(self, other):
        """Return the sum with ``other``."""
        return Resources(
            cpu_millicores=self.cpu_millicores + other.cpu_millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            gpus_count=self.gpus_count + other.gpus_count,
        )

    def times(self, count):
        """Return ``count`` times these amounts."""
        return Resources(
            cpu_millicores=self.cpu_millicores * count,
            memory_mb=self.memory_mb * count,
            gpus_count=self.gpus_count * count,
        )

    def minus(self, other):
        """Return the difference from ``other``; amounts may be negative."""
        return Resources(
            cpu_millicores=self.cpu_millicores - other.cpu_millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            gpus_count=self.gpus_count - other.gpus_count,
        )


NO_RESOURCES = Resources()


@attrs.frozen(kw_only=True)
class Step:
    """Tasks with the same requirements.

    ``after`` holds the numbers of the steps that must be done before this one.
    ``tasks_per_worker_limit`` of 0 means no limit. Tasks take several times as long
    if they run outside ``data_rack``, or in several racks despite ``same_rack``. Tasks
    of the same ``image`` behave alike.
    """

    task_count: int
    resources: Resources = NO_RESOURCES
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    tasks_per_worker_limit: int = 0
    allows_copies: bool = False
    is_long_running: bool = False
    image: str = ""


@attrs.frozen(kw_only=True)
class Submission:
    """An accepted job as stored; it never changes.

    Times are seconds since 1970. A job without a schedule has one occurrence, which
    is due at once. ``digest`` identifies the submitted body.
    """

    job_id: str
    queue: str
    organisation: str
    service: str
    priority: int
    attempts_limit: int
    stretch: float
    target_latency_seconds: float
    spec: str
    steps: tuple[Step, ...]
    occurrences_count: int = 1
    is_timed: bool = False
    start_at_seconds: float = 0.0
    interval_seconds: float = 0.0
    accepted_at_seconds: float = 0.0
    digest: str = ""

    def due_at_seconds(self, occurrence):
        """Return when an occurrence may start, in seconds since 1970."""
        if not self.is_timed:
            return 0.0
        return self.start_at_seconds + occurrence * self.interval_seconds


@attrs.frozen(kw_only=True, order=True)
class TaskRef:
    """Identity of a task."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job_id}/{self.occurrence}/{self.step}/{self.index}"


def find_step_problems(steps, *, occurrences_count=1):
    """Return all reasons why steps cannot be accepted, each with the step's number.

    Parameters
    ----------
    steps : sequence of Step
    occurrences_count : int

    Returns
    -------
    list of str
    """
    problems = []
    if not steps:
        problems.append("steps: at least one step is required")
    if len(steps) > STEPS_LIMIT_COUNT:
        problems.append(f"steps: more than {STEPS_LIMIT_COUNT} steps")
    if occurrences_count > OCCURRENCES_LIMIT_COUNT:
        problems.append(f"times: more than {OCCURRENCES_LIMIT_COUNT} occurrences")
    for number, step in enumerate(steps):
        if not 1 <= step.task_count <= STEP_TASKS_LIMIT_COUNT:
            problems.append(
                f"steps[{number}]: {step.task_count} tasks; "
                f"1 to {STEP_TASKS_LIMIT_COUNT} are allowed"
            )
        amounts = attrs.astuple(step.resources)
        if min(amounts) < 0 or step.tasks_per_worker_limit < 0:
            problems.append(f"steps[{number}]: negative amount")
        # A step depends on earlier steps only, so dependencies cannot form a cycle.
        if any(not 0 <= earlier < number for earlier in step.after):
            problems.append(f"steps[{number}]: after names a step that is not earlier")
    return problems


def find_placement_problem(steps, workers):
    """Return why a step can never run on any worker, or an empty string.

    Parameters
    ----------
    steps : sequence of Step
    workers : sequence of (labels, Resources)
        Workers of the service. An empty list means that they are not known yet, so
        that no step is rejected.
    """
    if not workers:
        return ""
    for number, step in enumerate(steps):
        if not any(
            step.resources.fits_in(capacity)
            and (not step.required_label or step.required_label in labels)
            for labels, capacity in workers
        ):
            return f"steps[{number}]: no worker has the resources and the label"
    return ""
