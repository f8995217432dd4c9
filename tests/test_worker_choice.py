"""Choice among workers of different speed."""

import itertools

from kingcuptrack.state.cluster.run_observations import RunObservation
from kingcuptrack.state.planning.backfill import reserve_slots
from kingcuptrack.state.planning.features import Features
from kingcuptrack.state.planning.plan_rules import PlanRules
from kingcuptrack.state.planning.planner import make_plan
from kingcuptrack.state.planning.scheduling_units import (
    find_ready_units,
    make_requirements,
    make_slots,
)
from kingcuptrack.state.planning.stragglers import find_stragglers
from kingcuptrack.state.planning.worker_choice import make_worker_choice

from .shard_states import (
    POLICY,
    add_job,
    make_report,
    make_shard_state,
    make_step,
    placed_workers,
    start_run,
)
from .support import check, function_tests

load_tests = function_tests(__name__)

RULES = PlanRules(features=Features(speeds=True))
# Time at which the factors are known.
NOW_SECONDS = 5.0


def make_state(racks, factors, *, unknown=()):
    """Return a shard state that has learned factors of workers; the rest are 1."""
    shard_state = make_shard_state(racks, now_seconds=NOW_SECONDS, learns_speeds=True)
    worker_ids = [worker_id for ids in racks.values() for worker_id in ids]
    for step, (index, worker_id) in itertools.product(range(8), enumerate(worker_ids)):
        if worker_id in unknown:
            continue
        shard_state.worker_speeds.learn(
            RunObservation(
                kind="kind",
                queue="queue",
                service="studio",
                worker_id=worker_id,
                expected_seconds=1.0,
                actual_seconds=factors.get(worker_id, 1.0),
                estimate_seconds=1.0,
                step_key=("learned", 0, step),
                run_key=("learned", step, index),
            ),
            now_seconds=NOW_SECONDS,
        )
    return shard_state


def plan(shard_state, rules=RULES):
    """Return the plan of a shard state."""
    return make_plan(
        shard_state,
        POLICY,
        now_seconds=NOW_SECONDS,
        wall_seconds=NOW_SECONDS,
        rules=rules,
    )


def place(shard_state, job_id, *steps, rules=RULES, **fields):
    """Add a job and return the workers that a plan chooses for it."""
    add_job(shard_state, job_id, *steps, now_seconds=NOW_SECONDS, **fields)
    return placed_workers(plan(shard_state, rules), job_id)


def test_urgent_work_gets_fast_workers():
    """Guards against urgent work that is late only because of its worker."""
    shard_state = make_state({"r0": ["w0", "w1", "w2"]}, {"w0": 1.6, "w2": 0.6})
    check.assertEqual(place(shard_state, "a", make_step(), priority=0), ["w2"])


def test_the_slowest_member_of_a_gang_counts():
    """Guards against a fast worker that waits for a slow one of its gang.

    Beside a worker of average speed no faster one is needed, which stays free.
    """
    shard_state = make_state({"r0": ["w0", "w1", "w2"]}, {"w2": 0.6, "w0": 1.6})
    step = make_step(tasks=12, is_gang=True)
    workers = place(shard_state, "a", step, priority=0)
    check.assertEqual(set(workers), {"w1", "w2"})
    shard_state = make_state({"r0": ["w0", "w1", "w2", "w3"]}, {"w3": 0.6, "w0": 1.6})
    workers = place(shard_state, "a", make_step(tasks=16, is_gang=True), priority=0)
    check.assertNotIn("w0", workers)


def test_the_rack_with_the_fastest_slowest_worker_is_chosen():
    """Guards against a rack chosen by its fastest worker or by its room."""
    racks = {"r0": ["w0", "w1"], "r1": ["w2", "w3"]}
    shard_state = make_state(racks, {"w0": 0.6, "w1": 1.6})
    step = make_step(tasks=2, gpus=8, is_gang=True, same_rack=True)
    check.assertEqual(place(shard_state, "a", step, priority=0), ["w2", "w3"])


