"""The scheduler's session with one worker: polls, start orders and stop orders."""

from collections import deque

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.cluster.shard_entities import RunPhase
from .leases import LeaseTracker
from .ports import FENCED, REJECTED, REPLACED, WORKER_BUSY, PollRequest, StartOrder
from .supervision import supervise

# Wait of a poll for the end of a run, and the longest wait while so many workers are
# busy that polls would take too much processor time. The next poll renews the lease;
# the wait must stay well below `lease_seconds`, so that most of the lease is left when
# a worker becomes unreachable. Workers accept waits of up to 2 s.
POLL_WAIT_SECONDS = 0.7
LONGEST_POLL_WAIT_SECONDS = 1.9
# Polls per second for each core of the scheduler's instance; a tenth of a core.
POLLS_PER_CORE_SECOND = 150.0
# Time limit of an answer in addition to the wait; many times the usual answer time.
CALL_TIMEOUT_SECONDS = 0.6
# Interval between polls of a worker without runs, which keep its clock and health
# known. Three intervals must fit into `scheduling_units.ANSWER_AGE_LIMIT_SECONDS`.
IDLE_POLL_INTERVAL_SECONDS = 2.0
# Pause after a call without an answer.
RETRY_SECONDS = 0.1
# Interval between polls of a worker that does not answer and has no runs.
SILENT_POLL_INTERVAL_SECONDS = 0.5
# Interval at which a stop order is repeated until the worker reports the end.
STOP_RETRY_SECONDS = 0.5
# Age from which a queued start order is no longer sent, since it would ignore cancels
# and take-outs made after the commit of its claim, which bind within 3 s. Members of
# a gang wait as long for each other.
ORDER_AGE_LIMIT_SECONDS = 2.0


def poll_wait_seconds(busy_workers_count, cores):
    """Return how long polls wait for the end of a run.

    Parameters
    ----------
    busy_workers_count : int
    cores : float
        Processor time of this instance; 0 if unknown, which counts as one core.
    """
    polls_per_second = POLLS_PER_CORE_SECOND * (cores or 1.0)
    wait_seconds = busy_workers_count / polls_per_second
    return min(max(wait_seconds, POLL_WAIT_SECONDS), LONGEST_POLL_WAIT_SECONDS)


def _is_answer(outcome):
    """Return whether the worker that was called has answered, if only to refuse."""
    return isinstance(outcome, Refused) and outcome.code in (
        FENCED,
        REJECTED,
        WORKER_BUSY,
    )


