"""The scheduler's view of the jobs, runs and workers of a shard.

Events are method calls that carry the time; this module does no I/O. Every run that
may exist at a worker occupies its capacity until the end of the run is certain. What
only estimates or explains follows a change and cannot fail it.
"""

import attrs

from ..jobs.progress import (
    JobProgress,
    JobState,
    record_end,
    record_open_run_end,
    update_state,
)
from ..jobs.progress_parts import is_divided
from ..jobs.steps import GUARANTEED_PRIORITY, NO_RESOURCES
from .crashes import SURVIVAL_SECONDS, CrashAttribution
from .estimate_guard import EstimateGuard
from .interference import Interference
from .job_phases import make_past_run
from .missing_runs import MissingRuns
from .neighbours import NeighbourTimes
from .recent_usage import RecentUsage
from .room_holds import RoomHolds
from .run_learning import RunLearning
from .run_observations import kind_of
from .run_times import RunTimes
from .shard_entities import FinishedJob, Job, Run, RunPhase, Worker
from .unstored_progress import UnstoredProgress
from .worker_speeds import EMPTY_VIEW, WorkerSpeeds

# How many times as long a task takes outside its rack, if the settings give no value.
# All known deployments have this factor.
DEFAULT_REMOTE_FACTOR = 3.0
# A worker is suspected of failing every run if its latest ends are failures of this
# many different jobs. Failures of one job may be caused by the job.
SUSPECT_JOBS_COUNT = 2
# Time until a suspected worker gets work again; must be several times the run time of
# short tasks.
SUSPECT_SECONDS = 8.0
# Time without new work after a worker has refused to start a task.
REFUSAL_PAUSE_SECONDS = 1.0


