"""What stopping a run wastes, as far as its reports tell."""

from .victims import weighted_cores

# Time that a run takes to restore its checkpoint, as the users state it.
RESTORE_SECONDS = 0.6


def lost_seconds(run, now_seconds, *, expected_seconds):
    """Return the running time that is lost if a run is stopped now.

    Parameters
    ----------
    run : Run
    now_seconds : float
    expected_seconds : float
        Expected run time of the run, from which the work of a run that was inherited
        at a takeover is taken by its reported percent.

    Returns
    -------
    float
        The time since its checkpoint and the restore, in seconds.
    """
    if run.checkpoint_at_seconds is not None:
        return now_seconds - run.checkpoint_at_seconds + RESTORE_SECONDS
    elapsed_seconds = max(0.0, now_seconds - run.claimed_at_seconds)
    if run.checkpoint:
        return elapsed_seconds + RESTORE_SECONDS
    return max(elapsed_seconds, run.percent / 100.0 * expected_seconds)


def lost_core_seconds(run, now_seconds, *, expected_seconds):
    """Return `lost_seconds` times the cores of a run; an accelerator counts as 8."""
    seconds = lost_seconds(run, now_seconds, expected_seconds=expected_seconds)
    return weighted_cores(run.resources) * seconds
