"""Moves work away from workers that leave.

Answers the load of workers that are taken away with a short notice: a run that cannot
end in time is stopped while its checkpoint can still be taken, instead of being lost.
"""

# Workers usually stay a little longer than they promise.
LINGER_SECONDS = 0.5


def find_runs_past_departure(shard_state, *, now_seconds):
    """Return the runs that cannot end before their worker leaves.

    Parameters
    ----------
    shard_state : ShardState
    now_seconds : float
        Steady time.
    """
    doomed = []
    for worker in shard_state.workers.values():
        if worker.leaves_at_seconds is None:
            continue
        latest_seconds = worker.leaves_at_seconds + LINGER_SECONDS
        doomed += [
            run
            for run in worker.runs.values()
            if not run.is_stopping
            and shard_state.expected_end_seconds(run, now_seconds) > latest_seconds
        ]
    return doomed
