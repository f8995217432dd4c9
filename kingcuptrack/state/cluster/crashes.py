"""Attribution of crashes of workers to the tasks that were started there.

Designed for tasks that crash every worker that starts them, beside workers that crash
by themselves. All tasks that a worker started shortly before its crash are suspects.
Suspects are then started apart from other work, so that a second crash has one possible
cause, and are cleared by running for some time.
"""

from collections import deque

import attrs

from ..jobs.steps import TaskRef
from .shard_entities import RunPhase

# Time after which a running task is not suspected of crashing its worker.
SURVIVAL_SECONDS = 1.0
# Workers that are lost within this time of each other count as lost together.
COINCIDENCE_SECONDS = 1.0
# Other workers lost together, without a task of a job, from which their common cause is
# taken to lie outside of the job.
COINCIDENT_WORKERS_COUNT = 2
# Time for which the crash of another worker makes a second crash under a task less
# certain evidence, and for which suspects avoid the address of a crashed worker.
RECENT_SECONDS = 10.0
# Workers that must have crashed under a task before it is given up: if the last crash
# has no other possible cause, and if it has one, such as a task that was not suspected
# before or something that makes other workers crash as well.
CERTAIN_CRASHES_COUNT = 2
UNCLEAR_CRASHES_COUNT = 3
# Crashes that a task may have caused after which it is given up: if at least
# `CERTAIN_CRASHES_COUNT` workers had certainly started it, and if one had, or none but
# the last crash has no other possible cause.
MOST_CRASHES_COUNT = 4
MOST_DOUBTFUL_CRASHES_COUNT = 5
# Time for which a worker that was given up as silent is watched for its return, which
# shows whether it has crashed.
WATCH_SECONDS = 30.0


@attrs.frozen(kw_only=True)
class Crash:
    """Crash of a worker.

    ``lost_at_seconds`` is when the worker stopped answering. ``job_ids`` are the jobs
    that may have started a task there shortly before. ``is_foreseen`` means that one of
    these tasks was suspected already.
    """

    address: str
    lost_at_seconds: float
    job_ids: frozenset[str]
    is_foreseen: bool = False


class CrashHistory:
    """The crashes of the last `RECENT_SECONDS`, in the order in which they were found.

    A crash is found when the worker, or another one at its address, answers again.
    """

    def __init__(self):
        self._crashes = deque()

    def record(self, crash):
        """Add a crash, and forget those that are not recent any more."""
        self._crashes.append(crash)
        oldest_seconds = crash.lost_at_seconds - RECENT_SECONDS - WATCH_SECONDS
        while self._crashes[0].lost_at_seconds < oldest_seconds:
            self._crashes.popleft()

    def recent_addresses(self, now_seconds):
        """Return the addresses of the workers that have crashed recently."""
        return {
            crash.address
            for crash in self._crashes
            if now_seconds - crash.lost_at_seconds <= RECENT_SECONDS
        }

    def has_address(self, crash, job_id):
        """Return whether a worker at the same address crashed under the same job."""
        return any(
            other.address == crash.address and job_id in other.job_ids
            for other in self._crashes
        )

    def recent(self, crash):
        """Return the crashes at other addresses that were recent at the time of one."""
        return [other for other in self._crashes if is_recent(other, crash)]


def is_recent(other, crash):
    """Return whether another worker was lost around the time of a crash."""
    apart_seconds = abs(crash.lost_at_seconds - other.lost_at_seconds)
    return other.address != crash.address and apart_seconds <= RECENT_SECONDS


def is_coincidence(crash, job_id, unforeseen):
    """Return whether a crash seems to have a cause outside of a job.

    That is so if several workers were lost together, some without a task of the job.

    Parameters
    ----------
    crash : Crash
    job_id : str
    unforeseen : list of Crash
        Recent crashes of other workers, where no task was suspected before.
    """
    others = [
        other
        for other in unforeseen
        if job_id not in other.job_ids
        and abs(crash.lost_at_seconds - other.lost_at_seconds) <= COINCIDENCE_SECONDS
    ]
    return len(others) >= COINCIDENT_WORKERS_COUNT


