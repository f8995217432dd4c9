"""How long the runs of a worker may live, seen from the scheduler's clock."""

import attrs

# The worker's clock may be this much slow (2%), and a little rounding.
DRIFT_FACTOR = 1.021
# Time until the worker has killed everything after a lapse, and its timer's delay.
LAPSE_MARGIN_SECONDS = 0.3


@attrs.define(kw_only=True, eq=False)
class LeaseTracker:
    """Leases granted to one worker.

    Parameters
    ----------
    longest_lease_seconds : float
        Longest lease that a worker grants.
    lapse_at_seconds : float
        Steady time by which all leases of earlier schedulers have lapsed.
    """

    longest_lease_seconds: float
    lapse_at_seconds: float
    _life: int = attrs.field(default=0, init=False)
    _clock: float = attrs.field(default=0.0, init=False)
    _clock_at: float | None = attrs.field(default=None, init=False)
    _latest_deadline: float = attrs.field(default=0.0, init=False)

    def estimate_worker_clock(self, now):
        """Return the worker's clock, at most a little early; None if unknown."""
        if self._clock_at is None:
            return None
        return self._clock + (now - self._clock_at)

    def note_report(self, report):
        """Use the clock of a report, which also fences earlier schedulers."""
        if report.life < self._life:
            return
        if report.life > self._life:
            # Whatever an earlier scheduler has granted, the worker cuts to this.
            self._life = report.life
            self._latest_deadline = report.clock_seconds + self.longest_lease_seconds
        elif self._clock_at is not None and report.clock_seconds < self._clock:
            return
        self._clock = report.clock_seconds
        self._clock_at = report.received_at_seconds
        self.lapse_at_seconds = self._bound()

    def grant(self, now):
        """Return the deadline of a new lease on the worker's clock, or None."""
        clock = self.estimate_worker_clock(now)
        if clock is None:
            return None
        deadline = clock + self.longest_lease_seconds
        self._latest_deadline = max(self._latest_deadline, deadline)
        self.lapse_at_seconds = max(self.lapse_at_seconds, self._bound())
        return deadline

    def _bound(self):
        left = max(0.0, self._latest_deadline - self._clock)
        return self._clock_at + left * DRIFT_FACTOR + LAPSE_MARGIN_SECONDS
