"""Seeded load for simulations: urgent, patient and batch jobs.

A burst raises the rate of urgent jobs, and estimated run times differ from actual ones.
Work of some images slows down other work on the same worker.
Several organisations can share the cluster, each with a load of its own.
"""

import random

import attrs

from kingcuptrack.coordination.admissions import JobRequest
from kingcuptrack.state.cluster.cluster_policy import ClusterPolicy, Organisation, Queue
from kingcuptrack.state.jobs.steps import Resources, Step

HOST = "studio.example"
# Run time of a straggler relative to other tasks.
STRAGGLER_FACTOR = 7.0
KEY = "key-1"


@attrs.frozen(kw_only=True)
class OrganisationLoad:
    """An organisation; field names are keys of experiment files.

    Its jobs arrive at ``load_factor`` times the rates of the `LoadShape`. A
    ``weight`` or ``maximum_gpus`` of 0 means that it has none.
    """

    name: str
    load_factor: float = 1.0
    weight: float = 0.0
    maximum_gpus: int = 0
    guarantee_gpus: int = 0

    @property
    def key(self):
        """Key of its callers."""
        return f"key-{self.name}"


@attrs.frozen(kw_only=True)
class LoadShape:
    """Workers, rates, sizes and bursts of the load.

    Field names are keys of experiment files.

    Rates are mean arrivals per second outside bursts; jobs arrive for
    ``load_seconds``. During a burst, urgent jobs arrive at ``burst_factor`` times
    their rate. ``urgent_seconds``, ``patient_seconds`` and ``batch_seconds`` are mean
    run times. With an ``estimate_error`` of 0.9, estimates are between 0.1 and 1.9
    times the actual run time; with one of 4, between 1/5 of it and 5 times.
    Each worker has one of ``worker_factors``, by which it multiplies run times. Tasks
    of one job differ by up to ``task_spread``; a ``straggler_share`` of them takes
    STRAGGLER_FACTOR times as long. Jobs of a queue have one of ``images_count`` images,
    named QUEUE-0 and so on, or none if it is 0. ``interference`` holds (image, image of
    a neighbour, factor): runs of the first image take this many times as long while
    runs of the other one are on their worker. A ``checkpoint_share`` of the patient and
    batch jobs has checkpoints, which workers save every
    ``checkpoint_interval_seconds``; with 0 they save none.
    Without ``organisations``, all jobs are of one.
    """

    workers_count: int = 12
    rack_size: int = 4
    worker_cpu_millicores: int = 32000
    worker_memory_mb: int = 65536
    load_seconds: float = 40.0
    urgent_per_second: float = 0.7
    patient_per_second: float = 0.12
    batch_per_second: float = 0.12
    urgent_seconds: float = 2.5
    patient_seconds: float = 10.0
    batch_seconds: float = 7.0
    batch_tasks_count: int = 14
    checkpoint_share: float = 0.45
    checkpoint_interval_seconds: float = 0.0
    burst_at_seconds: float = 10.0
    burst_for_seconds: float = 6.0
    burst_factor: float = 2.0
    estimate_error: float = 0.5
    worker_factors: tuple = ()
    task_spread: float = 0.0
    straggler_share: float = 0.0
    guarantee_gpus: int = 60
    images_count: int = 0
    interference: tuple = ()
    organisations: tuple[OrganisationLoad, ...] = ()


@attrs.frozen(kw_only=True)
class DrawnJob:
    """A job of the load, sent with the ``key`` of its organisation.

    It arrives at ``at_seconds``, each of its tasks runs for ``seconds``, and it is on
    time if it completes within ``objective_seconds``.
    """

    job_id: str
    kind: str
    at_seconds: float
    seconds: float
    objective_seconds: float
    request: JobRequest
    organisation: str = "acme"
    key: str = KEY

    @property
    def gpu_seconds(self):
        """Work of the job in accelerator-seconds."""
        return self.seconds * sum(
            step.task_count * step.resources.gpus_count for step in self.request.steps
        )


# Kind of job to (priority, stretch, target latency in seconds).
_QUEUES = {
    "urgent": (0, 1.5, 0.25),
    "patient": (1, 3.0, 1.0),
    "batch": (2, 3.0, 3.0),
}


def parse_interference(text):
    """Return the factors named in a text such as ``urgent-0 batch-0 2.0, ...``.

    Raises
    ------
    ValueError
        An entry is not two images and a factor of at least 1.
    """
    factors = []
    for entry in text.split(","):
        parts = entry.split()
        if len(parts) != 3 or not float(parts[2]) >= 1.0:
            raise ValueError(f"{entry.strip()!r} is not IMAGE IMAGE FACTOR, from 1")
        factors.append((parts[0], parts[1], float(parts[2])))
    return tuple(factors)


