"""Bounds on the scheduler's clock for the leases of a worker."""

from kingcuptrack.coordination.leases import LeaseTracker

from .shard_states import make_report
from .support import check, function_tests

load_tests = function_tests(__name__)

LONGEST_SECONDS = 6.0


def _make_tracker():
    return LeaseTracker(longest_lease_seconds=LONGEST_SECONDS, lapse_at_seconds=100.0)


def test_nothing_is_granted_before_the_clock_is_known():
    """Guards against lease deadlines when the worker's clock is unknown."""
    tracker = _make_tracker()
    check.assertIsNone(tracker.grant(1.0))
    check.assertEqual(tracker.lapse_at_seconds, 100.0)


def test_a_lapse_is_certain_also_with_a_slow_clock():
    """Guards against a second run while a worker with a slow clock runs the first."""
    tracker = _make_tracker()
    tracker.note_report(make_report(now_seconds=50.0, clock_seconds=7.0))
    deadline = tracker.grant(50.5)
    check.assertAlmostEqual(deadline, 13.5)
    # The worker's clock, 2% slow, reaches the deadline at this time.
    reached_at = 50.0 + (deadline - 7.0) / 0.98
    check.assertGreater(tracker.lapse_at_seconds, reached_at)


def test_a_report_of_an_old_life_changes_nothing():
    """Guards against an outdated answer that makes the bound earlier."""
    tracker = _make_tracker()
    tracker.note_report(make_report(now_seconds=50.0, clock_seconds=1.0, life=2))
    bound = tracker.lapse_at_seconds
    tracker.note_report(make_report(now_seconds=51.0, clock_seconds=900.0, life=1))
    check.assertEqual(tracker.lapse_at_seconds, bound)


def test_the_first_report_bounds_what_earlier_schedulers_granted():
    """Guards against a bound that ignores the leases of the previous leader."""
    tracker = _make_tracker()
    tracker.note_report(make_report(now_seconds=50.0, clock_seconds=7.0))
    check.assertGreater(tracker.lapse_at_seconds, 50.0 + LONGEST_SECONDS)
