"""Log lines and metrics of finished jobs: whether they were on time, and why not."""

import attrs

from ..logs import log_event
from ..state.cluster.job_phases import split_job_time
from ..state.jobs.progress import JobState
from ..state.planning.ordering import objective_seconds


@attrs.frozen(kw_only=True)
class JobLog:
    """Reports the stored final state of each job once.

    ``run_times`` are the learned run times, from which the objective is derived.
    """

    clocks: object
    metrics: object
    run_times: object

    def note_final_state(self, job, *, now_seconds):
        """Log the stored final state of a job and count it."""
        if job.is_final_logged:
            return
        job.is_final_logged = True
        submission = job.submission
        total_seconds = self.clocks.wall() - submission.accepted_at_seconds
        fields = {}
        is_completed = job.progress.state == JobState.COMPLETED
        if is_completed and not submission.is_timed:
            fields = self._describe_times(
                job, total_seconds=total_seconds, now_seconds=now_seconds
            )
        log_event(
            "job",
            outcome=job.progress.state.value,
            job_id=submission.job_id,
            queue=submission.queue,
            priority=submission.priority,
            reason=job.progress.failure_reason,
            seconds=round(total_seconds, 3),
            **fields,
        )

    def _describe_times(self, job, *, total_seconds, now_seconds):
        submission = job.submission
        objective = objective_seconds(
            submission,
            lambda step: self.run_times.expect_seconds(
                submission.queue, step.estimate_seconds
            ),
        )
        is_on_time = total_seconds <= objective
        times = split_job_time(
            job, total_seconds=total_seconds, now_seconds=now_seconds
        )
        self.metrics.count_completed_job(submission.priority, is_on_time=is_on_time)
        for phase, seconds in times.phases.items():
            self.metrics.observe_job_phase(submission.priority, phase, seconds)
        fields = {
            "objective_seconds": round(objective, 3),
            "is_on_time": is_on_time,
            "phases": {
                phase: round(seconds, 3) for phase, seconds in times.phases.items()
            },
        }
        if times.last_run is not None:
            fields["expected_run_seconds"] = round(times.last_run.expected_seconds, 3)
            fields["slowdown"] = round(times.last_run.slowdown, 2)
        return fields
