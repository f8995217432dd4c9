"""Expected run times and ends, kept during one planning pass."""

import attrs

from .ordering import slack_seconds


@attrs.define(kw_only=True, eq=False)
class Expectations:
    """Expected run times of units and expected ends of runs."""

    shard_state: object
    now_seconds: float
    wall_seconds: float
    # Expected run times by queue and estimate, expected ends of runs by worker.
    _seconds_by_key: dict = attrs.field(factory=dict, init=False)
    _ends_by_worker: dict = attrs.field(factory=dict, init=False)

    def run_time_estimator(self, unit):
        """Return a function from a step of the unit's job to its expected run time."""
        queue = unit.job.submission.queue

        def expect(step):
            key = queue, step.estimate_seconds
            seconds = self._seconds_by_key.get(key)
            if seconds is None:
                seconds = self.shard_state.expect_task_seconds(*key)
                self._seconds_by_key[key] = seconds
            return seconds

        return expect

    def run_seconds(self, unit):
        """Return the expected run time of a unit's tasks."""
        return self.run_time_estimator(unit)(unit.step)

    def slack_seconds(self, unit):
        """Return how much longer a unit can wait and still meet its objective."""
        return slack_seconds(unit, self.wall_seconds, self.run_time_estimator(unit))

    def times_seconds(self, unit):
        """Return the expected run time and the time left until the objective."""
        expected_seconds = self.run_seconds(unit)
        return expected_seconds, expected_seconds + self.slack_seconds(unit)

    def ends(self, worker_id):
        """Return the (expected end, resources) of the runs of a worker."""
        ends = self._ends_by_worker.get(worker_id)
        if ends is None:
            ends = self._ends_by_worker[worker_id] = [
                (
                    self.shard_state.expected_end_seconds(run, self.now_seconds),
                    run.resources,
                )
                for run in self.shard_state.workers[worker_id].runs.values()
            ]
        return ends
