"""Seeded simulation of load and faults on the in-memory cluster."""

import random
from functools import partial
from unittest import mock

import anyio
import attrs

from emulator.cluster import Cluster, closure_key
from emulator.virtual_clock import run_virtual
from emulator.worker_crashes import unreplaced_ids
from kingcuptrack.coordination import admissions, scheduler
from kingcuptrack.coordination.admissions import JobRequest
from kingcuptrack.errors import collect_errors
from kingcuptrack.outcomes import Done, Refused
from kingcuptrack.state.jobs.progress import FINAL_STATES
from kingcuptrack.state.jobs.steps import NO_RESOURCES, Resources, Step
from kingcuptrack.state.planning.planner import make_plan

from .invariants import InvariantChecker, ObservedJob
from .reference_planning import (
    check_kept_figures,
    check_recent_usage,
)
from .simulated_policy import HOST, KEY, make_policy
from .worker_faults import (
    choose_crashing_tasks,
    crash_workers,
    disrupt_orders,
    slow_down_workers,
)

LOAD_SECONDS = 30.0
# Every accepted job must finish within this time after the load. It covers a lapse of
# the longest leases, a takeover and a few runs.
FINISH_LIMIT_SECONDS = 45.0
POLL_SECONDS = 1.0
SUBMIT_TRIES_COUNT = 4


@attrs.define(kw_only=True, eq=False)
class Simulation:
    """State of one simulation."""

    cluster: Cluster
    checker: InvariantChecker
    rng: random.Random
    tasks: object
    crashing_share: float = 0.0
    has_estimates: bool = True
    maximum: Resources = NO_RESOURCES
    log: list = attrs.field(factory=list)

    def set_policy(self, version):
        """Store a version of the configuration."""
        policy = make_policy(version, self.maximum)
        self.checker.note_policy(policy)
        self.cluster.set_policy(policy)

    def note(self, message):
        """Log an injected fault, for the report of a failure."""
        self.log.append(f"{anyio.current_time():.3f} {message}")


def run_simulation(
    seed,
    faults,
    *,
    jobs_count=30,
    load_seconds=LOAD_SECONDS,
    instance_cores=(),
    crashing_share=0.0,
    has_estimates=True,
    maximum=NO_RESOURCES,
    allowed_errors=(),
    **cluster_options,
):
    """Run one simulation and return its `InvariantChecker`.

    Parameters
    ----------
    seed : int
    faults : async callable
        Is called with the `Simulation`; injects faults and ends them.
    jobs_count : int
    load_seconds : float
        Time over which the jobs are submitted.
    instance_cores : sequence of float
        Processor time of the first instances; unknown for the others.
    crashing_share : float
        Share of the jobs with a task that crashes each worker that starts it.
    has_estimates : bool
        Whether the steps of the jobs have estimates of their run times.
    maximum : Resources
        Limit of what the organisation of all jobs has running.
    allowed_errors : sequence of str
        Events of the unexpected errors that the test injects; others are violations.
    **cluster_options
        Further parameters of `Cluster`.
    """
    # One run logs thousands of lines, stamped with wall clock time and not with
    # virtual time.
    with collect_errors() as errors:
        with mock.patch.object(scheduler, "make_plan", _plan_with_checked_figures):
            checker = run_virtual(
                _simulate,
                seed,
                faults,
                jobs_count,
                load_seconds,
                instance_cores,
                crashing_share,
                has_estimates,
                maximum,
                cluster_options,
            )
    for error in errors:
        if error.event not in allowed_errors:
            checker.violations.append(f"ERROR: {error}")
    return checker


def _plan_with_checked_figures(shard_state, *arguments, **keywords):
    """Plan after a check of the figures that planning takes as given."""
    check_kept_figures(
        shard_state,
        wall_seconds=keywords["wall_seconds"],
        now_seconds=keywords["now_seconds"],
    )
    check_recent_usage(shard_state, now_seconds=keywords["now_seconds"])
    return make_plan(shard_state, *arguments, **keywords)


async def _simulate(
    seed,
    faults,
    jobs_count,
    load_seconds,
    instance_cores,
    crashing_share,
    has_estimates,
    maximum,
    cluster_options,
):
    rng = random.Random(seed)
    checker = InvariantChecker()
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks=tasks,
            rng=rng,
            observer=checker,
            instance_cores=instance_cores,
            **cluster_options,
        )
        sim = Simulation(
            cluster=cluster,
            checker=checker,
            rng=rng,
            tasks=tasks,
            crashing_share=crashing_share,
            has_estimates=has_estimates,
            maximum=maximum,
        )
        sim.set_policy(1)
        cluster.begin()
        await anyio.sleep(4.0)
        async with anyio.create_task_group() as callers:
            callers.start_soon(faults, sim)
            for _ in range(jobs_count):
                callers.start_soon(_run_caller, sim, rng.uniform(0, load_seconds))
            await anyio.sleep(load_seconds)
        await _wait_until_finished(sim)
        _check_end(sim)
        tasks.cancel_scope.cancel()
    checker.log = sim.log
    return checker


