"""Planning rules against baselines on seeded load, by the verdicts of jobs.

The seeds differ from those of the measurements by which the rules were chosen.
"""

import functools

from emulator.experiment import order_by_arrival, order_by_priority, play
from emulator.load_days import LoadShape
from kingcuptrack.state.planner import DEFAULT_RULES, PlanRules

from .support import check, function_tests

load_tests = function_tests(__name__)

SEEDS = (11, 12)
# Urgent jobs come in a burst of five times their rate.
BURST = LoadShape(burst_factor=5.0, urgent_per_second=0.5)
# The long gangs together need more accelerators than the cluster has.
LONG_GANGS = LoadShape(
    patient_per_second=0.3, urgent_per_second=0.4, batch_per_second=0.1
)
# First come, first served, without shares, reservations and reclaims.
ARRIVAL = PlanRules(
    order=order_by_arrival,
    patient_share=1.0,
    hurried_share=1.0,
    reservations_count=0,
    is_reclaiming=False,
)
PRIORITY = PlanRules(
    order=order_by_priority,
    patient_share=1.0,
    hurried_share=1.0,
    reservations_count=0,
)
NO_WAITING_FOR_ROOM = PlanRules(guaranteed_room_wait_seconds=0.0)


@functools.cache
def verdicts(rules, shape):
    """Return (kind, verdict) of every job of all seeds."""
    return [
        (result.kind, result.verdict)
        for seed in SEEDS
        for result in play(rules, shape, seed)
    ]


def count(rules, shape, kind, verdict="on time"):
    """Return how many jobs of a kind have a verdict."""
    return verdicts(rules, shape).count((kind, verdict))


def test_urgent_jobs_beside_long_gangs():
    """Guards against urgent jobs that wait behind jobs that arrived earlier."""
    check.assertGreater(
        count(DEFAULT_RULES, LONG_GANGS, "urgent"),
        count(ARRIVAL, LONG_GANGS, "urgent"),
    )
    check.assertEqual(count(DEFAULT_RULES, LONG_GANGS, "urgent", "not"), 0)


def test_long_gangs_beside_bursts():
    """Guards against runs reclaimed for urgent jobs that could have waited."""
    check.assertGreater(
        count(DEFAULT_RULES, BURST, "patient"),
        count(NO_WAITING_FOR_ROOM, BURST, "patient"),
    )
    check.assertGreaterEqual(
        count(DEFAULT_RULES, BURST, "urgent"),
        count(NO_WAITING_FOR_ROOM, BURST, "urgent"),
    )


def test_no_rule_costs_urgent_jobs():
    """Guards against shares and reservations that delay urgent jobs."""
    for shape in (BURST, LONG_GANGS):
        check.assertGreaterEqual(
            count(DEFAULT_RULES, shape, "urgent"), count(PRIORITY, shape, "urgent")
        )


def test_every_job_is_served_in_the_end():
    """Guards against late jobs that starve behind jobs that can still be on time."""
    for shape in (BURST, LONG_GANGS):
        unserved = [
            kind for kind, verdict in verdicts(DEFAULT_RULES, shape) if verdict == "not"
        ]
        check.assertEqual(unserved, [])
