"""Recognises runs that stand still or crawl, from the progress that workers report.

Answers the load of a few workers that hang or are several times slower than the rest:
their runs are started again elsewhere, and they get no new work for a while. Estimates
of callers are off by several times, so that speed is judged against runs of the same
step only.
"""

import statistics

import attrs

# A run without progress for this long, and for this part of its expected time, hangs.
# Progress is reported in hundredths.
HANG_SECONDS = 2.0
HANG_FRACTION = 0.1
# Answers older than this say nothing about progress.
REPORT_AGE_LIMIT_SECONDS = 1.5
# A run has to be observed for this long before its speed is judged.
OBSERVE_SECONDS = 1.0
# Times slower than the other runs of its step; more than uneven tasks are apart.
SLOW_FACTOR = 2.5
# Runs of the same step that a comparison needs.
PEERS_COUNT = 2
# The rest of the run must be this many times what a new run would take.
RESTART_GAIN_FACTOR = 1.3


@attrs.frozen(kw_only=True)
class Straggler:
    """A run that should be started again elsewhere."""

    run: object
    reason: str


def find_stragglers(shard_state, *, now_seconds):
    """Return a `Straggler` for each run that hangs or crawls.

    Parameters
    ----------
    shard_state : ShardState
    now_seconds : float
        Steady time.
    """
    stragglers = []
    for worker in shard_state.workers.values():
        if now_seconds - worker.answered_at_seconds > REPORT_AGE_LIMIT_SECONDS:
            continue
        for run in worker.runs.values():
            if run.is_stopping or not run.is_progress_known or run.percent >= 100:
                continue
            reason = _judge(shard_state, run, now_seconds)
            if reason:
                stragglers.append(Straggler(run=run, reason=reason))
    return stragglers


def _judge(shard_state, run, now_seconds):
    expected_seconds = shard_state.expected_seconds(run)
    idle_seconds = now_seconds - run.percent_at_seconds
    restarts_count = shard_state.count_restarts(run)
    # A job may just be like that: each restart asks for more evidence.
    hang_seconds = max(HANG_SECONDS, HANG_FRACTION * expected_seconds)
    if idle_seconds > hang_seconds * 2**restarts_count:
        return f"no progress for {idle_seconds:.1f} s at {run.percent}%"
    if restarts_count:
        return ""
    total_seconds = projected_seconds(run)
    if total_seconds is None:
        return ""
    usual_seconds = _usual_seconds(shard_state, run)
    if usual_seconds is None or total_seconds < SLOW_FACTOR * usual_seconds:
        return ""
    rest_seconds = total_seconds * (100 - run.percent) / 100.0
    if rest_seconds < RESTART_GAIN_FACTOR * usual_seconds:
        return ""
    return f"would take {total_seconds:.1f} s, others of the step {usual_seconds:.1f} s"


def projected_seconds(run):
    """Return how long a whole run takes at its speed so far, or None if unknown."""
    elapsed_seconds = run.percent_at_seconds - run.progress_since_seconds
    gained_percent = run.percent - run.first_percent
    if elapsed_seconds < OBSERVE_SECONDS or gained_percent <= 0:
        return None
    return 100.0 * elapsed_seconds / gained_percent


def _usual_seconds(shard_state, run):
    """Return the median time of the other runs of the step, or None if unknown."""
    job = shard_state.jobs[run.ref.job_id]
    others = [
        projected_seconds(other)
        for other in job.step_runs(run.ref.occurrence, run.ref.step)
        if other is not run and other.is_remote == run.is_remote
    ]
    others = [seconds for seconds in others if seconds is not None]
    if len(others) < PEERS_COUNT:
        return None
    return statistics.median(others)