def make_job(rng):
    """Return (queue name, steps, seconds, failing runs) of a random job."""
    kind = rng.choice(["urgent", "patient", "batch"])
    if kind == "urgent":
        step = Step(
            task_count=rng.randint(1, 3),
            resources=Resources(
                cpu_millicores=3700, memory_mb=7600, gpus_count=rng.choice([1, 2, 4])
            ),
            estimate_seconds=2.5,
            is_gang=True,
            same_rack=rng.random() < 0.8,
        )
        return kind, (step,), rng.uniform(0.5, 4.0), 0
    if kind == "patient":
        step = Step(
            task_count=rng.randint(1, 5),
            resources=Resources(
                cpu_millicores=13000, memory_mb=34000, gpus_count=rng.choice([1, 4, 8])
            ),
            estimate_seconds=8.0,
            is_gang=True,
        )
        return kind, (step,), rng.uniform(3.0, 9.0), rng.choice([0, 0, 0, 1])
    resources = Resources(cpu_millicores=2800, memory_mb=4100, gpus_count=1)
    steps = (
        Step(
            task_count=rng.randint(1, 12),
            resources=resources,
            estimate_seconds=4.0,
            tasks_per_worker_limit=rng.choice([0, 0, 2]),
        ),
        Step(
            task_count=rng.randint(1, 4),
            resources=resources,
            estimate_seconds=4.0,
            after=(0,),
        ),
    )
    failing_runs = rng.choice([0, 0, 0, 1, 4])
    return kind, steps[: rng.randint(1, 2)], rng.uniform(1.0, 4.0), failing_runs


async def _run_caller(sim, delay_seconds):
    """Submit a job at random instances, poll it, and cancel some of the jobs."""
    await anyio.sleep(delay_seconds)
    rng = sim.rng
    queue, steps, seconds, failing_runs = make_job(rng)
    if not sim.has_estimates:
        steps = tuple(attrs.evolve(step, estimate_seconds=0.0) for step in steps)
    job_id = f"{rng.getrandbits(64):016x}"
    attempts_limit = 2 if queue == "urgent" else 4
    job = ObservedJob(
        job_id=job_id, steps=steps, attempts_limit=attempts_limit, spec=f"spec {job_id}"
    )
    sim.checker.jobs[job_id] = job
    sim.cluster.fleet.jobs[job_id] = steps, seconds, failing_runs
    if sim.crashing_share and rng.random() < sim.crashing_share:
        job.crashing_tasks = choose_crashing_tasks(rng, steps)
        sim.cluster.fleet.crashing_tasks[job_id] = job.crashing_tasks
    await _submit(sim, job, queue)
    if job.accepted_at is None:
        return
    cancel_at = None
    if rng.random() < 0.2:
        cancel_at = anyio.current_time() + rng.choice([0.0, 0.01, rng.uniform(0, 8)])
    end = anyio.current_time() + 2 * LOAD_SECONDS
    while anyio.current_time() < end:
        if cancel_at is not None and anyio.current_time() >= cancel_at:
            await _cancel(sim, job, queue)
            if job.cancelled_at is not None:
                cancel_at = None
        await _read_state(sim, job, queue)
        if job.last_state in FINAL_STATES:
            return
        await anyio.sleep(min(POLL_SECONDS, 0.05 if cancel_at else POLL_SECONDS))


async def _submit(sim, job, queue):
    request = JobRequest(spec=job.spec, steps=job.steps, digest=f"digest {job.job_id}")
    for _ in range(SUBMIT_TRIES_COUNT):
        # The job may start before the answer reaches the caller.
        job.answers.append("pending")
        outcome = await _send_request(
            sim,
            queue,
            job,
            lambda service, caller: service.submit(
                caller, job.job_id, request, timeout_seconds=2.5
            ),
        )
        if isinstance(outcome, Done):
            job.answers[-1] = "accepted"
            job.accepted_at = anyio.current_time()
            return
        is_refused = isinstance(outcome, Refused)
        job.answers[-1] = "refused" if is_refused else "unknown"
        await anyio.sleep(sim.rng.uniform(0.1, 1.0))


