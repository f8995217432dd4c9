"""Adjacency and fit of placements."""

import random
from collections import Counter

from bench.workloads import make_shape, make_worker
from kingcuptrack.state.cluster import task_needs
from kingcuptrack.state.placement import (
    AdjacencyLevel,
    best_fit_by_rack,
    first_fit,
    largest_placeable_count,
    make_random_fit,
    tightest_level,
    unfragmented_ratio,
)

from .support import check, function_tests

load_tests = function_tests(__name__)

LEVELS = tuple(AdjacencyLevel)
POLICIES = (best_fit_by_rack, first_fit, make_random_fit(random.Random(3)))


def make_free(*racks):
    """Return racks and free amounts from free accelerators by worker and rack."""
    names, free = {}, {}
    for rack_index, rack in enumerate(racks):
        ids = names[f"r{rack_index}"] = []
        for index, count in enumerate(rack):
            ids.append(f"{rack_index}.{index}")
            free[ids[-1]] = [count, 32, 2**36, 64, 8]
    return names, free


def run(policy, racks, free, tasks_count, accelerators_count, levels=LEVELS):
    """Place a gang."""
    needs = task_needs(make_shape(accelerators_count))
    return policy(racks, free, needs, tasks_count, levels)


def test_tightest_level_wins_for_every_policy():
    """Guards against gangs spread wider than necessary, or than is allowed."""
    racks, free = make_free((2, 2, 2), (8, 0, 0), (4, 4, 0))
    for policy in POLICIES:
        check.assertEqual(run(policy, racks, free, 2, 4), ("1.0", "1.0"))
    free["1.0"][0] = 4
    for policy in POLICIES:
        check.assertEqual(set(run(policy, racks, free, 2, 4)), {"2.0", "2.1"})
        check.assertIsNone(run(policy, racks, free, 4, 4))
        check.assertIsNone(run(policy, racks, free, 3, 4, (AdjacencyLevel.RACK,)))
        spread = run(policy, racks, free, 3, 4)
        check.assertEqual(Counter(spread), {"1.0": 1, "2.0": 1, "2.1": 1})


def test_best_fit_leaves_whole_workers_whole():
    """Guards against small jobs that break up free workers."""
    racks, free = make_free((8, 8), (8, 3), (8, 2))
    check.assertEqual(run(best_fit_by_rack, racks, free, 1, 2), ("2.1",))
    check.assertEqual(run(best_fit_by_rack, racks, free, 3, 1), ("1.1",) * 3)
    check.assertEqual(run(first_fit, racks, free, 1, 2), ("0.0",))


def test_tightest_level():
    """Guards against adjacency that no empty data centre could offer."""
    workers = [make_worker(index) for index in range(8)]
    capacities = {worker.worker_id: [8, 32, 2**36, 64, 8] for worker in workers}
    for tasks_count, level in ((1, 0), (4, 1), (5, 2)):
        needs = task_needs(make_shape(8))
        found = tightest_level(workers, capacities, needs, tasks_count)
        check.assertEqual(found, AdjacencyLevel(level))


def test_fragmentation_measure():
    """Guards against a measure that counts accelerators instead of adjacency."""
    racks, free = make_free((8, 8), (4, 4))
    whole = {worker_id: [8] for worker_id in free}
    check.assertEqual(largest_placeable_count(racks, free, whole), 16)
    check.assertAlmostEqual(unfragmented_ratio(racks, free, whole), 16 / 24)
    racks, free = make_free((4, 4), (4, 4))
    check.assertAlmostEqual(unfragmented_ratio(racks, free, whole), 4 / 16)
