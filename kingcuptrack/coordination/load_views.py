"""The row with the load of a shard: written by the leader, read by all instances.

The row is never needed: a missing, unreadable or old view only means that no job is
refused for lack of capacity.
"""

import attrs

from ..errors import log_error
from ..logs import log_event
from ..outcomes import Done
from ..state.jobs.records import RecordError
from ..state.planning.load_view import decode_load_view, encode_load_view
from .rows import load_view_key

# Least time between two writes, and between two reads by an instance: calls to the
# store are billed, and waits that matter are tens of seconds.
INTERVAL_SECONDS = 1.0
# Larger rows are not written: the store takes 64 KiB in a row.
ROW_LIMIT_BYTES = 48_000
# Age from which a view tells nothing: the leader may have changed.
AGE_LIMIT_SECONDS = 5.0
# A submission waits this long for the view at most; the usual answer takes a few
# milliseconds.
READ_TIMEOUT_SECONDS = 0.25


@attrs.define(kw_only=True, eq=False)
class LoadViewWriter:
    """Adds the view of the leader to its commits.

    ``make_view`` takes the previous view, or None, and returns a `LoadView`; it is None
    if views are switched off.
    """

    shard: object
    make_view: object
    _view: object = attrs.field(default=None, init=False)
    _written_at_seconds: float = attrs.field(default=float("-inf"), init=False)

    def due_rows(self, now_seconds):
        """Return the row to write with the next commit, if one is due.

        The row counts as written from then on; a commit that fails only delays its next
        write.
        """
        if self.make_view is None:
            return {}
        if now_seconds - self._written_at_seconds < INTERVAL_SECONDS:
            return {}
        self._written_at_seconds = now_seconds
        try:
            self._view = self.make_view(self._view)
            data = encode_load_view(self._view)
        except Exception as error:
            # The commits that carry the row must go on without it.
            log_error("load_view", outcome="failed", error=error)
            self._view = None
            return {}
        if len(data) > ROW_LIMIT_BYTES:
            log_event("load_view", outcome="too_large", bytes_count=len(data))
            return {}
        return {load_view_key(self.shard): data}


@attrs.define(kw_only=True, eq=False)
class LoadViewReader:
    """Copy of the view at an instance."""

    store: object
    clocks: object
    shard: object
    _view: object = attrs.field(default=None, init=False)
    # When this content of the row was first seen, and when a read was last begun, on
    # ``Clocks.boottime``.
    _seen_at_seconds: float = attrs.field(default=float("-inf"), init=False)
    _read_at_seconds: float = attrs.field(default=float("-inf"), init=False)
    _is_reading: bool = attrs.field(default=False, init=False)

    async def current(self):
        """Return a view that is recent enough to decide by, or None.

        Reads the row if the copy is old and no read is under way; other callers do not
        wait for that read.
        """
        since_read_seconds = self.clocks.boottime() - self._read_at_seconds
        if not self._is_reading and since_read_seconds >= INTERVAL_SECONDS:
            await self._read()
        age_seconds = self.age_seconds()
        return self._view if abs(age_seconds) <= AGE_LIMIT_SECONDS else None

    def age_seconds(self):
        """Return the age of the copy; infinite without one.

        The clock of the leader may differ, so that the time since this content was
        first seen is the least age. A view from the future has a negative age.
        """
        if self._view is None:
            return float("inf")
        seen_seconds = self.clocks.boottime() - self._seen_at_seconds
        wall_age_seconds = self.clocks.wall() - self._view.made_at_seconds
        if wall_age_seconds < -AGE_LIMIT_SECONDS:
            return wall_age_seconds
        return max(seen_seconds, wall_age_seconds)

    async def _read(self):
        self._is_reading = True
        self._read_at_seconds = self.clocks.boottime()
        key = load_view_key(self.shard)
        try:
            outcome = await self.store.read(
                table=key.table,
                part=key.part,
                first=key.key,
                last=key.key + "\0",
                timeout_seconds=READ_TIMEOUT_SECONDS,
            )
        finally:
            self._is_reading = False
        if isinstance(outcome, Done):
            self._apply(outcome.value.rows)

    def _apply(self, rows):
        try:
            view = decode_load_view(rows[0].value) if rows else None
        except RecordError as error:
            log_event("load_view", outcome="unreadable", reason=str(error))
            view = None
        if view is not None and (
            self._view is None or view.made_at_seconds != self._view.made_at_seconds
        ):
            self._seen_at_seconds = self.clocks.boottime()
        self._view = view
