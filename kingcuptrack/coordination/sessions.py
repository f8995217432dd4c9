"""The scheduler's conversation with one worker: holds, starts, stops."""

from collections import deque

import anyio
import attrs

from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.shard_state import RunPhase
from .leases import LeaseTracker
from .ports import FENCED, PollRequest, StartOrder

# A waiting hold renews the lease when it ends; short enough that most of a lease is
# left when a worker is cut off.
POLL_WAIT_SECONDS = 0.7
# Answer time allowed beside the wait; many times an ordinary answer.
CALL_TIMEOUT_SECONDS = 0.6
# Looks at a worker without runs: they keep its clock and health known.
IDLE_INTERVAL_SECONDS = 2.0
# Pause after a call without an answer.
RETRY_SECONDS = 0.1
# A stop order is repeated until its end is listed.
STOP_RETRY_SECONDS = 0.5
# A claim whose order could not be sent for so long is given up: cancels and
# take-outs that came meanwhile have to hold.
ORDER_AGE_LIMIT_SECONDS = 1.0


@attrs.define(kw_only=True, eq=False)
class Session:
    """Session with one worker.

    ``token`` is the fencing token of its orders: it grows to make the worker
    reject earlier orders that had no answer.
    """

    worker_id: str
    scheduler: object
    token: int
    leases: LeaseTracker
    acknowledged_end: int = 0
    received_end: int = 0
    _starts: deque = attrs.field(factory=deque, init=False)
    _wake: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _idle_wake: anyio.Event = attrs.field(factory=anyio.Event, init=False)
    _clock: float = attrs.field(default=float("-inf"), init=False)
    _life: int = attrs.field(default=0, init=False)
    _stops_sent: dict = attrs.field(factory=dict, init=False)
    _strangers: dict = attrs.field(factory=dict, init=False)
    _is_reachable: bool = attrs.field(default=True, init=False)

    async def run(self):
        """Talk to the worker for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_loop)
            tasks.start_soon(self._order_loop)

    def queue_start(self, run, spec):
        """Queue a start order for a committed run."""
        self._starts.append((run, spec, self._now()))
        self.wake()

    @property
    def life(self):
        """Incarnation of the worker that answered last."""
        return self._life

    def acknowledge(self, end_number, life):
        """Let the worker forget the ends of one life up to a number."""
        if life == self._life:
            self.acknowledged_end = max(self.acknowledged_end, end_number)

    def wake(self):
        """Look for orders to send."""
        self._wake.set()
        self._idle_wake.set()

    # Holds

    async def _poll_loop(self):
        while True:
            if self._entry() is None:
                # Restored runs name workers before the list has been read.
                await anyio.sleep(RETRY_SECONDS)
                continue
            is_busy = bool(self._runs()) or bool(self._strangers)
            is_answered = await self.poll(
                wait_seconds=POLL_WAIT_SECONDS if is_busy and self._is_reachable else 0
            )
            if not is_answered:
                await anyio.sleep(RETRY_SECONDS)
            elif not self._runs():
                self._idle_wake = anyio.Event()
                with anyio.move_on_after(IDLE_INTERVAL_SECONDS):
                    await self._idle_wake.wait()

    async def poll(self, *, wait_seconds):
        """Send one hold and apply its report; returns whether it was answered."""
        entry = self._entry()
        if entry is None:
            return False
        now = self._now()
        token = self.token
        if self.leases.estimate_worker_clock(now) is None:
            wait_seconds = 0.0
        # An extension without an answer may have arrived, and delays the moment from
        # which the runs can be taken as ended; a worker out of reach gets none.
        may_extend = self._is_reachable and self.scheduler.may_extend_leases()
        request = PollRequest(
            token=token,
            acknowledged_end=self.acknowledged_end,
            deadline_seconds=self.leases.grant(now) if may_extend else None,
            wait_seconds=wait_seconds,
        )
        outcome = await self.scheduler.workers.poll(
            entry=entry,
            request=request,
            timeout_seconds=wait_seconds + CALL_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done):
            is_fenced = isinstance(outcome, Refused) and outcome.code == FENCED
            # Orders that overtook this hold may have carried a higher token.
            if is_fenced and token == self.token:
                self.scheduler.note_fenced(self.worker_id)
            self._note_unreachable(outcome)
            return False
        self._note_reachable()
        self._apply(outcome.value)
        return True

    def _apply(self, report):
        if report.life < self._life:
            return
        if report.life == self._life and report.clock_seconds < self._clock:
            # An answer that was overtaken by a newer one.
            return
        if report.life > self._life:
            if self._life:
                log_event(
                    "worker",
                    outcome="new_life",
                    worker_id=self.worker_id,
                    life=report.life,
                    previous=self._life,
                )
            self._life = report.life
            self.acknowledged_end = self.received_end = 0
            self._stops_sent.clear()
        self._clock = report.clock_seconds
        self.leases.note_report(report)
        strangers = self.scheduler.apply_report(self, report)
        self._strangers = {(item.ref, item.run): item for item in strangers}
        if strangers:
            self._wake.set()

    # Orders

    async def _order_loop(self):
        while True:
            self._wake = anyio.Event()
            await self._send_starts()
            await self._settle()
            await self._send_stops()
            if not self._starts and not self._has_unsettled():
                with anyio.move_on_after(STOP_RETRY_SECONDS):
                    await self._wake.wait()

    async def _send_starts(self):
        while self._starts:
            run, spec, queued_at = self._starts.popleft()
            if run.key not in self._runs() or run.phase != RunPhase.ORDERED:
                continue
            reason = self._find_obstacle(run, queued_at)
            if reason:
                self._give_up(run, reason)
                continue
            await self._send_start(run, spec)
            if run.phase == RunPhase.UNSETTLED:
                return

    def _find_obstacle(self, run, queued_at):
        """Return why a start must not be sent any more, or an empty string."""
        if run.is_stopping:
            return run.stop_reason
        if self._has_unsettled():
            return "an earlier order to this worker had no answer"
        if self._now() - queued_at > ORDER_AGE_LIMIT_SECONDS:
            return "the claim has become too old"
        if not self.scheduler.may_start(self.worker_id):
            return "the worker is closed, leaving, or leadership is in doubt"
        return ""

    async def _send_start(self, run, spec):
        now = self._now()
        deadline = self.leases.grant(now)
        if deadline is None:
            self._give_up(run, "the worker has not answered yet")
            return
        run.token = self.token
        order = StartOrder(
            ref=run.ref,
            run=run.number,
            spec=spec,
            checkpoint=run.checkpoint,
            deadline_seconds=deadline,
            token=run.token,
        )
        outcome = await self.scheduler.workers.start(
            entry=self._entry(), order=order, timeout_seconds=CALL_TIMEOUT_SECONDS
        )
        seconds = self._now() - now
        self.scheduler.record_latency("start_order", seconds)
        if isinstance(outcome, Done):
            self._log_start(run, "accepted", "")
            self.scheduler.confirm_start(run, outcome.value)
        elif isinstance(outcome, Refused):
            self._give_up(run, outcome.code)
            self.scheduler.note_refusal(run, outcome)
        else:
            run.phase = RunPhase.UNSETTLED
            self._log_start(run, "unknown", outcome.message)

    def _give_up(self, run, reason):
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

    async def _settle(self):
        """Fence orders without an answer, and learn whether they took effect."""
        unsettled = [
            run for run in self._runs().values() if run.phase == RunPhase.UNSETTLED
        ]
        if not unsettled or self._entry() is None:
            if unsettled:
                await anyio.sleep(RETRY_SECONDS)
            return
        newest = max(run.token for run in unsettled)
        if newest >= self.token:
            self.token = newest + 1
        if not await self.poll(wait_seconds=0.0):
            await anyio.sleep(RETRY_SECONDS)

    async def _send_stops(self):
        wanted = {
            run.key
            for run in self._runs().values()
            if run.is_stopping and run.phase == RunPhase.CONFIRMED
        }
        wanted |= set(self._strangers)
        self._stops_sent = {
            key: sent_at for key, sent_at in self._stops_sent.items() if key in wanted
        }
        for key in sorted(wanted):
            entry = self._entry()
            sent_at = self._stops_sent.get(key, float("-inf"))
            if entry is None or self._now() - sent_at < STOP_RETRY_SECONDS:
                continue
            self._stops_sent[key] = self._now()
            ref, number = key
            run = self._runs().get(key)
            outcome = await self.scheduler.workers.stop(
                entry=entry,
                ref=ref,
                run=number,
                token=self.token,
                timeout_seconds=CALL_TIMEOUT_SECONDS,
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

    # Helpers

    def _now(self):
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

    def _note_unreachable(self, outcome):
        if self._is_reachable:
            self._is_reachable = False
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