@attrs.define(kw_only=True, eq=False)
class Session:
    """Session with one worker.

    ``token`` is the fencing token of its orders; it is raised so that the worker
    rejects earlier orders that were not answered. The worker numbers the ends of its
    runs: ``received_end`` is the newest received, ``acknowledged_end`` the newest that
    the worker may delete.
    """

    worker_id: str
    scheduler: object
    token: int
    leases: LeaseTracker
    acknowledged_end: int = 0
    received_end: int = 0
    _starts: deque = attrs.field(factory=deque, init=False)
    _order_event: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _poll_event: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _known_event: anyio.Event | None = attrs.field(default=None, init=False)
    _worker_clock_seconds: float = attrs.field(default=float("-inf"), init=False)
    _answered_at_seconds: float = attrs.field(default=float("-inf"), init=False)
    _reported_life: int | None = attrs.field(default=None, init=False)
    _life: int = attrs.field(default=0, init=False)
    _stop_sent_at_seconds: dict = attrs.field(factory=dict, init=False)
    _unknown_runs: dict = attrs.field(factory=dict, init=False)
    # Job of each end that the worker may not delete yet, by the number of the end.
    _job_id_by_end: dict = attrs.field(factory=dict, init=False)
    _is_reachable: bool = attrs.field(default=True, init=False)
    _may_have_restarted: bool = attrs.field(default=False, init=False)

    async def run(self):
        """Poll the worker and send it orders until cancelled."""
        async with anyio.create_task_group() as task_group:
            for name, function in (
                (f"poll {self.worker_id}", self._poll_loop),
                (f"order {self.worker_id}", self._order_loop),
            ):
                task_group.start_soon(supervise, name, function)

    def queue_start(self, run, spec):
        """Queue a start order for a committed run."""
        self._starts.append((run, spec, self.scheduler.clocks.boottime()))
        self.wake()

    @property
    def has_runs(self):
        """Whether the worker has runs, or may have."""
        return bool(self._runs())

    @property
    def life(self):
        """Number of the incarnations seen so far; 0 before the first answer."""
        return self._life

    def note_end(self, end):
        """Record the newest end that the worker has reported."""
        self.received_end = end.number
        self._job_id_by_end[end.number] = end.ref.job_id

    @property
    def unacknowledged_job_ids(self):
        """Ids of the jobs with ends that the worker may not delete yet."""
        return set(self._job_id_by_end.values())

    def acknowledge(self, end_number, life):
        """Acknowledge the ends of one incarnation up to a number with later polls."""
        if life == self._life:
            self._job_id_by_end = {
                number: job_id
                for number, job_id in self._job_id_by_end.items()
                if number > end_number
            }
            self.acknowledged_end = max(self.acknowledged_end, end_number)
            self._poll_event.set()

    def wake(self):
        """Send pending orders, and poll an idle worker, without further wait."""
        self._order_event.set()
        self._poll_event.set()

    def note_known(self):
        """Continue if the worker was dropped and has been listed again."""
        if self._known_event is not None:
            self._known_event.set()
            self._known_event = None

    async def _wait_until_known(self):
        """Wait while the shard state has dropped the worker, which has no runs then."""
        while self._worker() is None:
            if self._known_event is None:
                self._known_event = anyio.Event()
            await self._known_event.wait()

    async def _poll_loop(self):
        while True:
            await self._wait_until_known()
            if self._entry() is None:
                # Loaded runs can refer to workers that have not been listed yet.
                await anyio.sleep(RETRY_SECONDS)
                continue
            is_busy = bool(self._runs()) or bool(self._unknown_runs)
            is_answered = await self.poll(
                wait_seconds=self.scheduler.poll_wait_seconds()
                if is_busy and self._is_reachable
                else 0
            )
            if not is_answered:
                await self._wait_after_failure()
            elif self.received_end > self.acknowledged_end:
                # The worker would answer at once, with the same ends, until the commit
                # of these ends allows to acknowledge them.
                await self._wait_for_wake(self.scheduler.poll_wait_seconds())
            elif not self._runs():
                await self._wait_for_wake(IDLE_POLL_INTERVAL_SECONDS)

    async def _wait_after_failure(self):
        if self._runs():
            await anyio.sleep(RETRY_SECONDS)
        elif self._is_replaced():
            await self._wait_for_wake(IDLE_POLL_INTERVAL_SECONDS)
        else:
            await self._wait_for_wake(SILENT_POLL_INTERVAL_SECONDS)

    async def _wait_for_wake(self, limit_seconds):
        self._poll_event = anyio.Event()
        with anyio.move_on_after(limit_seconds):
            await self._poll_event.wait()

    async def poll(self, *, wait_seconds):
        """Poll once and apply the report; returns whether the worker answered."""
        entry = self._entry()
        if entry is None:
            return False
        now_seconds = self._now_seconds()
        token = self.token
        if self.leases.estimate_worker_clock(now_seconds) is None:
            wait_seconds = 0.0
        # An unreachable worker gets no extension: an unanswered extension may have
        # arrived, and so postpones the time from which the runs count as ended.
        may_extend = self._is_reachable and self.scheduler.may_extend_leases()
        request = PollRequest(
            token=token,
            # A worker that has restarted numbers its ends anew.
            acknowledged_end=0 if self._may_have_restarted else self.acknowledged_end,
            deadline_seconds=self.leases.grant(now_seconds) if may_extend else None,
            wait_seconds=wait_seconds,
        )
        outcome = await self.scheduler.workers.poll(
            entry=entry,
            request=request,
            timeout_seconds=wait_seconds + self._call_timeout_seconds(),
        )
        if not isinstance(outcome, Done):
            is_fenced = isinstance(outcome, Refused) and outcome.code == FENCED
            # A later order of this session may have carried a higher token and arrived
            # before this poll.
            if is_fenced and token == self.token:
                self.scheduler.end_fenced_term(self.worker_id)
            self._note_unreachable(outcome)
            self._check_replaced(outcome)
            return False
        self._note_reachable()
        self._apply_report(outcome.value, now_seconds)
        return True

    def _apply_report(self, report, sent_at_seconds):
        """Apply the answer to a poll that was sent at a time of the steady clock."""
        if report.life != self._reported_life:
            # Lives are not ordered by their numbers: the time of day of the worker can
            # be set back. Only a poll sent after the newest answer was received cannot
            # have been answered by an earlier life.
            if sent_at_seconds < self._answered_at_seconds:
                return
            if self._life:
                log_event(
                    "worker",
                    outcome="new_life",
                    worker_id=self.worker_id,
                    life=report.life,
                    previous=self._reported_life,
                )
                self.token += 1
            self._reported_life = report.life
            self._life += 1
            self.acknowledged_end = self.received_end = 0
            self._job_id_by_end.clear()
            self._stop_sent_at_seconds.clear()
        elif report.clock_seconds < self._worker_clock_seconds:
            # A newer answer has already been applied.
            return
        self._may_have_restarted = False
        self._worker_clock_seconds = report.clock_seconds
        self._answered_at_seconds = report.received_at_seconds
        report = attrs.evolve(report, life=self._life, reported_life=report.life)
        self.leases.note_report(report)
        unknown_runs = self.scheduler.apply_report(self, report)
        self._unknown_runs = {(item.ref, item.run): item for item in unknown_runs}
        if unknown_runs:
            self._order_event.set()

    async def _order_loop(self):
        while True:
            if self._worker() is None:
                # Settles the orders that were queued before the worker was dropped.
                await self._send_starts()
            await self._wait_until_known()
            self._order_event = anyio.Event()
            await self._send_starts()
            await self._settle_orders()
            await self._send_stops()
            if not self._starts and not self._has_unsettled():
                with anyio.move_on_after(STOP_RETRY_SECONDS):
                    await self._order_event.wait()

    async def _send_starts(self):
        while self._starts:
            run, spec, queued_at_seconds = self._starts.popleft()
            is_answered = False
            try:
                if run.key in self._runs() and run.phase == RunPhase.ORDERED:
                    reason = self._find_start_obstacle(run, queued_at_seconds)
                    if reason:
                        self._abandon_start(run, reason)
                    else:
                        is_answered = await self._send_start(run, spec)
            except Exception:
                # The order may have been sent.
                run.phase = RunPhase.UNSETTLED
                raise
            finally:
                self.scheduler.note_order_settled(is_sent=is_answered)
            if run.phase == RunPhase.UNSETTLED:
                return

    def _find_start_obstacle(self, run, queued_at_seconds):
        """Return why a start order must not be sent; empty if it may be."""
        if run.is_stopping:
            return run.stop_reason
        if self._has_unsettled():
            return "an earlier order to this worker had no answer"
        age_seconds = self.scheduler.clocks.boottime() - queued_at_seconds
        if age_seconds > ORDER_AGE_LIMIT_SECONDS:
            return "the claim has become too old"
        if not self.scheduler.may_start(self.worker_id):
            return "the worker is closed, leaving, or leadership is in doubt"
        obstacle = self.scheduler.find_capacity_obstacle(self.worker_id)
        return obstacle or self.scheduler.find_maximum_obstacle(run)

    async def _send_start(self, run, spec):
        """Send a start order; returns whether the worker answered."""
        now_seconds = self._now_seconds()
        deadline_seconds = self.leases.grant(now_seconds)
        if deadline_seconds is None:
            self._abandon_start(run, "the worker has not answered yet")
            return False
        run.token = self.token
        life = self._life
        order = StartOrder(
            ref=run.ref,
            run=run.number,
            spec=spec,
            checkpoint=run.checkpoint,
            deadline_seconds=deadline_seconds,
            token=run.token,
        )
        outcome = await self.scheduler.workers.start(
            entry=self._entry(),
            order=order,
            timeout_seconds=self._call_timeout_seconds(),
        )
        seconds = self._now_seconds() - now_seconds
        self.scheduler.record_latency("start_order", seconds)
        if isinstance(outcome, Done) and life != self._life:
            # Either life may have accepted it; a poll with a higher token shows which.
            run.phase = RunPhase.UNSETTLED
            self._log_start(run, "unknown", "the worker has restarted meanwhile")
        elif isinstance(outcome, Done):
            if outcome.value < self._worker_clock_seconds:
                self._may_have_restarted = True
            # Answers to earlier polls cannot show whether a new life has this run.
            self._answered_at_seconds = self._now_seconds()
            self._log_start(run, "accepted", "")
            self.scheduler.confirm_start(run, outcome.value)
        elif isinstance(outcome, Refused):
            self._abandon_start(run, outcome.code)
            self.scheduler.note_refusal(run, outcome)
            self._check_replaced(outcome)
        else:
            run.phase = RunPhase.UNSETTLED
            self._log_start(run, "unknown", outcome.message)
        return isinstance(outcome, Done | Refused)

    def _abandon_start(self, run, reason):
        self._log_start(run, "not_started", reason)
        self.scheduler.withdraw(run)

    def _log_start(self, run, outcome, reason):
        log_event(
            "start",
            outcome=outcome,
            task=str(run.ref),
            run=run.number,
            worker_id=self.worker_id,
            token=run.token,
            reason=reason,
        )

    async def _settle_orders(self):
        """Fence unanswered orders, then poll to find out whether they had effect."""
        unsettled = [
            run for run in self._runs().values() if run.phase == RunPhase.UNSETTLED
        ]
        if not unsettled or self._entry() is None:
            if unsettled:
                await anyio.sleep(RETRY_SECONDS)
            return
        highest_token = max(run.token for run in unsettled)
        if highest_token >= self.token:
            self.token = highest_token + 1
        if not await self.poll(wait_seconds=0.0):
            await anyio.sleep(RETRY_SECONDS)

    async def _send_stops(self):
        keys_to_stop = {
            run.key
            for run in self._runs().values()
            if run.is_stopping and run.phase == RunPhase.CONFIRMED
        }
        keys_to_stop |= set(self._unknown_runs)
        self._stop_sent_at_seconds = {
            key: sent_at_seconds
            for key, sent_at_seconds in self._stop_sent_at_seconds.items()
            if key in keys_to_stop
        }
        for key in sorted(keys_to_stop):
            entry = self._entry()
            sent_at_seconds = self._stop_sent_at_seconds.get(key, float("-inf"))
            if (
                entry is None
                or self._now_seconds() - sent_at_seconds < STOP_RETRY_SECONDS
            ):
                continue
            self._stop_sent_at_seconds[key] = self._now_seconds()
            ref, number = key
            run = self._runs().get(key)
            outcome = await self.scheduler.workers.stop(
                entry=entry,
                ref=ref,
                run=number,
                token=self.token,
                timeout_seconds=self._call_timeout_seconds(),
            )
            log_event(
                "stop",
                outcome="accepted" if isinstance(outcome, Done) else "not_accepted",
                task=str(ref),
                run=number,
                worker_id=self.worker_id,
                token=self.token,
                reason=run.stop_reason if run else "not a run of any job",
            )

    def _call_timeout_seconds(self):
        return self.scheduler.own_delay.extend(CALL_TIMEOUT_SECONDS)

    def _now_seconds(self):
        return self.scheduler.clocks.steady()

    def _worker(self):
        return self.scheduler.shard_state.workers.get(self.worker_id)

    def _entry(self):
        worker = self._worker()
        return worker.last_entry if worker else None

    def _runs(self):
        worker = self._worker()
        return worker.runs if worker else {}

    def _has_unsettled(self):
        return any(run.phase == RunPhase.UNSETTLED for run in self._runs().values())

    def _is_replaced(self):
        worker = self._worker()
        return worker is not None and worker.is_replaced

    def _check_replaced(self, outcome):
        if isinstance(outcome, Refused) and outcome.code == REPLACED:
            self.scheduler.end_replaced_worker(self.worker_id)

    def _note_unreachable(self, outcome):
        self._may_have_restarted = True
        if self._is_reachable:
            self._is_reachable = False
            if not _is_answer(outcome):
                self.scheduler.note_worker_lost(self.worker_id)
            log_event(
                "dependency",
                outcome="lost",
                dependency="worker",
                worker_id=self.worker_id,
                reason=outcome.message,
                runs_count=len(self._runs()),
            )

    def _note_reachable(self):
        if not self._is_reachable:
            self._is_reachable = True
            log_event(
                "dependency",
                outcome="regained",
                dependency="worker",
                worker_id=self.worker_id,
            )
