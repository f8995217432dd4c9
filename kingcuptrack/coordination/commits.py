"""Commits of the scheduler: a chain of transactions on the leadership row.

Each commit is conditional on the version of the leadership row that the previous commit
wrote, and writes a new sequence number. An unanswered commit is therefore applied
before the next one or never, and the sequence number in the row shows which.
"""

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused, Unknown
from ..state.jobs.records import (
    LeadershipRecord,
    RecordError,
    decode_leadership,
    encode_record,
)
from .ports import CONFLICT, DENIED, Transaction
from .rows import leadership_key
from .timeouts import AdaptiveTimeout

# Bounds of the timeout of a transaction: many times the usual answer time, and the time
# that transactions may wait in the store's queue.
TRANSACTION_TIMEOUT_SECONDS = 0.8
LONGEST_TRANSACTION_TIMEOUT_SECONDS = 2.5
# Pause before a commit is sent again; about ten times the usual answer time.
RETRY_SECONDS = 0.08


class LeadershipLostError(Exception):
    """Another instance has taken over."""


@attrs.frozen(kw_only=True)
class Committed:
    """The transaction was applied."""


@attrs.frozen(kw_only=True)
class Superseded:
    """An earlier, unanswered transaction was applied instead of this one."""


@attrs.frozen(kw_only=True)
class ConditionFailed:
    """Conditions on other rows than the leadership row failed; nothing changed.

    ``rows`` maps the keys of these conditions to the current rows, or None.
    """

    rows: dict


@attrs.frozen(kw_only=True)
class Denied:
    """The store will never accept this transaction; nothing changed."""

    reason: str


@attrs.define(kw_only=True, eq=False)
class CommitChain:
    """Commits of one term of leadership.

    ``version`` is the version of the leadership row. ``renewed_at_seconds`` is the
    earliest time, on ``Clocks.boottime``, at which the last commit can have been
    applied. ``holder_cores`` and ``is_idle`` are stored with every commit; see
    `LeadershipRecord`.
    """

    store: object
    clocks: object
    shard: object
    holder: str
    epoch: int
    version: int
    sequence: int
    renewed_at_seconds: float
    holder_cores: float = 0.0
    is_idle: bool = False
    _timeout: AdaptiveTimeout = attrs.field(
        factory=lambda: AdaptiveTimeout(
            shortest_seconds=TRANSACTION_TIMEOUT_SECONDS,
            longest_seconds=LONGEST_TRANSACTION_TIMEOUT_SECONDS,
        ),
        init=False,
    )

    async def commit(self, *, expect, puts, removes=()):
        """Commit changes together with the next leadership record.

        Repeats the transaction until it is applied, a condition fails or the store
        denies it.

        Returns
        -------
        Committed, Superseded, ConditionFailed or Denied

        Raises
        ------
        LeadershipLostError
            The leadership row is not of this term any more.
        """
        self.sequence += 1
        key = leadership_key(self.shard)
        record = LeadershipRecord(
            epoch=self.epoch,
            holder=self.holder,
            sequence=self.sequence,
            holder_cores=self.holder_cores,
            is_idle=self.is_idle,
        )
        transaction = Transaction(
            expect={key: self.version, **expect},
            puts={key: encode_record(record), **puts},
            removes=tuple(removes),
        )
        is_unanswered = False
        first_sent_at_seconds = self.clocks.boottime()
        while True:
            sent_at_seconds = self.clocks.boottime()
            outcome = await self.store.transact(
                transaction=transaction, timeout_seconds=self._timeout.seconds
            )
            if isinstance(outcome, Unknown):
                self._timeout.note_timeout()
            else:
                self._timeout.note_answer(self.clocks.boottime() - sent_at_seconds)
            if isinstance(outcome, Done):
                self.version = outcome.value
                self.renewed_at_seconds = sent_at_seconds
                self._log_settled(is_unanswered)
                return Committed()
            if isinstance(outcome, Refused) and outcome.code == CONFLICT:
                self._log_settled(is_unanswered)
                return self._interpret_conflict(
                    outcome.detail, expect, first_sent_at_seconds
                )
            if isinstance(outcome, Refused) and outcome.code == DENIED:
                self._log_settled(is_unanswered)
                log_event(
                    "commit",
                    outcome="denied",
                    epoch=self.epoch,
                    sequence=self.sequence,
                    reason=outcome.message,
                    **_measure(transaction),
                )
                return Denied(reason=outcome.message)
            if not is_unanswered:
                is_unanswered = True
                log_event(
                    "commit",
                    outcome="no_answer",
                    epoch=self.epoch,
                    sequence=self.sequence,
                    reason=outcome.message,
                )
            await anyio.sleep(RETRY_SECONDS)

    def _log_settled(self, was_unanswered):
        if was_unanswered:
            log_event(
                "commit", outcome="settled", epoch=self.epoch, sequence=self.sequence
            )

    def _interpret_conflict(self, rows, expect, first_sent_at_seconds):
        row = rows.get(leadership_key(self.shard))
        if row is None or row.version == self.version:
            failed_rows = {
                key: rows.get(key)
                for key, version in expect.items()
                if _row_version(rows.get(key)) != version
            }
            if row is None and not failed_rows:
                raise LeadershipLostError("the leadership row does not exist")
            return ConditionFailed(rows=failed_rows)
        try:
            record = decode_leadership(row.value)
        except RecordError as error:
            raise LeadershipLostError(str(error)) from error
        if record.epoch != self.epoch or record.holder != self.holder:
            raise LeadershipLostError(f"{record.holder} leads in epoch {record.epoch}")
        self.version = row.version
        if record.sequence == self.sequence:
            # Any of the attempts may have been applied, also the first one: candidates
            # may have seen the row unchanged since then.
            self.renewed_at_seconds = first_sent_at_seconds
            return Committed()
        return Superseded()


def _measure(transaction):
    """Return the sizes of a transaction, for the log."""
    sizes_bytes = {key: len(value) for key, value in transaction.puts.items()}
    largest = max(sizes_bytes, key=sizes_bytes.get)
    return {
        "rows_count": len(transaction.expect)
        + len(transaction.puts)
        + len(transaction.removes),
        "size_bytes": sum(sizes_bytes.values()),
        "largest_row": f"{largest.table}/{largest.key}",
        "largest_row_bytes": sizes_bytes[largest],
    }


def _row_version(row):
    return row.version if row is not None else 0
