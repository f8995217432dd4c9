"""The scheduler's view of jobs, runs and workers.

Pure state: events go in as method calls with the time, nothing here does I/O. Every
run that may exist at a worker occupies its capacity until its end is certain.
"""

from enum import StrEnum

import attrs

from .progress import JobProgress, JobState, record_end, update_state
from .reports import WorkerEntry
from .run_times import RunTimes
from .steps import NO_RESOURCES, Resources, Submission, TaskRef

# A task takes this many times as long outside its rack, unless the settings say
# otherwise; the value of the deployments known so far.
DEFAULT_REMOTE_FACTOR = 3.0
# A worker whose last ends are failures of this many different jobs is suspected of
# failing everything. One job alone may be at fault itself.
SUSPECT_JOBS_COUNT = 2
# Time until a suspected worker gets work again; several times a short task.
SUSPECT_SECONDS = 8.0
# Time without new work after a worker has refused to start a task.
REFUSAL_PAUSE_SECONDS = 1.0


class RunPhase(StrEnum):
    """What is known of a run."""

    CLAIMED = "claimed"  # not committed yet; no order was sent
    ORDERED = "ordered"  # committed; the start order may be under way
    UNSETTLED = "unsettled"  # the order had no answer, or was sent by another leader
    CONFIRMED = "confirmed"  # the worker has it


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task at a worker.

    ``is_remote`` means that it runs outside the rack where it would be fastest,
    ``is_own_start`` that this scheduler has seen it begin, without a checkpoint.
    Progress counts from ``first_percent`` at ``progress_since_seconds``, when the
    worker first reported it. ``confirmed_clock_seconds`` is the worker's clock when
    it had the run. ``token`` is the fencing token of its start order.
    """

    ref: TaskRef
    number: int
    worker_id: str
    resources: Resources
    priority: int
    estimate_seconds: float
    has_checkpoints: bool = False
    is_remote: bool = False
    is_own_start: bool = False
    phase: RunPhase = RunPhase.CLAIMED
    claimed_at_seconds: float = 0.0
    confirmed_clock_seconds: float = 0.0
    token: int = 0
    checkpoint: str = ""
    is_progress_known: bool = False
    first_percent: int = 0
    progress_since_seconds: float = 0.0
    percent: int = 0
    percent_at_seconds: float = 0.0
    is_stopping: bool = False
    stop_reason: str = ""

    @property
    def key(self):
        """Identity of the run."""
        return self.ref, self.number


@attrs.define(kw_only=True, eq=False)
class Worker:
    """A worker, what runs there and how far it can be trusted.

    ``entry`` is None while the platform does not list the worker; ``last_entry`` is
    the entry that it had last. ``life`` of 0 means that it has not answered since
    this scheduler took over. ``leaves_at_seconds`` is when a draining worker may
    leave.
    """

    worker_id: str
    entry: WorkerEntry | None = None
    last_entry: WorkerEntry | None = None
    life: int = 0
    answered_at_seconds: float = float("-inf")
    runs: dict[tuple[TaskRef, int], Run] = attrs.field(factory=dict)
    used: Resources = NO_RESOURCES
    failed_jobs: set[str] = attrs.field(factory=set)
    suspect_until_seconds: float = float("-inf")
    has_unknown_runs: bool = False
    leaves_at_seconds: float | None = None

    @property
    def free(self):
        """Capacity that no run occupies."""
        return self.entry.capacity.minus(self.used)


@attrs.define(kw_only=True, eq=False)
class Job:
    """A job, its stored progress and its runs."""

    submission: Submission
    progress: JobProgress = attrs.field(factory=JobProgress)
    is_cancelled: bool = False
    has_started: bool = False
    ready_since_seconds: float = 0.0
    runs: dict[tuple[TaskRef, int], Run] = attrs.field(factory=dict)
    failed_worker_ids: set[str] = attrs.field(factory=set)
    restarts: dict[tuple[int, int], int] = attrs.field(factory=dict)
    is_final_logged: bool = False

    def step_runs(self, occurrence, step_number):
        """Return the runs of one step of one occurrence."""
        return [
            run
            for run in self.runs.values()
            if run.ref.occurrence == occurrence and run.ref.step == step_number
        ]


@attrs.define(kw_only=True)
class FinishedJob:
    """A job with a final stored state, and since when this scheduler knows it."""

    known_since_seconds: float
    is_cancelled: bool


class ShardState:
    """Jobs, workers and runs of one shard.

    ``remote_factor`` is how many times as long a task takes outside its rack.
    """

    def __init__(self, *, remote_factor=DEFAULT_REMOTE_FACTOR):
        self.jobs = {}
        self.workers = {}
        self.run_times = RunTimes()
        self.remote_factor = remote_factor
        # Jobs whose progress differs from the stored row.
        self.dirty_job_ids = set()
        # Jobs with a final stored state.
        self.finished_jobs = {}

    # Jobs

    def add_job(self, submission, *, now_seconds, progress=None, is_cancelled=False):
        """Take a stored job into account; nothing happens if it is known."""
        job_id = submission.job_id
        if job_id in self.jobs or job_id in self.finished_jobs:
            return None
        if progress is not None and progress.is_final:
            self.finished_jobs[job_id] = FinishedJob(
                known_since_seconds=now_seconds, is_cancelled=is_cancelled
            )
            return None
        job = Job(
            submission=submission,
            progress=progress or JobProgress(),
            ready_since_seconds=now_seconds,
        )
        job.has_started = job.progress.state == JobState.RUNNING
        self.jobs[job_id] = job
        self._restore_runs(job, now_seconds=now_seconds)
        if is_cancelled:
            self.cancel_job(job_id)
        return job

    def _restore_runs(self, job, *, now_seconds):
        """Recreate the runs that the stored progress names, as unsettled."""
        for occurrence, steps in job.progress.occurrences.items():
            for step_number, step_progress in enumerate(steps):
                for index, task in enumerate(step_progress.tasks):
                    if not task.worker_id:
                        continue
                    ref = TaskRef(
                        job_id=job.submission.job_id,
                        occurrence=occurrence,
                        step=step_number,
                        index=index,
                    )
                    run = self._make_run(job, ref, task.last_run, task.worker_id)
                    run.phase = RunPhase.UNSETTLED
                    run.claimed_at_seconds = now_seconds
                    self._attach(run)

    def cancel_job(self, job_id):
        """Cancel a job and stop its runs; returns whether that changed anything."""
        if job_id in self.finished_jobs:
            self.finished_jobs[job_id].is_cancelled = True
        job = self.jobs.get(job_id)
        if job is None or job.is_cancelled:
            return False
        job.is_cancelled = True
        self._refresh(job)
        return True

    def forget_finished_job(self, job_id):
        """Forget a job whose rows have been removed."""
        self.finished_jobs.pop(job_id, None)

    def move_finished_jobs(self, *, now_seconds):
        """Move final jobs without runs and without unstored changes aside."""
        done = [
            job_id
            for job_id, job in self.jobs.items()
            if job.progress.is_final
            and not job.runs
            and job_id not in self.dirty_job_ids
        ]
        for job_id in done:
            job = self.jobs.pop(job_id)
            self.finished_jobs[job_id] = FinishedJob(
                known_since_seconds=now_seconds, is_cancelled=job.is_cancelled
            )

    def count_pending(self):
        """Return the number of jobs without a started task, by queue."""
        counts = {}
        for job in self.jobs.values():
            waits = not job.has_started and not job.progress.is_final
            if waits and not job.submission.is_timed:
                queue = job.submission.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    # Runs

    def claim(self, ref, worker_id, *, number, now_seconds, is_remote=False):
        """Claim a worker for the next run of a task; returns the run."""
        job = self.jobs[ref.job_id]
        job.progress.steps_of(ref.occurrence, job.submission)
        task = job.progress.task(ref)
        task.last_run = number
        task.worker_id = worker_id
        run = self._make_run(job, ref, number, worker_id)
        run.checkpoint = task.checkpoint
        run.claimed_at_seconds = now_seconds
        run.is_remote = is_remote
        self._attach(run)
        self.dirty_job_ids.add(ref.job_id)
        return run

    def withdraw(self, run, *, now_seconds):
        """Give up a run that certainly does not exist at its worker."""
        self._end_run(run, how=None, checkpoint="", now_seconds=now_seconds)

    def confirm_start(self, run, *, clock_seconds):
        """Note that the worker has accepted a start order."""
        if run.key not in self._worker(run.worker_id).runs:
            return
        run.phase = RunPhase.CONFIRMED
        run.confirmed_clock_seconds = clock_seconds
        run.is_own_start = not run.checkpoint
        self._mark_started(self.jobs[run.ref.job_id])

    def note_refusal(self, run, *, now_seconds):
        """Avoid a worker for a moment that refused to start a task."""
        worker = self._worker(run.worker_id)
        worker.suspect_until_seconds = max(
            worker.suspect_until_seconds, now_seconds + REFUSAL_PAUSE_SECONDS
        )

    def record_straggler(self, run, *, now_seconds):
        """Avoid a worker where a run hangs or crawls."""
        job = self.jobs[run.ref.job_id]
        job.failed_worker_ids.add(run.worker_id)
        key = run.ref.occurrence, run.ref.step
        job.restarts[key] = job.restarts.get(key, 0) + 1
        worker = self._worker(run.worker_id)
        worker.suspect_until_seconds = now_seconds + SUSPECT_SECONDS

    def count_restarts(self, run):
        """Return how often runs of the same step were started again as bad."""
        key = run.ref.occurrence, run.ref.step
        return self.jobs[run.ref.job_id].restarts.get(key, 0)

    def expected_seconds(self, run):
        """Return how long a run is expected to take in all."""
        queue = self.jobs[run.ref.job_id].submission.queue
        seconds = self.run_times.expect_seconds(queue, run.estimate_seconds)
        return seconds * self.remote_factor if run.is_remote else seconds

    def expected_end_seconds(self, run, now_seconds):
        """Return when a run is expected to end, by its progress if it is known."""
        if run.is_stopping:
            return now_seconds
        gained_percent = run.percent - run.first_percent
        observed_seconds = run.percent_at_seconds - run.progress_since_seconds
        if gained_percent > 0 and observed_seconds > 0:
            per_percent_seconds = observed_seconds / gained_percent
            return run.percent_at_seconds + per_percent_seconds * (100 - run.percent)
        return max(now_seconds, run.claimed_at_seconds + self.expected_seconds(run))

    def request_stop(self, run, reason):
        """Mark a run to be stopped."""
        if not run.is_stopping:
            run.is_stopping = True
            run.stop_reason = reason

    # Workers

    def set_worker_entries(self, entries, *, now_seconds):
        """Replace the list of workers that the platform shows."""
        listed = {entry.worker_id: entry for entry in entries}
        for worker_id in sorted(set(listed) | set(self.workers)):
            worker = self._worker(worker_id)
            worker.entry = listed.get(worker_id)
            worker.last_entry = worker.entry or worker.last_entry
            _note_departure(worker, now_seconds)
        gone = [
            worker_id
            for worker_id, worker in self.workers.items()
            if worker.entry is None and not worker.runs
        ]
        for worker_id in gone:
            del self.workers[worker_id]

    def apply_report(self, worker_id, report):
        """Apply the answer to a hold.

        Returns
        -------
        ends : list of (Run or None, EndedRun)
            Ends in the order of the report; the run is None if it was not current.
        strangers : list of RunningRun
            Runs that should not exist and have to be stopped.
        """
        worker = self._worker(worker_id)
        if report.life < worker.life:
            return [], []
        is_new_life = report.life > worker.life
        worker.life = report.life
        worker.answered_at_seconds = report.received_at_seconds
        ends = [(self._apply_end(worker, end, report), end) for end in report.ended]
        strangers = []
        running = {(item.ref, item.run) for item in report.running}
        for item in report.running:
            run = worker.runs.get((item.ref, item.run))
            if run is None:
                strangers.append(item)
            else:
                self._apply_running(run, item, report)
        # Their demand is unknown, so that the free capacity is, too.
        worker.has_unknown_runs = bool(strangers)
        self._settle_missing(worker, running, report, is_new_life=is_new_life)
        return ends, strangers

    def end_lapsed_runs(self, worker_id, *, now_seconds):
        """End all runs of a worker whose leases have certainly lapsed."""
        runs = list(self._worker(worker_id).runs.values())
        lapsed = [run for run in runs if run.phase != RunPhase.CLAIMED]
        for run in lapsed:
            self._end_run(run, how=None, checkpoint="", now_seconds=now_seconds)
        return lapsed

    # Internals

    def _worker(self, worker_id):
        return self.workers.setdefault(worker_id, Worker(worker_id=worker_id))

    def _make_run(self, job, ref, number, worker_id):
        step = job.submission.steps[ref.step]
        return Run(
            ref=ref,
            number=number,
            worker_id=worker_id,
            resources=step.resources,
            priority=job.submission.priority,
            estimate_seconds=step.estimate_seconds,
            has_checkpoints=step.has_checkpoints,
        )

    def _attach(self, run):
        worker = self._worker(run.worker_id)
        worker.runs[run.key] = run
        worker.used = worker.used.plus(run.resources)
        self.jobs[run.ref.job_id].runs[run.key] = run

    def _detach(self, run):
        worker = self._worker(run.worker_id)
        if worker.runs.pop(run.key, None) is None:
            return False
        worker.used = worker.used.minus(run.resources)
        self.jobs[run.ref.job_id].runs.pop(run.key, None)
        return True

    def _apply_end(self, worker, end, report):
        run = worker.runs.get((end.ref, end.run))
        if run is None:
            self._apply_stale_end(worker, end, report)
            return None
        self._note_health(worker, end, report.received_at_seconds)
        self._end_run(
            run,
            how=end.how,
            checkpoint=end.checkpoint,
            now_seconds=report.received_at_seconds,
        )
        return run

    def _apply_stale_end(self, worker, end, report):
        """Accept a late success of the newest run if no other run was claimed."""
        job = self.jobs.get(end.ref.job_id)
        task = job.progress.task(end.ref) if job else None
        if task is None or task.worker_id or task.last_run != end.run:
            return
        if end.how != "done" or job.step_runs(end.ref.occurrence, end.ref.step):
            return
        self._record(job, end.ref, end, now_seconds=report.received_at_seconds)

    def _apply_running(self, run, item, report):
        now_seconds = report.received_at_seconds
        if run.phase != RunPhase.CONFIRMED:
            run.phase = RunPhase.CONFIRMED
            run.confirmed_clock_seconds = report.clock_seconds
            self._mark_started(self.jobs[run.ref.job_id])
        if not run.is_progress_known:
            run.is_progress_known = True
            run.first_percent = run.percent = item.percent
            run.progress_since_seconds = run.percent_at_seconds = now_seconds
        elif item.percent != run.percent:
            run.percent = item.percent
            run.percent_at_seconds = now_seconds
        if item.checkpoint and item.checkpoint != run.checkpoint:
            run.checkpoint = item.checkpoint
            task = self.jobs[run.ref.job_id].progress.task(run.ref)
            if task is not None and task.last_run == run.number:
                task.checkpoint = item.checkpoint

    def _settle_missing(self, worker, running, report, *, is_new_life):
        """Give up runs that the report proves to be absent."""
        if not report.is_complete:
            return
        for run in list(worker.runs.values()):
            if run.key in running:
                continue
            if run.phase == RunPhase.CONFIRMED:
                is_absent = (
                    is_new_life or report.clock_seconds > run.confirmed_clock_seconds
                )
            else:
                # A higher token rejects the order of this run from now on.
                is_absent = run.phase == RunPhase.UNSETTLED and report.token > run.token
            if is_absent:
                self.withdraw(run, now_seconds=report.received_at_seconds)

    def _end_run(self, run, *, how, checkpoint, now_seconds):
        if not self._detach(run):
            return
        job = self.jobs[run.ref.job_id]
        step = job.submission.steps[run.ref.step]
        if how == "failed":
            job.failed_worker_ids.add(run.worker_id)
        if how == "done" and run.is_own_start and not run.is_remote:
            self.run_times.learn(
                job.submission.queue,
                estimate_seconds=run.estimate_seconds,
                actual_seconds=now_seconds - run.claimed_at_seconds,
            )
        end = _End(run=run.number, how=how, checkpoint=checkpoint or run.checkpoint)
        self._record(job, run.ref, end, now_seconds=now_seconds)
        if step.is_gang and how != "done":
            for other in job.step_runs(run.ref.occurrence, run.ref.step):
                self.request_stop(other, "another member of the gang ended")

    def _record(self, job, ref, end, *, now_seconds):
        if record_end(
            job.progress,
            job.submission,
            ref,
            run=end.run,
            how=end.how,
            checkpoint=end.checkpoint,
        ):
            self.dirty_job_ids.add(job.submission.job_id)
            job.ready_since_seconds = now_seconds
        self._refresh(job)

    def _mark_started(self, job):
        if not job.has_started:
            job.has_started = True
            self._refresh(job)

    def _refresh(self, job):
        changed = update_state(
            job.progress,
            job.submission,
            is_cancelled=job.is_cancelled,
            has_started=job.has_started,
        )
        if changed:
            self.dirty_job_ids.add(job.submission.job_id)
        if job.progress.is_final:
            # The members of a completed gang end by themselves.
            if job.progress.state == JobState.COMPLETED:
                return
            for run in job.runs.values():
                self.request_stop(run, f"the job is {job.progress.state}")

    def _note_health(self, worker, end, now_seconds):
        if end.how == "done":
            worker.failed_jobs.clear()
            worker.suspect_until_seconds = float("-inf")
        elif end.how == "failed":
            worker.failed_jobs.add(end.ref.job_id)
            if len(worker.failed_jobs) >= SUSPECT_JOBS_COUNT:
                worker.suspect_until_seconds = now_seconds + SUSPECT_SECONDS


def _note_departure(worker, now_seconds):
    entry = worker.entry
    if entry is None:
        return
    if not entry.is_draining:
        worker.leaves_at_seconds = None
        return
    leaves_at_seconds = now_seconds + entry.remaining_service_seconds
    if worker.leaves_at_seconds is None:
        worker.leaves_at_seconds = leaves_at_seconds
    worker.leaves_at_seconds = min(worker.leaves_at_seconds, leaves_at_seconds)


@attrs.frozen(kw_only=True)
class _End:
    run: int
    how: str | None
    checkpoint: str
