"""Checkpoints of simulated runs: saved periodically while a run works.

A checkpoint is the finished share of the work as text. A stop saves nothing, so that
a run loses what it has done since its latest checkpoint.
"""

# Time that a run takes to restore a checkpoint before it works on.
RESTORE_SECONDS = 0.6


def parse_checkpoint(text):
    """Return the finished share of the work that a checkpoint stands for, 0 to 1."""
    return float(text) if text else 0.0


def restored_seconds(share):
    """Return the time that restoring a finished share takes."""
    return RESTORE_SECONDS if share else 0.0


def latest_checkpoint(run, now, interval_seconds):
    """Return the latest checkpoint of a run; empty if there is none.

    Parameters
    ----------
    run : SimulatedRun
    now : float
    interval_seconds : float
        Work between two checkpoints, in seconds at a rate of 1; 0 for none.
    """
    share = run.resumed_share
    if interval_seconds and run.ends_at is not None:
        saved_count = int(run.worked_seconds(now) / interval_seconds)
        share = min(1.0, share + saved_count * interval_seconds / run.work_seconds)
    return f"{share:.4f}" if share else ""
