"""Detection of stragglers: runs that hang or are slow, by the progress reported.

Designed for a few workers that hang or are several times slower than the rest: their
runs are restarted on other workers, and they get no new work for a while. Estimates of
callers are wrong by a factor of several, so a run is compared only with other runs of
its step.
"""

import statistics

import attrs

# A run hangs if its progress did not change for this long and for this fraction of its
# expected run time. Progress is reported in percent and so changes rarely in long runs.
HANG_SECONDS = 2.0
HANG_FRACTION = 0.1
# Runs are not judged by a report older than this: the worker may be unreachable.
REPORT_AGE_LIMIT_SECONDS = 1.5
# Shortest observation by which the speed of a run is judged.
OBSERVATION_MINIMUM_SECONDS = 1.0
# A run is slow if it takes this many times the median run time of its peers, the other
# runs of its step. Must exceed the differences between tasks of one step.
SLOW_FACTOR = 2.5
# Fewest peers that a comparison needs.
PEERS_MINIMUM_COUNT = 2
# A slow run is restarted only if the rest of the run takes this many times as long as a
# new run.
RESTART_GAIN_FACTOR = 1.3


@attrs.frozen(kw_only=True)
class Straggler:
    """A run that should be restarted on another worker."""

    run: object
    reason: str


def find_stragglers(shard_state, *, now_seconds):
    """Return a `Straggler` for each run that hangs or is slow.

    Parameters
    ----------
    shard_state : ShardState
    now_seconds : float
        Time of the monotonic clock.
    """
    stragglers = []
    for worker in shard_state.workers.values():
        if now_seconds - worker.answered_at_seconds > REPORT_AGE_LIMIT_SECONDS:
            continue
        for run in worker.runs.values():
            if run.is_stopping or not run.is_progress_known or run.percent >= 100:
                continue
            reason = _find_reason(shard_state, run, now_seconds)
            if reason:
                stragglers.append(Straggler(run=run, reason=reason))
    return stragglers


def _find_reason(shard_state, run, now_seconds):
    expected_seconds = shard_state.expected_seconds(run)
    idle_seconds = now_seconds - run.percent_changed_at_seconds
    restarts_count = shard_state.count_restarts(run)
    # The job itself may make slow progress, so each restart doubles the time limit.
    hang_seconds = max(HANG_SECONDS, HANG_FRACTION * expected_seconds)
    if idle_seconds > hang_seconds * 2**restarts_count:
        return f"no progress for {idle_seconds:.1f} s at {run.percent}%"
    if restarts_count:
        return ""
    total_seconds = projected_seconds(run)
    if total_seconds is None:
        return ""
    median_seconds = _median_peer_seconds(shard_state, run)
    if median_seconds is None or total_seconds < SLOW_FACTOR * median_seconds:
        return ""
    rest_seconds = total_seconds * (100 - run.percent) / 100.0
    if rest_seconds < RESTART_GAIN_FACTOR * median_seconds:
        return ""
    return (
        f"projected run time {total_seconds:.1f} s; "
        f"median of other runs of the step {median_seconds:.1f} s"
    )


def projected_seconds(run):
    """Return the time of a whole run at its speed so far, or None if unknown."""
    elapsed_seconds = run.percent_changed_at_seconds - run.progress_since_seconds
    gained_percent = run.percent - run.first_percent
    if elapsed_seconds < OBSERVATION_MINIMUM_SECONDS or gained_percent <= 0:
        return None
    return 100.0 * elapsed_seconds / gained_percent


def _median_peer_seconds(shard_state, run):
    """Return the median run time of a run's peers, or None if there are too few."""
    job = shard_state.jobs[run.ref.job_id]
    peers_seconds = [
        projected_seconds(other)
        for other in job.step_runs(run.ref.occurrence, run.ref.step)
        if other is not run and other.is_remote == run.is_remote
    ]
    peers_seconds = [seconds for seconds in peers_seconds if seconds is not None]
    if len(peers_seconds) < PEERS_MINIMUM_COUNT:
        return None
    return statistics.median(peers_seconds)
