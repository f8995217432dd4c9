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
# Runs are not judged by a report older than this beyond the wait of polls: the worker
# may be unreachable.
REPORT_AGE_LIMIT_SECONDS = 0.8
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


def find_stragglers(shard_state, *, now_seconds, poll_wait_seconds):
    """Return a `Straggler` for each run that hangs or is slow.

    A run is judged by the reports of its worker; the time since the latest report does
    not count, since the run may have made progress meanwhile.

    Parameters
    ----------
    shard_state : ShardState
    now_seconds : float
        Time of the monotonic clock.
    poll_wait_seconds : float
        Usual time between two reports of a worker.
    """
    answered_from_seconds = now_seconds - poll_wait_seconds - REPORT_AGE_LIMIT_SECONDS
    stragglers = []
    for job in shard_state.jobs.values():
        if not job.runs:
            continue
        medians_by_key = {}
        for run in job.runs.values():
            worker = shard_state.workers[run.worker_id]
            is_known = run.is_progress_known and not run.is_stopping
            if not is_known or worker.answered_at_seconds < answered_from_seconds:
                continue
            if run.percent >= 100:
                continue
            # Runs outside the rack of their data are compared with each other.
            key = run.ref.occurrence, run.ref.step, run.is_remote
            if key not in medians_by_key:
                medians_by_key[key] = _median_seconds(shard_state, job, key)
            idle_seconds = worker.answered_at_seconds - run.percent_changed_at_seconds
            reason = _find_reason(shard_state, run, medians_by_key[key], idle_seconds)
            if reason:
                stragglers.append(Straggler(run=run, reason=reason))
    return stragglers


def _median_seconds(shard_state, job, key):
    """Return the median run time of the peers of a slow run, or None if unknown.

    Run times are those on average workers. The peers of a run are the other runs with
    its key. A slow run is above the median, so that the median of its peers is that of
    all runs but the slowest.
    """
    projections = [
        _average_seconds(shard_state, run)
        for run in job.runs.values()
        if (run.ref.occurrence, run.ref.step, run.is_remote) == key
    ]
    projections = sorted(seconds for seconds in projections if seconds is not None)
    if len(projections) <= PEERS_MINIMUM_COUNT:
        return None
    return statistics.median(projections[:-1])


def _find_reason(shard_state, run, median_seconds, idle_seconds):
    """Return why a run is a straggler, or an empty string.

    Its progress did not change for ``idle_seconds`` until the latest report.
    """
    if idle_seconds > HANG_SECONDS:
        expected_seconds = shard_state.expected_seconds(run)
        # The task itself may make slow progress, so each restart of it doubles the time
        # limit. Restarts of other tasks tell nothing about it.
        hang_seconds = max(HANG_SECONDS, HANG_FRACTION * expected_seconds)
        if idle_seconds > hang_seconds * 2 ** shard_state.count_own_restarts(run):
            return f"no progress for {idle_seconds:.1f} s at {run.percent}%"
    if shard_state.count_restarts(run):
        return ""
    total_seconds = projected_seconds(run)
    if total_seconds is None or median_seconds is None:
        return ""
    if _average_seconds(shard_state, run) < SLOW_FACTOR * median_seconds:
        return ""
    rest_seconds = total_seconds * (100 - run.percent) / 100.0
    if rest_seconds < RESTART_GAIN_FACTOR * median_seconds:
        return ""
    return (
        f"projected run time {total_seconds:.1f} s; "
        f"median of other runs of the step {median_seconds:.1f} s"
    )


def _average_seconds(shard_state, run):
    """Return the projected run time on an average worker, or None if unknown.

    A run on a slow worker is no straggler: on another worker that is as slow, it would
    take as long. The runs of a gang all have the pace of the slowest.
    """
    total_seconds = projected_seconds(run)
    if total_seconds is None:
        return None
    return total_seconds / shard_state.worker_factor(run)


def projected_seconds(run):
    """Return the time of a whole run at its speed so far, or None if unknown."""
    elapsed_seconds = run.percent_changed_at_seconds - run.progress_since_seconds
    gained_percent = run.percent - run.first_percent
    if elapsed_seconds < OBSERVATION_MINIMUM_SECONDS or gained_percent <= 0:
        return None
    return 100.0 * elapsed_seconds / gained_percent
