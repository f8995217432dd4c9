"""When the scheduler plans."""

from types import SimpleNamespace

from kingcuptrack.coordination.plan_timing import (
    PLANNING_SHARE,
    REPLAN_INTERVAL_SECONDS,
    PlanTiming,
    plan_pause_seconds,
)

from .support import check, function_tests

load_tests = function_tests(__name__)


def make_timing():
    """Return a `PlanTiming` and the shard state that it watches."""
    shard_state = SimpleNamespace(placement_changes_count=0)
    return PlanTiming(shard_state=shard_state), shard_state


def plan(timing, at_seconds, *, plan_seconds=0.0):
    """Plan once at a time."""
    timing.begin()
    timing.finish(started_at_seconds=at_seconds, now_seconds=at_seconds + plan_seconds)


def test_a_plan_follows_a_change_at_once():
    """Guards against urgent work that waits for the next periodic plan."""
    timing, shard_state = make_timing()
    plan(timing, 0.0)
    check.assertFalse(timing.is_due(0.1))
    shard_state.placement_changes_count += 1
    check.assertTrue(timing.is_due(0.1))
    check.assertEqual(timing.wait_seconds(0.1), 0.0)


def test_waiting_work_is_looked_at_again_without_a_change():
    """Guards against work that waits for ever for a rack or a worker."""
    timing, _ = make_timing()
    plan(timing, 0.0)
    check.assertEqual(timing.wait_seconds(0.0), REPLAN_INTERVAL_SECONDS)
    check.assertTrue(timing.is_due(REPLAN_INTERVAL_SECONDS))


def test_planning_leaves_time_for_orders_and_renewals():
    """Guards against plans after every event of a burst that take all of the time."""
    timing, shard_state = make_timing()
    now_seconds, planned_seconds = 0.0, 0.0
    while now_seconds < 10.0:
        shard_state.placement_changes_count += 1
        if timing.is_due(now_seconds):
            plan(timing, now_seconds, plan_seconds=0.02)
            planned_seconds += 0.02
            now_seconds += 0.02
        now_seconds += 0.001
    check.assertLessEqual(planned_seconds, 1.05 * PLANNING_SHARE * now_seconds)
    check.assertGreater(planned_seconds, 0.8 * PLANNING_SHARE * now_seconds)


def test_a_long_plan_delays_the_next_one_only_a_little():
    """Guards against urgent work that waits after one slow plan."""
    check.assertEqual(plan_pause_seconds(30.0), REPLAN_INTERVAL_SECONDS)


def test_a_requested_plan_is_made_although_nothing_changed():
    """Guards against planned work that was not claimed and is forgotten."""
    timing, _ = make_timing()
    plan(timing, 0.0)
    timing.request()
    check.assertTrue(timing.is_due(0.01))
    timing.postpone(0.01)
    check.assertFalse(timing.is_due(0.02))
    check.assertTrue(timing.is_due(0.02 + REPLAN_INTERVAL_SECONDS))


def test_a_postponed_plan_is_made_when_the_obstacle_is_gone():
    """Guards against a takeover that waits after the first worker list has arrived."""
    timing = PlanTiming(shard_state=SimpleNamespace(placement_changes_count=1))
    timing.postpone(10.0)
    check.assertFalse(timing.is_due(10.01))
    timing.resume()
    check.assertTrue(timing.is_due(10.01))
    check.assertEqual(timing.wait_seconds(10.01), 0.0)
