"""Decision whether a submitted job can still end in time to be of use.

Designed for callers to whom a result is worth something up to three times its
objective, and for organisations of which one may send many times its share.
"""

import math
import zlib

import attrs

from ..jobs.steps import GUARANTEED_PRIORITY
from .load_view import time_to_drain
from .ordering import critical_path_seconds

# A result later than this multiple of its objective is worth nothing to the callers.
USELESS_FACTOR = 3.0
# Refusals begin when the expected end is later than the bound by this factor, and end
# when it is within the bound. The wait in views of instances differs by the arrivals of
# some two seconds, which is less than a tenth of the bounds of the known queues.
HYSTERESIS_FACTOR = 1.1
# Least time over which the returns of callers refused together are spread.
SPREAD_SECONDS = 2.0

# Reasons of refusals.
OVER_SHARE = "over_share"
OVERLOAD = "overload"


@attrs.frozen(kw_only=True)
class AdmissionDecision:
    """Whether a job is refused for lack of capacity, and why.

    ``limit_seconds`` is the latest end, after the submission, at which the job is of
    use. ``reason`` and ``retry_after_seconds``, which is whole, are set if the job is
    refused.
    """

    is_refused: bool
    expected_wait_seconds: float
    expected_end_seconds: float
    limit_seconds: float
    reason: str = ""
    retry_after_seconds: float = 0.0


def is_refusable(submission):
    """Return whether a job may be refused for lack of capacity.

    Urgent jobs may not, which includes all guaranteed work, nor timed and long-running
    ones. The load of jobs without accelerators is not measured.
    """
    return (
        submission.priority > GUARANTEED_PRIORITY
        and not submission.is_timed
        and not any(step.is_long_running for step in submission.steps)
        and any(step.resources.gpus_count for step in submission.steps)
    )


def decide_admission(view, submission, *, is_refusing):
    """Decide on a job.

    Parameters
    ----------
    view : LoadView
        Recent load of the shard.
    submission : Submission
        A refusable job; see `is_refusable`.
    is_refusing : bool
        Whether the latest job of the same class and organisation was refused.

    Returns
    -------
    AdmissionDecision
    """
    service_load = view.service(submission.service)
    class_wait_seconds = own_wait_seconds = 0.0
    if service_load is not None and service_load.usable_gpus_count:
        class_wait_seconds = view.class_wait_seconds(
            submission.service, submission.priority
        )
        own_wait_seconds = _own_wait_seconds(view, submission)
    wait_seconds = min(class_wait_seconds, own_wait_seconds)
    path_seconds = critical_path_seconds(
        submission.steps,
        lambda step: view.expect_seconds(submission.queue, step.estimate_seconds),
    )
    objective_seconds = (
        submission.stretch * path_seconds + submission.target_latency_seconds
    )
    limit_seconds = USELESS_FACTOR * objective_seconds
    end_seconds = wait_seconds + path_seconds
    factor = 1.0 if is_refusing else HYSTERESIS_FACTOR
    if end_seconds <= factor * limit_seconds:
        return AdmissionDecision(
            is_refused=False,
            expected_wait_seconds=wait_seconds,
            expected_end_seconds=end_seconds,
            limit_seconds=limit_seconds,
        )
    return AdmissionDecision(
        is_refused=True,
        expected_wait_seconds=wait_seconds,
        expected_end_seconds=end_seconds,
        limit_seconds=limit_seconds,
        reason=OVER_SHARE if own_wait_seconds > class_wait_seconds else OVERLOAD,
        retry_after_seconds=_choose_retry_seconds(
            view, submission, end_seconds - limit_seconds, limit_seconds
        ),
    )


def _own_wait_seconds(view, submission):
    """Return the wait of an organisation by its share of the drain rate."""
    organisations = view.organisations_of(submission.service)
    load = organisations.get(submission.organisation)
    # An organisation without waiting work is within any share.
    return load.wait_seconds if load is not None else 0.0


def _choose_retry_seconds(view, submission, drain_seconds, limit_seconds):
    """Return after how many whole seconds a refused caller should return.

    ``drain_seconds`` is the time in which the backlog shrinks to what is admitted. The
    spread doubles it at most; half of the time for which the job is of use bounds it
    before, so that the caller does not return when the job is of no use any more.
    """
    earliest_seconds = min(drain_seconds, limit_seconds / 2)
    fraction = zlib.crc32(submission.job_id.encode()) / 2**32
    spread = (_return_position(view, submission) + fraction) / 2
    seconds = earliest_seconds + spread * max(SPREAD_SECONDS, earliest_seconds)
    return float(max(1, math.ceil(seconds)))


def _return_position(view, submission):
    """Return 0 to 1: how late an organisation should return relative to the others.

    The mean of two terms: what it holds for its share, and how much shorter than others
    its oldest job has waited.
    """
    organisations = view.organisations_of(submission.service)
    own = organisations.get(submission.organisation)
    if own is None:
        return 0.0
    most_held = max(_held_seconds(load) for load in organisations.values())
    longest_wait = max(load.oldest_wait_seconds for load in organisations.values())
    held = _ratio(_held_seconds(own), most_held)
    return (held + 1 - _ratio(own.oldest_wait_seconds, longest_wait)) / 2


def _held_seconds(load):
    """Return what an organisation holds, as time of its share of the drain rate."""
    held_gpu_seconds = load.backlog_gpu_seconds + load.running_gpu_seconds
    return time_to_drain(held_gpu_seconds, load.drain_gpus)


def _ratio(value, largest):
    return value / largest if largest else 0.0
