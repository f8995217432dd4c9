"""Random search for tasks with two live runs; run by hand, not with the tests.

``python -m tests.search_second_runs FIRST LAST`` simulates the seeds FIRST to LAST - 1
and prints the violations of each.

While tasks run, the answers of commits are lost, the leader is frozen at the answer to
a repetition, wakes up cut from the store, and reaches other workers than its successor.
"""

import sys
from functools import partial
from unittest import mock

import anyio

from kingcuptrack.outcomes import Done

from . import simulation
from .test_simulation import _make_long_job

FAULTS_SECONDS = 40.0
LOAD_SECONDS = 20.0
# Tasks that hang for some time are restarted late, since their estimate is long.
FINISH_LIMIT_SECONDS = 90.0


async def freeze_leader_at_answer(sim, worker_ids, *, seconds):
    """Freeze the leader; its successor does not reach ``worker_ids`` afterwards."""
    leader = sim.cluster.leader()
    if leader is None:
        return
    store = sim.cluster.store
    apply = store.apply
    is_settled = anyio.Event()

    def freeze_after_conflict(transaction):
        outcome = apply(transaction)
        is_lost = isinstance(outcome, Done)
        store.faults.lost_share = 1.0 if is_lost else 0.0
        if not is_lost:
            sim.cluster.freeze(leader)
            is_settled.set()
        return outcome

    store.apply = freeze_after_conflict
    with anyio.move_on_after(3.0):
        await is_settled.wait()
    store.apply = apply
    store.faults.lost_share = 0.0
    sim.note(f"{leader.name} frozen at the answer to a repeated commit")
    others = [member for member in sim.cluster.members if member is not leader]
    own_ids = [worker for worker in sim.cluster.fleet.workers if worker in worker_ids]
    other_ids = [w for w in sim.cluster.fleet.workers if w not in worker_ids]
    async with anyio.create_task_group() as cuts:
        for cut, *ends in (
            (simulation.cut_from_store, [leader]),
            (simulation.cut_paths, others, own_ids),
            (simulation.cut_paths, [leader], other_ids),
        ):
            cuts.start_soon(partial(cut, sim, *ends, seconds=seconds))
        await anyio.sleep(sim.rng.uniform(1.0, 5.5))
        sim.cluster.resume(leader)


async def inject_faults(sim):
    """Freeze one leader after the other; add faults of workers and of their orders."""

    async def freeze_leaders():
        while anyio.current_time() < FAULTS_SECONDS:
            await anyio.sleep(sim.rng.uniform(1, 6))
            ids = sorted(sim.cluster.fleet.workers)
            half = sim.rng.sample(ids, len(ids) // 2)
            seconds = sim.rng.uniform(16, 28)
            await freeze_leader_at_answer(sim, half, seconds=seconds)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(freeze_leaders)
        while anyio.current_time() < FAULTS_SECONDS * 0.75:
            await anyio.sleep(sim.rng.uniform(3, 8))
            ids = sim.rng.sample(sorted(sim.cluster.fleet.workers), 2)
            seconds = sim.rng.uniform(1, 5)
            faults = [
                partial(simulation.disrupt_orders, sim, lost_share=0.3, late_share=0),
                partial(simulation.disrupt_orders, sim, lost_share=0, late_share=0.3),
                partial(simulation.cut_workers, sim, ids),
                partial(simulation.crash_workers, sim, ids, life_change=-3),
            ]
            tasks.start_soon(partial(sim.rng.choice(faults), seconds=seconds))


def search(first_seed, last_seed):
    """Simulate the seeds and print their violations."""
    counts = {"violating": 0, "TWICE": 0, "starts": 0}
    with (
        mock.patch.object(simulation, "make_job", _make_long_job),
        mock.patch.object(simulation, "FINISH_LIMIT_SECONDS", FINISH_LIMIT_SECONDS),
    ):
        for seed in range(first_seed, last_seed):
            checker = simulation.run_simulation(
                seed, inject_faults, jobs_count=12, load_seconds=LOAD_SECONDS
            )
            counts["violating"] += bool(checker.violations)
            counts["TWICE"] += any("TWICE" in text for text in checker.violations)
            counts["starts"] += checker.starts_count
            if checker.violations:
                print(f"seed {seed}:", *checker.violations, sep="\n  ", flush=True)
            if seed % 50 == 49 or seed == last_seed - 1:
                print(f"through seed {seed}: {counts}", flush=True)


if __name__ == "__main__":
    search(int(sys.argv[1]), int(sys.argv[2]))
