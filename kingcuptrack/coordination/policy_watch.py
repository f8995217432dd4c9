"""Reads the configuration periodically and tells whether it is recent enough to use."""

import functools

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.cluster.cluster_policy import ClusterPolicy
from ..state.cluster.policy_check import find_problems
from .feed_position import FEED_LAG_SECONDS, FeedPosition
from .hedging import hedge
from .ports import HISTORY_LOST
from .timeouts import AdaptiveTimeout

# Well below the time limit for applying a new configuration, so that one lost read
# does not exceed it.
READ_INTERVAL_SECONDS = 0.7
# Bounds of the time after which a read without an answer is repeated. Until then the
# store counts as reachable.
SHORTEST_HEDGE_DELAY_SECONDS = 0.8
LONGEST_HEDGE_DELAY_SECONDS = 2.5
# Time after which reads without an answer are given up.
READ_LIMIT_SECONDS = 3.0
# Pause after a read that was slow or without an answer.
RETRY_SECONDS = 0.15
# Larger configurations are not read again until the feed tells that they have changed:
# the link of an instance may carry less than one of them in an interval.
WHOLE_READ_LIMIT_BYTES = 65_536
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
    _confirmed_at_seconds: float = attrs.field(default=float("-inf"), init=False)
    _is_confirmed: bool = attrs.field(default=False, init=False)
    _is_answered: bool = attrs.field(default=True, init=False)
    # Start of the read under way, on ``Clocks.boottime``; None if there is none.
    _read_since_seconds: float | None = attrs.field(default=None, init=False)
    _hedge_delay: AdaptiveTimeout = attrs.field(
        factory=lambda: AdaptiveTimeout(
            shortest_seconds=SHORTEST_HEDGE_DELAY_SECONDS,
            longest_seconds=LONGEST_HEDGE_DELAY_SECONDS,
        ),
        init=False,
    )
    _size_bytes: int = attrs.field(default=0, init=False)
    # The closures that reads have told, without those noted by `note_closed`.
    _read_closed_data_centres: frozenset = attrs.field(default=frozenset(), init=False)
    _feed_position: FeedPosition = attrs.field(factory=FeedPosition, init=False)
    # (time of replacement, configuration), oldest first.
    _replaced: list = attrs.field(factory=list, init=False)

    @property
    def is_reachable(self):
        """Whether the store has answered the latest read, or may still do so."""
        if not self._is_answered or self._read_since_seconds is None:
            return self._is_answered
        waited_seconds = self.clocks.boottime() - self._read_since_seconds
        return waited_seconds <= self._hedge_delay.seconds

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
            started_at_seconds = self.clocks.steady()
            is_read = await self.refresh()
            read_seconds = self.clocks.steady() - started_at_seconds
            # What a slow read confirms is old already.
            is_pause = is_read and read_seconds < READ_INTERVAL_SECONDS / 2
            await anyio.sleep(READ_INTERVAL_SECONDS if is_pause else RETRY_SECONDS)

    async def refresh(self):
        """Read the operators' rows once; returns whether the store answered."""
        started_at_seconds = self.clocks.boottime()
        self._read_since_seconds = started_at_seconds
        try:
            is_whole, outcome = await self._read()
        finally:
            self._read_since_seconds = None
        read_seconds = self.clocks.boottime() - started_at_seconds
        if self.metrics is not None:
            self.metrics.observe("configuration_read", read_seconds)
        self._note_answered(isinstance(outcome, Done), outcome)
        if isinstance(outcome, Done):
            self._apply_read(outcome.value, started_at_seconds, is_whole=is_whole)
            if outcome.value.size_bytes <= WHOLE_READ_LIMIT_BYTES:
                self._hedge_delay.note_answer(read_seconds)
        self._note_confirmed(read_seconds)
        return isinstance(outcome, Done)

    async def _read(self):
        """Return whether all rows were read, or only their changes, and the outcome."""
        if self._size_bytes > WHOLE_READ_LIMIT_BYTES:
            follow = functools.partial(
                self.operators.follow,
                after_version=self._feed_position.version,
                closed_data_centres=self._read_closed_data_centres,
            )
            outcome = await self._hedge(follow)
            if not isinstance(outcome, Refused) or outcome.code != HISTORY_LOST:
                return False, outcome
            log_event(
                "feed", outcome="history_lost", version=self._feed_position.version
            )
        return True, await self._hedge(self.operators.read)

    async def _hedge(self, read):
        async def read_and_note(*, timeout_seconds, note_begun):
            def note():
                self._read_since_seconds = None
                note_begun()

            return await read(timeout_seconds=timeout_seconds, note_begun=note)

        return await hedge(
            read_and_note,
            delay_seconds=self._hedge_delay.seconds,
            limit_seconds=READ_LIMIT_SECONDS,
        )

    def _apply_read(self, read, started_at_seconds, *, is_whole):
        confirmed_at_seconds = started_at_seconds
        if not is_whole:
            confirmed_at_seconds -= FEED_LAG_SECONDS
        self._confirmed_at_seconds = max(
            self._confirmed_at_seconds, confirmed_at_seconds
        )
        if read.is_changed:
            self._feed_position.note_changes(read.store_version)
        else:
            self._feed_position.note_no_changes(
                read.store_version,
                begun_at_seconds=started_at_seconds,
                ended_at_seconds=self.clocks.boottime(),
            )
        self._read_closed_data_centres = read.closed_data_centres
        self.store_version = max(self.store_version, read.store_version)
        self._size_bytes = read.size_bytes or self._size_bytes
        if read.policy is not None:
            self.apply(read.policy)
        self._set_closed_data_centres(read.closed_data_centres)

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

    def _note_answered(self, is_answered, outcome):
        if is_answered != self._is_answered:
            self._is_answered = is_answered
            log_event(
                "dependency",
                dependency="store",
                outcome="regained" if is_answered else "lost",
                reason="" if is_answered else outcome.message,
                configuration_age_seconds=round(self.age_seconds(), 3),
            )
