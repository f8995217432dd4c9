"""Core-seconds that are lost when runs end early, by cause."""

from ..state.jobs.progress import EndKind
from ..state.planning.wasted_work import lost_core_seconds


class StopCause:
    """Why the scheduler stops a run; values of logs and metrics."""

    RECLAIM = "reclaim"
    STRAGGLER = "straggler"
    DEPARTURE = "departure"
    # Moved away from urgent work that it slows down.
    INTERFERENCE = "interference"
    # Moved to make room for a job that starves.
    DEFRAGMENTATION = "defragmentation"


def count_lost_work(metrics, shard_state, run, end, *, now_seconds):
    """Count a run that has ended, unless it is done, and return fields of its log line.

    Parameters
    ----------
    metrics : PrometheusMetrics
    shard_state : ShardState
    run : Run
    end : EndedRun or None
        None if the worker has not reported the end.
    now_seconds : float

    Returns
    -------
    dict
        ``cause`` is why the scheduler stopped the run, else how it ended;
        ``lost_core_seconds`` counts an accelerator as 8 cores. Empty for a run that is
        done.
    """
    how = end.how if end else EndKind.LAPSED
    if how == EndKind.DONE:
        return {}
    if end and end.checkpoint and end.checkpoint != run.checkpoint:
        # Saved since the latest report.
        run.note_checkpoint(end.checkpoint, now_seconds=now_seconds)
    cause = run.stop_cause or how.value
    lost = lost_core_seconds(
        run, now_seconds, expected_seconds=shard_state.expected_seconds(run)
    )
    metrics.count_lost_work(cause, lost)
    return {"cause": cause, "lost_core_seconds": round(lost, 1)}
