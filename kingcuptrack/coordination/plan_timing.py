"""When the scheduler plans.

Designed for bursts of events on a large shard: a plan after each of them would take all
of the processor, so that events that come soon after a plan are planned for together.
"""

import attrs

# Interval between plans without an event; the waiting time of jobs changes the plan.
REPLAN_INTERVAL_SECONDS = 0.25
# Largest fraction of the time that planning may take; the rest is left for renewals,
# orders and polls.
PLANNING_SHARE = 0.4


def plan_pause_seconds(plan_seconds):
    """Return the time after a plan in which no further plan is made.

    It keeps planning below `PLANNING_SHARE` of the time, but lasts no longer than
    `REPLAN_INTERVAL_SECONDS`, so that urgent work does not wait for it.
    """
    pause_seconds = plan_seconds * (1 - PLANNING_SHARE) / PLANNING_SHARE
    return min(pause_seconds, REPLAN_INTERVAL_SECONDS)


@attrs.define(kw_only=True, eq=False)
class PlanTiming:
    """Changes that were planned for, and the times of the last and the next plan."""

    shard_state: object
    _planned_changes_count: int = attrs.field(default=-1, init=False)
    _from_seconds: float = attrs.field(default=float("-inf"), init=False)
    _postponed_until_seconds: float = attrs.field(default=float("-inf"), init=False)
    _replan_at_seconds: float = attrs.field(default=float("-inf"), init=False)

    def has_changes(self):
        """Return whether anything may be placed that the last plan could not place."""
        return self.shard_state.placement_changes_count != self._planned_changes_count

    def is_due(self, now_seconds):
        """Return whether to plan now."""
        if now_seconds < max(self._from_seconds, self._postponed_until_seconds):
            return False
        return self.has_changes() or now_seconds >= self._replan_at_seconds

    def wait_seconds(self, now_seconds):
        """Return the time until the next plan, at most `REPLAN_INTERVAL_SECONDS`."""
        plan_at_seconds = max(self._from_seconds, self._postponed_until_seconds)
        if not self.has_changes():
            plan_at_seconds = max(plan_at_seconds, self._replan_at_seconds)
        return min(max(0.0, plan_at_seconds - now_seconds), REPLAN_INTERVAL_SECONDS)

    def begin(self):
        """Note that a plan for all changes so far begins."""
        self._planned_changes_count = self.shard_state.placement_changes_count

    def finish(self, *, started_at_seconds, now_seconds):
        """Note the end of a plan."""
        pause_seconds = plan_pause_seconds(now_seconds - started_at_seconds)
        self._from_seconds = now_seconds + pause_seconds
        self._replan_at_seconds = now_seconds + REPLAN_INTERVAL_SECONDS

    def postpone(self, now_seconds):
        """Note that no plan is possible yet."""
        self._postponed_until_seconds = now_seconds + REPLAN_INTERVAL_SECONDS

    def resume(self):
        """Note that plans may be possible again."""
        self._postponed_until_seconds = float("-inf")

    def request(self):
        """Let the next plan be made although nothing has changed."""
        self._planned_changes_count = -1
