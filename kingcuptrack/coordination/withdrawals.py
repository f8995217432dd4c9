"""Marks of jobs that callers were told do not exist, or will not run.

The transaction of a submission may be applied seconds after its caller was answered
that the outcome is unknown. Before a caller is told that there is no such job, a mark
is stored, on the condition that the job has no row; a submission expects the mark that
it knows. Whichever comes first excludes the other. A later request for the same job
replaces a mark that is older than itself.
"""

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done
from .ports import Transaction
from .rows import WITHDRAWALS_TABLE, read_table

# Time for which a mark is kept: many times that after which the store may still apply
# a transaction without an answer.
RETENTION_SECONDS = 60.0
# Interval between reads of the marks; calls to the store are billed.
CLEAN_INTERVAL_SECONDS = 30.0
CALL_TIMEOUT_SECONDS = 2.0
# Pause between two removals, so that they leave the store to others.
REMOVAL_PAUSE_SECONDS = 0.1


@attrs.define(kw_only=True, eq=False)
class WithdrawalCleaner:
    """Removes the marks of a shard that have been kept long enough.

    The time of day of an instance may be wrong, so that the age of a mark is counted
    from when this instance first saw it.
    """

    store: object
    clocks: object
    shard: object
    _seen: dict = attrs.field(factory=dict, init=False)

    async def run(self):
        """Remove marks until cancelled."""
        while True:
            await anyio.sleep(CLEAN_INTERVAL_SECONDS)
            await self.clean()

    async def clean(self):
        """Read all marks, and remove the old ones; what fails is done the next time."""
        outcome = await read_table(
            self.store,
            WITHDRAWALS_TABLE,
            self.shard.part,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done):
            return
        now_seconds = self.clocks.steady()
        # A mark that was written anew has another version.
        self._seen = {
            (row.key, row.version): self._seen.get((row.key, row.version), now_seconds)
            for row in outcome.value.rows
        }
        old = [
            mark
            for mark, seen_at_seconds in self._seen.items()
            if now_seconds - seen_at_seconds >= RETENTION_SECONDS
        ]
        # Each mark is a condition and a change.
        marks_per_call_count = self.store.limits.transaction_rows_count // 2
        for first in range(0, len(old), marks_per_call_count):
            await self._remove(old[first : first + marks_per_call_count])
            await anyio.sleep(REMOVAL_PAUSE_SECONDS)

    async def _remove(self, marks):
        outcome = await self.store.transact(
            transaction=Transaction(
                expect=dict(marks), removes=tuple(key for key, _ in marks)
            ),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        is_removed = isinstance(outcome, Done)
        log_event(
            "withdrawals",
            outcome="removed" if is_removed else "not_removed",
            count=len(marks),
            reason="" if is_removed else outcome.message,
        )
