"""One attempt of a gang: reservation and start, leases, stop and results."""

import time

import anyio
import attrs

from ...outcomes import Done, Refused, Unknown
from ...protocol.codecs import json_converter
from ...state.placer.jobs import verify_result
from ...state.placer.scheduling import PlacedGang
from ...transport.workers import GangKey

# Delay between two rounds of stop requests, and between two reads of a result.
STOP_RETRY_SECONDS = 0.25

# A worker stops a task that exceeds its declared run time by this factor.
RUN_TIME_LIMIT_FACTOR = 100.0

# Reads of one result after which the attempt is stopped if none succeeded.
RESULT_TRIES_COUNT = 5


@attrs.define(kw_only=True)
class Member:
    """The part of a gang attempt that one worker runs.

    ``lease_valid_until_seconds`` is the earliest time at which the lease may lapse,
    counted from before the request; ``lease_lapsed_by_seconds`` is the latest.
    """

    worker_id: str
    address: str
    task_indices: tuple[int, ...]
    incarnation: str = ""
    phase: str = "absent"
    tasks: dict = attrs.field(factory=dict)
    lease_valid_until_seconds: float = 0.0
    lease_lapsed_by_seconds: float = 0.0
    may_have_started: bool = False


@attrs.define(kw_only=True)
class GangRun:
    """State of one attempt, owned by its task and updated by the worker watch.

    ``started_seconds`` is the time at which all starts had been acknowledged. Answers
    to requests sent earlier may show the state before the start and are ignored.
    ``polled_seconds`` holds the time of the last renewal request by worker id,
    ``usage_records`` the `UsageRecord` by worker id.
    """

    gang: PlacedGang
    key: GangKey
    members: dict
    is_started: bool = False
    started_seconds: float = 0.0
    stop_reason: str = ""
    is_job_at_fault: bool = False
    is_checkpoint_wanted: bool = False
    usage_records: dict = attrs.field(factory=dict)
    polled_seconds: dict = attrs.field(factory=dict)
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def job_id(self):
        """Id of the job."""
        return self.gang.job.job_id

    @property
    def may_have_run(self):
        """Whether any task may have been started in this attempt."""
        return any(member.may_have_started for member in self.members.values())

    def mark_started(self, now_seconds):
        """Record that every member has acknowledged its start."""
        self.is_started = True
        self.started_seconds = now_seconds

    def lease_end_seconds(self):
        """Return when the first lease of a running member may lapse."""
        return min(
            (
                member.lease_valid_until_seconds
                for member in self.members.values()
                if member.phase == "running"
            ),
            default=float("inf"),
        )

    def notify(self):
        """Wake the task that owns this attempt."""
        self.changed.set()
        self.changed = anyio.Event()

    def request_stop(
        self, reason, *, is_checkpoint_wanted=False, is_job_at_fault=False
    ):
        """Request the end of the attempt; later requests have no effect.

        A job at fault fails instead of being run again.
        """
        if not self.stop_reason:
            self.stop_reason = reason
            self.is_job_at_fault = is_job_at_fault
            self.is_checkpoint_wanted = is_checkpoint_wanted
            self.notify()

    def apply_worker_report(self, worker_id, incarnation, gang_state, *, sent_seconds):
        """Apply a worker's answer to a request sent at ``sent_seconds``."""
        if not self.is_started or sent_seconds < self.started_seconds:
            return
        member = self.members[worker_id]
        # The first answer after the start sets the incarnation: the placer's record of
        # the worker may predate a restart that came before the reservation.
        member.incarnation = member.incarnation or incarnation
        if incarnation != member.incarnation:
            member.phase = "absent"
            member.may_have_started = True
        else:
            member.phase = gang_state.phase
            member.tasks = {task.task_index: task for task in gang_state.tasks}
        self.notify()


def make_members(gang, workers):
    """Return the members of a placed gang by worker id."""
    indices = {}
    for task_index, worker_id in enumerate(gang.worker_ids):
        indices.setdefault(worker_id, []).append(task_index)
    return {
        worker_id: Member(
            worker_id=worker_id,
            address=workers[worker_id].address,
            task_indices=tuple(task_indices),
        )
        for worker_id, task_indices in indices.items()
    }


