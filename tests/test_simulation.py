"""Seeded days of the scheduling core on the in-memory cluster.

Each day plays load with one family of faults; the oracle in `tests.invariants` judges
every start, end and answer.
"""

from functools import partial
from unittest import mock

import anyio
import attrs

from emulator.cluster import POLICY_KEY
from kingcuptrack.outcomes import Unknown
from kingcuptrack.state.progress import FINAL_STATES, JobState
from kingcuptrack.state.steps import Resources, Step

from . import simulation
from .simulation import run_simulation
from .support import check, function_tests

load_tests = function_tests(__name__)

# Seeds of days that once broke a rule, with the cause.
REGRESSION_SEEDS = {
    12: "oracle: a submission under way counted as refused",
}
RANDOM_SEEDS = range(100, 110)
# Time that an order takes from its commit to the worker.
ORDER_SECONDS = 0.5
# A cut that outlasts the silence limit of a leader, a lease, and a run begun before.
CUT_SECONDS = 25.0
LONG_SECONDS = 20.0


def _check_result(checker):
    check.assertEqual(checker.violations, [], "\n".join(checker.log))
    check.assertGreater(checker.starts_count, 0)


def test_calm_day_finishes_every_job():
    """Guards against jobs that are accepted and never finish."""
    checker = run_simulation(1, simulation.no_faults)
    _check_result(checker)
    accepted = [job for job in checker.jobs.values() if job.accepted_at is not None]
    check.assertEqual(len(accepted), len(checker.jobs))
    check.assertTrue(all(job.last_state in FINAL_STATES for job in accepted))


def test_random_faults():
    """Guards against rules broken by combinations of faults."""
    for seed in RANDOM_SEEDS:
        checker = run_simulation(seed, simulation.random_faults)
        check.assertEqual(
            checker.violations, [], f"seed {seed}\n" + "\n".join(checker.log)
        )


def test_regression_seeds():
    """Guards against the return of faults that seeded days have found."""
    for seed, cause in REGRESSION_SEEDS.items():
        checker = run_simulation(seed, simulation.random_faults)
        check.assertEqual(checker.violations, [], f"seed {seed}: {cause}")


def test_store_outages():
    """Guards against starts, ends and acceptances that the store does not hold."""

    async def faults(sim):
        for down in ("silent", "busy", "silent"):
            await anyio.sleep(3)
            await simulation.make_store_unavailable(sim, seconds=5, down=down)

    _check_result(run_simulation(2, faults))


def test_lost_and_late_transactions():
    """Guards against a claim taken as failed that was stored, and the reverse."""

    async def faults(sim):
        await simulation.disrupt_transactions(
            sim, seconds=12, lost_share=0.4, late_share=0
        )
        await simulation.disrupt_transactions(
            sim, seconds=12, lost_share=0, late_share=0.4
        )

    _check_result(run_simulation(3, faults))


def test_leader_killed_again_and_again():
    """Guards against runs started twice or lost by a takeover."""

    async def faults(sim):
        for _ in range(5):
            await anyio.sleep(4)
            leader = sim.cluster.leader()
            if leader is not None:
                await simulation.kill_members(sim, [leader], seconds=1)

    _check_result(run_simulation(4, faults))


def test_all_instances_killed():
    """Guards against state that only instances had."""

    async def faults(sim):
        for _ in range(3):
            await anyio.sleep(6)
            await simulation.kill_members(sim, sim.cluster.members, seconds=1)

    _check_result(run_simulation(5, faults))


def test_frozen_leader_wakes_up():
    """Guards against orders of a leader that was replaced while it was frozen."""

    async def faults(sim):
        for seconds in (3, 5, 8):
            await anyio.sleep(2)
            leader = sim.cluster.leader()
            if leader is not None:
                await simulation.freeze_members(sim, [leader], seconds=seconds)

    _check_result(run_simulation(6, faults))


def test_leader_cut_from_store():
    """Guards against two schedulers with effect at the same time."""

    async def faults(sim):
        for _ in range(3):
            await anyio.sleep(2)
            leader = sim.cluster.leader()
            if leader is not None:
                await simulation.cut_from_store(sim, [leader], seconds=7)

    _check_result(run_simulation(7, faults))


