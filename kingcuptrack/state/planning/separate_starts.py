"""Starts of suspected tasks apart from other work.

Designed for tasks that crash the workers that start them: a suspect starts where
nothing else was started shortly before, and where little is lost by a crash. Nothing
else is started there until it is cleared, so that a crash has one possible cause.
"""

import attrs

# Longest time for which a suspect waits for such a worker; guaranteed work must start
# soon.
WAIT_LIMIT_SECONDS = 4.0
GUARANTEED_WAIT_LIMIT_SECONDS = 1.0


@attrs.frozen(kw_only=True, eq=False)
class SeparateStarts:
    """Where suspects may start in one planning pass."""

    shard_state: object
    now_seconds: float
    crashed_addresses: set

    def is_needed(self, unit, *, is_guaranteed):
        """Return whether a unit has to be started apart from other work."""
        if not unit.is_suspect:
            return False
        limit_seconds = WAIT_LIMIT_SECONDS
        if is_guaranteed:
            limit_seconds = GUARANTEED_WAIT_LIMIT_SECONDS
        return self.now_seconds - unit.job.suspects_changed_at_seconds < limit_seconds

    def is_quiet(self, slot, job_id):
        """Return whether a crash of a worker could only be caused by a job."""
        worker = self.shard_state.workers[slot.worker_id]
        return (
            not slot.planned_tasks
            and worker.entry.address not in self.crashed_addresses
            and all(
                run.has_survived or run.ref.job_id == job_id
                for run in worker.runs.values()
            )
        )


def make_separate_starts(shard_state, *, now_seconds):
    """Return the `SeparateStarts` of a planning pass."""
    return SeparateStarts(
        shard_state=shard_state,
        now_seconds=now_seconds,
        crashed_addresses=shard_state.crashed_addresses(now_seconds),
    )