def make_policy(shape):
    """Return the configuration with the queues and the organisations of the load."""
    organisations = tuple(
        Organisation(
            name=item.name,
            keys=frozenset({item.key}),
            guarantee_gpus=item.guarantee_gpus,
            weight=item.weight,
            maximum=Resources(gpus_count=item.maximum_gpus),
        )
        for item in shape.organisations
    )
    only = Organisation(
        name="acme", keys=frozenset({KEY}), guarantee_gpus=shape.guarantee_gpus
    )
    return ClusterPolicy(
        version=1,
        row_version=0,
        queues=tuple(
            Queue(
                name=kind,
                host=HOST,
                path_prefix=f"/{kind}/",
                service="studio",
                priority=priority,
                attempts_limit=4,
                stretch=stretch,
                target_latency_seconds=target_seconds,
            )
            for kind, (priority, stretch, target_seconds) in _QUEUES.items()
        ),
        organisations=organisations or (only,),
    )


def draw_worker_factors(shape, seed):
    """Return the factor of each worker; each of the shape's occurs equally often."""
    count = shape.workers_count
    factors = [
        shape.worker_factors[number % len(shape.worker_factors)]
        for number in range(count if shape.worker_factors else 0)
    ]
    random.Random(seed).shuffle(factors)
    return factors


def make_task_factor(shape, seed):
    """Return `Fleet.task_factor` of a run of the load.

    It depends only on the task and the number of its run, not on where and when.
    """

    def task_factor(ref, number):
        rng = random.Random(f"{seed} {ref} {number}")
        factor = rng.uniform(1 - shape.task_spread, 1 + shape.task_spread)
        return factor * (
            STRAGGLER_FACTOR if rng.random() < shape.straggler_share else 1
        )

    return task_factor


def draw_jobs(shape, rng):
    """Return the jobs of one run of the load, drawn from ``rng``."""
    if not shape.organisations:
        return _draw_organisation_jobs(shape, rng)
    return [
        attrs.evolve(job, organisation=item.name, key=item.key)
        for item in shape.organisations
        for job in _draw_organisation_jobs(shape, rng, item.load_factor)
    ]


def _draw_organisation_jobs(shape, rng, factor=1.0):
    jobs = []
    for kind, rate in (
        ("urgent", shape.urgent_per_second),
        ("patient", shape.patient_per_second),
        ("batch", shape.batch_per_second),
    ):
        for at_seconds in _draw_arrivals(shape, rng, kind, factor * rate):
            jobs.append(_draw_job(shape, rng, kind, at_seconds))
    return jobs


def _draw_arrivals(shape, rng, kind, rate):
    at_seconds = 0.0
    burst_end = shape.burst_at_seconds + shape.burst_for_seconds
    while True:
        is_burst = shape.burst_at_seconds <= at_seconds < burst_end
        factor = shape.burst_factor if is_burst and kind == "urgent" else 1.0
        at_seconds += rng.expovariate(rate * factor)
        if at_seconds > shape.load_seconds:
            return
        yield at_seconds


def _draw_job(shape, rng, kind, at_seconds):
    mean_seconds = getattr(shape, f"{kind}_seconds")
    seconds = mean_seconds * rng.uniform(0.7, 1.3)
    error = shape.estimate_error
    step = _draw_step(shape, rng, kind, seconds * _draw_error(error, rng))
    if shape.images_count:
        image = f"{kind}-{rng.randrange(shape.images_count)}"
        step = attrs.evolve(step, image=image)
    _, stretch, target_seconds = _QUEUES[kind]
    job_id = f"{rng.getrandbits(64):016x}"
    return DrawnJob(
        job_id=job_id,
        kind=kind,
        at_seconds=at_seconds,
        seconds=seconds,
        objective_seconds=stretch * seconds + target_seconds,
        request=JobRequest(spec="", steps=(step,), digest=job_id),
    )


def _draw_error(error, rng):
    """Return an estimate relative to the run time; see `LoadShape.estimate_error`."""
    if error < 1:
        return rng.uniform(1 - error, 1 + error)
    return (1 + error) ** rng.uniform(-1, 1)


def _draw_step(shape, rng, kind, estimate_seconds):
    if kind == "batch":
        return Step(
            task_count=max(1, round(shape.batch_tasks_count * rng.uniform(0.3, 1.7))),
            resources=Resources(cpu_millicores=2800, memory_mb=4100, gpus_count=1),
            estimate_seconds=estimate_seconds,
            has_checkpoints=rng.random() < shape.checkpoint_share,
        )
    is_urgent = kind == "urgent"
    return Step(
        task_count=rng.randint(1, 5) if is_urgent else rng.randint(2, 6),
        resources=Resources(
            cpu_millicores=3700 if is_urgent else 13000,
            memory_mb=7600 if is_urgent else 34000,
            gpus_count=rng.choice((1, 2, 4, 8)),
        ),
        estimate_seconds=estimate_seconds,
        is_gang=True,
        same_rack=is_urgent and rng.random() < 0.8,
        has_checkpoints=not is_urgent and rng.random() < shape.checkpoint_share,
    )