def should_give_up(task, crash, job_id, unforeseen, *, repeat_job_ids, is_same_address):
    """Return whether to give up a task as the cause of crashes.

    Parameters
    ----------
    task : TaskProgress
    crash : Crash
        The newest crash under the task.
    job_id : str
        The job of the task.
    unforeseen : list of Crash
        Recent crashes of other workers, where no task was suspected before.
    repeat_job_ids : set of str
        Jobs with a task under which several workers have crashed.
    is_same_address : bool
        Whether an earlier crash under the job was at the same address.
    """
    certain_count = len(task.crashed_worker_ids)
    other_job_ids = crash.job_ids - {job_id}
    if certain_count < CERTAIN_CRASHES_COUNT:
        is_most = task.crashes_count >= MOST_DOUBTFUL_CRASHES_COUNT
        return is_most and bool(certain_count or not other_job_ids)
    if task.crashes_count >= MOST_CRASHES_COUNT:
        return True
    if other_job_ids & repeat_job_ids:
        return False
    explaining = {job_id, *repeat_job_ids}
    is_clear = (
        not other_job_ids
        and not is_same_address
        and not is_coincidence(crash, job_id, unforeseen)
        and not any(explaining.isdisjoint(other.job_ids) for other in unforeseen)
    )
    return is_clear or certain_count >= UNCLEAR_CRASHES_COUNT


@attrs.frozen(kw_only=True)
class CrashFinding:
    """Result of a crash: the jobs whose progress changed, and those to give up.

    ``is_certain`` means that the worker has crashed, and is not only silent.
    ``suspects`` are the tasks that may have caused it. ``given_up`` maps the id of a
    job to the reason.
    """

    is_certain: bool = False
    suspects: tuple = ()
    changed_job_ids: frozenset[str] = frozenset()
    given_up: dict = attrs.field(factory=dict)