def test_work_with_slack_takes_the_slowest_worker_that_suffices():
    """Guards against fast workers that are full when urgent work arrives."""
    factors = {"w0": 0.6, "w2": 1.6, "w3": 3.0}
    shard_state = make_state({"r0": ["w0", "w1", "w2", "w3"]}, factors)
    # The slowest worker would take twice as long as the average one.
    check.assertEqual(place(shard_state, "a", make_step(), stretch=1.5), ["w2"])
    # Late work takes the fastest worker.
    late = make_step(seconds=4.0)
    workers = place(shard_state, "b", late, accepted_at_seconds=NOW_SECONDS - 12.0)
    check.assertEqual(workers, ["w0"])


def test_best_fit_decides_among_workers_that_are_nearly_alike():
    """Guards against whole workers taken apart for a few percent of speed."""
    factors = {"w0": 1.08, "w1": 0.98, "w3": 1.6}
    shard_state = make_state({"r0": ["w0", "w1", "w2", "w3"]}, factors)
    add_job(shard_state, "running", make_step(gpus=2), now_seconds=NOW_SECONDS)
    start_run(shard_state, "running", "w0", now_seconds=NOW_SECONDS)
    check.assertEqual(place(shard_state, "a", make_step(), priority=0), ["w0"])


def test_unknown_workers_are_explored_with_work_that_has_slack():
    """Guards against urgent work on unknown workers, and workers that stay unknown."""
    racks = {"r0": ["w0", "w1", "w2"]}
    shard_state = make_state(racks, {"w0": 1.6, "w1": 0.8}, unknown=("w2",))
    check.assertEqual(place(shard_state, "a", make_step(), priority=0), ["w1"])
    workers = place(shard_state, "b", make_step(tasks=4))
    # Few tasks on each unknown worker, so that whole workers stay free.
    check.assertEqual(workers.count("w2"), 2)
    # Without slack, nothing is explored.
    workers = place(shard_state, "c", make_step(), stretch=1.5)
    check.assertNotIn("w2", workers)


def test_exploring_keeps_the_limit_of_tasks_per_worker():
    """Guards against exploring tasks beyond the limit that their step sets."""
    racks = {"r0": ["w0", "w1", "w2"]}
    shard_state = make_state(racks, {"w0": 1.6, "w1": 0.8}, unknown=("w2",))
    step = make_step(tasks=3, tasks_per_worker_limit=1)
    check.assertEqual(sorted(place(shard_state, "a", step)), ["w0", "w1", "w2"])


def test_alike_workers_and_the_switch_leave_choices_as_they_are():
    """Guards against a part that acts although there is nothing to choose."""
    racks = {"r0": ["w0", "w1", "w2", "w3"]}
    uneven = {"w0": 1.6, "w1": 1.0, "w2": 0.6, "w3": 1.0}
    alike = {"w0": 1.08, "w1": 0.93, "w2": 1.0, "w3": 1.1}
    steps = [make_step(tasks=3), make_step(tasks=2, gpus=8, is_gang=True)]
    for step, priority in itertools.product(steps, (0, 1, 2)):
        expected = place(
            make_shard_state(racks, now_seconds=NOW_SECONDS),
            "a",
            step,
            priority=priority,
            rules=PlanRules(),
        )
        for factors, rules in ((alike, RULES), (uneven, PlanRules())):
            shard_state = make_state(racks, factors)
            workers = place(shard_state, "a", step, priority=priority, rules=rules)
            check.assertEqual(workers, expected, (priority, factors))


