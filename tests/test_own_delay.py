"""Delay of a process, and time-outs that allow for it."""

import anyio

from emulator.virtual_clock import run_virtual
from kingcuptrack.coordination.own_delay import LONGEST_EXTENSION_SECONDS, OwnDelay
from kingcuptrack.coordination.sessions import (
    LONGEST_POLL_WAIT_SECONDS,
    POLL_WAIT_SECONDS,
    poll_wait_seconds,
)

from .support import check, function_tests

load_tests = function_tests(__name__)


def make_delay(clock=lambda: 0.0):
    """Return an `OwnDelay` and the list of its observations."""
    observed = []
    return OwnDelay(clock=clock, observe=observed.append), observed


def test_timeouts_are_longer_after_a_delay():
    """Guards against workers taken for silent by a process that is late itself."""
    delay, observed = make_delay()
    check.assertEqual(delay.extend(0.6), 0.6)
    delay.note(0.4)
    check.assertAlmostEqual(delay.extend(0.6), 1.4)
    delay.note(30.0)
    check.assertAlmostEqual(delay.extend(0.6), 0.6 + LONGEST_EXTENSION_SECONDS)
    check.assertEqual(observed, [0.4, 30.0])


def test_a_past_delay_is_forgotten():
    """Guards against long time-outs, and so late reruns, after a short overload."""
    delay, _ = make_delay()
    delay.note(0.5)
    for _ in range(30):
        delay.note(0.0)
    check.assertLess(delay.extend(0.6), 0.7)


def test_delay_is_measured_on_the_event_loop():
    """Guards against a measure that misses a process that cannot keep up."""

    async def run():
        clock_seconds = [0.0]
        delay, observed = make_delay(lambda: anyio.current_time() + clock_seconds[0])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(delay.run)
            await anyio.sleep(0.35)
            check.assertAlmostEqual(max(observed), 0.0)
            # The process does not run for half a second.
            clock_seconds[0] = 0.5
            await anyio.sleep(0.1)
            check.assertAlmostEqual(max(observed), 0.5)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_polls_are_rarer_when_the_processor_is_small():
    """Guards against polls of many workers that take all of a small processor."""
    check.assertEqual(poll_wait_seconds(24, 1.07), POLL_WAIT_SECONDS)
    check.assertEqual(poll_wait_seconds(24, 0.0), POLL_WAIT_SECONDS)
    check.assertGreater(poll_wait_seconds(270, 2.15), POLL_WAIT_SECONDS)
    check.assertEqual(poll_wait_seconds(270, 0.1), LONGEST_POLL_WAIT_SECONDS)
