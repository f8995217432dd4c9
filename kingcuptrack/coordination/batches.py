"""Contents of one commit of the scheduler, and what it permits once applied."""

import itertools

import attrs

from ..state.cluster.unstored_progress import HEAD
from ..state.jobs.progress_parts import encode_head, encode_part, list_parts
from ..state.jobs.records import encode_record
from .rows import cancel_key, job_key, pending_key, progress_key

# Jobs in one commit, so that the encoding of their progress does not take long.
JOBS_PER_COMMIT = 40
# Conditions and changes of a commit beside those of jobs: the leadership row, which is
# both, the counts of waiting jobs, learned state, the load, and the rows of an expired
# job.
OTHER_ROWS_COUNT = 8
# Time for which the rows of a finished job are kept, so that a late repetition of its
# submission is recognised. Users require its state for 120 s.
FINISHED_JOB_RETENTION_SECONDS = 600.0


@attrs.frozen(kw_only=True, eq=False)
class Batch:
    """Changes of one commit.

    ``claims`` are the runs to start once the commit is applied, ``deferred_claims``
    those whose rows did not fit: they have to be withdrawn. ``rows`` maps the id of a
    job to its rows that the commit contains, ``oversized`` to the size of a row that no
    commit can contain. ``removed_parts`` are the obsolete rows, as (job id, part).
    ``counts`` are the numbers of waiting jobs by queue, ``count_rows`` the row that
    stores them, if they have changed. ``ends`` maps a session to the (number, life) of
    the newest end that may then be acknowledged.
    """

    claims: list
    deferred_claims: list
    rows: dict
    oversized: dict
    expect: dict
    puts: dict
    removes: tuple
    removed_parts: list
    expired_job_id: str
    counts: dict
    count_rows: dict
    ends: dict

    @property
    def job_ids(self):
        """Ids of the jobs with rows in the commit."""
        return tuple(self.rows)


@attrs.define(kw_only=True)
class CommitRoom:
    """What is left of the limits of a commit."""

    rows_count: int
    size_bytes: int

    @classmethod
    def of_store(cls, limits):
        """Return the room for rows of jobs under the `StoreLimits`."""
        return cls(
            rows_count=limits.transaction_rows_count - OTHER_ROWS_COUNT,
            # Two of the other rows can be as large as a row may be.
            size_bytes=limits.transaction_bytes - 2 * limits.row_bytes,
        )

    def take(self, rows_count, size_bytes=0):
        """Use up a part, unless it is too large; returns whether it fits."""
        if rows_count > self.rows_count or size_bytes > self.size_bytes:
            return False
        self.rows_count -= rows_count
        self.size_bytes -= size_bytes
        return True


class ClaimRoom:
    """Room of the next commit for the claims of a plan.

    Parameters
    ----------
    shard_state : ShardState
    limits : StoreLimits
    jobs_limit_count : int
        Largest number of jobs with claims.
    """

    def __init__(self, *, shard_state, limits, jobs_limit_count):
        self._shard_state = shard_state
        self._jobs_limit_count = jobs_limit_count
        self._rows = {}
        self._data_centres = set()
        self._room = CommitRoom.of_store(limits)

    def take(self, group):
        """Use up the room for a group; returns its placements that fit.

        A gang fits as a whole or not at all.
        """
        ref = group[0].ref
        step = self._shard_state.jobs[ref.job_id].submission.steps[ref.step]
        if step.is_gang:
            return group if self._take_all(group) else []
        return list(itertools.takewhile(lambda item: self._take_all([item]), group))

    def _take_all(self, group):
        job_id = group[0].ref.job_id
        is_new = job_id not in self._rows
        if is_new and len(self._rows) >= self._jobs_limit_count:
            return False
        job = self._shard_state.jobs[job_id]
        refs = [placement.ref for placement in group]
        # All unstored rows of the job are stored with a claim.
        rows = self._shard_state.unstored.find_rows(job, refs)
        rows -= self._rows.get(job_id, set())
        data_centres = {
            self._shard_state.workers[placement.worker_id].entry.data_centre
            for placement in group
        } - self._data_centres
        # A job has one condition, and so has a data centre.
        if not self._room.take(len(rows) + is_new + len(data_centres)):
            return False
        self._rows.setdefault(job_id, set()).update(rows)
        self._data_centres |= data_centres
        return True


