"""Reads the configuration periodically and tells whether it is recent enough to use."""

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done
from ..state.cluster.cluster_policy import ClusterPolicy
from ..state.cluster.policy_check import find_problems

# Well below the time limit for applying a new configuration, so that one lost read
# does not exceed it.
READ_INTERVAL_SECONDS = 0.7
# Many times the usual answer time.
READ_TIMEOUT_SECONDS = 0.8
# Pause after a read without an answer.
RETRY_SECONDS = 0.15
# Findings of a configuration that are logged when it is applied; the check command
# shows all of them.
LOGGED_FINDINGS_LIMIT_COUNT = 5
# Time within which a configuration takes effect at every instance. Until then, others
# may still answer by the earlier one.
EFFECT_LIMIT_SECONDS = 3.0


@attrs.define(kw_only=True, eq=False)
class PolicyWatch:
    """The newest known configuration, and when a read last confirmed it.

    ``policy_age_limit_seconds`` is the time after the last confirming read for which
    requests may be answered by the configuration. ``closed_data_centres`` are those
    that operators have taken out of service. ``store_version`` is the newest version of
    the store that was read: what is written later has a higher one. ``metrics`` takes
    the durations of reads, unless it is None.
    """

    operators: object
    clocks: object
    policy_age_limit_seconds: float
    policy: ClusterPolicy | None = None
    closed_data_centres: frozenset[str] = frozenset()
    store_version: int = 0
    metrics: object = None
    _size_bytes: int = attrs.field(default=0, init=False)
    _is_confirmed: bool = attrs.field(default=False, init=False)
    _confirmed_at_seconds: float = attrs.field(default=float("-inf"), init=False)
    is_reachable: bool = attrs.field(default=True, init=False)
    # (time of replacement, configuration), oldest first.
    _replaced: list = attrs.field(factory=list, init=False)

    def age_seconds(self):
        """Return the time since the last confirming read began."""
        return self.clocks.boottime() - self._confirmed_at_seconds

    def is_policy_fresh(self):
        """Return whether requests may be answered by the known configuration."""
        return self.policy is not None and (
            self.age_seconds() < self.policy_age_limit_seconds
        )

    def policies_in_force(self):
        """Return the known configurations that an instance may act by, newest first.

        These are the newest one and those that it replaced within
        `EFFECT_LIMIT_SECONDS`.
        """
        oldest_seconds = self.clocks.boottime() - EFFECT_LIMIT_SECONDS
        self._replaced = [
            (replaced_at_seconds, policy)
            for replaced_at_seconds, policy in self._replaced
            if replaced_at_seconds > oldest_seconds
        ]
        newest = () if self.policy is None else (self.policy,)
        return newest + tuple(policy for _, policy in reversed(self._replaced))

    async def run(self):
        """Read the operators' rows periodically until cancelled."""
        while True:
            is_read = await self.refresh()
            await anyio.sleep(READ_INTERVAL_SECONDS if is_read else RETRY_SECONDS)

    async def refresh(self):
        """Read the operators' rows once; returns whether the store answered."""
        started_at_seconds = self.clocks.boottime()
        outcome = await self.operators.read(timeout_seconds=READ_TIMEOUT_SECONDS)
        read_seconds = self.clocks.boottime() - started_at_seconds
        if self.metrics is not None:
            self.metrics.observe("configuration_read", read_seconds)
        if not isinstance(outcome, Done):
            self._note_reachable(False, reason=outcome.message)
            self._note_confirmed(read_seconds)
            return False
        self._note_reachable(True)
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, started_at_seconds)
        read = outcome.value
        self.store_version = max(self.store_version, read.store_version)
        self._size_bytes = read.size_bytes
        if read.policy is not None:
            self.apply(read.policy)
        self._set_closed_data_centres(read.closed_data_centres)
        self._note_confirmed(read_seconds)
        return True

    def apply(self, policy):
        """Use a configuration unless one at least as new is already in use."""
        if self.policy is not None and policy.row_version <= self.policy.row_version:
            return
        log_event(
            "configuration",
            outcome="applied",
            version=policy.version,
            previous=self.policy.version if self.policy else None,
            age_seconds=round(self.age_seconds(), 3) if self.policy else None,
            size_bytes=self._size_bytes,
        )
        for finding in find_problems(policy)[:LOGGED_FINDINGS_LIMIT_COUNT]:
            log_event("configuration", outcome="finding", reason=str(finding))
        if self.policy is not None:
            self._replaced.append((self.clocks.boottime(), self.policy))
        self.policy = policy

    def _set_closed_data_centres(self, closed):
        if closed != self.closed_data_centres:
            log_event(
                "data_centres",
                outcome="closed" if closed else "open",
                closed=sorted(closed),
                previous=sorted(self.closed_data_centres),
            )
            self.closed_data_centres = closed

    def note_closed(self, data_centre):
        """Record that a data centre is out of service, as a failed condition showed."""
        self._set_closed_data_centres(self.closed_data_centres | {data_centre})

    def _note_confirmed(self, read_seconds):
        """Log when callers can no longer be answered by the configuration, or again."""
        is_confirmed = self.is_policy_fresh()
        if is_confirmed != self._is_confirmed:
            self._is_confirmed = is_confirmed
            log_event(
                "configuration",
                outcome="confirmed" if is_confirmed else "unconfirmed",
                version=self.policy.version if self.policy else None,
                age_seconds=round(self.age_seconds(), 3),
                size_bytes=self._size_bytes,
                read_seconds=round(read_seconds, 3),
            )

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