async def _cancel(sim, job, queue):
    job.cancel_sent = True
    outcome = await _send_request(
        sim,
        queue,
        job,
        lambda service, caller: service.cancel(caller, job.job_id, timeout_seconds=2.5),
    )
    if isinstance(outcome, Done):
        job.cancelled_at = anyio.current_time()


async def _read_state(sim, job, queue):
    outcome = await _send_request(
        sim,
        queue,
        job,
        lambda service, caller: service.read_state(caller, job.job_id),
    )
    if isinstance(outcome, Done):
        sim.checker.note_state(job, outcome.value)
    elif isinstance(outcome, Refused) and outcome.code == admissions.NO_SUCH_JOB:
        sim.checker.note_missing(job)


async def _send_request(sim, queue, job, call):
    """Send a request to a random instance; return None if no answer arrives."""
    member = sim.rng.choice(sim.cluster.members)
    instance = member.instance
    if instance is None:
        return None
    service = instance.admissions
    outcome = service.authorise(host=HOST, path=f"/{queue}/{job.job_id}", key=KEY)
    if not isinstance(outcome, Done):
        return outcome
    with anyio.move_on_after(3.0):
        outcome = await call(service, outcome.value)
        # The answer of an instance that was killed meanwhile is lost.
        return outcome if member.instance is instance else None
    return None


async def _wait_until_finished(sim):
    """Wait until every accepted job is final, for at most FINISH_LIMIT_SECONDS."""
    end = anyio.current_time() + FINISH_LIMIT_SECONDS
    while anyio.current_time() < end:
        await anyio.sleep(POLL_SECONDS)
        for job in sim.checker.jobs.values():
            if job.accepted_at and job.last_state not in FINAL_STATES:
                await _read_state(sim, job, "batch")
        if all(
            job.accepted_at is None or job.last_state in FINAL_STATES
            for job in sim.checker.jobs.values()
        ):
            # Stop orders for the last jobs still have to take effect.
            await anyio.sleep(2.0)
            return


def _check_end(sim):
    for job in sim.checker.jobs.values():
        if job.accepted_at is not None and job.last_state not in FINAL_STATES:
            sim.checker.report(
                "LOST", f"{job.job_id} is not final but {job.last_state}"
            )
    for ref, run in sim.checker.live_runs():
        job = sim.checker.jobs.get(ref.job_id)
        if job is None or job.last_state in FINAL_STATES:
            sim.checker.report(
                "UNASKED", f"{ref} run {run.number} still runs without an open job"
            )


# Faults: those with a parameter ``seconds`` end after this time.


async def make_store_unavailable(sim, *, seconds, down):
    """Make the store unavailable to all instances."""
    sim.note(f"store {down} for {seconds:.1f} s")
    sim.cluster.store.faults.down = down
    await anyio.sleep(seconds)
    sim.cluster.store.faults.down = ""


async def disrupt_transactions(sim, *, seconds, lost_share, late_share):
    """Drop answers of transactions, or apply transactions late."""
    sim.note(
        f"share of transactions with lost answers {lost_share}, applied late "
        f"{late_share} for {seconds:.1f} s"
    )
    faults = sim.cluster.store.faults
    faults.lost_share, faults.late_share = lost_share, late_share
    await anyio.sleep(seconds)
    faults.lost_share = faults.late_share = 0.0


async def slow_down_store(sim, *, seconds, factor):
    """Multiply the delays of the store by a factor."""
    sim.note(f"store {factor} times slower for {seconds:.1f} s")
    sim.cluster.store.faults.slow_factor = factor
    await anyio.sleep(seconds)
    sim.cluster.store.faults.slow_factor = 1.0


async def cut_from_store(sim, members, *, seconds):
    """Cut the connections between instances and the store."""
    names = {member.name for member in members}
    sim.note(f"{sorted(names)} disconnected from the store for {seconds:.1f} s")
    sim.cluster.store.faults.cut_callers |= names
    await anyio.sleep(seconds)
    sim.cluster.store.faults.cut_callers -= names


async def cut_workers(sim, worker_ids, *, seconds):
    """Cut the connections of workers to all instances; their runs continue."""
    sim.note(f"{sorted(worker_ids)} cut off for {seconds:.1f} s")
    sim.cluster.fleet.faults.cut_workers |= set(worker_ids)
    sim.cluster.fleet.unlisted |= set(worker_ids)
    await anyio.sleep(seconds)
    sim.cluster.fleet.faults.cut_workers -= set(worker_ids)
    sim.cluster.fleet.unlisted -= set(worker_ids)


