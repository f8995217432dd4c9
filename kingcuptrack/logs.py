"""Structured logs: one JSON object a line on standard output.

The volume is bounded by a rate, and a reader that does not keep up never blocks the
process: lines are dropped and counted instead.
"""

import json
import os
import sys
import time
import traceback

import attrs
from loguru import logger

# Lines written in a burst, and a second in the long run. A line takes about 50 us of
# processor time, so that the rate bounds logging at about a hundredth of a core.
BURST_LINES_COUNT = 1000
LINES_PER_SECOND = 200.0


@attrs.define(kw_only=True)
class LineRateLimiter:
    """Token bucket that bounds the number of log lines."""

    burst_count: float = BURST_LINES_COUNT
    per_second: float = LINES_PER_SECOND
    _tokens: float = attrs.field(default=BURST_LINES_COUNT, init=False)
    _refilled_at: float = attrs.field(default=0.0, init=False)

    def allow_line(self, now_seconds):
        """Return whether a line may be written now."""
        if not self._refilled_at:
            self._tokens = self.burst_count
        else:
            gained = (now_seconds - self._refilled_at) * self.per_second
            self._tokens = min(self.burst_count, self._tokens + gained)
        self._refilled_at = now_seconds
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineWriter:
    """Writes lines to a file descriptor without ever blocking.

    Parameters
    ----------
    descriptor : int
        Put into non-blocking mode.
    rate_limiter : LineRateLimiter
    clock : callable
        Steady clock in seconds.
    """

    def __init__(self, *, descriptor, rate_limiter, clock=time.monotonic):
        self._descriptor = descriptor
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._rest = b""
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write_line(self, line):
        """Write a line, or drop and count it."""
        if not self._flush_rest() or not self._rate_limiter.allow_line(self._clock()):
            self.dropped_count += 1
            return
        if self.dropped_count:
            lost = {"event": "log_lines_dropped", "count": self.dropped_count}
            line = json.dumps(lost) + "\n" + line
            self.dropped_count = 0
        self._rest = line.encode()
        self._flush_rest()

    def _flush_rest(self):
        """Write what an earlier call left; returns whether nothing is left."""
        if not self._rest:
            return True
        try:
            written_count = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; there is nowhere to report it.
            self._rest = b""
            return True
        self._rest = self._rest[written_count:]
        return not self._rest


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
    """Log one decision or change of what the process believes.

    Parameters
    ----------
    event : str
        Kind, such as ``"submit"`` or ``"leadership"``.
    outcome : str
    **fields
        Ids and the inputs that decided, with their age or version.
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
        Ids (job, attempt, token) and the runners-up.
    """
    logger.bind(decision=kind, choice=choice, reason=reason, **fields).info(
        "{} decision", kind
    )
