"""Election of the instance that schedules a shard.

The leader renews a row in the store with every commit; a candidate takes over when the
row has not changed for some time. Instances differ in their processor time, and the
scheduler needs more than a small one has: candidates weaker than the last leader wait
for stronger ones, and a stronger candidate replaces a weak leader that is idle.
"""

import random

import anyio
import attrs

from ..errors import log_error
from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.jobs.records import (
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
# The same for instances weaker than the leader, which are most of a large deployment
# and rarely take over. Two must fit into TAKEOVER_SECONDS.
WEAKER_WATCH_INTERVAL_SECONDS = 0.5
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
# An instance is stronger than another if it has this many times its processor time.
STRONGER_FACTOR = 1.5
# Extra delay of a candidate while stronger ones may take over. Must cover an interval
# between their reads; all delays together stay below 2 s.
WEAKER_DELAY_SECONDS = 0.3
# Time without an answered read after which the leader's silence is measured anew: the
# leader may not have reached the store either.
OBSERVATION_GAP_SECONDS = 1.2
# Time for which an instance does not lead again after an unexpected error, so that
# another one leads.
FAILED_TERM_PAUSE_SECONDS = 5.0
# A pending commit and its repetition can each cause one conflict.
RELEASE_ATTEMPTS_COUNT = 3


@attrs.define(kw_only=True, eq=False)
class _RowObservation:
    """How long a candidate has seen the leadership row unchanged."""

    spread_seconds: float
    _version: int | None = None
    _unchanged_since_seconds: float = 0.0
    _read_at_seconds: float = float("-inf")
    _smoothed_read_seconds: float = 0.0

    def note_read(self, seconds):
        """Record the duration of a read, answered or not."""
        self._smoothed_read_seconds += SMOOTHING_WEIGHT * (
            seconds - self._smoothed_read_seconds
        )

    def note_version(self, version, now_seconds):
        """Record the version of the row in an answered read."""
        has_gap = now_seconds - self._read_at_seconds > OBSERVATION_GAP_SECONDS
        if version != self._version or has_gap:
            self._version, self._unchanged_since_seconds = version, now_seconds
        self._read_at_seconds = now_seconds

    def unchanged_seconds(self, now_seconds):
        """Return for how long the row has been seen unchanged."""
        return now_seconds - self._unchanged_since_seconds

    def takeover_seconds(self):
        """Return the silence of a leader after which a candidate takes over."""
        return (
            TAKEOVER_SECONDS
            + TAKEOVER_READS_COUNT * self._smoothed_read_seconds
            + self.spread_seconds
        )


@attrs.define(kw_only=True, eq=False)
class LeadershipCandidate:
    """Watches the leadership row, and leads when no other instance does.

    ``make_scheduler(chain)`` returns the scheduler of a term. ``cores`` is the
    processor time that this instance can use, 0 if unknown.
    """

    store: object
    clocks: object
    shard: object
    instance_id: str
    make_scheduler: object
    cores: float = 0.0
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
        if self._chain is not None:
            await self._release_row(self._chain)

    async def _release_row(self, chain):
        key = leadership_key(self.shard)
        record = LeadershipRecord(
            epoch=chain.epoch,
            holder=self.instance_id,
            sequence=chain.sequence + 1,
            is_released=True,
            holder_cores=self.cores,
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
            if row is None or not _is_of_epoch(row, chain.epoch):
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
        observation = _RowObservation(spread_seconds=self._spread_seconds())
        interval_seconds = WATCH_INTERVAL_SECONDS
        while not self._is_stopping:
            started_at_seconds = self.clocks.steady()
            outcome = await self._read_record()
            now_seconds = self.clocks.steady()
            observation.note_read(now_seconds - started_at_seconds)
            if isinstance(outcome, Done):
                record, version = outcome.value
                observation.note_version(version, now_seconds)
                if self._may_take_over(record, observation, now_seconds):
                    return record, version
                interval_seconds = self._watch_interval_seconds(record)
            await anyio.sleep(interval_seconds)
        return None

    def _watch_interval_seconds(self, record):
        """Return the time until the next read; a released row is read again soon."""
        if self._is_weaker_than_holder(record) and not record.is_released:
            return WEAKER_WATCH_INTERVAL_SECONDS
        return WATCH_INTERVAL_SECONDS

    def _is_weaker_than_holder(self, record):
        return 0 < self.cores * STRONGER_FACTOR <= record.holder_cores

    def _spread_seconds(self):
        # Seeded by the id, so that the delay differs between instances but is the same
        # in every run of a test.
        rng = random.Random(self.instance_id)
        return rng.uniform(0, TAKEOVER_SPREAD_SECONDS)

    def _may_take_over(self, record, observation, now_seconds):
        if record is None or record.holder == self.instance_id:
            # A row of this instance is of an ended term, so that no process leads.
            return True
        delay_seconds = 0.0
        if self._is_weaker_than_holder(record):
            delay_seconds = WEAKER_DELAY_SECONDS
        silence_seconds = observation.unchanged_seconds(now_seconds)
        if record.is_released:
            return silence_seconds >= delay_seconds
        if record.is_idle and self.cores >= STRONGER_FACTOR * record.holder_cores > 0:
            reason = "weak"
        elif silence_seconds > observation.takeover_seconds() + delay_seconds:
            reason = "stale"
        else:
            return False
        log_event(
            "leadership",
            outcome=reason,
            holder=record.holder,
            epoch=record.epoch,
            holder_cores=record.holder_cores,
            cores=self.cores,
            silence_seconds=round(silence_seconds, 3),
        )
        return True

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
        new_record = LeadershipRecord(
            epoch=epoch,
            holder=self.instance_id,
            sequence=0,
            holder_cores=self.cores,
        )
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
            holder_cores=self.cores,
        )

    async def _lead(self, chain):
        log_event("leadership", outcome="taken", epoch=chain.epoch)
        self._chain = chain
        self.scheduler = self.make_scheduler(chain)
        is_failed = False
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
        except* Exception as group:
            is_failed = True
            log_error("leadership", outcome="failed", error=group, epoch=chain.epoch)
        finally:
            self._term_scope = None
            self.scheduler = None
            if not self._is_stopping:
                self._chain = None
        if is_failed and not self._is_stopping:
            await self._release_row(chain)
            await anyio.sleep(FAILED_TERM_PAUSE_SECONDS)


def _is_of_epoch(row, epoch):
    try:
        return decode_leadership(row.value).epoch == epoch
    except RecordError as error:
        log_event("row", outcome="unreadable", row=str(row.key), reason=str(error))
        return False


def _first_error_text(group):
    """Return the text of the first exception in nested exception groups."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)