async def cut_paths(sim, members, worker_ids, *, seconds):
    """Cut the connections between some instances and some workers."""
    pairs = {(member.name, worker) for member in members for worker in worker_ids}
    sim.note(f"{len(pairs)} connections to workers cut for {seconds:.1f} s")
    sim.cluster.fleet.faults.cut_pairs |= pairs
    await anyio.sleep(seconds)
    sim.cluster.fleet.faults.cut_pairs -= pairs


async def kill_members(sim, members, *, seconds):
    """Kill instances and start them again."""
    sim.note(f"{[member.name for member in members]} killed for {seconds:.1f} s")
    for member in members:
        sim.cluster.kill(member)
    await anyio.sleep(seconds)
    for member in members:
        sim.cluster.start(member)


async def freeze_members(sim, members, *, seconds):
    """Freeze instances and resume them."""
    sim.note(f"{[member.name for member in members]} frozen for {seconds:.1f} s")
    for member in members:
        sim.cluster.freeze(member)
    sim.checker.frozen_until = max(
        sim.checker.frozen_until, anyio.current_time() + seconds
    )
    await anyio.sleep(seconds)
    for member in members:
        sim.cluster.resume(member)


async def take_out_data_centre(sim, data_centre, *, seconds):
    """Take a data centre out of service and bring it back."""
    sim.note(f"{data_centre} closed for {seconds:.1f} s")
    sim.cluster.store.put(closure_key(data_centre), b"")
    sim.checker.out_since.setdefault(data_centre, anyio.current_time())
    await anyio.sleep(seconds)
    sim.cluster.store.remove(closure_key(data_centre))
    sim.checker.out_since.pop(data_centre, None)


async def change_policy(sim, *, version):
    """Store a new version of the configuration."""
    sim.note(f"configuration version {version}")
    sim.set_policy(version)


async def drop_history(sim):
    """Drop the change history of the store."""
    sim.note("change history of the store dropped")
    sim.cluster.store.forget_history()


def random_fault(sim, version, more):
    """Return a random fault as a coroutine function without arguments."""
    rng = sim.rng
    members = rng.sample(sim.cluster.members, rng.randint(1, 2))
    leader = sim.cluster.leader()
    if leader is not None and rng.random() < 0.5:
        members = [leader]
    workers = rng.sample(unreplaced_ids(sim.cluster.fleet), rng.randint(1, 4))
    seconds = rng.uniform(1.0, 8.0)
    share = rng.uniform(0.05, 0.5)
    faults = [
        lambda: make_store_unavailable(
            sim, seconds=seconds, down=rng.choice(["silent", "busy"])
        ),
        lambda: disrupt_transactions(
            sim, seconds=seconds, lost_share=share, late_share=0.0
        ),
        lambda: disrupt_transactions(
            sim, seconds=seconds, lost_share=0.0, late_share=share
        ),
        lambda: slow_down_store(sim, seconds=seconds, factor=rng.uniform(10, 100)),
        lambda: cut_from_store(sim, members, seconds=seconds),
        lambda: cut_workers(sim, workers, seconds=seconds),
        lambda: cut_paths(sim, members, workers, seconds=seconds),
        lambda: crash_workers(sim, workers, seconds=seconds),
        lambda: disrupt_orders(sim, seconds=seconds, lost_share=share, late_share=0.0),
        lambda: disrupt_orders(sim, seconds=seconds, lost_share=0.0, late_share=share),
        lambda: kill_members(sim, members, seconds=seconds),
        lambda: kill_members(sim, sim.cluster.members, seconds=min(2.0, seconds)),
        lambda: freeze_members(sim, members, seconds=seconds),
        lambda: take_out_data_centre(
            sim, rng.choice(["dc0", "dc1", "dc2"]), seconds=seconds
        ),
        lambda: change_policy(sim, version=version),
        lambda: drop_history(sim),
        lambda: slow_down_workers(
            sim, workers[:2], seconds=seconds, factor=rng.choice([6.0, float("inf")])
        ),
        *(partial(fault, sim, workers, seconds=seconds) for fault in more),
    ]
    return rng.choice(faults)


async def random_faults(sim, *, more=()):
    """Inject random faults, which may overlap.

    ``more`` holds further faults of workers: async functions with the parameters of
    `crash_workers`.
    """
    async with anyio.create_task_group() as tasks:
        version = 2
        while anyio.current_time() < LOAD_SECONDS:
            await anyio.sleep(sim.rng.uniform(0.2, 3.0))
            tasks.start_soon(random_fault(sim, version, more))
            version += 1


async def no_faults(sim):
    """Run without faults."""
