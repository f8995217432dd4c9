"""Oracle of the rules about jobs: judges what workers and callers have seen."""

import anyio
import attrs

from kingcuptrack.state.progress import EndKind, JobState

CANCEL_SECONDS = 3.0
CLOSURE_SECONDS = 5.0


@attrs.define(kw_only=True, eq=False)
class ObservedJob:
    """What callers were told of a job, and what its tasks do.

    ``answers`` holds the outcome of each submission: accepted, refused, unknown.
    """

    job_id: str
    steps: tuple
    attempts_limit: int
    spec: str
    answers: list = attrs.field(factory=list)
    accepted_at: float | None = None
    cancel_sent: bool = False
    cancelled_at: float | None = None
    last_state: JobState | None = None
    finished_at: float | None = None


class InvariantChecker:
    """Collects broken rules; told of events by the simulated workers."""

    def __init__(self):
        self.jobs = {}
        self.violations = []
        self.closed_since = {}
        self.starts_count = 0
        # Rules with a time bound do not hold for orders that are carried out late.
        self.is_late_order = False
        # (ref) to the live runs, as (worker, life, run).
        self._live = {}
        # Ends of kind done: ref to list of [worker id, life, number, time, exempt].
        self._done = {}
        self._failed = {}
        self._starts = {}
        # Unacknowledged ends by (worker id, life): list of (end, ref).
        self._listed = {}
        self._acknowledged = {}

    def report(self, rule, message):
        """Note a broken rule."""
        self.violations.append(f"{anyio.current_time():.3f} {rule}: {message}")

    # Events at workers

    def note_start(self, worker, run, order):
        """Judge the beginning of a run."""
        now = anyio.current_time()
        self.starts_count += 1
        ref = run.ref
        job = self.jobs.get(ref.job_id)
        if job is None or order.spec != job.spec:
            self.report("UNASKED", f"{ref} at {worker.entry.worker_id}")
            return
        self._judge_place(worker, run, job, now)
        self._judge_order(ref, job)
        others = [
            other
            for other_worker, life, other in self._live.get(ref, [])
            if other_worker.is_up and other_worker.life == life
        ]
        if others:
            self.report("TWICE", f"{ref} run {run.number} beside {others[0].number}")
        for done in self._done.get(ref, []):
            if done["acknowledged"] and not done["exempt"]:
                self.report("TWICE", f"{ref} run {run.number} after it was done")
        if len(self._failed.get(ref, ())) >= job.attempts_limit:
            self.report("BUDGET", f"{ref} run {run.number}")
        if job.answers and all(answer == "refused" for answer in job.answers):
            self.report("REFUSED", f"{ref} was refused")
        is_cancelled = job.cancelled_at is not None
        if (
            is_cancelled
            and not self.is_late_order
            and (now > job.cancelled_at + CANCEL_SECONDS)
        ):
            self.report("UNASKED", f"{ref} started after its cancel")
        self._live.setdefault(ref, []).append((worker, worker.life, run))
        self._starts.setdefault(ref, []).append(now)

    def note_end(self, worker, run, end):
        """Note the end of a run."""
        self._forget_live(run)
        listed = {
            "how": end.how,
            "number": end.number,
            "ref": end.ref,
            "run": end.run,
            "at": anyio.current_time(),
            "acknowledged": False,
            "exempt": False,
        }
        key = worker.entry.worker_id, worker.life
        self._listed.setdefault(key, []).append(listed)
        if end.how == EndKind.DONE:
            self._done.setdefault(end.ref, []).append(listed)

    def note_lost(self, worker, run):
        """Note a run that was lost with its worker."""
        self._forget_live(run)

    def note_lapse(self, worker):
        """Ends that were listed before a lapse do not bind any more."""
        for listed in self._listed.get((worker.entry.worker_id, worker.life), ()):
            if not listed["acknowledged"]:
                listed["exempt"] = True

    def note_acknowledged(self, worker, number, now):
        """Judge ends that the scheduler has taken note of."""
        for listed in self._listed.get((worker.entry.worker_id, worker.life), ()):
            if listed["acknowledged"] or listed["number"] > number:
                continue
            listed["acknowledged"] = True
            ref = listed["ref"]
            if listed["how"] == EndKind.FAILED and not listed["exempt"]:
                self._failed.setdefault(ref, set()).add(listed["run"])
            if listed["how"] == EndKind.DONE and not listed["exempt"]:
                later = [at for at in self._starts.get(ref, ()) if at > listed["at"]]
                if later:
                    self.report("TWICE", f"{ref} was started after it was done")

    # What callers see

    def note_state(self, job, state):
        """Judge a state that was shown to a caller."""
        if state == JobState.COMPLETED and not self.is_done(job):
            self.report("MIXED", f"{job.job_id} shown as completed too early")
        if state == JobState.CANCELLED and not job.cancel_sent:
            self.report("LOST", f"{job.job_id} shown as cancelled without cause")
        if state == JobState.FAILED and not self._has_failed(job):
            self.report("LOST", f"{job.job_id} shown as failed without cause")
        job.last_state = state

    def note_missing(self, job):
        """Judge an answer that a job does not exist."""
        if job.accepted_at is not None:
            self.report("LOST", f"{job.job_id} is not known any more")

    def is_done(self, job):
        """Return whether every task of a job has ended as done."""
        return all(self._is_step_done(job, number) for number in range(len(job.steps)))

    def live_runs(self):
        """Return the runs that exist at workers that are up."""
        return [
            (ref, run)
            for ref, runs in self._live.items()
            for worker, life, run in runs
            if worker.is_up and worker.life == life
        ]

    # Internals

    def _judge_place(self, worker, run, job, now):
        step = job.steps[run.ref.step]
        if not worker.used.plus(step.resources).fits_in(worker.entry.capacity):
            self.report("LIMIT", f"{run.ref} at {worker.entry.worker_id}")
        if step.required_label and step.required_label not in worker.entry.labels:
            self.report("ROUTE", f"{run.ref} at {worker.entry.worker_id}")
        closed_at = self.closed_since.get(worker.entry.data_centre)
        is_closed = closed_at is not None and now > closed_at + CLOSURE_SECONDS
        if is_closed and not self.is_late_order:
            self.report("EVAC", f"{run.ref} at {worker.entry.worker_id}")
        if step.tasks_per_worker_limit:
            count = sum(
                1
                for other in worker.runs.values()
                if other.ref.job_id == run.ref.job_id and other.ref.step == run.ref.step
            )
            if count >= step.tasks_per_worker_limit:
                self.report("ROUTE", f"{run.ref}: too many at one worker")

    def _judge_order(self, ref, job):
        for earlier in job.steps[ref.step].after:
            if not self._is_step_done(job, earlier):
                self.report("ORDER", f"{ref} before step {earlier} is done")

    def _is_step_done(self, job, number):
        step = job.steps[number]
        done = {
            ref.index
            for ref in self._done
            if ref.job_id == job.job_id and ref.step == number
        }
        if step.is_gang:
            return bool(done)
        return len(done) == step.task_count

    def _has_failed(self, job):
        """Return whether a task, or a gang, has failed as often as it may.

        Listed ends count, also those that are not acknowledged yet: the stored state
        is shown before the next hold acknowledges them.
        """
        failed_runs = {}
        for listed_ends in self._listed.values():
            for listed in listed_ends:
                ref = listed["ref"]
                if listed["how"] != EndKind.FAILED or ref.job_id != job.job_id:
                    continue
                # A gang fails by the failure of any member, once in each run.
                is_gang = job.steps[ref.step].is_gang
                key = ref.step, None if is_gang else ref.index
                failed_runs.setdefault(key, set()).add(listed["run"])
        return any(len(runs) >= job.attempts_limit for runs in failed_runs.values())

    def _forget_live(self, run):
        runs = self._live.get(run.ref, [])
        self._live[run.ref] = [item for item in runs if item[2] is not run]
