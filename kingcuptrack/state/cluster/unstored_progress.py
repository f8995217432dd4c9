"""Rows of the progress of jobs that differ from those in the store.

`docs/design/progress-rows.md` describes the rows and the order in which they are
stored.
"""

import itertools

from ..jobs.progress_parts import find_part, is_needed, list_parts

# The row of a job as a whole, beside the `Part` objects of a divided job.
HEAD = None


class UnstoredProgress:
    """Changed rows, rows to remove, and rows that may exist, by job."""

    def __init__(self):
        # Rows to write by job id, both in the order of their changes.
        self._changed = {}
        # Rows to remove by job id; none of them is needed again.
        self._obsolete = {}
        # Rows that exist in the store, or may exist, by job id.
        self._stored = {}

    @property
    def job_ids(self):
        """Ids of the jobs with rows to write, in the order of their changes."""
        return self._changed.keys()

    def __contains__(self, job_id):
        return job_id in self._changed

    def mark_head(self, job_id):
        """Record a change of the state of a job."""
        self._changed.setdefault(job_id, {})[HEAD] = True

    def mark_task(self, job, ref):
        """Record a change of the progress of a task."""
        self._mark(job, [find_part(ref)] if job.is_divided else [HEAD])

    def mark_step(self, job, ref):
        """Record a change of the progress of all tasks of the step of a task."""
        parts = [HEAD]
        if job.is_divided:
            parts = list_parts(job.submission, ref.occurrence, ref.step)
        self._mark(job, parts)

    def _mark(self, job, rows):
        needed = [row for row in rows if row is HEAD or is_needed(job.progress, row)]
        if not needed:
            return
        job_id = job.submission.job_id
        changed = self._changed.setdefault(job_id, {})
        changed.update(dict.fromkeys(needed, True))
        # Without its head, an earlier version takes a divided job for a new one.
        if HEAD not in self._stored.get(job_id, ()):
            changed[HEAD] = True

    def mark_all(self, job):
        """Record that no row of a job has the form of this version."""
        self.mark_head(job.submission.job_id)
        for occurrence, steps in job.progress.occurrences.items():
            for number in range(len(steps)):
                self._mark(job, list_parts(job.submission, occurrence, number))
        self._mark(job, {find_part(run) for run in job.progress.open_runs.values()})

    def drop_obsolete_parts(self, job, ref=None):
        """Let the rows of parts be removed that are not needed any more.

        Only the part of a task is checked if one is given.
        """
        if not job.is_divided:
            return
        job_id = job.submission.job_id
        changed = self._changed.get(job_id, {})
        stored = self._stored.get(job_id, ())
        for part in {*changed, *stored} if ref is None else {find_part(ref)}:
            if part is not HEAD and not is_needed(job.progress, part):
                changed.pop(part, None)
                if part in stored:
                    self.note_obsolete(job_id, part)
        if not changed:
            self._changed.pop(job_id, None)

    def note_stored(self, job_id, rows):
        """Record rows that exist in the store, or may exist."""
        self._stored.setdefault(job_id, set()).update(rows)

    def note_loaded(self, job_id, stored_rows):
        """Record the `StoredRows` of a job."""
        self.note_stored(job_id, [HEAD] if stored_rows.has_head else [])
        self.note_stored(job_id, stored_rows.parts)
        for part in stored_rows.obsolete_parts:
            self.note_obsolete(job_id, part)

    def note_obsolete(self, job_id, part):
        """Record a row in the store that is not needed."""
        self._obsolete.setdefault(job_id, {})[part] = True

    def list_groups(self, job_id):
        """Return the rows of a job to write, as groups to be stored together.

        These are the parts of each step, and at last the head, which must not be stored
        before them.
        """
        groups, has_head = {}, False
        for row in self._changed.get(job_id, ()):
            if row is HEAD:
                has_head = True
            else:
                groups.setdefault((row.occurrence, row.step), []).append(row)
        return [*map(tuple, groups.values()), *([(HEAD,)] if has_head else [])]

    def find_rows(self, job, refs):
        """Return the rows to write after changes of these tasks."""
        rows = {*self._changed.get(job.submission.job_id, ()), HEAD}
        if job.is_divided:
            rows.update(map(find_part, refs))
        return rows

    def take(self, job_id, rows):
        """Take rows out of those to write, since a commit contains them."""
        self.note_stored(job_id, rows)
        changed = self._changed[job_id]
        for row in rows:
            del changed[row]
        if not changed:
            del self._changed[job_id]

    def restore(self, job, rows):
        """Take rows up again whose commit was not applied, as far as still needed."""
        self._mark(job, rows)

    def find_obsolete(self, limit_count):
        """Return (job id, part) of rows that may be removed, at most so many.

        The head that makes them obsolete is stored, or in the same commit.
        """
        return list(
            itertools.islice(
                (
                    (job_id, part)
                    for job_id, parts in self._obsolete.items()
                    if job_id not in self._changed
                    for part in parts
                ),
                limit_count,
            )
        )

    def note_removed(self, removed):
        """Record that obsolete rows have been removed."""
        for job_id, part in removed:
            self._obsolete[job_id].pop(part, None)
            if not self._obsolete[job_id]:
                del self._obsolete[job_id]
            self._stored.get(job_id, set()).discard(part)

    def has_obsolete(self, job_id):
        """Return whether rows of a job have yet to be removed."""
        return job_id in self._obsolete

    def forget(self, job_id):
        """Forget a job whose rows have been removed."""
        self._stored.pop(job_id, None)
        self._changed.pop(job_id, None)

    def clear(self):
        """Take all rows for stored."""
        self._changed.clear()