def make_batch(
    shard_state,
    claims,
    *,
    shard,
    closure_key,
    sessions,
    stored_counts,
    now_seconds,
    limits,
    jobs_limit_count=JOBS_PER_COMMIT,
    trial_job_id="",
):
    """Collect the changes to store with the next commit.

    Parameters
    ----------
    shard_state : ShardState
        Its unstored rows are included and taken out, as far as they fit.
    claims : list of Run
        Runs to start once the commit is applied.
    shard : Shard
    closure_key : callable
        Returns the key of the row that takes a data centre out of service.
    sessions : iterable of Session
    stored_counts : dict or None
        Numbers of waiting jobs by queue that are already stored.
    now_seconds : float
        Time on ``Clocks.steady``.
    limits : StoreLimits
    jobs_limit_count : int
        Largest number of jobs.
    trial_job_id : str
        A held job whose rows are tried, alone.

    Returns
    -------
    Batch
    """
    writer = _RowWriter(shard_state=shard_state, shard=shard, limits=limits)
    expect, kept_claims, deferred_claims = {}, [], []
    for job_id, runs in _group_by_job(claims).items():
        conditions = {cancel_key(shard, job_id): 0}
        for run in runs:
            data_centre = shard_state.workers[run.worker_id].entry.data_centre
            conditions[closure_key(data_centre)] = 0
        if len(writer.rows) < jobs_limit_count and writer.add_all(
            job_id, conditions_count=len(conditions.keys() - expect.keys())
        ):
            expect.update(conditions)
            kept_claims += runs
        else:
            deferred_claims += runs
    deferred_job_ids = {run.ref.job_id for run in deferred_claims}
    candidates = [trial_job_id] if trial_job_id else list(shard_state.unstored.job_ids)
    for job_id in candidates:
        if len(writer.rows) >= jobs_limit_count:
            break
        if job_id in deferred_job_ids or job_id in writer.rows:
            continue
        if trial_job_id or not shard_state.jobs[job_id].is_held:
            writer.add_fitting(job_id)
    counts = shard_state.count_pending()
    count_rows = {}
    if counts != stored_counts:
        count_rows[pending_key(shard)] = encode_record(counts)
    removed_parts = shard_state.unstored.find_obsolete(writer.room.rows_count)
    expired_job_id, expired_keys = _find_expired_rows(shard_state, shard, now_seconds)
    return Batch(
        claims=kept_claims,
        deferred_claims=deferred_claims,
        rows=writer.rows,
        oversized=writer.oversized,
        expect=expect,
        puts=writer.puts,
        removes=(
            *expired_keys,
            *(progress_key(shard, job_id, part) for job_id, part in removed_parts),
        ),
        removed_parts=removed_parts,
        expired_job_id=expired_job_id,
        counts=counts,
        count_rows=count_rows,
        # Ends must not be acknowledged while the progress of a job is not stored.
        ends={}
        if shard_state.has_storable_changes()
        else _received_ends(sessions, shard_state),
    )


@attrs.define(kw_only=True, eq=False)
class _RowWriter:
    """Encodes rows of jobs into a commit, as far as they fit."""

    shard_state: object
    shard: object
    limits: object
    rows: dict = attrs.field(factory=dict)
    puts: dict = attrs.field(factory=dict)
    oversized: dict = attrs.field(factory=dict)
    room: CommitRoom = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.room = CommitRoom.of_store(self.limits)

    def add_all(self, job_id, *, conditions_count):
        """Add all unstored rows of a job, or none; returns whether they fit."""
        unstored = self.shard_state.unstored
        rows = [row for group in unstored.list_groups(job_id) for row in group]
        return self._add(job_id, rows, conditions_count=conditions_count)

    def add_fitting(self, job_id):
        """Add the unstored rows of a job that fit, in their order."""
        for group in self.shard_state.unstored.list_groups(job_id):
            if not self._add(job_id, group):
                return

    def _add(self, job_id, rows, *, conditions_count=0):
        if len(rows) + conditions_count > self.room.rows_count:
            return False
        puts = {
            progress_key(self.shard, job_id, row): self._encode(job_id, row)
            for row in rows
        }
        largest_bytes = max(map(len, puts.values()), default=0)
        if largest_bytes > self.limits.row_bytes:
            self.oversized[job_id] = largest_bytes
            return False
        size_bytes = sum(map(len, puts.values()))
        if not self.room.take(len(rows) + conditions_count, size_bytes):
            return False
        self.puts.update(puts)
        self.rows[job_id] = (*self.rows.get(job_id, ()), *rows)
        self.shard_state.unstored.take(job_id, rows)
        return True

    def _encode(self, job_id, row):
        job = self.shard_state.jobs[job_id]
        if row is HEAD:
            return encode_head(
                job.progress, job.submission, limit_bytes=self.limits.row_bytes
            )
        # All parts of a step and the head have to fit into one commit.
        rows_count = 1 + len(list_parts(job.submission, row.occurrence, row.step))
        room_bytes = CommitRoom.of_store(self.limits).size_bytes
        limit_bytes = min(self.limits.row_bytes, room_bytes // rows_count)
        return encode_part(job.progress, row, limit_bytes=limit_bytes)


def _group_by_job(claims):
    runs = {}
    for run in claims:
        runs.setdefault(run.ref.job_id, []).append(run)
    return runs


def _received_ends(sessions, shard_state):
    """Return the ends to acknowledge, but those of workers with ends of a held job."""
    return {
        session: (session.received_end, session.life)
        for session in sessions
        if not any(
            job_id in shard_state.unstored for job_id in session.unacknowledged_job_ids
        )
    }


def _find_expired_rows(shard_state, shard, now_seconds):
    """Return the oldest finished job and its keys, if its retention is over."""
    oldest_entry = next(iter(shard_state.finished_jobs.items()), None)
    if oldest_entry is None:
        return "", ()
    job_id, finished = oldest_entry
    if (
        now_seconds - finished.known_since_seconds <= FINISHED_JOB_RETENTION_SECONDS
        or shard_state.unstored.has_obsolete(job_id)
    ):
        return "", ()
    keys = [job_key(shard, job_id), progress_key(shard, job_id)]
    if finished.is_cancelled:
        keys.append(cancel_key(shard, job_id))
    return job_id, tuple(keys)
