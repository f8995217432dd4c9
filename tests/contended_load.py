"""Fixture: seeded load of competing organisations, whose callers obey `Retry-After`."""

import functools
import random

import anyio
import attrs

from emulator.cluster import Cluster
from emulator.platform_service import NullObserver
from emulator.virtual_clock import run_virtual
from kingcuptrack.coordination.admissions import OVERLOADED, JobRequest
from kingcuptrack.outcomes import Done, Refused
from kingcuptrack.state.cluster.cluster_policy import ClusterPolicy, Organisation, Queue
from kingcuptrack.state.jobs.progress import FINAL_STATES, JobState
from kingcuptrack.state.jobs.steps import Resources, Step

from .caught_errors import no_caught_errors
from .cluster_plays import START_SECONDS
from .simulation import HOST

WORKERS_COUNT = 12
CAPACITY_GPUS = 8 * WORKERS_COUNT
POLL_SECONDS = 0.5
USELESS_FACTOR = 3.0
# Kind: (priority, stretch, target latency, mean run time in seconds, share of the
# offered accelerator-seconds, mean accelerator-seconds of a job).
KINDS = {
    "urgent": (0, 1.5, 0.25, 2.3, 0.2, 3 * 3.75 * 2.3),
    "patient": (1, 3.0, 1.0, 9.0, 0.4, 4 * 3.75 * 9.0),
    "batch": (2, 3.0, 3.0, 7.0, 0.4, 14 * 7.0),
}


@attrs.frozen(kw_only=True)
class ContendedLoad:
    """Load of ten organisations, the first of which sends ten times as much.

    ``offered`` is the offered load relative to all accelerators.
    """

    offered: float
    load_seconds: float = 120.0
    organisations_count: int = 10
    largest_factor: float = 10.0
    guarantee_gpus: int = 8


@attrs.define(kw_only=True, eq=False)
class ContendedJob:
    """A job of the load, and what became of it as its caller saw it.

    ``seconds`` is the time from the first submission to the end.
    """

    job_id: str
    kind: str
    organisation: str
    at_seconds: float
    run_seconds: float
    step: Step
    state: JobState | None = None
    seconds: float | None = None
    refusals_count: int = 0
    is_accepted: bool = False

    @property
    def gpu_seconds(self):
        return self.step.task_count * self.step.resources.gpus_count * self.run_seconds

    @property
    def useful_seconds(self):
        """Time after the first submission up to which an end is of use."""
        _, stretch, target_seconds, *_ = KINDS[self.kind]
        return USELESS_FACTOR * (stretch * self.run_seconds + target_seconds)

    def is_useful(self):
        return self.state == JobState.COMPLETED and self.seconds <= self.useful_seconds

    def is_on_time(self):
        return (
            self.state == JobState.COMPLETED
            and self.seconds <= self.useful_seconds / USELESS_FACTOR
        )


def organisation_names(load):
    """Return the names of the organisations, the one with most load first."""
    return [f"org{number}" for number in range(load.organisations_count)]


def make_policy(load):
    """Return a configuration in which all organisations have the same guarantee."""
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
            for kind, (priority, stretch, target_seconds, *_) in KINDS.items()
        ),
        organisations=tuple(
            Organisation(
                name=name,
                keys=frozenset({f"key-{name}"}),
                guarantee_gpus=load.guarantee_gpus,
            )
            for name in organisation_names(load)
        ),
    )


def draw_jobs(load, rng):
    """Return the jobs of a load, drawn from ``rng``."""
    jobs = []
    names = organisation_names(load)
    weights = [load.largest_factor] + [1.0] * (len(names) - 1)
    for kind, (*_, share, mean_gpu_seconds) in KINDS.items():
        per_second = load.offered * CAPACITY_GPUS * share / mean_gpu_seconds
        at_seconds = rng.expovariate(per_second)
        while at_seconds < load.load_seconds:
            organisation = rng.choices(names, weights)[0]
            jobs.append(_draw_job(rng, kind, organisation, at_seconds))
            at_seconds += rng.expovariate(per_second)
    return jobs


def _draw_job(rng, kind, organisation, at_seconds):
    run_seconds = KINDS[kind][3] * rng.uniform(0.7, 1.3)
    gpus_count = 1 if kind == "batch" else rng.choice((1, 2, 4, 8))
    tasks_count = {
        "urgent": rng.randint(1, 5),
        "patient": rng.randint(2, 6),
        "batch": rng.randint(4, 24),
    }[kind]
    return ContendedJob(
        job_id=f"{rng.getrandbits(64):016x}",
        kind=kind,
        organisation=organisation,
        at_seconds=at_seconds,
        run_seconds=run_seconds,
        step=Step(
            task_count=tasks_count,
            resources=Resources(
                cpu_millicores=3500 * gpus_count,
                memory_mb=7600 * gpus_count,
                gpus_count=gpus_count,
            ),
            # Estimates are between half and one and a half times the run time.
            estimate_seconds=run_seconds * rng.uniform(0.5, 1.5),
            is_gang=kind != "batch",
            same_rack=kind == "urgent" and rng.random() < 0.8,
            has_checkpoints=kind != "urgent" and rng.random() < 0.5,
        ),
    )


@functools.cache
def play_load(load, rules, seed):
    """Simulate a load; returns its list of `ContendedJob`."""
    with no_caught_errors():
        return run_virtual(_simulate, load, rules, seed)


async def _simulate(load, rules, seed):
    rng = random.Random(seed)
    jobs = draw_jobs(load, rng)
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks=tasks,
            rng=rng,
            observer=NullObserver(),
            workers_count=WORKERS_COUNT,
            instances_count=3,
            rules=rules,
        )
        cluster.set_policy(make_policy(load))
        cluster.begin()
        await anyio.sleep(START_SECONDS)
        with anyio.move_on_after(load.load_seconds):
            async with anyio.create_task_group() as callers:
                for job in jobs:
                    callers.start_soon(_run_caller, cluster, rng, job)
        tasks.cancel_scope.cancel()
    return jobs


async def _run_caller(cluster, rng, job):
    """Submit a job until it is accepted or of no use, and follow it."""
    await anyio.sleep(job.at_seconds)
    begun_at_seconds = anyio.current_time()
    cluster.fleet.jobs[job.job_id] = (job.step,), job.run_seconds, 0
    request = JobRequest(spec="", steps=(job.step,), digest=job.job_id)
    while not job.is_accepted:
        admissions = rng.choice(cluster.members).instance.admissions
        caller = admissions.authorise(
            host=HOST, path=f"/{job.kind}/{job.job_id}", key=f"key-{job.organisation}"
        ).value
        outcome = await admissions.submit(
            caller, job.job_id, request, timeout_seconds=2.5
        )
        job.is_accepted = isinstance(outcome, Done)
        pause_seconds = 0.1
        if isinstance(outcome, Refused):
            assert outcome.code == OVERLOADED, outcome
            job.refusals_count += 1
            pause_seconds = outcome.retry_after_seconds
        if not job.is_accepted:
            await anyio.sleep(pause_seconds)
            spent_seconds = anyio.current_time() - begun_at_seconds
            if spent_seconds + job.run_seconds > job.useful_seconds:
                return
    while job.state not in FINAL_STATES:
        await anyio.sleep(POLL_SECONDS)
        outcome = await admissions.read_state(caller, job.job_id)
        if isinstance(outcome, Done):
            job.state = outcome.value
            job.seconds = anyio.current_time() - begun_at_seconds
