"""Which job makes the store deny a commit.

Designed for limits of the store that are not known here: a denied commit must not be
repeated without an end, since all other jobs wait for it. The procedure is described in
`docs/design/progress-rows.md`.
"""

import attrs

from ..logs import log_event
from .batches import JOBS_PER_COMMIT

# Time for which counts, learned state and the load are not written after a denial.
OPTIONAL_ROWS_PAUSE_SECONDS = 5.0
# Time until the rows of a held job are tried again, and its largest value.
FIRST_HOLD_SECONDS = 5.0
LONGEST_HOLD_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class _Hold:
    seconds: float
    until_seconds: float


@attrs.define(kw_only=True, eq=False)
class DeniedCommits:
    """Denials of one term of leadership, and the jobs held because of them.

    ``jobs_limit_count`` is the largest number of jobs of the next commit. All times are
    passed in.
    """

    shard_state: object
    jobs_limit_count: int = JOBS_PER_COMMIT
    _optional_rows_from_seconds: float = attrs.field(default=float("-inf"), init=False)
    _holds: dict = attrs.field(factory=dict, init=False)

    def allows_optional_rows(self, now_seconds):
        """Return whether rows may be written that can be missing."""
        return now_seconds >= self._optional_rows_from_seconds

    def note_denied(self, job_ids, reason, *, had_optional_rows, now_seconds):
        """Record a denied commit; holds its job if it had only one.

        Parameters
        ----------
        job_ids : sequence of str
            Jobs with rows in the commit.
        reason : str
        had_optional_rows : bool
            Whether it contained rows that can be missing.
        now_seconds : float
        """
        self._optional_rows_from_seconds = now_seconds + OPTIONAL_ROWS_PAUSE_SECONDS
        if had_optional_rows or not job_ids:
            return
        if len(job_ids) > 1:
            self.jobs_limit_count = len(job_ids) // 2
        else:
            self.hold(job_ids[0], reason, now_seconds=now_seconds)

    def hold(self, job_id, reason, *, now_seconds):
        """Start nothing of a job whose rows cannot be stored, longer than last time."""
        self.jobs_limit_count = JOBS_PER_COMMIT
        last = self._holds.get(job_id)
        seconds = FIRST_HOLD_SECONDS
        if last is not None:
            seconds = min(2 * last.seconds, LONGEST_HOLD_SECONDS)
        self._holds[job_id] = _Hold(
            seconds=seconds, until_seconds=now_seconds + seconds
        )
        log_event("held_job", outcome="held", job_id=job_id, reason=reason)
        self.shard_state.set_held(job_id, is_held=True)

    def note_applied(self, job_ids):
        """Record an applied commit, which releases the held jobs that it contained."""
        self.jobs_limit_count = min(2 * self.jobs_limit_count, JOBS_PER_COMMIT)
        for job_id in job_ids:
            if job_id in self._holds:
                self._release(job_id)

    def take_due_job(self, now_seconds):
        """Return a held job whose rows are to be tried again, or an empty string."""
        for job_id, hold in list(self._holds.items()):
            if now_seconds < hold.until_seconds:
                continue
            if job_id in self.shard_state.unstored:
                return job_id
            # All that the store has denied is obsolete.
            self._release(job_id)
        return ""

    def _release(self, job_id):
        del self._holds[job_id]
        log_event("held_job", outcome="released", job_id=job_id)
        self.shard_state.set_held(job_id, is_held=False)
