"""Which instance leads when instances have different processors."""

import anyio

from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .support import check, function_tests

load_tests = function_tests(__name__)

WEAK_CORES, STRONG_CORES = 0.5, 2.0
# Time within which another instance leads after the loss of the leader.
TAKEOVER_LIMIT_SECONDS = 2.0
# Time in which two instances would pass the role to and fro many times.
CALM_SECONDS = 30.0


def run_cluster(function, *cores):
    """Run an async function with a started cluster of instances with these cores."""
    play_cluster(function, instances_count=len(cores), instance_cores=cores)


async def wait_for_leader(cluster):
    """Return the next leader, at most TAKEOVER_LIMIT_SECONDS later."""
    with anyio.fail_after(TAKEOVER_LIMIT_SECONDS):
        while cluster.leader() is None:
            await anyio.sleep(0.01)
    return cluster.leader()


def leader_epoch(cluster):
    """Return the epoch of the leader."""
    return cluster.leader().instance.candidate._chain.epoch


def test_a_strong_instance_replaces_an_idle_weak_leader():
    """Guards against a large deployment led by one of its weakest machines."""

    async def run(cluster):
        leader = cluster.leader()
        check.assertEqual(leader.cores, STRONG_CORES)
        epoch = leader_epoch(cluster)
        await anyio.sleep(CALM_SECONDS)
        check.assertIs(cluster.leader(), leader)
        check.assertEqual(leader_epoch(cluster), epoch)

    run_cluster(run, *[WEAK_CORES] * 4, STRONG_CORES, STRONG_CORES)


def test_strong_instances_take_over_first():
    """Guards against a weak leader after a crash although strong instances are left."""

    async def run(cluster):
        for stop in (_kill, _leave):
            member = cluster.leader()
            await stop(cluster, member)
            leader = await wait_for_leader(cluster)
            check.assertIsNot(leader, member)
            check.assertEqual(leader.cores, STRONG_CORES)

    run_cluster(run, *[WEAK_CORES] * 5, *[STRONG_CORES] * 3)


async def _kill(cluster, member):
    cluster.kill(member)
    # The cancelled tasks of the instance end.
    await anyio.sleep(0.01)


async def _leave(cluster, member):
    await member.instance.leave()


def test_weak_instances_take_over_when_no_strong_one_is_left():
    """Guards against waiting for strong instances that are gone for good."""

    async def run(cluster):
        for _ in range(2):
            await _kill(cluster, cluster.leader())
            leader = await wait_for_leader(cluster)
        check.assertEqual(leader.cores, WEAK_CORES)

    run_cluster(run, WEAK_CORES, WEAK_CORES, STRONG_CORES)


def test_a_weak_leader_with_work_is_not_replaced():
    """Guards against an interruption of scheduling while there are open jobs."""

    async def run(cluster):
        weak, strong = cluster.members
        cluster.kill(strong)
        leader = await wait_for_leader(cluster)
        check.assertIs(leader, weak)
        step = make_step(seconds=200.0)
        await submit_job(weak, cluster, "00000000000000aa", step, run_seconds=200.0)
        await anyio.sleep(1.0)
        cluster.start(strong)
        await anyio.sleep(CALM_SECONDS)
        check.assertIs(cluster.leader(), weak)

    run_cluster(run, WEAK_CORES, STRONG_CORES)


def test_instances_of_one_kind_keep_their_leader():
    """Guards against instances of similar strength that replace each other."""

    async def run(cluster):
        epoch = leader_epoch(cluster)
        await anyio.sleep(CALM_SECONDS)
        check.assertEqual(leader_epoch(cluster), epoch)

    run_cluster(run, 1.0, 1.2, 1.4, 0.9)
