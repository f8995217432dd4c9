"""Bounds on the scheduler's clock for the leases of a worker's runs."""

import attrs

# Covers a worker's clock that is 2% slow, and rounding.
CLOCK_DRIFT_FACTOR = 1.021
# Covers the delay of the worker's timer and the time to kill all runs after a lapse.
LAPSE_MARGIN_SECONDS = 0.3


@attrs.define(kw_only=True, eq=False)
class LeaseTracker:
    """Tracks the leases granted to one worker.

    Parameters
    ----------
    longest_lease_seconds : float
        Longest lease that a worker accepts.
    lapse_at_seconds : float
        Time on ``Clocks.steady`` by which all leases have lapsed; at first those of
        earlier schedulers.
    """

    longest_lease_seconds: float
    lapse_at_seconds: float
    _life: int = attrs.field(default=0, init=False)
    _clock_seconds: float = attrs.field(default=0.0, init=False)
    _clock_read_at_seconds: float | None = attrs.field(default=None, init=False)
    _latest_deadline_seconds: float = attrs.field(default=0.0, init=False)

    def estimate_worker_clock(self, now_seconds):
        """Return the worker's clock or a little less; None if it is unknown."""
        if self._clock_read_at_seconds is None:
            return None
        return self._clock_seconds + (now_seconds - self._clock_read_at_seconds)

    def note_report(self, report):
        """Update the clock from a report, whose poll also fenced earlier schedulers."""
        if report.life < self._life:
            return
        if report.life > self._life:
            # The worker limits what earlier schedulers granted to the longest lease.
            self._life = report.life
            self._latest_deadline_seconds = (
                report.clock_seconds + self.longest_lease_seconds
            )
        elif (
            self._clock_read_at_seconds is not None
            and report.clock_seconds < self._clock_seconds
        ):
            return
        self._clock_seconds = report.clock_seconds
        self._clock_read_at_seconds = report.received_at_seconds
        self.lapse_at_seconds = self._lapse_bound()

    def grant(self, now_seconds):
        """Grant a lease; returns its deadline on the worker's clock.

        Returns None while the worker's clock is unknown.
        """
        worker_clock_seconds = self.estimate_worker_clock(now_seconds)
        if worker_clock_seconds is None:
            return None
        deadline_seconds = worker_clock_seconds + self.longest_lease_seconds
        self._latest_deadline_seconds = max(
            self._latest_deadline_seconds, deadline_seconds
        )
        self.lapse_at_seconds = max(self.lapse_at_seconds, self._lapse_bound())
        return deadline_seconds

    def _lapse_bound(self):
        """Return the time on ``Clocks.steady`` by which the granted leases lapse."""
        remaining_seconds = max(
            0.0, self._latest_deadline_seconds - self._clock_seconds
        )
        return (
            self._clock_read_at_seconds
            + remaining_seconds * CLOCK_DRIFT_FACTOR
            + LAPSE_MARGIN_SECONDS
        )
