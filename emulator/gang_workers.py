"""In-memory workers that run tasks under leases and fencing tokens.

They behave like the workers of the platform: leases end at absolute deadlines on the
clock of the worker, ends of runs are reported until they are acknowledged, the runs of
a gang end together, and orders may be executed late. An observer is notified of
starts, ends, crashes, losses, lapses and acknowledgements.
"""

from functools import partial

import anyio
import attrs

from kingcuptrack.coordination.ports import FENCED, REJECTED, TOO_LATE, Workers
from kingcuptrack.outcomes import Done, Refused, Unknown
from kingcuptrack.state.cluster.reports import (
    EndedRun,
    RunningRun,
    WorkerEntry,
    WorkerReport,
)
from kingcuptrack.state.jobs.progress import EndKind
from kingcuptrack.state.jobs.steps import NO_RESOURCES, Resources

from .worker_checkpoints import latest_checkpoint, parse_checkpoint, restored_seconds
from .worker_crashes import CRASHED_SECONDS, crash_by_run, find_crash_outcome

# Mean delay of a call before the worker receives it.
CALL_DELAY_SECONDS = 0.003
LONGEST_LEASE_SECONDS = 6.0
# Time from a stop order to the end of the run.
STOP_DELAY_SECONDS = 0.1
# A run ends with `EndKind.ALONE` if its gang is not complete after this time.
GANG_TIMEOUT_SECONDS = 3.0
TICK_SECONDS = 0.02
# Shortest and longest delay of an order that is executed late.
LATE_ORDER_DELAY_SECONDS = (2.0, 12.0)


@attrs.define(kw_only=True, eq=False)
class SimulatedRun:
    """A run at a worker; ``ends_at`` is None until its gang is complete.

    ``image`` names work that behaves alike. The work takes ``work_seconds`` at a rate
    of 1, of which earlier runs did ``resumed_share``, up to their checkpoint, and this
    run ``done_seconds`` until ``rated_at``, when the rate last changed or the work
    began. Checkpoints are saved after every ``checkpoint_interval_seconds`` of work,
    never if it is 0. ``work_began_at`` is when the work would have begun without
    earlier runs.
    """

    ref: object
    number: int
    began_at: float
    resources: Resources
    image: str = ""
    ends_at: float | None = None
    work_began_at: float = 0.0
    work_seconds: float = 0.0
    done_seconds: float = 0.0
    rated_at: float = 0.0
    rate: float = 1.0
    outcome: EndKind = EndKind.DONE
    stops_at: float | None = None
    resumed_share: float = 0.0
    checkpoint_interval_seconds: float = 0.0

    def begin_work(self, now, seconds):
        """Begin the work, which takes ``seconds``; a run hangs if they are infinite."""
        share = self.resumed_share
        begins_at = now + restored_seconds(share)
        self.work_began_at = begins_at - share * seconds if share else begins_at
        self.work_seconds = seconds
        self.rated_at = begins_at
        self.ends_at = begins_at + (1 - share) * seconds

    def set_rate(self, now, rate):
        """Continue the work at another rate."""
        if self.ends_at is None or rate == self.rate:
            return
        self.done_seconds = self.worked_seconds(now)
        # A checkpoint is restored at the same pace beside other work.
        self.rated_at, self.rate = max(now, self.rated_at), rate
        left_seconds = (1 - self.resumed_share) * self.work_seconds - self.done_seconds
        self.ends_at = self.rated_at + left_seconds / rate

    def progress_percent(self, now):
        """Return the finished share of the work in percent, rounded down."""
        if self.ends_at is None:
            return 0
        share = self.resumed_share + self.worked_seconds(now) / self.work_seconds
        return int(100 * min(1.0, share))

    def worked_seconds(self, now):
        """Return the work that this run has done, in seconds at a rate of 1."""
        return self.done_seconds + max(0.0, now - self.rated_at) * self.rate

    def checkpoint(self, now):
        """Return the latest checkpoint, empty if there is none."""
        return latest_checkpoint(self, now, self.checkpoint_interval_seconds)


