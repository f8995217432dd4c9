"""Early detection of urgent runs that hang or are far too slow.

Designed for urgent jobs whose slack is about half of their run time, when some workers
hang or turn several times slower: after the usual time limits, a restarted run would be
late as well. A run is restarted early only while the new run is expected to be on time
and the old one is not.
"""

from ..cluster.shard_entities import RunPhase
from ..jobs.steps import GUARANTEED_PRIORITY
from .ordering import objective_seconds

# Time since its start for which the progress of an urgent run is reported at short
# intervals, and the wait of the polls for these reports.
WATCH_SECONDS = 1.5
WATCH_POLL_WAIT_SECONDS = 0.3
# An urgent run hangs if its progress did not change for this long and for this fraction
# of its expected run time. The fraction is several percent, the unit of progress.
HANG_SECONDS = 0.5
HANG_FRACTION = 0.15
# Shortest observation by which the speed of an urgent run is judged.
OBSERVATION_MINIMUM_SECONDS = 0.5
# An urgent run is slow if it takes this many times its expected run time; must exceed
# the errors of estimates.
SLOW_FACTOR = 3.0
# Time to stop a run, to claim its task again and to start it.
RESTART_SECONDS = 0.3


def is_watched(run, now_seconds):
    """Return whether the progress of a run is to be reported at short intervals."""
    if run.priority != GUARANTEED_PRIORITY or run.confirmed_at_seconds is None:
        return False
    return now_seconds - run.confirmed_at_seconds < WATCH_SECONDS


def find_urgent_reason(shard_state, job, run, *, now_seconds):
    """Return why an urgent run should be restarted early, or an empty string.

    Parameters
    ----------
    shard_state : ShardState
    job : Job
    run : Run
        Its progress is known.
    now_seconds : float
        Time of the monotonic clock.
    """
    if run.priority != GUARANTEED_PRIORITY or shard_state.count_restarts(run):
        return ""
    members = job.step_runs(run.ref.occurrence, run.ref.step)
    is_gang = job.submission.steps[run.ref.step].is_gang
    if is_gang and any(member.phase != RunPhase.CONFIRMED for member in members):
        # A gang makes no progress before all of its members have started.
        return ""
    started_at_seconds = run.confirmed_at_seconds
    if is_gang:
        started_at_seconds = max(member.confirmed_at_seconds for member in members)
    reported_at_seconds = shard_state.workers[run.worker_id].answered_at_seconds
    reason = _find_problem(shard_state, run, started_at_seconds, reported_at_seconds)
    if reason and _is_restart_on_time(shard_state, job, run, now_seconds):
        return reason
    return ""


def _find_problem(shard_state, run, started_at_seconds, reported_at_seconds):
    expected_seconds = shard_state.expected_seconds(run)
    idle_seconds = reported_at_seconds - max(
        started_at_seconds, run.percent_changed_at_seconds
    )
    if idle_seconds > max(HANG_SECONDS, HANG_FRACTION * expected_seconds):
        return f"no progress for {idle_seconds:.1f} s at {run.percent}%"
    observed_seconds = reported_at_seconds - started_at_seconds
    if run.checkpoint or observed_seconds < OBSERVATION_MINIMUM_SECONDS:
        # What a checkpoint has saved was not done in this time.
        return ""
    # The next percent may be nearly done.
    total_seconds = 100.0 * observed_seconds / (run.percent + 1)
    if total_seconds < SLOW_FACTOR * expected_seconds:
        return ""
    return (
        f"projected run time {total_seconds:.1f} s, expected {expected_seconds:.1f} s"
    )


def _is_restart_on_time(shard_state, job, run, now_seconds):
    """Return whether a new run on an average worker is expected to be on time."""
    submission = job.submission

    def expect(step):
        return shard_state.run_times.expect_seconds(
            submission.queue, step.estimate_seconds
        )

    new_run_seconds = expect(submission.steps[run.ref.step])
    left_seconds = objective_seconds(submission, expect) - (
        now_seconds - job.known_since_seconds
    )
    return RESTART_SECONDS + new_run_seconds <= left_seconds
