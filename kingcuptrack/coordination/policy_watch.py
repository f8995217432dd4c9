"""Follows the configuration and decides whether it may still be used."""

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done
from ..state.cluster_policy import ClusterPolicy

# Well below the bound for taking a configuration into use, so that one lost read
# does no harm.
READ_INTERVAL_SECONDS = 0.7
# Many times an ordinary answer.
READ_TIMEOUT_SECONDS = 0.8
# Pause after a read without an answer.
RETRY_SECONDS = 0.15


@attrs.define(kw_only=True, eq=False)
class PolicyWatch:
    """The newest configuration known, and since when it is confirmed.

    ``policy_age_limit_seconds`` is how long after a confirming read requests may be
    answered by it.
    """

    operators: object
    clocks: object
    policy_age_limit_seconds: float
    policy: ClusterPolicy | None = None
    closed_data_centres: frozenset[str] = frozenset()
    _confirmed_at: float = attrs.field(default=float("-inf"), init=False)
    is_reachable: bool = attrs.field(default=True, init=False)

    def age_seconds(self):
        """Return the time since the last confirming read began."""
        return self.clocks.boottime() - self._confirmed_at

    def is_policy_fresh(self):
        """Return whether requests may be answered by the held configuration."""
        return self.policy is not None and (
            self.age_seconds() < self.policy_age_limit_seconds
        )

    async def run(self):
        """Read the operators' rows for ever."""
        while True:
            is_read = await self.refresh()
            await anyio.sleep(READ_INTERVAL_SECONDS if is_read else RETRY_SECONDS)

    async def refresh(self):
        """Read the operators' rows once; returns whether that worked."""
        begun_at = self.clocks.boottime()
        outcome = await self.operators.read(timeout_seconds=READ_TIMEOUT_SECONDS)
        if not isinstance(outcome, Done):
            self._note_reachable(False, reason=outcome.message)
            return False
        self._note_reachable(True)
        self._confirmed_at = max(self._confirmed_at, begun_at)
        read = outcome.value
        if read.policy is not None:
            self.apply(read.policy)
        self._apply_closures(read.closed_data_centres)
        return True

    def apply(self, policy):
        """Take a configuration into use unless a newer one is."""
        if self.policy is not None and policy.row_version <= self.policy.row_version:
            return
        log_event(
            "configuration",
            outcome="applied",
            version=policy.version,
            previous=self.policy.version if self.policy else None,
            age_seconds=round(self.age_seconds(), 3) if self.policy else None,
        )
        self.policy = policy

    def _apply_closures(self, closed):
        if closed != self.closed_data_centres:
            log_event(
                "data_centres",
                outcome="closed" if closed else "open",
                closed=sorted(closed),
                previous=sorted(self.closed_data_centres),
            )
            self.closed_data_centres = closed

    def note_closed(self, data_centre):
        """Take a data centre out that a failed condition has shown to be out."""
        self._apply_closures(self.closed_data_centres | {data_centre})

    def _note_reachable(self, is_reachable, reason=""):
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            log_event(
                "dependency",
                dependency="store",
                outcome="regained" if is_reachable else "lost",
                reason=reason,
                configuration_age_seconds=round(self.age_seconds(), 3),
            )
