"""Health of workers and of jobs, derived from failures.

A worker that fails several different jobs is quarantined; a job that fails on
several healthy workers is itself at fault.
"""

import attrs


@attrs.define(kw_only=True)
class Quarantine:
    """Quarantine of a worker, which gets no work except probes.

    A probe is a job of one task. ``delay_seconds`` is the time to the next probe and
    doubles each time that a probe fails. ``probe_job_id`` is empty while no probe
    runs.
    """

    until_seconds: float
    delay_seconds: float
    probe_job_id: str = ""


@attrs.define(kw_only=True)
class Health:
    """Recent failures, and the quarantined workers.

    Parameters
    ----------
    quarantine_after_jobs_count : int
        Number of different jobs whose failures within ``window_seconds`` quarantine
        a worker.
    fail_job_after_workers_count : int
        Number of healthy workers after whose failures a job is at fault.
    probe_delay_seconds, probe_delay_limit_seconds : float
        First and longest time before a quarantined worker gets a probe.
    probation_after_seconds : float
        Time for which a probe is due before the worker is released without one.
    jobs_limit_count : int
        Number of jobs whose failures are kept.
    """

    quarantine_after_jobs_count: int = 3
    fail_job_after_workers_count: int = 3
    window_seconds: float = 600.0
    probe_delay_seconds: float = 30.0
    probe_delay_limit_seconds: float = 1800.0
    probation_after_seconds: float = 600.0
    jobs_limit_count: int = 10_000
    failures_by_worker: dict[str, dict[str, float]] = attrs.field(factory=dict)
    failed_worker_ids_by_job: dict[str, set[str]] = attrs.field(factory=dict)
    quarantines: dict[str, Quarantine] = attrs.field(factory=dict)


def record_failure(health, worker_id, job_id, *, now_seconds, tasks_failed):
    """Record that a gang failed because of one of its workers.

    ``tasks_failed`` tells whether a task ran and reported an error. Only such failures
    count against the job; the loss of a worker is no sign of a faulty job.

    Returns
    -------
    bool
        Whether the worker is newly quarantined.
    """
    if tasks_failed:
        health.failed_worker_ids_by_job.setdefault(job_id, set()).add(worker_id)
        if len(health.failed_worker_ids_by_job) > health.jobs_limit_count:
            del health.failed_worker_ids_by_job[
                next(iter(health.failed_worker_ids_by_job))
            ]
    quarantine = health.quarantines.get(worker_id)
    if quarantine is not None:
        if quarantine.probe_job_id == job_id:
            _extend_quarantine(health, quarantine, now_seconds)
        return False
    failures = health.failures_by_worker.setdefault(worker_id, {})
    failures[job_id] = now_seconds
    for other_id, failed_seconds in list(failures.items()):
        if failed_seconds < now_seconds - health.window_seconds:
            del failures[other_id]
    if job_fault_reason(health, job_id):
        # The job is at fault, so its failures do not count against the workers.
        for other_failures in health.failures_by_worker.values():
            other_failures.pop(job_id, None)
    if len(failures) < health.quarantine_after_jobs_count:
        return False
    del health.failures_by_worker[worker_id]
    health.quarantines[worker_id] = Quarantine(
        until_seconds=now_seconds + health.probe_delay_seconds,
        delay_seconds=health.probe_delay_seconds,
    )
    return True


def record_success(health, worker_ids, job_id):
    """Record that a gang succeeded; return the workers released from quarantine."""
    health.failed_worker_ids_by_job.pop(job_id, None)
    released = []
    for worker_id in worker_ids:
        health.failures_by_worker.pop(worker_id, None)
        if health.quarantines.pop(worker_id, None):
            released.append(worker_id)
    return released


def start_probe(health, worker_id, job_id):
    """Record that a job of one task is the probe of a quarantined worker."""
    health.quarantines[worker_id].probe_job_id = job_id


def end_probe(health, worker_id, job_id):
    """Allow another probe after one that neither succeeded nor failed."""
    quarantine = health.quarantines.get(worker_id)
    if quarantine is not None and quarantine.probe_job_id == job_id:
        quarantine.probe_job_id = ""


def is_probe_due(health, worker_id, *, now_seconds):
    """Return whether a worker is quarantined and its next probe may start."""
    quarantine = health.quarantines.get(worker_id)
    return (
        quarantine is not None
        and not quarantine.probe_job_id
        and now_seconds >= quarantine.until_seconds
    )


def release_unprobed(health, *, now_seconds):
    """Release workers whose probe did not start in time; return their ids.

    Where only gangs of several tasks run, no job can be a probe, and a worker would
    stay quarantined for good. One failure within ``window_seconds`` of the release
    quarantines it again.
    """
    released = [
        worker_id
        for worker_id, quarantine in health.quarantines.items()
        if not quarantine.probe_job_id
        and now_seconds >= quarantine.until_seconds + health.probation_after_seconds
    ]
    for worker_id in released:
        del health.quarantines[worker_id]
        health.failures_by_worker[worker_id] = {
            f"probation {index}": now_seconds
            for index in range(health.quarantine_after_jobs_count - 1)
        }
    return released


def job_fault_reason(health, job_id):
    """Return why a job is itself at fault, or an empty string.

    Workers that have been quarantined since do not count: they fail other jobs too.
    """
    worker_ids = (
        health.failed_worker_ids_by_job.get(job_id, set()) - health.quarantines.keys()
    )
    if len(worker_ids) < health.fail_job_after_workers_count:
        return ""
    return f"its tasks failed on {len(worker_ids)} healthy workers: " + ", ".join(
        sorted(worker_ids)
    )


def forget_worker(health, worker_id):
    """Remove the record of a worker that restarted or no longer exists."""
    health.failures_by_worker.pop(worker_id, None)
    health.quarantines.pop(worker_id, None)


def forget_job(health, job_id):
    """Remove the failures of a job that ended."""
    health.failed_worker_ids_by_job.pop(job_id, None)


def _extend_quarantine(health, quarantine, now_seconds):
    quarantine.delay_seconds = min(
        2 * quarantine.delay_seconds, health.probe_delay_limit_seconds
    )
    quarantine.until_seconds = now_seconds + quarantine.delay_seconds
    quarantine.probe_job_id = ""
