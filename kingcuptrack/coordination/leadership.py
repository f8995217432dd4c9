"""Which instance schedules a shard: a row in the store, taken over when it is stale."""

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

# Several looks within the takeover time.
WATCH_INTERVAL_SECONDS = 0.25
# Many times an ordinary answer.
READ_TIMEOUT_SECONDS = 0.6
# Silence of the leader after which a candidate replaces it; two renewals. A slow store
# delays renewals as well, so that the usual time of a read counts several times.
TAKEOVER_SECONDS = 1.0
TAKEOVER_READS_COUNT = 8
# Weight of the newest read in the usual time of a read.
SMOOTHING_WEIGHT = 0.3
# Spread between candidates, so that one of them usually is alone.
TAKEOVER_SPREAD_SECONDS = 0.3
# A gap between looks that makes an earlier observation worthless: the store may have
# been out of reach for the leader as well.
OBSERVATION_GAP_SECONDS = 1.2
# One for a commit that was under way, one for its repetition.
RELEASE_ATTEMPTS_COUNT = 3


@attrs.define(kw_only=True, eq=False)
class LeadershipCandidate:
    """Watches the leadership row, and leads when nobody else does.

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
        """Watch and lead until `release`."""
        while not self._is_stopping:
            seen = await self._wait_for_vacancy()
            if seen is None:
                return
            chain = await self._take_over(*seen)
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
            # A commit that was under way has applied; or another instance leads.
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
        """Return (record or None, version) once the row may be taken over."""
        seen_version, seen_since, read_at = None, 0.0, float("-inf")
        # Differs between instances, and is the same in every run of a test.
        spread_seconds = random.Random(self.instance_id).uniform(
            0, TAKEOVER_SPREAD_SECONDS
        )
        read_seconds = 0.0
        while not self._is_stopping:
            begun_at = self.clocks.steady()
            outcome = await self._read()
            now = self.clocks.steady()
            read_seconds += SMOOTHING_WEIGHT * (now - begun_at - read_seconds)
            if isinstance(outcome, Done):
                record, version = outcome.value
                if record is None or record.is_released:
                    return record, version
                if record.holder == self.instance_id:
                    # A term of this instance that has ended: no process of it leads.
                    return record, version
                is_gap = now - read_at > OBSERVATION_GAP_SECONDS
                if version != seen_version or is_gap:
                    seen_version, seen_since = version, now
                elif now - seen_since > (
                    TAKEOVER_SECONDS
                    + TAKEOVER_READS_COUNT * read_seconds
                    + spread_seconds
                ):
                    log_event(
                        "leadership",
                        outcome="stale",
                        holder=record.holder,
                        epoch=record.epoch,
                        silence_seconds=round(now - seen_since, 3),
                    )
                    return record, version
                read_at = now
            await anyio.sleep(WATCH_INTERVAL_SECONDS)
        return None

    async def _read(self):
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
        """Write the next epoch; returns the commit chain, or None if that failed."""
        epoch = record.epoch + 1 if record else 1
        key = leadership_key(self.shard)
        begun_at = self.clocks.boottime()
        mine = LeadershipRecord(epoch=epoch, holder=self.instance_id, sequence=0)
        transaction = Transaction(
            expect={key: version}, puts={key: encode_record(mine)}
        )
        outcome = await self.store.transact(
            transaction=transaction, timeout_seconds=TRANSACTION_TIMEOUT_SECONDS
        )
        if isinstance(outcome, Refused) and outcome.code == CONFLICT:
            return None
        if not isinstance(outcome, Done):
            # It may have applied; the next look tells.
            return await self._adopt(mine, begun_at)
        return self._make_chain(epoch, outcome.value, begun_at)

    async def _adopt(self, mine, begun_at):
        """Lead if the row shows that an unanswered take-over has applied."""
        outcome = await self._read()
        if isinstance(outcome, Done) and outcome.value[0] == mine:
            return self._make_chain(mine.epoch, outcome.value[1], begun_at)
        return None

    def _make_chain(self, epoch, version, begun_at):
        return CommitChain(
            store=self.store,
            clocks=self.clocks,
            shard=self.shard,
            holder=self.instance_id,
            epoch=epoch,
            version=version,
            sequence=0,
            renewed_at_seconds=begun_at,
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
                reason=_describe(group),
            )
        finally:
            self._term_scope = None
            self.scheduler = None
            if not self._is_stopping:
                self._chain = None


def _describe(group):
    """Return the text of the first error of nested groups."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)