@attrs.define(kw_only=True)
class OrderFaults:
    """Faults of the calls to workers.

    ``cut_workers`` holds the ids of workers that no caller can reach; ``cut_pairs``
    holds pairs (caller, worker id) without a connection. A ``late_share`` of the orders
    is not answered and is executed after LATE_ORDER_DELAY_SECONDS; a ``lost_share`` is
    executed at once and not answered. Polls count as orders. If ``survive_restarts``,
    late orders are also executed by a worker that has restarted under its id meanwhile.
    Reads of the registry take ``list_delay_seconds`` longer.
    """

    cut_workers: set = attrs.field(factory=set)
    cut_pairs: set = attrs.field(factory=set)
    late_share: float = 0.0
    lost_share: float = 0.0
    list_delay_seconds: float = 0.0
    survive_restarts: bool = False


class SimulatedWorker:
    """One worker; a restart loses its state and changes its incarnation, ``life``.

    ``is_replaced`` means that it has crashed and another worker has taken its address.
    ``closed_life`` is the newest life whose connections closed when it crashed; after
    other crashes, calls get no answer. ``capacities`` lists (time, capacity) from that
    time on; ``entry`` may show an earlier one.
    """

    def __init__(self, *, entry, fleet, clock_rate, life):
        self.entry = entry
        self.capacities = [(anyio.current_time(), entry.capacity)]
        self.is_up = True
        # Multiplies the duration of runs that begin; infinite if they hang.
        self.slow_factor = 1.0
        self.is_replaced = False
        self.closed_life = None
        self._fleet = fleet
        self._clock_rate = clock_rate
        self.begin_life(life)

    def begin_life(self, life):
        """Reset the state of the worker, as a restart does, and set its incarnation."""
        self.life = life
        self._life_began_at = anyio.current_time()
        self.runs = {}
        self._unacknowledged_ends = []
        self._ends_count = 0
        self._highest_runs = {}
        self._newest_token = 0
        self._lease_deadline = 0.0
        self._has_lapsed = True
        self.is_up = True

    def clock(self):
        """Return this worker's steady clock."""
        return (anyio.current_time() - self._life_began_at) * self._clock_rate

    @property
    def capacity(self):
        """Capacity of the worker now."""
        return self.capacities[-1][1]

    @property
    def used(self):
        """Resources of all runs, including those that are being stopped."""
        total = NO_RESOURCES
        for run in self.runs.values():
            total = total.plus(run.resources)
        return total

    def crash(self, *, cause=None):
        """Lose all runs and be unreachable until `begin_life` is called.

        ``cause`` is the run that crashed the worker, if any.
        """
        if self.is_up:
            self._fleet.observer.note_crash(self, cause)
        self.leave()

    def leave(self):
        """End all runs without a report and be unreachable."""
        for run in list(self.runs.values()):
            self._fleet.handle_run_loss(self, run)
        self.runs.clear()
        self.is_up = False

    def start(self, order):
        """Execute a start order."""
        if order.token < self._newest_token:
            return Refused(code=FENCED)
        self._newest_token = order.token
        if order.deadline_seconds <= self.clock():
            return Refused(code=TOO_LATE)
        self._extend_lease(order.deadline_seconds)
        key = order.ref, order.run
        if key in self.runs:
            return Done(value=self.clock())
        if order.run <= self._highest_runs.get(order.ref, 0):
            return Refused(code=REJECTED, message="old")
        self.runs[key] = self._fleet.begin_run(self, order)
        self._fleet.update_rates(self)
        return Done(value=self.clock())

    def stop(self, ref, run, token):
        """Execute a stop order."""
        if token < self._newest_token:
            return Refused(code=FENCED)
        self._newest_token = token
        self._highest_runs[ref] = max(run, self._highest_runs.get(ref, 0))
        running = self.runs.get((ref, run))
        if running is not None and running.stops_at is None:
            running.stops_at = anyio.current_time() + STOP_DELAY_SECONDS
        return Done(value=self.clock())

    def accept_poll(self, request):
        """Apply the token, acknowledgement and deadline; return a refusal or None."""
        if request.token < self._newest_token:
            return Refused(code=FENCED)
        self._newest_token = request.token
        self._unacknowledged_ends = [
            end
            for end in self._unacknowledged_ends
            if end.number > request.acknowledged_end
        ]
        self._fleet.observer.note_acknowledged(
            self, request.acknowledged_end, anyio.current_time()
        )
        if request.deadline_seconds is not None:
            self._extend_lease(request.deadline_seconds)
        return None

    def report(self, token):
        """Return the report of the runs and of the ends not yet acknowledged."""
        return WorkerReport(
            life=self.life,
            clock_seconds=self.clock(),
            running=tuple(
                RunningRun(
                    ref=run.ref,
                    run=run.number,
                    checkpoint=run.checkpoint(anyio.current_time()),
                    percent=run.progress_percent(anyio.current_time()),
                )
                for run in self.runs.values()
            ),
            ended=tuple(self._unacknowledged_ends),
            token=token,
            received_at_seconds=anyio.current_time(),
        )

    def has_unacknowledged_end(self, acknowledged_end):
        """Return whether an end numbered above ``acknowledged_end`` is listed."""
        return any(end.number > acknowledged_end for end in self._unacknowledged_ends)

    def advance(self):
        """End the runs that are due, or all runs if the lease has lapsed."""
        now = anyio.current_time()
        if self.clock() >= self._lease_deadline:
            # The lease of a worker without runs lapses too: the observer is notified.
            if not self._has_lapsed:
                self._has_lapsed = True
                self._fleet.observer.note_lapse(self)
            for run in list(self.runs.values()):
                self.end_run(run, EndKind.LAPSED)
            return
        for run in list(self.runs.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end_run(run, EndKind.STOPPED)
            elif run.ends_at is not None and now >= run.ends_at:
                self._fleet.finish_run(self, run)
            elif run.ends_at is None and now - run.began_at > GANG_TIMEOUT_SECONDS:
                self.end_run(run, EndKind.ALONE)

    def end_run(self, run, how):
        """End a run and report its end until it is acknowledged."""
        if self.runs.pop((run.ref, run.number), None) is None:
            return
        self._ends_count += 1
        self._highest_runs[run.ref] = max(
            run.number, self._highest_runs.get(run.ref, 0)
        )
        end = EndedRun(
            number=self._ends_count,
            ref=run.ref,
            run=run.number,
            how=how,
            checkpoint=run.checkpoint(anyio.current_time()),
        )
        self._unacknowledged_ends.append(end)
        self._fleet.handle_run_end(self, run, end)
        self._fleet.update_rates(self)

    def _extend_lease(self, deadline):
        longest = self.clock() + LONGEST_LEASE_SECONDS
        self._lease_deadline = max(self._lease_deadline, min(deadline, longest))
        self._has_lapsed = self._lease_deadline <= self.clock()


class Fleet:
    """All workers, the work that jobs simulate, and the calls to the workers.

    Parameters
    ----------
    rng : random.Random
    spawn : callable
        Starts a background task; called with an async function and its arguments.
    observer : object
        Notified of starts, ends, crashes, losses, lapses and acknowledgements.
    """

    def __init__(self, *, rng, spawn, observer):
        self.workers = {}
        self.faults = OrderFaults()
        self.unlisted = set()
        self.draining = set()
        self.observer = observer
        # Simulated work by job id: (steps, actual run time of a task in seconds,
        # count of the first runs of each task that fail).
        self.jobs = {}
        # Sets of (step number, task index) by job id: tasks that crash their worker.
        self.crashing_tasks = {}
        # By (image, image of a neighbour): the factor by which a run takes longer while
        # runs of the other image are on its worker.
        self.interference = {}
        # Whether a worker returns under its id after such a crash.
        self.keeps_crashed_ids = False
        # Returns the run time of a task relative to that of its job, by its ref and the
        # number of the run.
        self.task_factor = lambda ref, number: 1.0
        # Time between two checkpoints of a run whose step has them; 0 for none.
        self.checkpoint_interval_seconds = 0.0
        # Time until which the registry lists a worker that has crashed, by worker id.
        self.listed_until = {}
        self._rng = rng
        self._spawn = spawn

    def add(self, entry, life):
        """Add a worker, whose clock runs up to 2% slow."""
        worker = SimulatedWorker(
            entry=entry,
            fleet=self,
            clock_rate=self._rng.uniform(0.98, 1.0),
            life=life,
        )
        self.workers[entry.worker_id] = worker
        return worker

    async def run(self):
        """Advance all workers every TICK_SECONDS until cancelled."""
        while True:
            for worker in list(self.workers.values()):
                if worker.is_up:
                    worker.advance()
            await anyio.sleep(TICK_SECONDS)

    def begin_run(self, worker, order):
        """Return a new run; begin the work of its gang if the run completes it."""
        steps, seconds, failing_runs = self.jobs.get(order.ref.job_id, ((), 1.0, 0))
        step = steps[order.ref.step] if steps else None
        now = anyio.current_time()
        run = SimulatedRun(
            ref=order.ref,
            number=order.run,
            began_at=now,
            resources=step.resources if step else NO_RESOURCES,
            image=step.image if step else "",
            outcome=EndKind.FAILED if order.run <= failing_runs else EndKind.DONE,
            resumed_share=parse_checkpoint(order.checkpoint),
        )
        if step is not None and step.has_checkpoints:
            run.checkpoint_interval_seconds = self.checkpoint_interval_seconds
        self.observer.note_start(worker, run, order)
        crashing_tasks = self.crashing_tasks.get(order.ref.job_id, ())
        if (order.ref.step, order.ref.index) in crashing_tasks:
            seconds_down = self._rng.uniform(*CRASHED_SECONDS)
            self._spawn(partial(crash_by_run, self, worker, run, seconds=seconds_down))
        if step is None or not step.is_gang:
            run.begin_work(now, seconds * self._run_factor(worker, run))
            return run
        members = [*self._other_members(run, with_worker=True), (worker, run)]
        if len(members) == step.task_count:
            # The runs of a gang work together: none ends before the slowest.
            slowest = max(self._run_factor(*member) for member in members)
            resumed_share = min(member.resumed_share for _, member in members)
            for _, member in members:
                member.resumed_share = resumed_share
                member.begin_work(now, seconds * slowest)
        return run

    def _run_factor(self, worker, run):
        return worker.slow_factor * self.task_factor(run.ref, run.number)

    def update_rates(self, worker):
        """Set the rates of the runs of a worker whose runs have changed.

        The runs of a gang keep to the rate of the slowest.
        """
        if not self.interference:
            return
        now = anyio.current_time()
        for run in worker.runs.values():
            members = [(worker, run), *self._other_members(run, with_worker=True)]
            rate = min(self._undisturbed_share(*member) for member in members)
            for _, member in members:
                member.set_rate(now, rate)

    def _undisturbed_share(self, worker, run):
        """Return the rate of a run beside the other runs of its worker."""
        images = {other.image for other in worker.runs.values() if other is not run}
        rate = 1.0
        for image in sorted(images):
            rate /= self.interference.get((run.image, image), 1.0)
        return rate

    def finish_run(self, worker, run):
        """End a run whose work is over, and the other runs of its gang."""
        others = self._other_members(run, with_worker=True)
        worker.end_run(run, run.outcome)
        for other_worker, other in others:
            is_done = run.outcome == EndKind.DONE and other.ends_at is not None
            other_worker.end_run(other, EndKind.DONE if is_done else EndKind.BROKEN)

    def handle_run_end(self, worker, run, end):
        """Notify the observer and, if the run ended early, end its gang as broken."""
        self.observer.note_end(worker, run, end)
        if end.how in (EndKind.STOPPED, EndKind.LAPSED, EndKind.ALONE):
            for other_worker, other in self._other_members(run, with_worker=True):
                other_worker.end_run(other, EndKind.BROKEN)

    def handle_run_loss(self, worker, run):
        """Notify the observer of a run lost with its worker; end its gang as broken."""
        self.observer.note_lost(worker, run)
        for other_worker, other in self._other_members(run, with_worker=True):
            if other_worker is not worker:
                other_worker.end_run(other, EndKind.BROKEN)

    def _other_members(self, run, *, with_worker=False):
        steps, _, _ = self.jobs.get(run.ref.job_id, ((), 0, 0))
        if not steps or not steps[run.ref.step].is_gang:
            return []
        members = [
            (worker, other)
            for worker in self.workers.values()
            if worker.is_up
            for other in list(worker.runs.values())
            if other is not run
            and other.number == run.number
            and (other.ref.job_id, other.ref.occurrence, other.ref.step)
            == (run.ref.job_id, run.ref.occurrence, run.ref.step)
        ]
        return members if with_worker else [other for _, other in members]

    def port(self, caller, can_reach_store):
        """Return the `Workers` port of one caller."""

        def is_cut(worker_id):
            return (
                worker_id in self.faults.cut_workers
                or (caller, worker_id) in self.faults.cut_pairs
            )

        async def miss_worker(entry, timeout_seconds):
            """Return the outcome of a call that has not reached the worker."""
            outcome = find_crash_outcome(self, entry, is_cut)
            if outcome is not None:
                return outcome
            await anyio.sleep(timeout_seconds)
            return Unknown(message="no answer")

        async def reach_worker(entry, timeout_seconds, *, is_order):
            """Return (worker or None, is answer lost, is execution late)."""
            await anyio.sleep(CALL_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))
            worker = self.workers.get(entry.worker_id)
            if worker is None or not worker.is_up or is_cut(entry.worker_id):
                return None, False, False
            chance = self._rng.random() if is_order else 1.0
            is_late = chance < self.faults.late_share
            is_lost = chance < self.faults.late_share + self.faults.lost_share
            return worker, is_lost, is_late

        async def call(entry, timeout_seconds, execute):
            worker, is_lost, is_late = await reach_worker(
                entry, timeout_seconds, is_order=True
            )
            if worker is None:
                return await miss_worker(entry, timeout_seconds)
            if is_late:
                self._spawn(self._execute_late, worker, worker.life, execute)
            outcome = Unknown(message="no answer") if is_late else execute(worker)
            if is_late or is_lost:
                await anyio.sleep(timeout_seconds)
                return Unknown(message="no answer")
            return outcome

        async def poll(*, entry, request, timeout_seconds):
            worker, is_lost, is_late = await reach_worker(
                entry, timeout_seconds, is_order=True
            )
            if worker is None:
                return await miss_worker(entry, timeout_seconds)
            if is_late:
                self._spawn(
                    self._execute_late,
                    worker,
                    worker.life,
                    lambda late_worker: late_worker.accept_poll(request),
                )
                await anyio.sleep(timeout_seconds)
                return Unknown(message="no answer")
            life = worker.life
            refusal = worker.accept_poll(request)
            if refusal is not None:
                return refusal
            end = anyio.current_time() + request.wait_seconds
            while anyio.current_time() < end and not worker.has_unacknowledged_end(
                request.acknowledged_end
            ):
                await anyio.sleep(TICK_SECONDS)
                if worker.closed_life == life and not is_cut(entry.worker_id):
                    return Unknown(message="connection closed without an answer")
            is_gone = not worker.is_up or worker.life != life
            if is_lost or is_gone or is_cut(entry.worker_id):
                await anyio.sleep(timeout_seconds)
                return Unknown(message="no answer")
            return Done(value=worker.report(request.token))

        async def start(*, entry, order, timeout_seconds):
            return await call(
                entry, timeout_seconds, lambda worker: worker.start(order)
            )

        async def stop(*, entry, ref, run, token, timeout_seconds):
            return await call(
                entry, timeout_seconds, lambda worker: worker.stop(ref, run, token)
            )

        async def list_entries(*, timeout_seconds, note_begun=None):
            await anyio.sleep(CALL_DELAY_SECONDS)
            delay_seconds = self.faults.list_delay_seconds
            if not can_reach_store() or delay_seconds >= timeout_seconds:
                await anyio.sleep(timeout_seconds)
                return Unknown(message="no answer")
            entries = self.list_entries()
            if delay_seconds:
                await anyio.sleep(delay_seconds)
            return Done(value=entries)

        return Workers(poll=poll, start=start, stop=stop, list=list_entries)

    def list_entries(self):
        """Return the entries of the registry.

        A worker that has crashed, rather than left, is listed for some seconds more.
        """
        now = anyio.current_time()
        return [
            attrs.evolve(worker.entry, is_draining=worker_id in self.draining)
            for worker_id, worker in self.workers.items()
            if worker_id not in self.unlisted
            and (worker.is_up or now < self.listed_until.get(worker_id, now))
        ]

    async def _execute_late(self, worker, life, execute):
        await anyio.sleep(self._rng.uniform(*LATE_ORDER_DELAY_SECONDS))
        is_same_life = worker.life == life
        if worker.is_up and (is_same_life or self.faults.survive_restarts):
            self.observer.is_late_order = True
            execute(worker)
            self.observer.is_late_order = False


WORKER_CAPACITY = Resources(cpu_millicores=32000, memory_mb=65536, gpus_count=8)


def make_worker_entry(
    number, *, rack_size=8, racks_per_data_centre=1, capacity=WORKER_CAPACITY
):
    """Return the registry entry of a worker."""
    rack = number // rack_size
    return WorkerEntry(
        worker_id=f"w{number:02d}",
        service="studio",
        address=f"w{number:02d}",
        data_centre=f"dc{rack // racks_per_data_centre}",
        rack=f"r{rack}",
        labels=frozenset({"a", f"r{rack}"}),
        capacity=capacity,
    )
