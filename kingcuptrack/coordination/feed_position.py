"""The version from which a change feed is continued."""

import attrs

# Time for which a feed may tell no changes before the store refuses it.
FEED_LAG_SECONDS = 1.0


@attrs.define(kw_only=True)
class FeedPosition:
    """Position in the change feed of a table.

    An answer without changes may hide some up to the version that it tells. It counts
    only once a request that began `FEED_LAG_SECONDS` later has told none either.
    """

    version: int = 0
    # (time, version) of an answer without changes that does not count yet.
    _unchanged_at: tuple | None = attrs.field(default=None, init=False)

    def note_changes(self, version):
        """Record an answer with changes, or a read of the whole table."""
        self.version = version
        self._unchanged_at = None

    def note_no_changes(self, version, *, begun_at_seconds, ended_at_seconds):
        """Record the answer without changes to a request that began and ended then."""
        if self._unchanged_at is None:
            self._unchanged_at = ended_at_seconds, version
            return
        unchanged_at_seconds, unchanged_version = self._unchanged_at
        if begun_at_seconds >= unchanged_at_seconds + FEED_LAG_SECONDS:
            self.version = max(self.version, unchanged_version)
            self._unchanged_at = ended_at_seconds, version