def test_leader_cut_from_store_keeps_workers_of_its_own():
    """Guards against leases extended for ever by a leader that was replaced.

    Its successor cannot reach those workers, and takes their runs as ended once the
    earlier leader has been silent for its limit and a lease. No worker of both tells
    the earlier leader that it was replaced.
    """

    async def faults(sim):
        await anyio.sleep(5)
        leader = sim.cluster.leader()
        others = [member for member in sim.cluster.members if member is not leader]
        worker_ids = list(sim.cluster.fleet.workers)
        async with anyio.create_task_group() as cuts:
            for cut, *ends in (
                (simulation.cut_from_store, [leader]),
                (simulation.cut_paths, others, worker_ids[::2]),
                (simulation.cut_paths, [leader], worker_ids[1::2]),
            ):
                cuts.start_soon(partial(cut, sim, *ends, seconds=CUT_SECONDS))

    def long_job(rng):
        step = Step(
            task_count=rng.randint(1, 4),
            resources=Resources(cpu_millicores=2800, memory_mb=4100, gpus_count=1),
            estimate_seconds=LONG_SECONDS,
        )
        return "batch", (step,), LONG_SECONDS, 0

    with mock.patch.object(simulation, "make_job", long_job):
        _check_result(run_simulation(14, faults, jobs_count=12, load_seconds=8.0))


def test_workers_cut_off_run_on():
    """Guards against a second run beside one that nobody can reach."""

    async def faults(sim):
        for seconds, first in ((2, 0), (5, 3), (9, 6)):
            await anyio.sleep(2)
            ids = [f"w{number:02d}" for number in range(first, first + 4)]
            await simulation.cut_workers(sim, ids, seconds=seconds)

    _check_result(run_simulation(8, faults))


def test_leader_lost_while_workers_are_cut_off():
    """Guards against a new leader that reruns what it merely cannot see."""

    async def faults(sim):
        await anyio.sleep(5)
        async with anyio.create_task_group() as tasks:
            ids = [f"w{number:02d}" for number in range(8)]
            tasks.start_soon(lambda: simulation.cut_workers(sim, ids, seconds=9))
            await anyio.sleep(1)
            leader = sim.cluster.leader()
            tasks.start_soon(lambda: simulation.kill_members(sim, [leader], seconds=1))

    _check_result(run_simulation(9, faults))


def test_workers_restart_under_their_id():
    """Guards against runs of an earlier life taken as alive."""

    async def faults(sim):
        for first in (0, 4, 8, 0):
            await anyio.sleep(4)
            ids = [f"w{number:02d}" for number in range(first, first + 3)]
            await simulation.crash_workers(sim, ids, seconds=0.5)

    _check_result(run_simulation(10, faults))


def test_scheduler_without_configuration():
    """Guards against a new leader that plans before it has read a configuration."""

    async def faults(sim):
        await anyio.sleep(10)
        for member in sim.cluster.members:
            sim.cluster.kill(member)
        sim.cluster.store.remove(POLICY_KEY)
        for member in sim.cluster.members:
            sim.cluster.start(member)
        # Work that has to be placed anew.
        await simulation.crash_workers(
            sim, sorted(sim.cluster.fleet.workers), seconds=0.5
        )
        await anyio.sleep(5)
        sim.cluster.set_policy(simulation.make_policy())

    _check_result(run_simulation(18, faults))


def test_orders_lost_or_late():
    """Guards against a gang or a task started twice by an unanswered order."""

    async def faults(sim):
        await simulation.disrupt_orders(sim, seconds=12, lost_share=0.2, late_share=0)
        await simulation.disrupt_orders(sim, seconds=12, lost_share=0, late_share=0.2)

    _check_result(run_simulation(11, faults))


def test_data_centres_closed_in_turn():
    """Guards against starts in a data centre that is out of service."""

    async def faults(sim):
        for data_centre in ("dc0", "dc1", "dc2"):
            await simulation.take_out_data_centre(sim, data_centre, seconds=8)

    _check_result(run_simulation(12, faults))


