"""Where the time of a job went: phases from its submission to its stored state.

The phases follow the task that ended last, and before it the task that its step waited
for, so that they are consecutive and add up to the whole time.
"""

from enum import StrEnum

import attrs

from ..jobs.progress import EndKind
from ..jobs.steps import TaskRef

# Prefix of the phases of runs that ended before they were done; the cause follows.
RERUN_PREFIX = "rerun_"


class Phase(StrEnum):
    """What a job was waiting for."""

    # Accepted, but not yet known to the scheduler that stored its final state.
    UNTIL_KNOWN = "until_known"
    # Ready, but not placed.
    WAITING = "waiting"
    # Claimed; the claim is being stored or the start order is under way.
    STARTING = "starting"
    RUNNING = "running"
    # Ended at the worker, but not yet stored.
    STORING = "storing"


@attrs.frozen(kw_only=True)
class PastRun:
    """A run that has ended, with times of the monotonic clock.

    ``confirmed_at_seconds`` is None if the worker was never known to have started it.
    ``cause`` is why it ended, empty if it was done. ``expected_seconds`` is the run
    time that was expected on its worker, ``slowdown`` times that on average workers.
    """

    ref: TaskRef
    claimed_at_seconds: float
    confirmed_at_seconds: float | None
    ended_at_seconds: float
    cause: str
    expected_seconds: float
    slowdown: float


def make_past_run(run, *, how, ended_at_seconds, expected_seconds):
    """Return the `PastRun` of a run that has ended.

    Parameters
    ----------
    run : Run
    how : str or None
        How it ended, see `EndKind`; None if its worker has not reported the end.
    ended_at_seconds, expected_seconds : float
    """
    is_done = how == EndKind.DONE
    unreported = "lapsed" if run.confirmed_at_seconds is not None else "not_started"
    return PastRun(
        ref=run.ref,
        claimed_at_seconds=run.claimed_at_seconds,
        confirmed_at_seconds=run.confirmed_at_seconds,
        ended_at_seconds=ended_at_seconds,
        cause="" if is_done else str(run.stop_cause or how or unreported),
        expected_seconds=expected_seconds,
        slowdown=run.slowdown,
    )


@attrs.frozen(kw_only=True)
class JobTimes:
    """Seconds of a job by phase, in the order of time, and its decisive last run."""

    phases: dict[str, float]
    last_run: PastRun | None = None


def split_job_time(job, *, total_seconds, now_seconds):
    """Split the time of a job by phase.

    Parameters
    ----------
    job : Job
        A job without a schedule whose final state has been stored.
    total_seconds : float
        Time since the job was accepted.
    now_seconds : float
        Time of the monotonic clock.

    Returns
    -------
    JobTimes
        Its phases add up to ``total_seconds``.
    """
    known_seconds = now_seconds - job.known_since_seconds
    spans = [(Phase.UNTIL_KNOWN, total_seconds - known_seconds)]
    done = [run for run in job.past_runs if not run.cause]
    last_run = max(done, key=lambda run: run.ended_at_seconds, default=None)
    spans += _trace(job, last_run, until_seconds=now_seconds)
    phases = {}
    for phase, seconds in spans:
        phases[str(phase)] = phases.get(str(phase), 0.0) + seconds
    return JobTimes(
        phases={phase: seconds for phase, seconds in phases.items() if seconds > 0},
        last_run=last_run,
    )


def _trace(job, last_run, *, until_seconds):
    """Return (phase, seconds) from when the job was known, in the order of time."""
    if last_run is None:
        return [(Phase.WAITING, until_seconds - job.known_since_seconds)]
    spans = [(Phase.STORING, until_seconds - last_run.ended_at_seconds)]
    run = last_run
    while run is not None:
        spans += _run_spans(run)
        earlier = _find_earlier(job, run)
        since_seconds = earlier.ended_at_seconds if earlier else job.known_since_seconds
        spans.append((Phase.WAITING, run.claimed_at_seconds - since_seconds))
        run = earlier
    return spans[::-1]


def _run_spans(run):
    """Return (phase, seconds) of one run, the latest first."""
    if run.cause:
        seconds = run.ended_at_seconds - run.claimed_at_seconds
        return [(RERUN_PREFIX + run.cause, seconds)]
    started_at_seconds = run.confirmed_at_seconds
    if started_at_seconds is None:
        started_at_seconds = run.claimed_at_seconds
    return [
        (Phase.RUNNING, run.ended_at_seconds - started_at_seconds),
        (Phase.STARTING, started_at_seconds - run.claimed_at_seconds),
    ]


def _find_earlier(job, run):
    """Return the run whose end let this one start, or None.

    Only runs that ended before it are considered, in the order of their ends, so that
    runs without duration are not followed in a circle.
    """
    position = next(index for index, other in enumerate(job.past_runs) if other is run)
    before = [
        other
        for other in job.past_runs[:position]
        if other.ended_at_seconds <= run.claimed_at_seconds
    ]
    steps_before = job.submission.steps[run.ref.step].after
    candidates = [other for other in before if other.ref == run.ref] or [
        other for other in before if not other.cause and other.ref.step in steps_before
    ]
    return max(candidates, key=lambda other: other.ended_at_seconds, default=None)
