"""Timeouts that adapt to the answer times of a service."""

import attrs

# Ratio of the timeout to the smoothed answer time.
TIMEOUT_FACTOR = 4.0
# Weight of the newest answer in the smoothed answer time.
SMOOTHING_WEIGHT = 0.2


@attrs.define(kw_only=True)
class AdaptiveTimeout:
    """Multiple of the smoothed answer time, between two bounds.

    While a service is slow, calls are not repeated before it can have answered. While
    it is fast, a connection without answers is abandoned soon.
    """

    shortest_seconds: float
    longest_seconds: float
    _smoothed_seconds: float = attrs.field(default=0.0, init=False)

    @property
    def seconds(self):
        """Timeout of the next call."""
        timeout_seconds = TIMEOUT_FACTOR * self._smoothed_seconds
        return min(self.longest_seconds, max(self.shortest_seconds, timeout_seconds))

    def note_answer(self, seconds):
        """Record the answer time of a call."""
        self._smoothed_seconds += SMOOTHING_WEIGHT * (seconds - self._smoothed_seconds)

    def note_timeout(self):
        """Double the smoothed answer time after a call without an answer."""
        self._smoothed_seconds = min(
            self.longest_seconds, 2 * max(self._smoothed_seconds, self.seconds / 4)
        )