def test_claims_check_cancels_and_closures_themselves():
    """Guards against starts after a cancel that only the feed would have shown."""
    late_starts = []

    async def faults(sim):
        original = sim.checker.note_start

        def note_start(worker, run, order):
            job = sim.checker.jobs[run.ref.job_id]
            data_centre = worker.entry.data_centre
            closed_at = sim.checker.closed_since.get(data_centre, anyio.current_time())
            is_late = anyio.current_time() > closed_at + ORDER_SECONDS
            if job.cancelled_at is not None:
                is_late |= anyio.current_time() > job.cancelled_at + ORDER_SECONDS
            if is_late:
                late_starts.append(run.ref)
            original(worker, run, order)

        sim.checker.note_start = note_start
        await anyio.sleep(2)
        sim.cluster.store.faults.silent_calls.add("follow")
        leader = sim.cluster.leader()
        # Jobs are known to the leader, which hears of nothing else any more.
        leader.instance.candidate.scheduler._apply_job_rows = lambda *arguments: None
        watch = leader.instance.policy_watch

        async def read_nothing(*, timeout_seconds):
            await anyio.sleep(timeout_seconds)
            return Unknown(message="no answer")

        watch.operators = attrs.evolve(watch.operators, read=read_nothing)
        await simulation.take_out_data_centre(sim, "dc0", seconds=10)
        sim.cluster.store.faults.silent_calls.clear()
        await simulation.kill_members(sim, [leader], seconds=1)

    _check_result(run_simulation(19, faults, jobs_count=60, load_seconds=6))
    check.assertEqual(late_starts, [])


def test_workers_leave_for_good():
    """Guards against new work on workers that leave, and work lost with them."""

    async def faults(sim):
        for first in (0, 3):
            await anyio.sleep(5)
            ids = [f"w{number:02d}" for number in range(first, first + 3)]
            await simulation.drain_workers(sim, ids, seconds=2)

    _check_result(run_simulation(13, faults))


def test_workers_hang_or_crawl():
    """Guards against jobs that wait for ever for a worker that stands still."""

    async def faults(sim):
        await anyio.sleep(2)
        await simulation.slow_down_workers(
            sim, ["w00", "w05"], seconds=12, factor=float("inf")
        )
        await simulation.slow_down_workers(sim, ["w01", "w06"], seconds=12, factor=8.0)

    _check_result(run_simulation(17, faults))


def test_history_and_configuration_change_together():
    """Guards against jobs missed while the feed begins afresh."""

    async def faults(sim):
        for version in range(2, 12):
            await anyio.sleep(2.5)
            await simulation.change_policy(sim, version=version)
            await simulation.drop_history(sim)

    _check_result(run_simulation(14, faults))


def test_graceful_stop_hands_over_at_once():
    """Guards against a pause of scheduling after a planned stop of the leader."""
    gaps = []

    async def faults(sim):
        for _ in range(3):
            await anyio.sleep(5)
            leader = sim.cluster.leader()
            begun_at = anyio.current_time()
            await leader.instance.leave()
            while sim.cluster.leader() is None:
                await anyio.sleep(0.01)
            gaps.append(anyio.current_time() - begun_at)
            sim.cluster.kill(leader)
            sim.cluster.start(leader)

    _check_result(run_simulation(15, faults))
    check.assertLess(max(gaps), 1.0)


def test_a_job_that_always_fails_is_shown_as_failed():
    """Guards against jobs that are tried for ever."""
    original = simulation.make_job

    def always_failing(rng):
        queue, steps, seconds, _ = original(rng)
        return queue, steps, min(seconds, 1.0), 100

    simulation.make_job = always_failing
    try:
        checker = run_simulation(16, simulation.no_faults, jobs_count=10)
    finally:
        simulation.make_job = original
    _check_result(checker)
    states = {job.last_state for job in checker.jobs.values() if not job.cancel_sent}
    check.assertEqual(states, {JobState.FAILED})
