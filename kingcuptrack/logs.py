"""Structured logs: one JSON object per line on standard output.

Lines above a rate limit are dropped and counted. So are lines for which the reader of
standard output leaves no space in the pipe, so that logging never blocks the process.
"""

import json
import os
import sys
import time
import traceback

import attrs
from loguru import logger

BURST_LINES_COUNT = 1000
# A line takes about 50 us of processor time, so that this long-term rate limits logging
# to about 1 % of a core.
LINES_PER_SECOND = 200.0


@attrs.define(kw_only=True)
class LineRateLimiter:
    """Token bucket that limits the rate of log lines."""

    burst_count: float = BURST_LINES_COUNT
    per_second: float = LINES_PER_SECOND
    _tokens: float = attrs.field(default=BURST_LINES_COUNT, init=False)
    _refilled_at_seconds: float = attrs.field(default=0.0, init=False)

    def allow_line(self, now_seconds):
        """Use up one token; return False if there is none."""
        if not self._refilled_at_seconds:
            self._tokens = self.burst_count
        else:
            gained_tokens = (now_seconds - self._refilled_at_seconds) * self.per_second
            self._tokens = min(self.burst_count, self._tokens + gained_tokens)
        self._refilled_at_seconds = now_seconds
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    ``dropped_count`` counts the lines dropped since the last line that was written.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is put into non-blocking mode.
    rate_limiter : LineRateLimiter
    clock : callable
        Returns the time of a monotonic clock in seconds.
    """

    def __init__(self, *, descriptor, rate_limiter, clock=time.monotonic):
        self._descriptor = descriptor
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._pending_bytes = b""
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line):
        """Write a line, or drop and count it."""
        if not self._flush_pending() or not self._rate_limiter.allow_line(
            self._clock()
        ):
            self.dropped_count += 1
            return
        if self.dropped_count:
            drop_event = {"event": "log_lines_dropped", "count": self.dropped_count}
            line = json.dumps(drop_event) + "\n" + line
            self.dropped_count = 0
        self._pending_bytes = line.encode()
        self._flush_pending()

    def _flush_pending(self):
        """Write pending bytes; return whether none are left."""
        if not self._pending_bytes:
            return True
        try:
            written_count = os.write(self._descriptor, self._pending_bytes)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; the error cannot be logged either.
            self._pending_bytes = b""
            return True
        self._pending_bytes = self._pending_bytes[written_count:]
        return not self._pending_bytes


def configure_logs(*, level, instance_id):
    """Send log records of ``level`` and above to standard output as JSON lines."""
    writer = LineWriter(descriptor=sys.stdout.fileno(), rate_limiter=LineRateLimiter())

    def write_record(message):
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "instance_id": instance_id,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            exception = record["exception"]
            line["exception"] = "".join(
                traceback.format_exception(
                    exception.type, exception.value, exception.traceback
                )
            )
        writer.write_line(json.dumps(line, default=str) + "\n")

    logger.remove()
    logger.add(write_record, level=level, catch=True)
    return writer


def log_event(event, *, outcome, **fields):
    """Log a decision of this process, or a change of its state.

    Parameters
    ----------
    event : str
        Kind of event, such as ``"submit"`` or ``"leadership"``.
    outcome : str
    **fields
        Ids, and the inputs of the decision with their age or version.
    """
    logger.bind(event=event, outcome=outcome, **fields).info("{}: {}", event, outcome)


def log_decision(kind, *, choice, reason, **fields):
    """Log one routing or placement decision.

    Parameters
    ----------
    kind : str
        Kind of decision, such as ``"placement"`` or ``"routing"``.
    choice : object
        What was chosen; None if nothing was.
    reason : str
    **fields
        Ids (job, attempt, token) and the alternatives that were not chosen.
    """
    logger.bind(decision=kind, choice=choice, reason=reason, **fields).info(
        "{} decision", kind
    )
