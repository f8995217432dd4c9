"""Log lines and a metric for jobs that starve."""

import attrs

from ..logs import log_event
from ..state.planning.scheduling_units import make_slots
from ..state.planning.starvation import (
    describe_starved_unit,
    find_blocked_jobs,
    find_starved_units,
)

# Interval between lines about the same jobs.
LOG_INTERVAL_SECONDS = 1.0
# Time after which a job without a run is logged.
STARVED_SECONDS = 1.5
# Jobs named at a time, those that starve longest; the number of all is in each line.
LOGGED_UNITS_LIMIT_COUNT = 5


@attrs.define(kw_only=True, eq=False)
class StarvationLog:
    """Shows which jobs starve, what they need, what is free and what is in use."""

    metrics: object
    _updated_at_seconds: float = attrs.field(default=float("-inf"), init=False)

    def update(self, waits, shard_state, policy, *, now_seconds, wall_seconds):
        """Log jobs of which nothing runs; ``waits`` holds (unit, reason) of a plan."""
        if now_seconds < self._updated_at_seconds + LOG_INTERVAL_SECONDS:
            return
        self._updated_at_seconds = now_seconds
        starved = find_starved_units(
            waits,
            shard_state,
            now_seconds=now_seconds,
            wall_seconds=wall_seconds,
            minimum_seconds=STARVED_SECONDS,
        )
        blocked = find_blocked_jobs(
            shard_state, now_seconds=now_seconds, minimum_seconds=STARVED_SECONDS
        )
        self.metrics.set_starved_units(len(starved) + len(blocked))
        for seconds, job, reason in blocked[:LOGGED_UNITS_LIMIT_COUNT]:
            _log_blocked_job(job, reason, seconds=seconds, jobs_count=len(blocked))
        if not starved:
            return
        slots = make_slots(shard_state, policy, now_seconds=now_seconds)
        for seconds, unit, reason in starved[:LOGGED_UNITS_LIMIT_COUNT]:
            item = describe_starved_unit(
                unit, reason, slots, shard_state, seconds=seconds
            )
            _log_starved_unit(item, units_count=len(starved))

    def clear(self):
        """Remove the figures, which the next scheduler shows."""
        self.metrics.set_starved_units(0)


def _log_blocked_job(job, reason, *, seconds, jobs_count):
    log_event(
        "starvation",
        outcome="blocked",
        job_id=job.submission.job_id,
        organisation=job.submission.organisation,
        priority=job.submission.priority,
        reason=reason,
        starved_seconds=round(seconds, 3),
        runs_count=len(job.runs),
        jobs_count=jobs_count,
    )


def _log_starved_unit(item, *, units_count):
    submission = item.unit.job.submission
    step = item.unit.step
    log_event(
        "starvation",
        outcome="fits_twice" if item.fits_twice else "no_room",
        job_id=submission.job_id,
        occurrence=item.unit.occurrence,
        step=item.unit.step_number,
        organisation=submission.organisation,
        priority=item.unit.priority,
        reason=item.reason,
        starved_seconds=round(item.starved_seconds, 3),
        tasks_count=len(item.unit.indexes),
        is_gang=step.is_gang,
        fitting_count=item.fitting_count,
        needed_each=_list_amounts(step.resources),
        free=_list_amounts(item.free),
        capacity=_list_amounts(item.capacity),
        used_share=round(item.used_share, 3),
        usable_workers_count=item.workers_count,
        units_count=units_count,
    )


def _list_amounts(resources):
    """Return thousandths of a core, MB and accelerators."""
    return [resources.cpu_millicores, resources.memory_mb, resources.gpus_count]
