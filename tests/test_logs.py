"""Structured logs: rate limit, and writes that do not block."""

import json
import os

from kingcuptrack.logs import LineRateLimiter, LineWriter

from .support import check, function_tests

load_tests = function_tests(__name__)


def test_full_pipe_does_not_block():
    """Guards against requests that wait because nobody reads standard output."""
    reading, writing = os.pipe()
    try:
        rate_limiter = LineRateLimiter(burst_count=1e9, per_second=1e9)
        writer = LineWriter(descriptor=writing, rate_limiter=rate_limiter)
        line = "x" * 1000 + "\n"
        for _ in range(500):
            writer.write_line(line)
        check.assertGreater(writer.dropped_count, 300)
        # After the pipe is read, whole lines follow, with the number of dropped lines.
        os.read(reading, 1 << 20)
        for _ in range(3):
            writer.write_line(line)
        text = os.read(reading, 1 << 20).decode()
        check.assertIn("log_lines_dropped", text)
        check.assertTrue(text.endswith("\n"))
    finally:
        os.close(reading)
        os.close(writing)


def test_volume_is_bounded_under_a_burst():
    """Guards against logging that uses the processor time of requests."""
    rate_limiter = LineRateLimiter(burst_count=100, per_second=10)
    written = sum(
        rate_limiter.allow_line(1.0 + number / 10_000) for number in range(10_000)
    )
    check.assertLessEqual(written, 111)
    check.assertTrue(rate_limiter.allow_line(3.0))


def test_dropped_lines_are_counted():
    """Guards against gaps in the log that are not reported."""
    reading, writing = os.pipe()
    now = [1.0]
    try:
        rate_limiter = LineRateLimiter(burst_count=2, per_second=1)
        writer = LineWriter(
            descriptor=writing, rate_limiter=rate_limiter, clock=lambda: now[0]
        )
        for number in range(5):
            writer.write_line(f'{{"number": {number}}}\n')
        now[0] = 3.0
        writer.write_line('{"number": 9}\n')
        lines = [json.loads(line) for line in os.read(reading, 4096).splitlines()]
    finally:
        os.close(reading)
        os.close(writing)
    check.assertEqual(lines[2], {"event": "log_lines_dropped", "count": 3})
    check.assertEqual(lines[3], {"number": 9})