class ShardState:
    """Jobs, workers and runs of one shard.

    ``remote_factor`` is how many times as long a task takes outside its rack.
    ``learns_speeds`` is whether the speed of workers is learned,
    ``learns_interference`` whether it is which kinds of work slow each other down.
    """

    def __init__(
        self,
        *,
        remote_factor=DEFAULT_REMOTE_FACTOR,
        learns_speeds=False,
        learns_interference=False,
    ):
        self.jobs = {}
        self.workers = {}
        self.run_times = RunTimes()
        self.worker_speeds = WorkerSpeeds(is_on=learns_speeds)
        self.remote_factor = remote_factor
        # None unless interference is learned.
        self.interference = Interference() if learns_interference else None
        self.neighbours = NeighbourTimes() if learns_interference else None
        self._learning = RunLearning(
            run_times=self.run_times,
            worker_speeds=self.worker_speeds,
            interference=self.interference,
        )
        # All calls of what only estimates or explains.
        self.estimates = EstimateGuard()
        self._missing_runs = MissingRuns()
        # Time of day at which the newest job was accepted.
        self.last_accepted_at_seconds = float("-inf")
        # Workers whose room was made for a starving unit.
        self.room_holds = RoomHolds()
        # When a run was last moved away from urgent work that it slowed down.
        self.moved_at_seconds = float("-inf")
        # Rows of the progress of jobs that differ from the stored ones.
        self.unstored = UnstoredProgress()
        # Jobs with a final stored state.
        self.finished_jobs = {}
        # Resources of all runs that may exist, by organisation; kept up to date with
        # the runs.
        self.used_by_organisation = {}
        # Averages of these over the last seconds; see `advance_usage`.
        self.recent_usage = RecentUsage()
        # Accelerators that the runs of urgent jobs use, by organisation, and those that
        # other runs use; kept up to date with the runs.
        self.urgent_gpus = {}
        self.other_gpus_count = 0
        # Accelerator-seconds of runs without urgency that ended early and left no
        # checkpoint, by service, since this scheduler took over.
        self.lost_gpu_seconds = {}
        # Workers with runs; kept up to date with the runs.
        self.busy_workers_count = 0
        # Counts the changes after which other tasks may be placed than before.
        self.placement_changes_count = 0
        # Workers with runs that became ready to be stopped.
        self._workers_to_stop = set()
        self._crashes = CrashAttribution(jobs=self.jobs, workers=self.workers)
        # Findings about crashes that were not taken yet, with the worker.
        self._crash_findings = []

    @property
    def dirty_job_ids(self):
        """Ids of the jobs whose progress differs from the stored rows."""
        return set(self.unstored.job_ids)

    def add_job(
        self,
        submission,
        *,
        now_seconds,
        progress=None,
        stored_rows=None,
        is_cancelled=False,
    ):
        """Add a stored job; returns it, or None if it is known already or over.

        A job is over if its state is final and none of its runs may exist.
        ``stored_rows`` tells which rows the store holds of its progress.
        """
        job_id = submission.job_id
        if job_id in self.jobs or job_id in self.finished_jobs:
            return None
        self.last_accepted_at_seconds = max(
            self.last_accepted_at_seconds, submission.accepted_at_seconds
        )
        if stored_rows is not None:
            self.unstored.note_loaded(job_id, stored_rows)
        if progress is not None and progress.is_final and not progress.open_runs:
            self.finished_jobs[job_id] = FinishedJob(
                known_since_seconds=now_seconds, is_cancelled=is_cancelled
            )
            return None
        job = Job(
            submission=submission,
            progress=progress or JobProgress(),
            known_since_seconds=now_seconds,
            ready_since_seconds=now_seconds,
            is_divided=is_divided(submission),
        )
        job.has_started = job.progress.state == JobState.RUNNING
        # The leader that stored a final state has logged it.
        job.is_final_logged = job.progress.is_final
        self.jobs[job_id] = job
        self.placement_changes_count += 1
        self._restore_runs(job, now_seconds=now_seconds)
        self._crashes.restore(job, now_seconds=now_seconds)
        if is_cancelled:
            self.cancel_job(job_id)
        elif progress is not None:
            # The stored state may be older than the stored tasks.
            self._update_job_state(job)
        if stored_rows is not None and stored_rows.is_outdated:
            self.unstored.mark_all(job)
        return job

    def _restore_runs(self, job, *, now_seconds):
        """Recreate the runs in the stored progress; whether they exist is unsettled."""
        for held in job.progress.list_held_runs():
            self._restore_run(job, held, now_seconds=now_seconds)

    def _restore_run(self, job, held, *, now_seconds):
        ref, number = held.key(job.submission.job_id)
        run = self._make_run(job, ref, number, held.worker_id)
        run.phase = RunPhase.UNSETTLED
        run.claimed_at_seconds = now_seconds
        self._attach(run)
        return run

    def restore_missing_runs(self, *, tasks_limit_count, now_seconds):
        """Recreate runs that tasks say may exist and that are not known any more.

        Only an error in a change of this state leaves such a task. Whether the run
        exists is unsettled, as after a change of the leader.

        Parameters
        ----------
        tasks_limit_count : int
            Tasks to look at, and then up to the end of their job; the next call goes on
            from there.
        now_seconds : float
        """
        for job, held in self._missing_runs.find(
            self.jobs, tasks_limit_count=tasks_limit_count
        ):
            run = self._restore_run(job, held, now_seconds=now_seconds)
            self._missing_runs.note_restored(run)
            # A run of a cancelled or failed job has to be stopped.
            self._update_job_state(job)

    def take_restored_runs(self):
        """Return the runs that were missing and were recreated, once each."""
        return self._missing_runs.take_restored()

    def cancel_job(self, job_id):
        """Cancel a job and stop its runs; returns whether that changed anything."""
        if job_id in self.finished_jobs:
            self.finished_jobs[job_id].is_cancelled = True
        job = self.jobs.get(job_id)
        if job is None or job.is_cancelled:
            return False
        job.is_cancelled = True
        self._update_job_state(job)
        return True

    def has_storable_changes(self):
        """Return whether there are unstored rows that the next commit may contain."""
        return not all(self.jobs[job_id].is_held for job_id in self.unstored.job_ids)

    def set_held(self, job_id, *, is_held):
        """Start nothing of a job while the store refuses its rows, or go on."""
        if job_id in self.jobs:
            self.jobs[job_id].is_held = is_held
            self.placement_changes_count += 1

    def forget_finished_job(self, job_id):
        """Forget a job whose rows have been removed."""
        self.finished_jobs.pop(job_id, None)
        self.unstored.forget(job_id)

    def move_finished_jobs(self, *, now_seconds):
        """Move final jobs without runs or unstored changes to `finished_jobs`."""
        done = [
            job_id
            for job_id, job in self.jobs.items()
            if job.progress.is_final and not job.runs and job_id not in self.unstored
        ]
        for job_id in done:
            job = self.jobs.pop(job_id)
            self.finished_jobs[job_id] = FinishedJob(
                known_since_seconds=now_seconds, is_cancelled=job.is_cancelled
            )

    def count_pending(self):
        """Return the number of jobs without a started task, by queue.

        Jobs with a schedule are not counted.
        """
        counts = {}
        for job in self.jobs.values():
            waits = not job.has_started and not job.progress.is_final
            if waits and not job.submission.is_timed:
                queue = job.submission.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def claim(
        self, ref, worker_id, *, number, now_seconds, is_remote=False, slowdown=1.0
    ):
        """Claim a worker for the next run of a task; returns the run.

        ``slowdown`` is its expected run time relative to one on average workers.
        """
        job = self.jobs[ref.job_id]
        job.progress.steps_of(ref.occurrence, job.submission)
        task = job.progress.task(ref)
        task.last_run = number
        task.worker_id = worker_id
        run = self._make_run(job, ref, number, worker_id)
        run.checkpoint = task.checkpoint
        run.claimed_at_seconds = now_seconds
        run.is_remote = is_remote
        run.slowdown = slowdown
        self._attach(run)
        self.unstored.mark_task(job, ref)
        return run

    def withdraw(self, run, *, now_seconds):
        """Remove a run that certainly does not exist at its worker."""
        job = self.jobs[run.ref.job_id]
        ready_since_seconds = job.ready_since_seconds
        self._end_run(run, how=None, checkpoint="", now_seconds=now_seconds)
        if run.phase in (RunPhase.CLAIMED, RunPhase.ORDERED):
            # The run has not begun, so that the job has waited all the while.
            job.ready_since_seconds = ready_since_seconds

    def confirm_start(self, run, *, clock_seconds, now_seconds):
        """Record that the worker accepted the start order.

        ``clock_seconds`` is the time of the worker's clock when it accepted the order.
        """
        if run.key not in self._worker(run.worker_id).runs:
            return
        run.phase = RunPhase.CONFIRMED
        run.confirmed_at_seconds = now_seconds
        run.confirmed_clock_seconds = clock_seconds
        run.is_start_observed = not run.checkpoint
        self._mark_started(self.jobs[run.ref.job_id])

    def note_refusal(self, run, *, now_seconds):
        """Avoid a worker that refused a start for `REFUSAL_PAUSE_SECONDS`."""
        worker = self._worker(run.worker_id)
        worker.suspect_until_seconds = max(
            worker.suspect_until_seconds, now_seconds + REFUSAL_PAUSE_SECONDS
        )

    def record_straggler(self, run, *, now_seconds):
        """Avoid the worker of a straggler and count its restart."""
        job = self.jobs[run.ref.job_id]
        job.failed_worker_ids.add(run.worker_id)
        key = run.ref.occurrence, run.ref.step
        job.restarts[key] = job.restarts.get(key, 0) + 1
        # All stragglers of one run of a gang are one restart.
        job.restarted_runs.setdefault(_restart_key(job, run), set()).add(run.number)
        worker = self._worker(run.worker_id)
        worker.suspect_until_seconds = now_seconds + SUSPECT_SECONDS

    def count_restarts(self, run):
        """Return how many stragglers of the run's step were restarted."""
        key = run.ref.occurrence, run.ref.step
        return self.jobs[run.ref.job_id].restarts.get(key, 0)

    def count_own_restarts(self, run):
        """Return how often the run's task, or its gang, was restarted."""
        job = self.jobs[run.ref.job_id]
        return len(job.restarted_runs.get(_restart_key(job, run), ()))

    def record_room_move(self, run):
        """Record that a run is stopped to make room for a unit that starves."""
        job = self.jobs[run.ref.job_id]
        job.moved_for_room.add(_restart_key(job, run))

    def was_moved_for_room(self, run):
        """Return whether the run's task, or its gang, was moved for room before."""
        job = self.jobs[run.ref.job_id]
        return _restart_key(job, run) in job.moved_for_room

    def record_move(self, run, *, now_seconds):
        """Count the move of a run of a step."""
        moves = self.jobs[run.ref.job_id].moves
        key = run.ref.occurrence, run.ref.step
        moves[key] = moves.get(key, 0) + 1
        self.moved_at_seconds = now_seconds

    def count_moves(self, run):
        """Return how many runs of the run's step were moved."""
        key = run.ref.occurrence, run.ref.step
        return self.jobs[run.ref.job_id].moves.get(key, 0)

    def expect_task_seconds(self, queue, estimate_seconds):
        """Return the expected run time of a task of a queue on an average worker.

        It is the estimate of the caller if nothing can be learned from earlier runs.
        """
        return self.estimates.call(
            self.run_times.expect_seconds,
            queue,
            estimate_seconds,
            default=estimate_seconds,
        )

    def speed_view(self, now_seconds):
        """Return the `SpeedView`; without factors if it cannot be computed."""
        return self.estimates.call(
            self.worker_speeds.view, now_seconds=now_seconds, default=EMPTY_VIEW
        )

    def expected_seconds(self, run):
        """Return the expected run time of a run, from its start to its end."""
        queue = self.jobs[run.ref.job_id].submission.queue
        seconds = self.expect_task_seconds(queue, run.estimate_seconds)
        seconds *= run.slowdown
        return seconds * self.remote_factor if run.is_remote else seconds

    def worker_factor(self, run):
        """Return the pace of a run relative to that on an average worker.

        It is 1 for members of a gang, which all have the same pace.
        """
        step = self.jobs[run.ref.job_id].submission.steps[run.ref.step]
        return 1.0 if step.is_gang else self.worker_speeds.known_factor(run.worker_id)

    def expected_end_seconds(self, run, now_seconds):
        """Return when a run is expected to end.

        Extrapolates the reported progress, or uses the expected run time without it.
        """
        if run.is_stopping:
            return now_seconds
        gained_percent = run.percent - run.first_percent
        observed_seconds = run.percent_changed_at_seconds - run.progress_since_seconds
        if gained_percent > 0 and observed_seconds > 0:
            per_percent_seconds = observed_seconds / gained_percent
            return run.percent_changed_at_seconds + per_percent_seconds * (
                100 - run.percent
            )
        return max(now_seconds, run.claimed_at_seconds + self.expected_seconds(run))

    def advance_usage(self, now_seconds):
        """Average the usage by organisation up to now."""
        self.recent_usage.advance(self.used_by_organisation, now_seconds=now_seconds)

    def request_stop(self, run, reason, *, cause=""):
        """Mark a run as to be stopped; the first reason and its kind are kept."""
        if not run.is_stopping:
            run.is_stopping = True
            run.stop_reason = reason
            run.stop_cause = cause
            self._workers_to_stop.add(run.worker_id)

    def take_workers_to_stop(self):
        """Return the workers with runs that became ready to be stopped, once each."""
        worker_ids, self._workers_to_stop = self._workers_to_stop, set()
        return worker_ids

    def set_worker_entries(self, entries, *, now_seconds):
        """Replace the list of workers by the one that the platform shows."""
        listed = {entry.worker_id: entry for entry in entries}
        for worker_id in sorted(set(listed) | set(self.workers)):
            worker = self._worker(worker_id)
            if worker.entry != listed.get(worker_id):
                self.placement_changes_count += 1
            worker.entry = listed.get(worker_id)
            worker.last_entry = worker.entry or worker.last_entry
            _update_departure(worker, now_seconds)
            if worker.entry is not None:
                self.estimates.call(
                    self.worker_speeds.note_entry, worker.entry, now_seconds=now_seconds
                )
        gone = [
            worker_id
            for worker_id, worker in self.workers.items()
            if worker.entry is None
            and not worker.runs
            and not _is_watched(worker, now_seconds)
        ]
        for worker_id in gone:
            del self.workers[worker_id]
            self.estimates.call(self.worker_speeds.forget_worker, worker_id)

    def apply_report(self, worker_id, report):
        """Apply the answer of a worker to a poll.

        Returns
        -------
        ends : list of (Run or None, EndedRun)
            Ends in the order of the report; the run is None if it is not current.
        unknown_runs : list of RunningRun
            Runs that this scheduler does not know, which have to be stopped.
        """
        worker = self._worker(worker_id)
        if report.life < worker.life:
            return [], []
        is_new_life = report.life > worker.life
        was_lost = worker.lost_at_seconds is not None
        if is_new_life and worker.life:
            self._record_crash(worker, now_seconds=report.received_at_seconds)
        for run in self._crashes.note_answer(worker):
            if run.phase == RunPhase.CONFIRMED:
                self._clear_suspicion(run, now_seconds=report.received_at_seconds)
            if run.ref.job_id in self.jobs:
                self.unstored.mark_task(self.jobs[run.ref.job_id], run.ref)
        worker.life = report.life
        worker.is_replaced = False
        worker.answered_at_seconds = report.received_at_seconds
        if worker.last_entry is not None:
            self.estimates.call(
                self.worker_speeds.note_life,
                worker.last_entry,
                report.reported_life or report.life,
                now_seconds=report.received_at_seconds,
            )
        ends = [(self._apply_end(worker, end, report), end) for end in report.ended]
        unknown_runs = []
        running = {(item.ref, item.run) for item in report.running}
        for item in report.running:
            run = worker.runs.get((item.ref, item.run))
            if run is None:
                unknown_runs.append(item)
            else:
                self._apply_running(run, item, report)
        # The demand of unknown runs is not known, and so neither is the free capacity.
        if is_new_life or was_lost or worker.has_unknown_runs != bool(unknown_runs):
            self.placement_changes_count += 1
        worker.has_unknown_runs = bool(unknown_runs)
        self._withdraw_absent_runs(worker, running, report, is_new_life=is_new_life)
        return ends, unknown_runs

    def end_lapsed_runs(self, worker_id, *, now_seconds):
        """End the runs of a worker whose leases have certainly lapsed.

        Returns these runs; claimed runs, which have no start order yet, stay.
        """
        worker = self._worker(worker_id)
        runs = list(worker.runs.values())
        lapsed = [run for run in runs if run.phase != RunPhase.CLAIMED]
        finding = self._crashes.record_lapse(worker, lapsed, now_seconds=now_seconds)
        self._apply_crash_finding(worker_id, finding)
        for run in lapsed:
            self._end_run(run, how=None, checkpoint="", now_seconds=now_seconds)
        return lapsed

    def end_replaced_worker(self, worker_id, *, now_seconds):
        """End the runs of a worker that another one has replaced at its address.

        Returns these runs; runs whose order is not settled yet stay, and their orders
        are refused.
        """
        worker = self._worker(worker_id)
        if not worker.is_replaced:
            worker.is_replaced = True
            self._record_crash(worker, now_seconds=now_seconds)
        lost = [
            run
            for run in worker.runs.values()
            if run.phase in (RunPhase.CONFIRMED, RunPhase.UNSETTLED)
        ]
        for run in lost:
            self._end_run(run, how=None, checkpoint="", now_seconds=now_seconds)
        return lost

    def note_lost(self, worker_id, *, now_seconds):
        """Record that a worker has stopped answering."""
        if worker_id in self.workers:
            self.workers[worker_id].lost_at_seconds = now_seconds

    def held_worker_ids(self):
        """Return the workers that get no other work because of a suspected task."""
        return self._crashes.held_worker_ids()

    def crashed_addresses(self, now_seconds):
        """Return the addresses of the workers that have crashed recently."""
        return self._crashes.recent_addresses(now_seconds)

    def take_crash_findings(self):
        """Return (worker id, `CrashFinding`) of the latest crashes, once each."""
        findings, self._crash_findings = self._crash_findings, []
        return findings

    def take_pair_findings(self):
        """Return the `PairFinding` of pairs of kinds learned or dropped, once each."""
        return self.interference.take_findings() if self.interference else []

    def _record_crash(self, worker, *, now_seconds):
        finding = self._crashes.record_crash(
            worker, worker.runs.values(), now_seconds=now_seconds
        )
        self._apply_crash_finding(worker.worker_id, finding)

    def _apply_crash_finding(self, worker_id, finding):
        if finding.is_certain or finding.given_up:
            self._crash_findings.append((worker_id, finding))
        for ref in finding.suspects:
            if ref.job_id in finding.changed_job_ids:
                self.unstored.mark_task(self.jobs[ref.job_id], ref)
        for job_id, reason in finding.given_up.items():
            job = self.jobs[job_id]
            job.progress.failure_reason = reason
            self._update_job_state(job)

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
            kind=kind_of(job.submission.queue, step),
            has_checkpoints=step.has_checkpoints,
        )

    def _attach(self, run):
        worker = self._worker(run.worker_id)
        self.busy_workers_count += not worker.runs
        worker.runs[run.key] = run
        job = self.jobs[run.ref.job_id]
        job.runs[run.key] = run
        self._count_run(worker, job, run, 1)
        if self.neighbours is not None:
            self.estimates.call(
                self.neighbours.attach, run, now_seconds=run.claimed_at_seconds
            )

    def _detach(self, run, *, now_seconds):
        """Remove a run; returns the shares of its neighbours, or None if it is gone."""
        worker = self._worker(run.worker_id)
        if worker.runs.pop(run.key, None) is None:
            return None
        self.busy_workers_count -= not worker.runs
        job = self.jobs[run.ref.job_id]
        job.runs.pop(run.key, None)
        self._count_run(worker, job, run, -1)
        self.placement_changes_count += 1
        if self.neighbours is None:
            return {}
        return self.estimates.call(
            self.neighbours.detach, run, now_seconds=now_seconds, default={}
        )

    def _count_run(self, worker, job, run, change):
        """Update the kept figures for a run that was attached (1) or detached (-1)."""
        job.ready_units = None
        key = run.ref.job_id, run.ref.occurrence, run.ref.step
        runs_count = worker.step_counts.get(key, 0) + change
        if runs_count:
            worker.step_counts[key] = runs_count
        else:
            del worker.step_counts[key]
        resources = run.resources
        organisation = job.submission.organisation
        used = self.used_by_organisation.get(organisation, NO_RESOURCES)
        if change > 0:
            worker.used = worker.used.plus(resources)
            self.used_by_organisation[organisation] = used.plus(resources)
        else:
            worker.used = worker.used.minus(resources)
            self.used_by_organisation[organisation] = used.minus(resources)
        gpus_count = change * resources.gpus_count
        if run.priority > GUARANTEED_PRIORITY:
            self.other_gpus_count += gpus_count
        elif gpus_count:
            total_count = self.urgent_gpus.get(organisation, 0) + gpus_count
            self.urgent_gpus[organisation] = total_count

    def _apply_end(self, worker, end, report):
        run = worker.runs.get((end.ref, end.run))
        if run is None:
            run = self._restore_ended_run(worker, end, report)
        if run is None:
            self._apply_stale_end(worker, end, report)
            return None
        self._update_suspicion(worker, end, report.received_at_seconds)
        self._end_run(
            run,
            how=end.how,
            checkpoint=end.checkpoint,
            now_seconds=report.received_at_seconds,
        )
        return run

    def _restore_ended_run(self, worker, end, report):
        """Recreate the run of an end if it is missing; returns None otherwise.

        The worker forgets an end that was acknowledged, so that it must count now.
        """
        job = self.jobs.get(end.ref.job_id)
        held = job.progress.held_run(end.ref) if job else None
        if held is None or (held.worker_id, held.number) != (
            worker.worker_id,
            end.run,
        ):
            return None
        run = self._restore_run(job, held, now_seconds=report.received_at_seconds)
        self._missing_runs.note_restored(run)
        return run

    def _apply_stale_end(self, worker, end, report):
        """Accept a late success of a removed run if no newer run was claimed."""
        job = self.jobs.get(end.ref.job_id)
        task = job.progress.task(end.ref) if job else None
        if task is None or task.worker_id or task.last_run != end.run:
            return
        if end.how != "done" or job.step_runs(end.ref.occurrence, end.ref.step):
            return
        self._record_end(job, end.ref, end, now_seconds=report.received_at_seconds)

    def _apply_running(self, run, item, report):
        now_seconds = report.received_at_seconds
        if run.phase != RunPhase.CONFIRMED:
            run.phase = RunPhase.CONFIRMED
            run.confirmed_at_seconds = now_seconds
            run.confirmed_clock_seconds = report.clock_seconds
            if run.is_stopping:
                # Stop orders are only sent for confirmed runs.
                self._workers_to_stop.add(run.worker_id)
            self._mark_started(self.jobs[run.ref.job_id])
        running_seconds = report.clock_seconds - run.confirmed_clock_seconds
        if not run.has_survived and running_seconds >= SURVIVAL_SECONDS:
            run.has_survived = True
            self._clear_suspicion(run, now_seconds=now_seconds)
        if not run.is_progress_known:
            run.is_progress_known = True
            run.first_percent = run.percent = item.percent
            run.progress_since_seconds = run.percent_changed_at_seconds = now_seconds
        elif item.percent != run.percent:
            run.percent = item.percent
            run.percent_changed_at_seconds = now_seconds
            self.estimates.call(
                self._learning.learn_progress,
                self.jobs[run.ref.job_id],
                run,
                now_seconds=now_seconds,
            )
        if item.checkpoint and item.checkpoint != run.checkpoint:
            run.note_checkpoint(item.checkpoint, now_seconds=now_seconds)
            task = self.jobs[run.ref.job_id].progress.task(run.ref)
            if task is not None and task.last_run == run.number:
                task.checkpoint = item.checkpoint

    def _withdraw_absent_runs(self, worker, running, report, *, is_new_life):
        """Withdraw runs that the report proves to be absent."""
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
                # The worker has seen a higher token, so it rejects the start order of
                # this run if the order arrives late.
                is_absent = run.phase == RunPhase.UNSETTLED and report.token > run.token
            if is_absent:
                self.withdraw(run, now_seconds=report.received_at_seconds)

    def _end_run(self, run, *, how, checkpoint, now_seconds):
        if how == "done":
            self._note_gang_workers(run)
        neighbour_shares = self._detach(run, now_seconds=now_seconds)
        if neighbour_shares is None:
            return
        job = self.jobs[run.ref.job_id]
        step = job.submission.steps[run.ref.step]
        if how == "failed":
            job.failed_worker_ids.add(run.worker_id)
        if how != "done" and not run.checkpoint and not step.is_long_running:
            self._count_lost_run(job, run, now_seconds)
        if how in ("done", "failed"):
            self._clear_suspicion(run, now_seconds=now_seconds)
        if record_open_run_end(job.progress, run.ref, run=run.number):
            self.unstored.mark_task(job, run.ref)
            self.unstored.drop_obsolete_parts(job, run.ref)
        end = _End(run=run.number, how=how, checkpoint=checkpoint or run.checkpoint)
        self._record_end(job, run.ref, end, now_seconds=now_seconds)
        if step.is_gang and how != "done":
            for other in job.step_runs(run.ref.occurrence, run.ref.step):
                # The whole gang is lost for the cause that ended the first member.
                cause = run.stop_cause or how or "lapsed"
                reason = "another member of the gang ended"
                self.request_stop(other, reason, cause=str(cause))
        self.estimates.call(
            self._learn_from_end,
            job,
            run,
            how=how,
            neighbour_shares=neighbour_shares,
            now_seconds=now_seconds,
        )

    def _learn_from_end(self, job, run, *, how, neighbour_shares, now_seconds):
        """Keep when a run was, and learn from its whole run time if that is known."""
        if not job.submission.steps[run.ref.step].is_long_running:
            job.past_runs.append(
                make_past_run(
                    run,
                    how=how,
                    ended_at_seconds=now_seconds,
                    expected_seconds=self.expected_seconds(run),
                )
            )
        if how == "done" and run.is_start_observed and not run.is_remote:
            self._learning.learn_end(
                job, run, neighbour_shares, now_seconds=now_seconds
            )

    def _note_gang_workers(self, run):
        """Keep the workers of a gang before its first member that is done is gone."""
        job = self.jobs[run.ref.job_id]
        is_gang = job.submission.steps[run.ref.step].is_gang
        if not is_gang or run.gang_worker_ids:
            return
        members = job.step_runs(run.ref.occurrence, run.ref.step)
        worker_ids = tuple(member.worker_id for member in members)
        for member in members:
            member.gang_worker_ids = worker_ids

    def _count_lost_run(self, job, run, now_seconds):
        if run.phase == RunPhase.CLAIMED or run.priority == GUARANTEED_PRIORITY:
            return
        seconds = max(0.0, now_seconds - run.claimed_at_seconds)
        service = job.submission.service
        self.lost_gpu_seconds[service] = (
            self.lost_gpu_seconds.get(service, 0.0) + seconds * run.resources.gpus_count
        )

    def _record_end(self, job, ref, end, *, now_seconds):
        if record_end(
            job.progress,
            job.submission,
            ref,
            run=end.run,
            how=end.how,
            checkpoint=end.checkpoint,
        ):
            if job.submission.steps[ref.step].is_gang:
                self.unstored.mark_step(job, ref)
            else:
                self.unstored.mark_task(job, ref)
            job.ready_since_seconds = now_seconds
            job.ready_units = None
            self.placement_changes_count += 1
        self._update_job_state(job, changed_ref=ref)

    def _clear_suspicion(self, run, *, now_seconds):
        if self._crashes.note_survival(run, now_seconds=now_seconds):
            self.unstored.mark_task(self.jobs[run.ref.job_id], run.ref)
            self.placement_changes_count += 1

    def _mark_started(self, job):
        if not job.has_started:
            job.has_started = True
            self._update_job_state(job)

    def _update_job_state(self, job, *, changed_ref=None):
        done_count = len(job.progress.done_occurrences)
        has_changed = update_state(
            job.progress,
            job.submission,
            is_cancelled=job.is_cancelled,
            has_started=job.has_started,
            changed_ref=changed_ref,
        )
        if has_changed or len(job.progress.done_occurrences) != done_count:
            self.unstored.mark_head(job.submission.job_id)
            self.unstored.drop_obsolete_parts(job)
        if job.progress.is_final:
            # The other members of a completed gang end without a stop order.
            if job.progress.state == JobState.COMPLETED:
                return
            for run in job.runs.values():
                state = job.progress.state
                self.request_stop(run, f"the job is {state}", cause=str(state))

    def _update_suspicion(self, worker, end, now_seconds):
        if end.how == "done":
            worker.failed_job_ids.clear()
            worker.suspect_until_seconds = float("-inf")
        elif end.how == "failed":
            worker.failed_job_ids.add(end.ref.job_id)
            if len(worker.failed_job_ids) >= SUSPECT_JOBS_COUNT:
                worker.suspect_until_seconds = now_seconds + SUSPECT_SECONDS


def _restart_key(job, run):
    ref = run.ref
    is_gang = job.submission.steps[ref.step].is_gang
    return (ref.occurrence, ref.step) if is_gang else ref


def _is_watched(worker, now_seconds):
    return bool(worker.lapsed_suspects) and now_seconds < worker.watched_until_seconds


def _update_departure(worker, now_seconds):
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
