"""Log lines of the scheduler's decisions."""

import attrs

from ..errors import log_error
from ..logs import log_event


@attrs.define(kw_only=True, eq=False)
class DecisionLog:
    """Logs decisions, each wait only once until the kind of its reason changes."""

    # Reasons already logged for waiting work, by (job id, occurrence, step).
    _logged_wait_reasons: dict = attrs.field(factory=dict, init=False)
    # Texts of the errors logged for work that cannot be planned, by the same key.
    _logged_plan_errors: dict = attrs.field(factory=dict, init=False)
    _is_list_old: bool = attrs.field(default=False, init=False)

    def log_worker_list(self, is_old, age_seconds):
        """Log that plans wait for a newer worker list, or do not any more."""
        if is_old == self._is_list_old:
            return
        self._is_list_old = is_old
        log_event(
            "dependency",
            outcome="lost" if is_old else "regained",
            dependency="worker list",
            reason="plans wait for a newer list" if is_old else "",
            age_seconds=round(age_seconds, 3),
        )

    def log_plan_errors(self, errors):
        """Log why work cannot be planned; ``errors`` holds (unit, error) of a plan.

        An error is logged again only if the work could be planned meanwhile.
        """
        texts = {}
        for unit, error in errors:
            key = unit.job.submission.job_id, unit.occurrence, unit.step_number
            texts[key] = repr(error)
            if self._logged_plan_errors.get(key) != texts[key]:
                log_error(
                    "plan",
                    outcome="failed",
                    error=error,
                    job_id=unit.job.submission.job_id,
                    step=unit.step_number,
                )
        self._logged_plan_errors = texts

    def log_waits(self, waits, *, workers_count, list_age_seconds, now_seconds):
        """Log why work is waiting; ``waits`` holds (unit, reason).

        Returns the longest wait in seconds by priority.
        """
        reasons, longest = {}, {}
        for unit, reason in waits:
            waited_seconds = now_seconds - unit.job.ready_since_seconds
            longest[unit.priority] = max(longest.get(unit.priority, 0), waited_seconds)
            key = unit.job.submission.job_id, unit.occurrence, unit.step_number
            kind = reason.partition(",")[0]
            reasons[key] = kind
            if self._logged_wait_reasons.get(key) == kind:
                continue
            log_event(
                "wait",
                outcome="not_placed",
                job_id=unit.job.submission.job_id,
                step=unit.step_number,
                priority=unit.priority,
                reason=reason,
                tasks_count=len(unit.indexes),
                gpus_each=unit.step.resources.gpus_count,
                workers_count=workers_count,
                list_age_seconds=round(list_age_seconds, 3),
                waited_seconds=round(waited_seconds, 3),
            )
        self._logged_wait_reasons = reasons
        return longest


def log_placement(group, *, waited_seconds, configuration_version):
    """Log the workers claimed for the placements of a unit."""
    log_event(
        "placement",
        outcome="claimed",
        job_id=group[0].ref.job_id,
        step=group[0].ref.step,
        run=group[0].run_number,
        workers=[placement.worker_id for placement in group],
        reason=group[0].reason,
        waited_seconds=round(waited_seconds, 3),
        configuration=configuration_version,
    )


def log_stop(run, reason, *, cause):
    """Log that a run is to be stopped."""
    log_event(
        "preempt",
        outcome="stopping",
        task=str(run.ref),
        run=run.number,
        worker_id=run.worker_id,
        priority=run.priority,
        cause=cause,
        reason=reason,
    )


def log_crash(worker_id, finding):
    """Log that a worker has crashed, and which tasks may have caused it."""
    log_event(
        "crash",
        outcome="cause_found" if finding.given_up else "suspects",
        worker_id=worker_id,
        tasks=[str(ref) for ref in finding.suspects],
        reason="; ".join(finding.given_up.values()),
    )


def log_estimate_failure(failure):
    """Log that an estimate raised errors, so that something else took its place."""
    log_error(
        "estimate",
        outcome="failed",
        name=failure.name,
        count=failure.count,
        reason=failure.reason,
    )


def log_restored_run(run):
    """Log that a task was held without a run, which was recreated."""
    log_error(
        "run",
        outcome="restored",
        task=str(run.ref),
        run=run.number,
        worker_id=run.worker_id,
        reason="its task was held although no run was known",
    )


def log_pair(finding):
    """Log that a pair of interfering kinds was learned or dropped."""
    log_event(
        "interference",
        outcome="learned" if finding.is_learned else "dropped",
        kind=finding.pair.kind,
        neighbour=finding.pair.neighbour,
        factor=round(finding.pair.factor, 2),
        deviations=round(finding.pair.deviations, 1),
    )


def log_speed(worker_id, factor, *, is_slow):
    """Log that a worker has become slow by its learned factor, or is not any more."""
    log_event(
        "speed",
        outcome="slow" if is_slow else "usual",
        worker_id=worker_id,
        factor=round(factor, 2),
    )
