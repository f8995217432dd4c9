"""Reaction to tasks that use more than their job declared.

A task that exceeds its shape takes resources from other tasks on its worker. The gang
is throttled first; if it still exceeds the shape, it is stopped.
"""

from enum import StrEnum

import attrs

# Usage is sampled, so that smaller excesses may be noise of the measurement.
TOLERATED_RATIO = 1.1

# All reports must show an excess for this time. It is longer than the delay of reports,
# so that a sample taken before a throttle does not count against the job after it.
EXCESS_TOLERANCE_SECONDS = 2.0

MEASURED_FIELDS = ("cores_count", "memory_bytes", "connections_count")


class UsageVerdict(StrEnum):
    """What to do with a gang on one worker."""

    ACCEPT = "accept"
    THROTTLE = "throttle"
    STOP = "stop"


@attrs.frozen(kw_only=True)
class UsageRecord:
    """Excess of a gang on one worker, as reported so far.

    ``excess_since_seconds`` is when the current excess was first reported, on the
    clock of the caller; None without an excess.
    """

    excess_since_seconds: float | None = None
    is_throttled: bool = False


def find_excess(shape, tasks_count, used):
    """Return the name of the resource with the largest excess, or an empty string.

    Parameters
    ----------
    shape : Shape
        Declared resources of one task.
    tasks_count : int
    used : dict
        Measured usage of these tasks together, by field of a shape.
    """
    ratios = {}
    for name in MEASURED_FIELDS:
        declared = getattr(shape, name) * tasks_count
        if declared:
            ratios[name] = used.get(name, 0) / declared
    worst = max(ratios, key=ratios.get, default="")
    return worst if worst and ratios[worst] > TOLERATED_RATIO else ""


def judge_usage(record, excess, *, now_seconds):
    """Return the verdict on one report, and the record to keep.

    Parameters
    ----------
    record : UsageRecord
    excess : str
        What `find_excess` returned for the report.
    now_seconds : float
    """
    if not excess:
        return UsageVerdict.ACCEPT, attrs.evolve(record, excess_since_seconds=None)
    if record.excess_since_seconds is None:
        record = attrs.evolve(record, excess_since_seconds=now_seconds)
    if now_seconds - record.excess_since_seconds < EXCESS_TOLERANCE_SECONDS:
        return UsageVerdict.ACCEPT, record
    if record.is_throttled:
        return UsageVerdict.STOP, record
    return UsageVerdict.THROTTLE, UsageRecord(is_throttled=True)
