"""Learned speeds under random orders of ends and progress."""

import math
import random

from kingcuptrack.state.cluster.speed_fit import (
    LEVEL_PRIOR_VARIANCE,
    TASK_VARIANCE,
    StepTime,
    WorkerEstimate,
)

from .speed_orders import SHAPES, OrderPlay
from .support import check, function_tests

load_tests = function_tests(__name__)

SEEDS = range(20)


def check_estimates(speeds, place):
    """Check that the variances and correlations can belong to a distribution."""
    for estimate in speeds.estimates.values():
        check.assertGreater(estimate.level_variance, 0.0, place)
        check.assertGreater(estimate.temporary_variance, 0.0, place)
        check.assertTrue(math.isfinite(estimate.log), place)
    for step in speeds._steps.values():
        check.assertGreater(step.variance, 0.0, place)
        check.assertTrue(math.isfinite(step.mean), place)
        for estimate in speeds.estimates.values():
            check.assertLessEqual(abs(step.correlation(estimate)), 1.0, place)


def test_every_order_of_ends_leaves_a_sound_estimate():
    """Guards against variances that no distribution has, and a root of one below 0."""
    for name, shape in SHAPES.items():
        for seed in SEEDS:
            play = OrderPlay(
                shape=shape,
                rng=random.Random(seed),
                after_event=lambda: check_estimates(play.speeds, (name, seed)),  # noqa: B023
            )
            play.run()


def test_many_runs_of_a_step_do_not_distort_the_factors():
    """Guards against workers that seem slow since their ends were counted too much."""
    for name in ("wide steps", "pauses", "few workers, no estimates"):
        for seed in SEEDS:
            play = OrderPlay(
                shape=SHAPES[name], rng=random.Random(seed), after_event=lambda: None
            )
            play.run()
            check.assertLess(max(map(abs, play.factor_errors())), 0.2, (name, seed))


def test_one_observation_is_divided_as_by_a_dense_filter():
    """Guards against a gain of the wrong sign, or one that counts evidence twice."""
    estimate = WorkerEstimate(service="s", kind=(), life=1)
    step = StepTime(mean=0.0, variance=0.25, weight=1.0, log_estimate=None)
    for innovation in (0.3, -0.2, 0.1):
        before = step.variance, estimate.level_variance, estimate.temporary_variance
        mean, level = step.mean, estimate.level
        correlation = step.correlation(estimate)
        covariance = correlation * math.sqrt(before[0] * before[1])
        step_part, level_part = before[0] + covariance, before[1] + covariance
        total = sum(before) + 2 * covariance + TASK_VARIANCE
        step.observe(estimate, innovation, TASK_VARIANCE)
        check.assertAlmostEqual(step.mean - mean, step_part / total * innovation)
        check.assertAlmostEqual(estimate.level - level, level_part / total * innovation)
        check.assertAlmostEqual(step.variance, before[0] - step_part**2 / total)
        check.assertAlmostEqual(
            estimate.level_variance, before[1] - level_part**2 / total
        )
        left = step.correlation(estimate)
        left *= math.sqrt(step.variance * estimate.level_variance)
        check.assertAlmostEqual(left, covariance - step_part * level_part / total)


def test_evidence_from_elsewhere_weakens_a_correlation():
    """Guards against a covariance that outlives the variance it belongs to."""
    estimate = WorkerEstimate(service="s", kind=(), life=1)
    first, second = (
        StepTime(mean=0.0, variance=0.25, weight=1.0, log_estimate=None)
        for _ in range(2)
    )
    first.observe(estimate, 0.3, TASK_VARIANCE)
    before = first.correlation(estimate)
    for _ in range(10):
        second.observe(estimate, 0.0, TASK_VARIANCE)
    known = first.correlation(estimate)
    check.assertLess(before, known)
    check.assertLess(known, 0.0)
    estimate.advance(1000.0)
    check.assertEqual(estimate.level_variance, LEVEL_PRIOR_VARIANCE)
    check.assertLess(abs(first.correlation(estimate)), abs(known))
    # Nothing is known about the relation to another life.
    other_life = estimate.make_unobserved(0.0)
    check.assertEqual(first.correlation(other_life), 0.0)
