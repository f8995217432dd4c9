"""In-memory store with transactions over rows, a change feed and injected faults."""

import anyio
import attrs

from kingcuptrack.coordination.ports import (
    BUSY,
    CONFLICT,
    DENIED,
    HISTORY_LOST,
    Row,
    RowsRead,
    Store,
    StoreLimits,
)
from kingcuptrack.outcomes import Done, Refused, Unknown

# Mean delay before the store handles a call.
ANSWER_DELAY_SECONDS = 0.004
# Interval at which a waiting feed checks the history.
FEED_POLL_SECONDS = 0.01
# Default timeout of a feed request beyond the wait that it asks for.
FEED_TIMEOUT_SECONDS = 1.5
# Time after which a client takes new connections, since a request has no answer.
REUSE_SECONDS = 0.75
NO_ANSWER = Unknown(message="no answer")


@attrs.define(kw_only=True)
class StoreFaults:
    """Active faults of the store.

    ``down`` is empty, ``"silent"`` or ``"busy"``; ``cut_callers`` holds the ids of
    the callers that get no answer. A ``lost_share`` of the transactions is applied
    but not answered; a ``late_share`` is not answered and is applied seconds later if
    its conditions still hold. ``slow_factor`` multiplies the answer delay; a
    transaction that is not answered within its timeout is still applied at the end of
    its delay. ``silent_calls`` holds the calls (``read``, ``follow``) that get no
    answer, ``silent_tables`` the tables whose changes are neither applied nor answered,
    ``silent_feed_tables`` the tables whose feed tells no changes, without an error, and
    with ``is_silent_feed_advancing`` a version that is newer than these changes.
    """

    down: str = ""
    cut_callers: set = attrs.field(factory=set)
    lost_share: float = 0.0
    late_share: float = 0.0
    slow_factor: float = 1.0
    silent_calls: set = attrs.field(factory=set)
    silent_tables: set = attrs.field(factory=set)
    silent_feed_tables: set = attrs.field(factory=set)
    is_silent_feed_advancing: bool = False