class GangCalls:
    """Calls to the workers of a gang, all members at once."""

    def __init__(self, *, settings, worker_client):
        self._settings = settings
        self._workers = worker_client

    async def reserve(self, run, *, row_version):
        """Reserve at every member; return the outcomes by worker id."""
        spec = run.gang.job.spec
        details = {
            "spec": json_converter.unstructure(spec),
            "worker_ids": list(run.gang.worker_ids),
            "is_guaranteed": run.gang.is_guaranteed,
            "row_version": row_version,
        }

        async def reserve_member(member):
            sent_seconds = time.monotonic()
            outcome = await self._workers.reserve(
                member.address,
                run.key,
                task_indices=member.task_indices,
                shape=spec.shape,
                lease_seconds=self._settings.lease_seconds,
                details=details,
            )
            self.update_lease_bounds(member, sent_seconds, outcome)
            return outcome

        return await self._call_members(run, reserve_member)

    async def start(self, run):
        """Start at every member; return the outcomes by worker id.

        A start whose answer was lost is repeated, which is idempotent.
        """
        spec = run.gang.job.spec

        async def start_member(member):
            for _ in range(2):
                if time.monotonic() >= member.lease_valid_until_seconds:
                    return Refused(code="lapsed", message="lease about to lapse")
                outcome = await self._workers.start(
                    member.address,
                    run.key,
                    payload=spec.payload,
                    run_seconds_limit=RUN_TIME_LIMIT_FACTOR
                    * max(1.0, spec.declared_run_seconds),
                )
                if not isinstance(outcome, Refused):
                    member.may_have_started = True
                if not isinstance(outcome, Unknown):
                    break
            if isinstance(outcome, Done):
                member.phase = "running"
            return outcome

        return await self._call_members(run, start_member)

    def leases_outlast_start(self, run):
        """Whether all leases outlast the longest possible round of start requests."""
        needed_seconds = 2 * self._settings.worker_timeout_seconds
        end_seconds = time.monotonic() + needed_seconds
        return all(
            member.lease_valid_until_seconds > end_seconds
            for member in run.members.values()
        )

    async def checkpoint(self, run):
        """Checkpoint all members; return whether all succeeded in time."""

        async def checkpoint_member(member):
            return await self._workers.checkpoint(member.address, run.key)

        outcomes = {}
        with anyio.move_on_after(self._settings.checkpoint_timeout_seconds):
            outcomes = await self._call_members(run, checkpoint_member)
        return bool(outcomes) and all(
            isinstance(outcome, Done) for outcome in outcomes.values()
        )

    async def throttle(self, run, worker_id):
        """Slow the tasks of one member down; a lost request is repeated later."""
        await self._workers.throttle(run.members[worker_id].address, run.key)

    async def stop(self, run, *, excluded_worker_ids=()):
        """Stop all members; return when each acknowledged or its lease lapsed.

        Members in ``excluded_worker_ids`` get no request: they refused the reservation,
        and a stop would end a gang that another placer holds under the same token.
        """
        remaining = {
            worker_id: member
            for worker_id, member in run.members.items()
            if worker_id not in excluded_worker_ids
        }

        async def stop_member(member):
            outcome = await self._workers.stop(member.address, run.key)
            if isinstance(outcome, Done) and outcome.value.phase != "absent":
                # A worker that knows the attempt reports whether its tasks were
                # started, which replaces what was assumed if answers were lost.
                member.may_have_started = outcome.value.was_started
            return outcome

        while remaining:
            outcomes = await self._call_members(run, stop_member, remaining)
            now_seconds = time.monotonic()
            remaining = {
                worker_id: member
                for worker_id, member in remaining.items()
                if not isinstance(outcomes[worker_id], Done)
                and member.lease_lapsed_by_seconds > now_seconds
            }
            if remaining:
                await anyio.sleep(STOP_RETRY_SECONDS)

    async def collect_results(self, run):
        """Return Done with all results in task order, each with a verified digest."""
        results = {}

        async def collect_member(member):
            for task_index in member.task_indices:
                outcome = await self._collect_result(run, member, task_index)
                if not isinstance(outcome, Done):
                    return outcome
                results[task_index] = outcome.value
            return Done()

        outcomes = await self._call_members(run, collect_member)
        for outcome in outcomes.values():
            if not isinstance(outcome, Done):
                return outcome
        return Done(value=tuple(results[index] for index in sorted(results)))

    async def forget(self, run):
        """Let the workers delete the results; a lost request only costs memory."""

        async def forget_member(member):
            return await self._workers.forget(member.address, run.key)

        await self._call_members(run, forget_member)

    def update_lease_bounds(self, member, sent_seconds, outcome):
        """Update both bounds of a lease after a request that grants one."""
        lease_seconds = self._settings.lease_seconds
        margin_seconds = self._settings.lease_margin_seconds
        if isinstance(outcome, Done):
            member.lease_valid_until_seconds = (
                sent_seconds + lease_seconds - margin_seconds
            )
        if not isinstance(outcome, Refused):
            member.lease_lapsed_by_seconds = max(
                member.lease_lapsed_by_seconds,
                time.monotonic() + lease_seconds + margin_seconds,
            )

    async def _collect_result(self, run, member, task_index):
        outcome = Unknown(message="result was not read")
        for _ in range(RESULT_TRIES_COUNT):
            outcome = await self._workers.read_result(
                member.address, run.key, task_index
            )
            if isinstance(outcome, Done):
                if verify_result(outcome.value):
                    return outcome
                outcome = Unknown(
                    message=f"result of task {task_index} does not match its digest"
                )
            elif isinstance(outcome, Refused) and outcome.code != "unreachable":
                return outcome
            await anyio.sleep(STOP_RETRY_SECONDS)
        return outcome

    async def _call_members(self, run, call, members=None):
        outcomes = {}

        async def call_member(worker_id, member):
            outcomes[worker_id] = await call(member)

        async with anyio.create_task_group() as task_group:
            for worker_id, member in (members or run.members).items():
                task_group.start_soon(call_member, worker_id, member)
        return outcomes


def gang_progress(run, *, now_seconds):
    """Return ``running``, ``finished``, ``failed`` or ``broken``.

    A gang is broken when a member no longer has the attempt or a lease may have lapsed.
    """
    members = run.members.values()
    task_states = [task.state for member in members for task in member.tasks.values()]
    if "failed" in task_states:
        return "failed"
    has_all_leases = now_seconds < run.lease_end_seconds()
    is_whole = all(member.phase in ("running", "finished") for member in members)
    if not is_whole or not has_all_leases:
        return "broken"
    if all(member.phase == "finished" for member in members):
        return "finished"
    return "running"
