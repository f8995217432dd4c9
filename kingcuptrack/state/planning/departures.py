"""Runs on draining workers that have to move to other workers.

Designed for workers that are removed at short notice: a run that cannot end in time is
stopped while its checkpoint can still be saved, instead of being lost.
"""

# Time that a draining worker is expected to serve beyond its notice.
DEPARTURE_MARGIN_SECONDS = 0.5


def find_runs_past_departure(shard_state, *, now_seconds):
    """Return the runs that cannot end before their worker leaves.

    Parameters
    ----------
    shard_state : ShardState
    now_seconds : float
        Time of the monotonic clock.
    """
    runs = []
    for worker in shard_state.workers.values():
        if worker.leaves_at_seconds is None:
            continue
        latest_seconds = worker.leaves_at_seconds + DEPARTURE_MARGIN_SECONDS
        runs += [
            run
            for run in worker.runs.values()
            if not run.is_stopping
            and shard_state.expected_end_seconds(run, now_seconds) > latest_seconds
        ]
    return runs
