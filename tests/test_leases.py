"""Bounds of leases on the scheduler's clock."""

from kingcuptrack.coordination.leases import LeaseTracker

from .shard_states import make_report
from .support import check, function_tests

load_tests = function_tests(__name__)

LONGEST_SECONDS = 6.0


def _book():
    return LeaseTracker(longest_lease_seconds=LONGEST_SECONDS, lapse_at_seconds=100.0)


def test_nothing_is_granted_before_the_clock_is_known():
    """Guards against deadlines on a clock that was guessed."""
    book = _book()
    check.assertIsNone(book.grant(1.0))
    check.assertEqual(book.lapse_at_seconds, 100.0)


def test_a_lapse_is_certain_also_with_a_slow_clock():
    """Guards against a second run while a slow worker still holds the first."""
    book = _book()
    book.note_report(make_report(now_seconds=50.0, clock_seconds=7.0))
    deadline = book.grant(50.5)
    check.assertAlmostEqual(deadline, 13.5)
    # The worker's clock, 2% slow, reaches the deadline at this time.
    reached_at = 50.0 + (deadline - 7.0) / 0.98
    check.assertGreater(book.lapse_at_seconds, reached_at)


def test_a_report_of_an_old_life_changes_nothing():
    """Guards against an overtaken answer that moves the bound back."""
    book = _book()
    book.note_report(make_report(now_seconds=50.0, clock_seconds=1.0, life=2))
    bound = book.lapse_at_seconds
    book.note_report(make_report(now_seconds=51.0, clock_seconds=900.0, life=1))
    check.assertEqual(book.lapse_at_seconds, bound)


def test_the_first_report_bounds_what_earlier_schedulers_granted():
    """Guards against leases of the previous leader that are left out."""
    book = _book()
    book.note_report(make_report(now_seconds=50.0, clock_seconds=7.0))
    check.assertGreater(book.lapse_at_seconds, 50.0 + LONGEST_SECONDS)
