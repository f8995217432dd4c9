"""Load on workers that differ in speed, with and without learned speeds."""

import functools

import anyio
import attrs

from emulator.experiment import play
from emulator.simulated_load import LoadShape
from kingcuptrack.coordination.learned_rows import LEARNED_TABLE, SPEEDS_SUBJECT
from kingcuptrack.coordination.ports import RowKey, Shard
from kingcuptrack.state.jobs.steps import Resources, Step
from kingcuptrack.state.planning.features import Features
from kingcuptrack.state.planning.plan_rules import DEFAULT_RULES, PlanRules

from .cluster_plays import play_cluster, submit_job
from .simulation import random_faults, run_simulation
from .support import check, function_tests

load_tests = function_tests(__name__)

SPEEDS = PlanRules(features=Features(speeds=True))
# Seeds other than those by which the rules were chosen.
SEEDS = (11, 12, 13, 14)
CALM_DAY = LoadShape(
    workers_count=48,
    rack_size=8,
    load_seconds=60.0,
    urgent_per_second=1.4,
    patient_per_second=0.24,
    batch_per_second=0.24,
    burst_factor=1.0,
    worker_factors=(0.6, 1.0, 1.6),
    task_spread=0.2,
    guarantee_gpus=120,
)
# Estimates from a fifth of the run time to five times.
WRONG_ESTIMATES = attrs.evolve(CALM_DAY, estimate_error=4.0)
ALIKE = attrs.evolve(CALM_DAY, worker_factors=(1.0,))
SLOW_WORKER_ID = "w01"


@functools.cache
def count_urgent(rules, shape, seed):
    """Return (urgent jobs on time, urgent jobs)."""
    verdicts = [
        result.verdict for result in play(rules, shape, seed) if result.kind == "urgent"
    ]
    return verdicts.count("on time"), len(verdicts)


def share(rules, shape, seed):
    """Return the fraction of the urgent jobs that are on time."""
    on_time_count, count = count_urgent(rules, shape, seed)
    return on_time_count / count


def test_urgent_jobs_on_uneven_workers_on_a_calm_day():
    """Guards against urgent jobs that are late only because of their workers."""
    for seed in SEEDS:
        learned = share(SPEEDS, CALM_DAY, seed)
        check.assertGreater(learned, share(DEFAULT_RULES, CALM_DAY, seed), seed)
        check.assertGreaterEqual(learned, 0.9, seed)


def test_wrong_estimates_on_uneven_workers():
    """Guards against errors of estimates that are taken for the speed of workers."""
    for seed in SEEDS[:2]:
        learned = share(SPEEDS, WRONG_ESTIMATES, seed)
        check.assertGreater(learned, share(DEFAULT_RULES, WRONG_ESTIMATES, seed), seed)


def test_alike_workers_make_no_difference():
    """Guards against a part that costs something where there is nothing to learn."""
    shares = {
        rules: [share(rules, ALIKE, seed) for seed in SEEDS]
        for rules in (SPEEDS, DEFAULT_RULES)
    }
    without = shares[DEFAULT_RULES]
    spread = max(without) - min(without)
    for learned, usual in zip(shares[SPEEDS], without, strict=True):
        check.assertLessEqual(abs(learned - usual), spread)


def test_faults_on_uneven_workers():
    """Guards against a choice by speed that breaks a rule of the users.

    Each plan is preceded by a full count of the kept figures.
    """
    for seed in (1, 2, 3):
        checker = run_simulation(
            seed,
            random_faults,
            rules=SPEEDS,
            worker_factors=(0.6, 1.0, 1.6) * 4,
        )
        check.assertEqual(checker.violations, [], (seed, checker.log))


def test_faults_on_uneven_workers_without_estimates():
    """Guards against jobs without estimates that break a rule or raise an error."""
    for seed in (1, 2, 3):
        checker = run_simulation(
            seed,
            random_faults,
            has_estimates=False,
            rules=SPEEDS,
            worker_factors=(0.6, 1.0, 1.6) * 4,
        )
        check.assertEqual(checker.violations, [], (seed, checker.log))


async def _run_batches(cluster, count):
    """Let batches of single tasks run on all workers, one of which is slow."""
    cluster.fleet.workers[SLOW_WORKER_ID].slow_factor = 2.0
    step = Step(
        task_count=24,
        resources=Resources(cpu_millicores=1000, memory_mb=1000, gpus_count=1),
        estimate_seconds=2.0,
        tasks_per_worker_limit=2,
    )
    for number in range(count):
        job_id = f"{int(anyio.current_time() * 1000) + number:016x}"
        await submit_job(cluster.leader(), cluster, job_id, step, run_seconds=2.0)
        await anyio.sleep(6.0)


def _slow_factor(cluster):
    speeds = cluster.leader().instance.candidate.scheduler.shard_state.worker_speeds
    view = speeds.view(now_seconds=anyio.current_time())
    return view.factors.get(SLOW_WORKER_ID, 1.0)


def _play_leader_change(*, removes_row):
    """Return the factor of the slow worker before and after a change of the leader."""

    async def run(cluster):
        await _run_batches(cluster, 5)
        before = _slow_factor(cluster)
        key = RowKey(table=LEARNED_TABLE, part=Shard().part, key=SPEEDS_SUBJECT)
        if removes_row:
            cluster.store.remove(key)
        cluster.kill(cluster.leader())
        while cluster.leader() is None:
            await anyio.sleep(0.1)
        # Workers answer to the new leader, and nothing has run for it.
        await anyio.sleep(4.0)
        return before, _slow_factor(cluster)

    return play_cluster(run, rules=SPEEDS, instances_count=2)


def test_speeds_outlive_a_change_of_the_leader():
    """Guards against each new leader learning anew, at the cost of urgent jobs."""
    before, after = _play_leader_change(removes_row=False)
    check.assertGreater(before, 1.3)
    check.assertAlmostEqual(after, before, delta=0.2)


def test_speeds_lost_with_the_store_are_learned_again():
    """Guards against a scheduler that cannot do without what it had learned."""
    before, after = _play_leader_change(removes_row=True)
    check.assertGreater(before, 1.3)
    check.assertEqual(after, 1.0)

    async def run(cluster):
        cluster.store.faults.down = "silent"
        await anyio.sleep(10.0)
        cluster.store.faults.down = ""
        await anyio.sleep(10.0)
        await _run_batches(cluster, 5)
        return _slow_factor(cluster)

    check.assertGreater(play_cluster(run, rules=SPEEDS, instances_count=2), 1.3)
