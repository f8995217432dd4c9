"""Rows that keep what a scheduler has learned over a change of the leader.

Each subject has one row. Rows are written with commits that happen anyway, so that they
never delay a claim, and a missing or unreadable row only means that a new leader starts
without that knowledge.
"""

import attrs

from ..logs import log_event
from ..outcomes import Done
from ..state.jobs.records import RecordError
from .ports import RowKey
from .rows import read_table

LEARNED_TABLE = "learned"
# Names of subjects, which are keys of their rows: the speed of workers, and the kinds
# of work that slow each other down.
SPEEDS_SUBJECT = "speeds"
INTERFERENCE_SUBJECT = "interference"
# Least time between two writes of one subject; what is learned changes slowly, and
# store writes are shared with the progress of jobs.
WRITE_INTERVAL_SECONDS = 3.0
# Larger rows are not written: the store takes 64 KiB in a row, and a commit 1 MB.
ROW_LIMIT_BYTES = 48_000
# A new scheduler reads the rows once before it plans, so that the wait is short.
READ_TIMEOUT_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class LearnedSubject:
    """Something learned that has a row.

    ``encode`` returns the content of the row. ``restore`` takes it and raises
    `RecordError` if it cannot be read; nothing must have changed then.
    """

    name: str
    encode: object
    restore: object


@attrs.define(kw_only=True, eq=False)
class LearnedRows:
    """The rows of all subjects of one shard."""

    shard: object
    subjects: tuple[LearnedSubject, ...] = ()
    _written: dict = attrs.field(factory=dict, init=False)
    _written_at_seconds: dict = attrs.field(factory=dict, init=False)

    async def load(self, store):
        """Restore all subjects from the store; what cannot be read is logged."""
        if not self.subjects:
            return
        outcome = await read_table(
            store,
            LEARNED_TABLE,
            self.shard.part,
            timeout_seconds=READ_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done):
            log_event("learned", outcome="not_loaded", reason=outcome.message)
            return
        rows = {row.key.key: row.value for row in outcome.value.rows}
        for subject in self.subjects:
            data = rows.get(subject.name)
            if data is None:
                continue
            try:
                subject.restore(data)
            except RecordError as error:
                log_event(
                    "learned",
                    outcome="unreadable",
                    subject=subject.name,
                    reason=str(error),
                )
            else:
                self._written[subject.name] = data
                log_event("learned", outcome="loaded", subject=subject.name)

    def changed_rows(self, now_seconds):
        """Return the rows to write with the next commit, at most one.

        The row counts as written from then on; a commit that fails only delays its next
        write.
        """
        for subject in self.subjects:
            last_seconds = self._written_at_seconds.get(subject.name, float("-inf"))
            if now_seconds - last_seconds < WRITE_INTERVAL_SECONDS:
                continue
            self._written_at_seconds[subject.name] = now_seconds
            data = subject.encode()
            if data == self._written.get(subject.name) or len(data) > ROW_LIMIT_BYTES:
                continue
            self._written[subject.name] = data
            key = RowKey(table=LEARNED_TABLE, part=self.shard.part, key=subject.name)
            return {key: data}
        return {}
