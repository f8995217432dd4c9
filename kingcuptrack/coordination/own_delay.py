"""How late this process runs its own tasks.

A process that lacks processor time handles an answer long after it arrived. Without a
measure of its own delay it would take the delay for the silence of a worker.
"""

import anyio
import attrs

from ..logs import log_event

CHECK_INTERVAL_SECONDS = 0.1
# Factor by which the measure decreases with each check that is on time.
DECAY_FACTOR = 0.9
# Delay from which the process is logged as late, and up to which it is not any more.
LATE_SECONDS = 0.25
ON_TIME_SECONDS = 0.1
# A call waits this many times the delay longer: its request and its answer are each
# handled late.
TIMEOUT_FACTOR = 2.0
# Longest extension of a timeout.
LONGEST_EXTENSION_SECONDS = 1.5


@attrs.define(kw_only=True, eq=False)
class OwnDelay:
    """Recent delay of the tasks of this process.

    ``seconds`` is the largest delay of the last checks; older ones count less.
    ``clock`` returns the time of a monotonic clock, and ``observe`` is called with each
    measured delay.
    """

    clock: object
    observe: object
    seconds: float = attrs.field(default=0.0, init=False)
    _is_late: bool = attrs.field(default=False, init=False)

    async def run(self):
        """Measure until cancelled."""
        while True:
            due_at_seconds = self.clock() + CHECK_INTERVAL_SECONDS
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.note(max(0.0, self.clock() - due_at_seconds))

    def note(self, delay_seconds):
        """Record the delay of one check."""
        self.observe(delay_seconds)
        self.seconds = max(delay_seconds, DECAY_FACTOR * self.seconds)
        if not self._is_late and self.seconds >= LATE_SECONDS:
            self._is_late = True
            log_event("delay", outcome="late", delay_seconds=round(self.seconds, 3))
        elif self._is_late and self.seconds <= ON_TIME_SECONDS:
            self._is_late = False
            log_event("delay", outcome="on_time", delay_seconds=round(self.seconds, 3))

    def extend(self, timeout_seconds):
        """Return a timeout after which the other side is late, not this process."""
        extension_seconds = TIMEOUT_FACTOR * self.seconds
        return timeout_seconds + min(extension_seconds, LONGEST_EXTENSION_SECONDS)
