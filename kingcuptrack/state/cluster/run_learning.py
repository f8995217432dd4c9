"""What finished and running tasks teach about run times, workers and neighbours."""

import attrs

from .run_observations import RunObservation, kind_of
from .worker_speeds import OWN_PACE_RATIO, project_seconds


class RunLearning:
    """Passes observations of runs to what learns from them.

    Parameters
    ----------
    run_times : RunTimes
    worker_speeds : WorkerSpeeds
    interference : Interference or None
        None unless interference is learned.
    """

    def __init__(self, *, run_times, worker_speeds, interference):
        self._run_times = run_times
        self._worker_speeds = worker_speeds
        self._interference = interference

    def learn_end(self, job, run, neighbour_shares, *, now_seconds):
        """Learn from a run that is done and whose whole run time is known."""
        actual_seconds = now_seconds - run.claimed_at_seconds
        observation = _make_observation(
            self._run_times, job, run, actual_seconds, neighbour_shares
        )
        workers = observation.gang_worker_ids or (run.worker_id,)
        factor = self._worker_speeds.gang_factor(workers, now_seconds=now_seconds)
        self._learn_interference(observation, factor, now_seconds=now_seconds)
        self._worker_speeds.learn(
            self._without_interference(observation), now_seconds=now_seconds
        )
        # Expected run times are those of average workers.
        self._run_times.learn(
            job.submission.queue,
            estimate_seconds=run.estimate_seconds,
            actual_seconds=actual_seconds / factor,
        )

    def _learn_interference(self, observation, worker_factor, *, now_seconds):
        if self._interference is not None and observation.expected_seconds > 0:
            self._interference.learn(
                observation, worker_factor=worker_factor, now_seconds=now_seconds
            )

    def _without_interference(self, observation):
        """Return an observation without the effect of known pairs.

        A worker with noisy runs would seem to be slow.
        """
        if self._interference is None or not self._worker_speeds.is_on:
            return observation
        slowdown = self._interference.slowdown(
            observation.kind, observation.neighbour_shares
        )
        return attrs.evolve(
            observation, actual_seconds=observation.actual_seconds / slowdown
        )

    def learn_progress(self, job, run, *, now_seconds):
        """Learn from the progress of a running task, once it allows a projection.

        Members of a gang have equal work. If their paces differ, each one tells about
        its own worker; equal paces may be that of the slowest member.
        """
        if not self._worker_speeds.is_on or run.is_remote or run.is_projected:
            return
        if project_seconds(run) is None:
            return
        run.is_projected = True
        runs = [run]
        if job.submission.steps[run.ref.step].is_gang:
            members = job.step_runs(run.ref.occurrence, run.ref.step)
            runs = [member for member in members if member.is_projected]
            seconds = [project_seconds(member) for member in runs]
            if max(seconds) < OWN_PACE_RATIO * min(seconds):
                return
        for projected in runs:
            self._worker_speeds.learn_progress(
                _make_observation(
                    self._run_times, job, projected, project_seconds(projected)
                ),
                now_seconds=now_seconds,
            )


def _make_observation(run_times, job, run, actual_seconds, neighbour_shares=None):
    submission = job.submission
    step = submission.steps[run.ref.step]
    step_key = run.ref.job_id, run.ref.occurrence, run.ref.step
    if step.is_gang:
        step_key += (run.number,)
    return RunObservation(
        kind=kind_of(submission.queue, step),
        queue=submission.queue,
        service=submission.service,
        worker_id=run.worker_id,
        expected_seconds=run_times.expect_seconds(
            submission.queue, run.estimate_seconds
        ),
        actual_seconds=actual_seconds,
        gang_worker_ids=run.gang_worker_ids,
        estimate_seconds=run.estimate_seconds,
        step_key=step_key,
        run_key=run.key,
        neighbour_shares=neighbour_shares or {},
    )