def test_reclaim_makes_room_where_the_urgent_unit_ends_in_time():
    """Guards against work stopped for an urgent job that is late all the same."""
    shard_state = make_state({"r0": ["w0", "w1"], "r1": ["w2"]}, {"w0": 2.0, "w2": 0.8})
    # The run on the slow worker has begun last and is the cheapest victim.
    for number, worker_id in enumerate(("w2", "w1", "w0")):
        step = make_step(gpus=8, seconds=30.0)
        add_job(shard_state, worker_id, step, now_seconds=0.0)
        start_run(shard_state, worker_id, worker_id, now_seconds=float(number))
    add_job(
        shard_state,
        "urgent",
        make_step(gpus=8, seconds=2.0),
        priority=0,
        stretch=1.2,
        target_latency_seconds=0.25,
        now_seconds=NOW_SECONDS,
    )
    stopped = [run.worker_id for run, _ in plan(shard_state).stops]
    check.assertEqual(stopped, ["w1"])
    without = [run.worker_id for run, _ in plan(shard_state, PlanRules()).stops]
    check.assertEqual(without, ["w0"])


def test_a_reservation_prefers_workers_on_which_the_gang_ends_first():
    """Guards against a gang that starts a little earlier and ends much later."""
    shard_state = make_state({"r0": ["w0", "w1"]}, {"w0": 2.0, "w1": 0.6})
    for worker_id, seconds in (("w0", 4.0), ("w1", 5.0)):
        add_job(
            shard_state,
            worker_id,
            make_step(gpus=8, seconds=seconds),
            now_seconds=NOW_SECONDS,
        )
        start_run(shard_state, worker_id, worker_id, now_seconds=NOW_SECONDS)
    gang = make_step(gpus=8, seconds=4.0, is_gang=True)
    begins = []
    for rules in (RULES, PlanRules()):
        choice = make_worker_choice(
            shard_state, rules.features, now_seconds=NOW_SECONDS
        )
        job = add_job(shard_state, f"gang-{len(begins)}", gang, now_seconds=NOW_SECONDS)
        (unit,) = [
            unit
            for unit in find_ready_units(shard_state, wall_seconds=NOW_SECONDS)
            if unit.job is job
        ]
        slots = make_slots(shard_state, POLICY, now_seconds=NOW_SECONDS)
        reserve_slots(
            unit,
            make_requirements(unit),
            slots,
            lambda worker_id: [
                (shard_state.expected_end_seconds(run, NOW_SECONDS), run.resources)
                for run in shard_state.workers[worker_id].runs.values()
            ],
            now_seconds=NOW_SECONDS,
            slowdown_seconds=choice.make_delay(4.0),
        )
        begins.append([slot.worker_id for slot in slots if slot.reserved_at_seconds])
    check.assertEqual(begins, [["w1"], ["w0"]])


def test_a_run_on_a_slow_worker_is_no_straggler():
    """Guards against restarts on another worker that is just as slow."""
    factors = {"w0": 3.0}
    racks = {"r0": ["w0", "w1", "w2", "w3"]}
    reasons = {}
    for is_known in (True, False):
        shard_state = make_state(racks, factors if is_known else {})
        shard_state.worker_speeds.view(now_seconds=NOW_SECONDS)
        add_job(shard_state, "a", make_step(tasks=4), now_seconds=NOW_SECONDS)
        for index, worker_id in enumerate(racks["r0"]):
            run = start_run(
                shard_state, "a", worker_id, index=index, now_seconds=NOW_SECONDS
            )
            for seconds in (0.1, 2.1):
                percent = int(45 * seconds / (3.0 if worker_id == "w0" else 1.0))
                report = make_report(
                    now_seconds=NOW_SECONDS + seconds,
                    running=[(run.ref, run.number, percent)],
                )
                shard_state.apply_report(worker_id, report)
        found = find_stragglers(
            shard_state, now_seconds=NOW_SECONDS + 2.1, poll_wait_seconds=0.7
        )
        reasons[is_known] = [straggler.run.worker_id for straggler in found]
    check.assertEqual(reasons, {True: [], False: ["w0"]})