class RowStore:
    """State of the store; `port` returns the calls through which a caller uses it.

    ``limits`` are its `StoreLimits`. ``denied`` holds a text for each transaction that
    it has denied.
    """

    def __init__(self, *, rng, spawn, limits=None):
        self.rows = {}
        self.limits = limits or StoreLimits()
        self.denied = []
        self.version = 0
        self.faults = StoreFaults()
        # (time, end of the time in which further requests still use the connections).
        self._silences = []
        self._history = []
        self._oldest_kept_version = 0
        self._rng = rng
        self._spawn = spawn
        # By caller, so that the answers to an earlier port of a caller count as well.
        self._links = {}

    def port(self, caller, *, link_bytes_per_second=None):
        """Return the `Store` port of one caller, subject to the faults.

        The answers to a caller pass over its link one after another, each in the time
        that its values take at ``link_bytes_per_second``; None is no limit.
        """
        link = self._links.setdefault(caller, anyio.Lock())

        async def deliver(outcome, *, begin_by_seconds, note_begun=None):
            """Return the outcome when its answer has passed over the link."""
            if link_bytes_per_second is None:
                if note_begun is not None:
                    note_begun()
                return outcome
            is_acquired = False
            with anyio.CancelScope(deadline=begin_by_seconds):
                await link.acquire()
                is_acquired = True
            if not is_acquired:
                return NO_ANSWER
            try:
                if note_begun is not None:
                    note_begun()
                await anyio.sleep(_count_bytes(outcome) / link_bytes_per_second)
            finally:
                link.release()
            return outcome

        async def read(*, table, part, first, last, timeout_seconds, note_begun=None):
            begin_by_seconds = anyio.current_time() + timeout_seconds
            begun_at_seconds = anyio.current_time()
            usual_seconds, delay_seconds = self._draw_delay()
            if delay_seconds > timeout_seconds:
                await anyio.sleep(timeout_seconds)
                return NO_ANSWER
            await anyio.sleep(delay_seconds)
            if self._is_cut_off(caller, "read") or self.is_silent(begun_at_seconds):
                await _sleep_rest(timeout_seconds, delay_seconds, usual_seconds)
                return NO_ANSWER
            outcome = self._find_refusal() or Done(
                value=self.read_range(table, part, first, last)
            )
            return await deliver(
                outcome, begin_by_seconds=begin_by_seconds, note_begun=note_begun
            )

        async def transact(*, transaction, timeout_seconds):
            end_by_seconds = anyio.current_time() + timeout_seconds
            begun_at_seconds = anyio.current_time()
            usual_seconds, delay_seconds = self._draw_delay()
            if delay_seconds > timeout_seconds:
                self._spawn(self._handle_later, caller, transaction, delay_seconds)
                await anyio.sleep(timeout_seconds)
                return NO_ANSWER
            await anyio.sleep(delay_seconds)
            outcome = None
            if not self.is_silent(begun_at_seconds):
                outcome = self._handle(caller, transaction)
            if outcome is None:
                await _sleep_rest(timeout_seconds, delay_seconds, usual_seconds)
                return NO_ANSWER
            if link_bytes_per_second is None:
                return outcome
            with anyio.CancelScope(deadline=end_by_seconds):
                return await deliver(outcome, begin_by_seconds=end_by_seconds)
            return NO_ANSWER

        async def follow(
            *, table, after_version, wait_seconds, timeout_seconds=None, note_begun=None
        ):
            if timeout_seconds is None:
                timeout_seconds = FEED_TIMEOUT_SECONDS
            end_seconds = anyio.current_time() + wait_seconds
            begin_by_seconds = end_seconds + timeout_seconds
            begun_at_seconds = anyio.current_time()
            while True:
                usual_seconds, delay_seconds = self._draw_delay()
                await anyio.sleep(usual_seconds)
                if self._is_cut_off(caller, "follow") or self.is_silent(
                    begun_at_seconds
                ):
                    await anyio.sleep_until(begin_by_seconds)
                    return NO_ANSWER
                outcome = self._find_refusal() or self.read_changes(
                    table, after_version
                )
                if (
                    isinstance(outcome, Refused)
                    or outcome.value.rows
                    or anyio.current_time() >= end_seconds
                ):
                    break
                await anyio.sleep(FEED_POLL_SECONDS)
            if delay_seconds > usual_seconds:
                answer_seconds = anyio.current_time() + delay_seconds - usual_seconds
                await anyio.sleep_until(min(answer_seconds, begin_by_seconds))
                if self.is_silent(begun_at_seconds):
                    await anyio.sleep_until(begin_by_seconds)
                    return NO_ANSWER
                if answer_seconds > begin_by_seconds:
                    return NO_ANSWER
            return await deliver(
                outcome, begin_by_seconds=begin_by_seconds, note_begun=note_begun
            )

        return Store(read=read, transact=transact, follow=follow, limits=self.limits)

    def find_problem(self, transaction):
        """Return which limit a transaction exceeds; empty if it exceeds none."""
        rows_count = sum(
            map(len, (transaction.expect, transaction.puts, transaction.removes))
        )
        if rows_count > self.limits.transaction_rows_count:
            return f"{rows_count} rows"
        sizes_bytes = [len(value) for value in transaction.puts.values()]
        if sum(sizes_bytes) > self.limits.transaction_bytes:
            return f"{sum(sizes_bytes)} bytes"
        if max(sizes_bytes, default=0) > self.limits.row_bytes:
            return f"a row of {max(sizes_bytes)} bytes"
        return ""

    def read_range(self, table, part, first, last):
        """Return the current rows of a range; no upper bound if ``last`` is empty."""
        rows = [
            row
            for key, row in sorted(
                self.rows.items(), key=lambda item: item[0].key.encode()
            )
            if key.table == table
            and key.part == part
            and key.key >= first
            and (not last or key.key < last)
        ]
        return RowsRead(rows=tuple(rows), version=self.version)

    def read_changes(self, table, after_version):
        """Return the outcome of a feed request that does not wait."""
        if after_version < self._oldest_kept_version:
            return Refused(code=HISTORY_LOST)
        if table in self.faults.silent_feed_tables:
            is_advancing = self.faults.is_silent_feed_advancing
            version = self.version if is_advancing else after_version
            return Done(value=RowsRead(rows=(), version=version))
        rows = [
            row
            for row in self._history
            if row.version > after_version and row.key.table == table
        ]
        return Done(value=RowsRead(rows=tuple(rows), version=self.version))

    def apply(self, transaction):
        """Apply a transaction, or refuse it if an expected row version differs."""
        current = {key: self.rows.get(key) for key in transaction.expect}
        if any(
            (row.version if row else 0) != transaction.expect[key]
            for key, row in current.items()
        ):
            detail = {key: row for key, row in current.items() if row}
            return Refused(code=CONFLICT, detail=detail)
        self.version += 1
        for key, value in transaction.puts.items():
            row = Row(key=key, value=value, version=self.version)
            self.rows[key] = row
            self._history.append(row)
        for key in transaction.removes:
            if self.rows.pop(key, None) is not None:
                removed = Row(key=key, value=b"", version=self.version, is_removed=True)
                self._history.append(removed)
        return Done(value=self.version)

    def put(self, key, value):
        """Write a row unconditionally and without faults, as an operator does."""
        self.version += 1
        row = Row(key=key, value=value, version=self.version)
        self.rows[key] = row
        self._history.append(row)

    def remove(self, key):
        """Remove a row unconditionally and without faults."""
        self.version += 1
        if self.rows.pop(key, None) is not None:
            self._history.append(
                Row(key=key, value=b"", version=self.version, is_removed=True)
            )

    def silence_connections(self):
        """Let the open connections of all callers go silent.

        Requests under way have no answer, and neither have those that begin within
        `REUSE_SECONDS`, since they use the same connections. None of them is applied.
        """
        now_seconds = anyio.current_time()
        self._silences.append((now_seconds, now_seconds + REUSE_SECONDS))

    def is_silent(self, begun_at_seconds):
        """Return whether a request that began then is on a silent connection."""
        now_seconds = anyio.current_time()
        return any(
            at_seconds <= now_seconds and begun_at_seconds <= until_seconds
            for at_seconds, until_seconds in self._silences
        )

    def forget_history(self):
        """Drop the history, so that feeds from earlier versions are refused."""
        self._history.clear()
        self._oldest_kept_version = self.version

    def _draw_delay(self):
        """Return the usual delay of an answer in seconds, and that of a slow store."""
        usual_seconds = ANSWER_DELAY_SECONDS * self._rng.uniform(0.5, 1.5)
        return usual_seconds, usual_seconds * self.faults.slow_factor

    def _is_cut_off(self, caller, call=""):
        return (
            caller in self.faults.cut_callers
            or self.faults.down == "silent"
            or call in self.faults.silent_calls
        )

    def _find_refusal(self):
        """Return the outcome of all calls if the store is busy, else None."""
        if self.faults.down == "busy":
            return Refused(code=BUSY, message="busy")
        return None

    def _handle(self, caller, transaction):
        """Handle a transaction; return its outcome, or None if it gets no answer."""
        if self._is_cut_off(caller):
            return None
        refusal = self._find_refusal()
        if refusal is not None:
            return refusal
        problem = self.find_problem(transaction)
        if problem:
            self.denied.append(problem)
            return Refused(code=DENIED, message=problem)
        if any(key.table in self.faults.silent_tables for key in transaction.puts):
            return None
        chance = self._rng.random()
        if chance < self.faults.late_share:
            self._spawn(self._apply_late, transaction)
            return None
        outcome = self.apply(transaction)
        if chance < self.faults.late_share + self.faults.lost_share:
            return None
        return outcome

    async def _handle_later(self, caller, transaction, delay_seconds):
        await anyio.sleep(delay_seconds)
        self._handle(caller, transaction)

    async def _apply_late(self, transaction):
        await anyio.sleep(self._rng.uniform(1.0, 6.0))
        self.apply(transaction)


async def _sleep_rest(timeout_seconds, delay_seconds, usual_seconds):
    """Wait until the timeout of a call without an answer, after its delay.

    The usual delay is not subtracted: the timeout counts from the time at which a store
    that is not slow would have answered.
    """
    await anyio.sleep(timeout_seconds - (delay_seconds - usual_seconds))


def _count_bytes(outcome):
    """Return the size of the values that an answer contains."""
    rows = ()
    if isinstance(outcome, Done) and isinstance(outcome.value, RowsRead):
        rows = outcome.value.rows
    elif isinstance(outcome, Refused) and outcome.code == CONFLICT:
        rows = outcome.detail.values()
    return sum(len(row.value) for row in rows)