class CrashAttribution:
    """Suspected tasks of a shard, and the crashes that they are suspected of.

    Parameters
    ----------
    jobs, workers : dict
        Jobs and workers of the shard state by id.
    """

    def __init__(self, *, jobs, workers):
        self._jobs = jobs
        self._workers = workers
        self._history = CrashHistory()
        # Jobs with suspected tasks, by id.
        self._suspect_jobs = {}
        # Jobs with a task under which workers have crashed more than once.
        self._repeat_job_ids = set()

    def restore(self, job, *, now_seconds):
        """Suspect the tasks of a stored job under which workers have crashed."""
        for occurrence, steps in job.progress.occurrences.items():
            for number, step in enumerate(steps):
                for index, task in enumerate(step.tasks):
                    if task.crashes_count and not task.is_done:
                        ref = TaskRef(
                            job_id=job.submission.job_id,
                            occurrence=occurrence,
                            step=number,
                            index=index,
                        )
                        self._suspect(job, ref, now_seconds)
                        if task.crashes_count >= CERTAIN_CRASHES_COUNT:
                            self._repeat_job_ids.add(job.submission.job_id)

    def held_worker_ids(self):
        """Return the workers where a suspect was started that is not cleared yet."""
        held = set()
        for job_id, job in list(self._suspect_jobs.items()):
            if job.progress.is_final or not job.suspect_refs:
                del self._suspect_jobs[job_id]
                continue
            held |= {
                run.worker_id
                for run in job.runs.values()
                if run.ref in job.suspect_refs
            }
        return held

    def recent_addresses(self, now_seconds):
        """Return the addresses of the workers that have crashed recently."""
        return self._history.recent_addresses(now_seconds)

    def record_crash(self, worker, runs, *, now_seconds):
        """Record that a worker has crashed, before its runs are ended.

        Parameters
        ----------
        worker : Worker
        runs : iterable of Run
            All its runs.
        now_seconds : float

        Returns
        -------
        CrashFinding
        """
        lapsed, worker.lapsed_suspects = worker.lapsed_suspects, []
        if _is_leaving(worker):
            # The end of a worker that leaves was to be expected.
            return CrashFinding()
        for run in lapsed:
            # Counted when it lapsed, and again below.
            self._withdraw_doubt(run)
        suspects = [*_find_suspects(runs), *lapsed]
        crash = self._make_crash(worker, suspects, now_seconds)
        finding = self._weigh(
            crash, suspects, now_seconds, crashed_worker_id=worker.worker_id
        )
        self._history.record(crash)
        return attrs.evolve(finding, is_certain=True)

    def record_lapse(self, worker, runs, *, now_seconds):
        """Record that the runs of a silent worker are ended: it may have crashed.

        The worker is watched, since its return shows whether it has.

        Returns
        -------
        CrashFinding
        """
        suspects = _find_suspects(runs)
        if not suspects or _is_leaving(worker):
            return CrashFinding()
        worker.lapsed_suspects += suspects
        worker.watched_until_seconds = now_seconds + WATCH_SECONDS
        crash = self._make_crash(worker, suspects, now_seconds)
        return self._weigh(crash, suspects, now_seconds)

    def note_answer(self, worker):
        """Record that a worker answers.

        Returns its runs that had lapsed: it has not crashed under them.
        """
        lapsed, worker.lapsed_suspects = worker.lapsed_suspects, []
        worker.lost_at_seconds = None
        for run in lapsed:
            self._withdraw_doubt(run)
        return lapsed

    def note_survival(self, run, *, now_seconds):
        """Clear a task that has run for some time; returns whether it was suspected."""
        task = self._find_open_task(run)
        if task is None:
            return False
        job = self._jobs[run.ref.job_id]
        if run.ref not in job.suspect_refs and not task.crashes_count:
            return False
        task.clear_crashes()
        self._repeat_job_ids.discard(run.ref.job_id)
        job.suspect_refs.discard(run.ref)
        job.has_survivor = True
        job.suspects_changed_at_seconds = now_seconds
        job.ready_units = None
        return True

    def _weigh(self, crash, suspects, now_seconds, *, crashed_worker_id=None):
        """Count a crash against its suspects; it is doubtful without a worker id."""
        unforeseen = self._find_unforeseen(crash)
        changed_job_ids, given_up = set(), {}
        for run in suspects:
            task = self._find_open_task(run)
            if task is None or self._has_survived_since(run):
                continue
            job_id = run.ref.job_id
            changed_job_ids.add(job_id)
            if crashed_worker_id and run.phase == RunPhase.CONFIRMED:
                task.crashed_worker_ids.append(crashed_worker_id)
            else:
                task.doubtful_crashes_count += 1
            if task.crashes_count >= CERTAIN_CRASHES_COUNT:
                self._repeat_job_ids.add(job_id)
            if job_id in self._repeat_job_ids or not is_coincidence(
                crash, job_id, unforeseen
            ):
                self._suspect(self._jobs[job_id], run.ref, now_seconds)
            if should_give_up(
                task,
                crash,
                job_id,
                unforeseen,
                repeat_job_ids=self._repeat_job_ids,
                is_same_address=self._history.has_address(crash, job_id),
            ):
                given_up[job_id] = _describe_crashes(run.ref, task)
        return CrashFinding(
            suspects=tuple(run.ref for run in suspects),
            changed_job_ids=frozenset(changed_job_ids),
            given_up=given_up,
        )

    def _withdraw_doubt(self, run):
        """Take back the doubtful crash that was counted when a run lapsed."""
        task = self._find_open_task(run)
        if task is not None and task.doubtful_crashes_count:
            task.doubtful_crashes_count -= 1

    def _suspect(self, job, ref, now_seconds):
        job.suspect_refs.add(ref)
        job.has_survivor = False
        job.suspects_changed_at_seconds = now_seconds
        job.ready_units = None
        self._suspect_jobs[job.submission.job_id] = job

    def _make_crash(self, worker, suspects, now_seconds):
        lost_at_seconds = worker.lost_at_seconds
        return Crash(
            address=worker.last_entry.address if worker.last_entry else "",
            lost_at_seconds=now_seconds if lost_at_seconds is None else lost_at_seconds,
            job_ids=frozenset(run.ref.job_id for run in suspects),
            is_foreseen=any(
                run.ref in self._jobs[run.ref.job_id].suspect_refs
                for run in suspects
                if run.ref.job_id in self._jobs
            ),
        )

    def _find_open_task(self, run):
        job = self._jobs.get(run.ref.job_id)
        if job is None or job.progress.is_final:
            return None
        task = job.progress.task(run.ref)
        return None if task is None or task.is_done else task

    def _has_survived_since(self, run):
        """Return whether the task of a run that has ended survives in a newer run."""
        return any(
            other.ref == run.ref and other.has_survived
            for other in self._jobs[run.ref.job_id].runs.values()
        )

    def _find_unforeseen(self, crash):
        """Return the recent crashes of other workers where no task was a suspect.

        Workers that have stopped answering may have crashed.
        """
        silent = [
            self._make_crash(other, _find_suspects(other.runs.values()), 0.0)
            for other in self._workers.values()
            if not other.is_replaced and other.lost_at_seconds is not None
        ]
        return [
            other
            for other in [*self._history.recent(crash), *silent]
            if is_recent(other, crash) and not other.is_foreseen
        ]


def _is_leaving(worker):
    return worker.last_entry is not None and worker.last_entry.is_draining


def _find_suspects(runs):
    return [
        run for run in runs if run.phase != RunPhase.CLAIMED and not run.has_survived
    ]


def _describe_crashes(ref, task):
    worker_ids = ", ".join(task.crashed_worker_ids)
    text = f"{task.crashes_count} workers crashed after an order to start task {ref}"
    return f"{text}, which had been accepted by: {worker_ids or 'none'}"
