"""Election of the instance that schedules a shard.

The leader renews a row in the store with every commit; a candidate takes over when the
row has not changed for some time.
"""

import random

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.records import (
    LeadershipRecord,
    RecordError,
    decode_leadership,
    encode_record,
)
from .commits import TRANSACTION_TIMEOUT_SECONDS, CommitChain, LeadershipLostError
from .ports import CONFLICT, Transaction
from .rows import leadership_key

# Interval between reads of the row; several must fit into TAKEOVER_SECONDS.
WATCH_INTERVAL_SECONDS = 0.25
# Many times the usual answer time.
READ_TIMEOUT_SECONDS = 0.6
# Silence of the leader after which a candidate takes over; must exceed two
# `scheduler.RENEWAL_INTERVAL_SECONDS`. A slow store delays the renewals as well, so
# that the smoothed read time is added TAKEOVER_READS_COUNT times.
TAKEOVER_SECONDS = 1.0
TAKEOVER_READS_COUNT = 8
# Weight of the newest read in the smoothed read time.
SMOOTHING_WEIGHT = 0.3
# Largest extra delay of a candidate, so that usually only one of them tries to take
# over.
TAKEOVER_SPREAD_SECONDS = 0.3
# Time without an answered read after which the leader's silence is measured anew: the
# leader may not have reached the store either.
OBSERVATION_GAP_SECONDS = 1.2
# A pending commit and its repetition can each cause one conflict.
RELEASE_ATTEMPTS_COUNT = 3


