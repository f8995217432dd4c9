"""Commits of the scheduler: a chain of transactions over the leadership row.

Each commit expects the leadership row as the previous commit left it and writes a new
sequence number. A commit without an answer therefore either applies before the next
one or never, and the row tells which.
"""

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused, Unknown
from ..state.records import (
    LeadershipRecord,
    RecordError,
    decode_leadership,
    encode_record,
)
from .ports import CONFLICT, Transaction
from .rows import leadership_key
from .timeouts import AdaptiveTimeout

# Bounds of the wait for an answer: many times an ordinary answer, and the time that
# transactions may queue in the store.
TRANSACTION_TIMEOUT_SECONDS = 0.8
LONGEST_TRANSACTION_SECONDS = 2.5
# Pause before a commit is sent again; about ten ordinary answers.
RETRY_SECONDS = 0.08


class LeadershipLostError(Exception):
    """Another instance has taken over."""


@attrs.frozen(kw_only=True)
class Committed:
    """The transaction applied."""


@attrs.frozen(kw_only=True)
class Superseded:
    """An earlier transaction without an answer applied instead of this one."""


@attrs.frozen(kw_only=True)
class ConditionFailed:
    """Conditions beside the leadership row failed; nothing was changed."""

    rows: dict


@attrs.define(kw_only=True, eq=False)
class CommitChain:
    """Commits of one term of leadership.

    ``version`` is that of the leadership row, ``renewed_at_seconds`` when the last
    applied commit was sent, on the clock that counts suspension.
    """

    store: object
    clocks: object
    shard: object
    holder: str
    epoch: int
    version: int
    sequence: int
    renewed_at_seconds: float
    _timeout: AdaptiveTimeout = attrs.field(
        factory=lambda: AdaptiveTimeout(
            shortest_seconds=TRANSACTION_TIMEOUT_SECONDS,
            longest_seconds=LONGEST_TRANSACTION_SECONDS,
        ),
        init=False,
    )

    async def commit(self, *, expect, puts, removes=()):
        """Apply changes together with the next leadership record.

        Returns
        -------
        Committed, Superseded or ConditionFailed

        Raises
        ------
        LeadershipLostError
        """
        self.sequence += 1
        key = leadership_key(self.shard)
        record = LeadershipRecord(
            epoch=self.epoch, holder=self.holder, sequence=self.sequence
        )
        transaction = Transaction(
            expect={key: self.version, **expect},
            puts={key: encode_record(record), **puts},
            removes=tuple(removes),
        )
        is_lost = False
        while True:
            sent_at = self.clocks.boottime()
            outcome = await self.store.transact(
                transaction=transaction, timeout_seconds=self._timeout.seconds
            )
            if isinstance(outcome, Unknown):
                self._timeout.note_timeout()
            else:
                self._timeout.note_answer(self.clocks.boottime() - sent_at)
            if isinstance(outcome, Done):
                self.version = outcome.value
                self.renewed_at_seconds = sent_at
                self._note_answer(is_lost)
                return Committed()
            if isinstance(outcome, Refused) and outcome.code == CONFLICT:
                self._note_answer(is_lost)
                return self._judge_conflict(outcome.detail, expect)
            if not is_lost:
                is_lost = True
                log_event(
                    "commit",
                    outcome="no_answer",
                    epoch=self.epoch,
                    sequence=self.sequence,
                    reason=outcome.message,
                )
            await anyio.sleep(RETRY_SECONDS)

    def _note_answer(self, was_lost):
        if was_lost:
            log_event(
                "commit", outcome="settled", epoch=self.epoch, sequence=self.sequence
            )

    def _judge_conflict(self, rows, expect):
        row = rows.get(leadership_key(self.shard))
        if row is None or row.version == self.version:
            failed = {
                key: rows.get(key)
                for key, version in expect.items()
                if _version(rows.get(key)) != version
            }
            if row is None and not failed:
                raise LeadershipLostError("the leadership row is gone")
            return ConditionFailed(rows=failed)
        try:
            record = decode_leadership(row.value)
        except RecordError as error:
            raise LeadershipLostError(str(error)) from error
        if record.epoch != self.epoch or record.holder != self.holder:
            raise LeadershipLostError(f"{record.holder} leads in epoch {record.epoch}")
        self.version = row.version
        self.renewed_at_seconds = self.clocks.boottime()
        if record.sequence == self.sequence:
            return Committed()
        return Superseded()


def _version(row):
    return row.version if row is not None else 0
