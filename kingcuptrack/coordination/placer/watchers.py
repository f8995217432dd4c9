"""Tasks that renew the leases at each worker and read its state, one per worker."""

import collections
import time

import anyio
import attrs
from loguru import logger

from ...logs import log_decision
from ...outcomes import Done, Refused
from ...state.placer.scheduling import remove_worker, set_worker
from ...state.placer.shapes import Worker
from ...state.placer.usage import UsageRecord, UsageVerdict, find_excess, judge_usage

# A gang is polled again after this share of its run time so far, so that the delay
# from the end of a task to the answer of its job is proportional to the run time.
POLL_FRACTION = 0.15
POLL_MINIMUM_SECONDS = 0.05

# Share of its poll interval after which a gang joins the renewal request of another.
BATCH_FRACTION = 0.5

# Tries of the request that extends the leases at a worker.
EXTENSION_TRIES_COUNT = 2


class WorkerWatch:
    """Renews leases at the listed workers of a data centre and tracks their state."""

    def __init__(self, *, context, scheduler, task_group):
        self._context = context
        self._settings = context.settings
        self._scheduler = scheduler
        self._task_group = task_group
        self._runs = {}
        self._wakeups = {}
        self._known_workers = {}
        self._lease_seconds = context.settings.lease_seconds
        # Held during a renewal request: workers apply requests of several connections
        # in any order.
        self._renewal_locks = collections.defaultdict(anyio.Lock)

    def add_run(self, run):
        """Renew the leases of an attempt from now on."""
        for worker_id in run.members:
            self._runs.setdefault(worker_id, {})[run.job_id] = run

    def remove_run(self, run):
        """Stop renewing the leases of an attempt."""
        for worker_id in run.members:
            runs = self._runs.get(worker_id, {})
            if runs.get(run.job_id) is run:
                del runs[run.job_id]

    def reschedule_polls(self, run):
        """Wake the tasks that poll a gang, so that they recompute its next poll."""
        for worker_id in run.members:
            if worker_id in self._wakeups:
                self._wakeups[worker_id].set()

    def update_workers(self):
        """Start polling newly listed workers, and mark listed ones that are leaving."""
        listed_workers = self._context.membership.listed_workers()
        for worker_id, listed in listed_workers.items():
            if worker_id not in self._wakeups:
                self._wakeups[worker_id] = anyio.Event()
                self._task_group.start_soon(self._poll_worker, worker_id)
            worker = self._known_workers.get(worker_id)
            if worker is not None and listed.is_leaving and not worker.is_leaving:
                self.store_worker(attrs.evolve(worker, is_leaving=True))

    def mark_leaving_workers(self, outcomes):
        """Mark workers whose refusal says that they are leaving.

        The worker list may not show that they are leaving yet.
        """
        for worker_id, outcome in outcomes.items():
            worker = self._known_workers.get(worker_id)
            is_leaving = isinstance(outcome, Refused) and outcome.code == "leaving"
            if is_leaving and worker is not None and not worker.is_leaving:
                self.store_worker(attrs.evolve(worker, is_leaving=True))

    def store_worker(self, worker):
        """Store the description of a worker here and in the scheduler."""
        self._known_workers[worker.worker_id] = worker
        set_worker(self._scheduler, worker)

    def store_worker_state(self, address, state):
        """Store the state that a worker reported; return its `Worker`."""
        listed = self._context.membership.listed_by_id.get(state.worker_id)
        worker = Worker(
            worker_id=state.worker_id,
            data_centre=state.data_centre,
            rack=state.rack,
            address=address,
            incarnation=state.incarnation,
            capacity=state.capacity,
            is_leaving=state.is_leaving or (listed is not None and listed.is_leaving),
        )
        if worker != self._known_workers.get(worker.worker_id):
            self.store_worker(worker)
        return worker

    async def extend_leases(self, lease_seconds):
        """Renew the leases of all started gangs for ``lease_seconds``.

        Renewals that become due later grant ``lease_seconds`` as well.
        """
        self._lease_seconds = lease_seconds

        async def extend(worker_id, address, keys):
            async with self._renewal_locks[worker_id]:
                for _ in range(EXTENSION_TRIES_COUNT):
                    outcome = await self._context.worker_client.renew(
                        address, keys, lease_seconds=lease_seconds
                    )
                    if isinstance(outcome, Done):
                        break

        async with anyio.create_task_group() as task_group:
            for worker_id, runs in self._runs.items():
                keys = [run.key for run in runs.values() if run.is_started]
                if keys:
                    address = next(iter(runs.values())).members[worker_id].address
                    task_group.start_soon(extend, worker_id, address, keys)

    async def _poll_worker(self, worker_id):
        failures_count = 0
        while True:
            listed = self._context.membership.listed_by_id.get(worker_id)
            runs = self._renewed_runs(worker_id)
            if listed is None and not self._runs.get(worker_id):
                break
            if runs:
                due = self._due_runs(worker_id, runs)
                is_answered = not due or await self._renew(worker_id, due)
            elif listed is not None:
                is_answered = await self._read_state(worker_id, listed.address)
            else:
                is_answered = False
            failures_count = 0 if is_answered else failures_count + 1
            if failures_count >= 2 and not self._runs.get(worker_id):
                self._remove_worker(worker_id)
            await self._wait_until_due(worker_id)
        self._remove_worker(worker_id)
        del self._wakeups[worker_id]

    def _remove_worker(self, worker_id):
        if self._known_workers.pop(worker_id, None) is not None:
            remove_worker(self._scheduler, worker_id)

    async def _wait_until_due(self, worker_id):
        runs = self._renewed_runs(worker_id)
        now_seconds = time.monotonic()
        interval_seconds = self._settings.worker_poll_interval_seconds
        if not runs and worker_id not in self._known_workers:
            interval_seconds = min(1.0, interval_seconds)
        for run in runs.values():
            polled_seconds = run.polled_seconds.get(worker_id, now_seconds)
            due_seconds = polled_seconds + self._poll_interval(run, now_seconds)
            interval_seconds = min(interval_seconds, due_seconds - now_seconds)
        interval_seconds = max(POLL_MINIMUM_SECONDS, interval_seconds)
        wakeup = anyio.Event()
        self._wakeups[worker_id] = wakeup
        with anyio.move_on_after(interval_seconds):
            await wakeup.wait()

    def _renewed_runs(self, worker_id):
        """Return the attempts whose leases are renewed at a worker, by job id.

        The lease of a gang that is being stopped has to lapse if its worker does not
        acknowledge the stop.
        """
        return {
            job_id: run
            for job_id, run in self._runs.get(worker_id, {}).items()
            if not run.stop_reason
        }

    def _poll_interval(self, run, now_seconds):
        """Return the time between two polls of a gang at a worker."""
        if not run.is_started:
            return self._settings.renewal_interval_seconds
        running_seconds = now_seconds - run.started_seconds
        return min(
            self._settings.renewal_interval_seconds,
            max(POLL_MINIMUM_SECONDS, POLL_FRACTION * running_seconds),
        )

    def _due_runs(self, worker_id, runs):
        """Return the attempts whose leases are renewed in the next request.

        A gang that started recently is polled often. The others join its requests once
        `BATCH_FRACTION` of their own interval has passed, so that gangs share requests.
        """
        now_seconds = time.monotonic()
        return {
            job_id: run
            for job_id, run in runs.items()
            if now_seconds - run.polled_seconds.get(worker_id, float("-inf"))
            >= BATCH_FRACTION * self._poll_interval(run, now_seconds)
        }

    async def _renew(self, worker_id, runs):
        """Renew the leases of some attempts at a worker in one request."""
        address = next(iter(runs.values())).members[worker_id].address
        sent_seconds = time.monotonic()
        for run in runs.values():
            run.polled_seconds[worker_id] = sent_seconds
        async with self._renewal_locks[worker_id]:
            outcome = await self._context.worker_client.renew(
                address,
                [run.key for run in runs.values()],
                lease_seconds=self._lease_seconds,
            )
        if not isinstance(outcome, Done):
            if not isinstance(outcome, Refused):
                for run in runs.values():
                    self._context.gang_calls.update_lease_bounds(
                        run.members[worker_id], sent_seconds, outcome
                    )
            logger.debug("leases at worker {} were not renewed: {}", worker_id, outcome)
            return False
        answer = outcome.value
        states = {(gang.job_id, gang.token): gang for gang in answer.gangs}
        for run in runs.values():
            state = states.get((run.key.job_id, run.key.token))
            if state is None:
                continue
            if state.phase in ("reserved", "running", "finished"):
                self._context.gang_calls.update_lease_bounds(
                    run.members[worker_id], sent_seconds, outcome
                )
            run.apply_worker_report(
                worker_id, answer.incarnation, state, sent_seconds=sent_seconds
            )
        await self._judge_usage(worker_id, runs, answer.usage)
        known = self._known_workers.get(worker_id)
        if known is not None:
            worker = attrs.evolve(
                known,
                incarnation=answer.incarnation,
                is_leaving=known.is_leaving or answer.is_leaving,
            )
            if worker != known:
                self.store_worker(worker)
        return True

    async def _judge_usage(self, worker_id, runs, usage):
        """Throttle or stop gangs that use more than their job declared."""
        for used in usage.get("gangs", ()):
            run = runs.get(used.get("job_id"))
            if run is None or used.get("token") != run.key.token:
                continue
            tasks_count = len(run.members[worker_id].task_indices)
            excess = find_excess(run.gang.job.spec.shape, tasks_count, used)
            record = run.usage_records.get(worker_id, UsageRecord())
            verdict, run.usage_records[worker_id] = judge_usage(
                record, excess, now_seconds=time.monotonic()
            )
            if verdict == UsageVerdict.ACCEPT:
                continue
            log_decision(
                "usage",
                choice=str(verdict),
                reason=f"{excess} above the declared shape",
                job_id=run.job_id,
                token=run.key.token,
                worker_id=worker_id,
            )
            if verdict == UsageVerdict.THROTTLE:
                await self._context.gang_calls.throttle(run, worker_id)
            else:
                run.request_stop(
                    f"{excess} above the declared shape even when throttled",
                    is_job_at_fault=True,
                )

    async def _read_state(self, worker_id, address):
        outcome = await self._context.worker_client.read_state(address)
        if not isinstance(outcome, Done):
            return False
        self.store_worker_state(address, outcome.value)
        return True