@attrs.define(kw_only=True, eq=False)
class LeadershipCandidate:
    """Watches the leadership row, and leads when no other instance does.

    ``make_scheduler(chain)`` returns the scheduler of a term.
    """

    store: object
    clocks: object
    shard: object
    instance_id: str
    make_scheduler: object
    scheduler: object = attrs.field(default=None, init=False)
    _chain: CommitChain | None = attrs.field(default=None, init=False)
    _term_scope: object = attrs.field(default=None, init=False)
    _is_stopping: bool = attrs.field(default=False, init=False)

    async def run(self):
        """Watch the row and lead when possible, until `release`."""
        while not self._is_stopping:
            vacancy = await self._wait_for_vacancy()
            if vacancy is None:
                return
            chain = await self._take_over(*vacancy)
            if chain is not None:
                await self._lead(chain)

    async def release(self):
        """Stop scheduling and let another instance take over at once."""
        self._is_stopping = True
        if self._term_scope is not None:
            self._term_scope.cancel()
        chain = self._chain
        if chain is None:
            return
        key = leadership_key(self.shard)
        record = LeadershipRecord(
            epoch=chain.epoch,
            holder=self.instance_id,
            sequence=chain.sequence + 1,
            is_released=True,
        )
        outcome = None
        for _ in range(RELEASE_ATTEMPTS_COUNT):
            transaction = Transaction(
                expect={key: chain.version}, puts={key: encode_record(record)}
            )
            outcome = await self.store.transact(
                transaction=transaction, timeout_seconds=TRANSACTION_TIMEOUT_SECONDS
            )
            if not isinstance(outcome, Refused) or outcome.code != CONFLICT:
                break
            # Either a pending commit of this term was applied, or another instance
            # leads.
            row = outcome.detail.get(key)
            if row is None or decode_leadership(row.value).epoch != chain.epoch:
                break
            chain.version = row.version
        log_event(
            "leadership",
            outcome="released" if isinstance(outcome, Done) else "release_unknown",
            epoch=chain.epoch,
        )

    async def _wait_for_vacancy(self):
        """Return (record or None, version) once leadership may be taken over.

        Returns None after `release`.
        """
        observed_version, unchanged_since_seconds, read_at_seconds = (
            None,
            0.0,
            float("-inf"),
        )
        # Seeded by the id, so that the delay differs between instances but is the same
        # in every run of a test.
        spread_seconds = random.Random(self.instance_id).uniform(
            0, TAKEOVER_SPREAD_SECONDS
        )
        smoothed_read_seconds = 0.0
        while not self._is_stopping:
            started_at_seconds = self.clocks.steady()
            outcome = await self._read_record()
            now_seconds = self.clocks.steady()
            smoothed_read_seconds += SMOOTHING_WEIGHT * (
                now_seconds - started_at_seconds - smoothed_read_seconds
            )
            if isinstance(outcome, Done):
                record, version = outcome.value
                if record is None or record.is_released:
                    return record, version
                if record.holder == self.instance_id:
                    # The row is of an ended term of this instance, so that no process
                    # leads.
                    return record, version
                has_gap = now_seconds - read_at_seconds > OBSERVATION_GAP_SECONDS
                if version != observed_version or has_gap:
                    observed_version, unchanged_since_seconds = version, now_seconds
                elif now_seconds - unchanged_since_seconds > (
                    TAKEOVER_SECONDS
                    + TAKEOVER_READS_COUNT * smoothed_read_seconds
                    + spread_seconds
                ):
                    log_event(
                        "leadership",
                        outcome="stale",
                        holder=record.holder,
                        epoch=record.epoch,
                        silence_seconds=round(now_seconds - unchanged_since_seconds, 3),
                    )
                    return record, version
                read_at_seconds = now_seconds
            await anyio.sleep(WATCH_INTERVAL_SECONDS)
        return None

    async def _read_record(self):
        key = leadership_key(self.shard)
        outcome = await self.store.read(
            table=key.table,
            part=key.part,
            first=key.key,
            last=key.key + "\0",
            timeout_seconds=READ_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done):
            return outcome
        rows = outcome.value.rows
        if not rows:
            return Done(value=(None, 0))
        try:
            record = decode_leadership(rows[0].value)
        except RecordError as error:
            log_event("row", outcome="unreadable", row=str(key), reason=str(error))
            record = None
        return Done(value=(record, rows[0].version))

    async def _take_over(self, record, version):
        """Store the next epoch; returns its commit chain, or None on failure."""
        epoch = record.epoch + 1 if record else 1
        key = leadership_key(self.shard)
        started_at_seconds = self.clocks.boottime()
        new_record = LeadershipRecord(epoch=epoch, holder=self.instance_id, sequence=0)
        transaction = Transaction(
            expect={key: version}, puts={key: encode_record(new_record)}
        )
        outcome = await self.store.transact(
            transaction=transaction, timeout_seconds=TRANSACTION_TIMEOUT_SECONDS
        )
        if isinstance(outcome, Refused) and outcome.code == CONFLICT:
            return None
        if not isinstance(outcome, Done):
            # The transaction may have been applied, which a read of the row shows.
            return await self._confirm_takeover(new_record, started_at_seconds)
        return self._make_chain(epoch, outcome.value, started_at_seconds)

    async def _confirm_takeover(self, new_record, started_at_seconds):
        """Return the commit chain if an unanswered takeover was applied, or None."""
        outcome = await self._read_record()
        if isinstance(outcome, Done) and outcome.value[0] == new_record:
            return self._make_chain(
                new_record.epoch, outcome.value[1], started_at_seconds
            )
        return None

    def _make_chain(self, epoch, version, started_at_seconds):
        return CommitChain(
            store=self.store,
            clocks=self.clocks,
            shard=self.shard,
            holder=self.instance_id,
            epoch=epoch,
            version=version,
            sequence=0,
            renewed_at_seconds=started_at_seconds,
        )

    async def _lead(self, chain):
        log_event("leadership", outcome="taken", epoch=chain.epoch)
        self._chain = chain
        self.scheduler = self.make_scheduler(chain)
        try:
            with anyio.CancelScope() as self._term_scope:
                await self.scheduler.run()
        except* LeadershipLostError as group:
            log_event(
                "leadership",
                outcome="lost",
                epoch=chain.epoch,
                reason=_first_error_text(group),
            )
        finally:
            self._term_scope = None
            self.scheduler = None
            if not self._is_stopping:
                self._chain = None


def _first_error_text(group):
    """Return the text of the first exception in nested exception groups."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)
