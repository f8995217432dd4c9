"""What one commit of the scheduler contains, and what follows from it."""

import attrs

from ..state.records import encode_progress, encode_record
from .rows import cancel_key, job_key, pending_key, progress_key

# Jobs in one transaction, each with a condition and a change, so that it stays below
# the store's 100 entries.
JOBS_PER_COMMIT = 40
# Rows of finished jobs stay this long, so that a late repetition of a submission is
# recognised; the users ask for 120 s of state.
FINISHED_JOB_RETENTION_SECONDS = 600.0


@attrs.frozen(kw_only=True, eq=False)
class Batch:
    """Changes of one commit.

    ``claims`` are started once it has applied. ``ends`` maps a session to the
    (number, life) of the newest end that may be acknowledged then. ``counts`` are the
    waiting jobs by queue that it stores.
    """

    claims: list
    job_ids: tuple
    expect: dict
    puts: dict
    removes: tuple
    counts: dict
    ends: dict


def make_batch(
    shard_state, claims, *, shard, closure_key, sessions, stored_counts, now_seconds
):
    """Collect the changes that have to be stored.

    Parameters
    ----------
    shard_state : ShardState
        Its dirty jobs are taken into the batch, up to a limit.
    claims : list of Run
        Runs that start if the batch applies.
    shard : Shard
    closure_key : callable
        Returns the row whose existence takes a data centre out of service.
    sessions : iterable of Session
    stored_counts : dict or None
        Counts of waiting jobs that are stored already.
    now_seconds : float
        Steady time.

    Returns
    -------
    Batch
    """
    expect, puts = {}, {}
    for run in claims:
        expect[cancel_key(shard, run.ref.job_id)] = 0
        data_centre = shard_state.workers[run.worker_id].entry.data_centre
        expect[closure_key(data_centre)] = 0
    job_ids = {run.ref.job_id: None for run in claims}
    for job_id in sorted(shard_state.dirty_job_ids):
        if len(job_ids) >= JOBS_PER_COMMIT:
            break
        job_ids[job_id] = None
    for job_id in job_ids:
        progress = shard_state.jobs[job_id].progress
        puts[progress_key(shard, job_id)] = encode_progress(progress)
    is_complete = shard_state.dirty_job_ids <= set(job_ids)
    shard_state.dirty_job_ids -= set(job_ids)
    counts = shard_state.count_pending()
    if counts != stored_counts:
        puts[pending_key(shard)] = encode_record(counts)
    return Batch(
        claims=claims,
        job_ids=tuple(job_ids),
        expect=expect,
        puts=puts,
        removes=_find_expired(shard_state, shard, now_seconds),
        counts=counts,
        # Ends of jobs that are not in this batch must not be acknowledged yet.
        ends=_received_ends(sessions) if is_complete else {},
    )


def _received_ends(sessions):
    return {session: (session.received_end, session.life) for session in sessions}


def _find_expired(shard_state, shard, now_seconds):
    """Return the rows of a finished job whose retention has ended."""
    oldest = next(iter(shard_state.finished_jobs.items()), None)
    if oldest is None:
        return ()
    job_id, finished = oldest
    if now_seconds - finished.known_since_seconds <= FINISHED_JOB_RETENTION_SECONDS:
        return ()
    keys = [job_key(shard, job_id), progress_key(shard, job_id)]
    if finished.is_cancelled:
        keys.append(cancel_key(shard, job_id))
    return tuple(keys)
