"""The order in which waiting units are placed.

Designed for urgent jobs beside patient ones of very different sizes, when not all of
them can be on time: a job that can no longer meet its objective is placed after those
that can.
"""

from ..jobs.steps import GUARANTEED_PRIORITY


def critical_path_seconds(steps, expect):
    """Return the expected run time of the longest chain of dependent steps.

    ``expect`` returns the expected run time of a step's tasks in seconds.
    """
    ends_seconds = []
    for step in steps:
        begin_seconds = max(
            (ends_seconds[earlier] for earlier in step.after), default=0.0
        )
        ends_seconds.append(begin_seconds + expect(step))
    return max(ends_seconds, default=0.0)


def objective_seconds(submission, expect):
    """Return the time in which a job has to end to be on time."""
    path_seconds = critical_path_seconds(submission.steps, expect)
    return submission.stretch * path_seconds + submission.target_latency_seconds


def slack_seconds(unit, wall_seconds, expect):
    """Return how much longer a unit can wait and still meet its objective.

    Negative if the unit can no longer be on time.
    """
    submission = unit.job.submission
    objective_from_seconds = submission.accepted_at_seconds
    if submission.is_timed:
        objective_from_seconds = submission.due_at_seconds(unit.occurrence)
    latest_end_seconds = objective_from_seconds + objective_seconds(submission, expect)
    return latest_end_seconds - wall_seconds - expect(unit.step)


def order_key(unit, *, is_guaranteed, wall_seconds, expect):
    """Return the sort key of a unit.

    Guaranteed work comes first, then other urgent work, then the rest. Within each,
    units that can still be on time come first, by increasing slack.
    """
    slack = slack_seconds(unit, wall_seconds, expect)
    return (
        not is_guaranteed,
        unit.priority != GUARANTEED_PRIORITY,
        slack < 0,
        slack,
        unit.job.submission.job_id,
        unit.occurrence,
        unit.step_number,
    )
