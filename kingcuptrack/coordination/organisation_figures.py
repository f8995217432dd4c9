"""Metrics of organisations with a weight or a maximum."""

import attrs

from ..state.jobs.steps import NO_RESOURCES

# Interval between updates; metrics are usually read less often.
UPDATE_INTERVAL_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class OrganisationFigures:
    """Shows usage, maximum, weight and waiting work of organisations as metrics."""

    metrics: object
    _updated_at_seconds: float = attrs.field(default=float("-inf"), init=False)

    def update(self, shard_state, policy, waits, *, now_seconds):
        """Update the metrics; ``waits`` holds (unit, reason) of units not placed."""
        if now_seconds < self._updated_at_seconds + UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at_seconds = now_seconds
        waiting = {}
        for unit, _ in waits:
            name = unit.job.submission.organisation
            waiting[name] = waiting.get(name, 0) + unit.gpus_count
        figures = {}
        for name in policy.maxima.keys() | policy.weights.keys():
            used = shard_state.used_by_organisation.get(name, NO_RESOURCES)
            recent = shard_state.recent_usage.amounts(name)
            figures[name, "used_gpus"] = used.gpus_count
            figures[name, "used_cpu_millicores"] = used.cpu_millicores
            figures[name, "used_memory_mb"] = used.memory_mb
            figures[name, "recent_gpus"] = recent.gpus_count
            figures[name, "waiting_gpus"] = waiting.get(name, 0)
            maximum = policy.maxima.get(name, NO_RESOURCES)
            figures[name, "maximum_gpus"] = maximum.gpus_count
            figures[name, "weight"] = policy.weights.get(name, 0.0)
        self.metrics.set_organisations(figures)

    def clear(self):
        """Remove the figures, which the next scheduler shows."""
        self.metrics.set_organisations({})
