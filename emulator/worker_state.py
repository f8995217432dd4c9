"""State of one worker: reservations, leases, tasks, fences and usage.

The module does no I/O; callers pass the time in seconds of the monotonic clock.
"""

import hashlib
import json
import uuid
from collections import deque
from enum import StrEnum

import attrs

from .service import RequestError

SHAPE_FIELDS = (
    "accelerators_count",
    "cores_count",
    "memory_bytes",
    "connections_count",
)
# Ended gangs without a result are dropped after this time, which bounds the state of
# a worker; fences and newest tokens are kept.
ENDED_RETENTION_SECONDS = 300.0


class TaskState(StrEnum):
    """State of a task and phase of a gang."""

    RESERVED = "reserved"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


OPEN_STATES = (TaskState.RESERVED, TaskState.RUNNING)
# The phase of a gang is the first of these states that any of its tasks has.
PHASE_ORDER = (
    TaskState.RUNNING,
    TaskState.RESERVED,
    TaskState.LAPSED,
    TaskState.STOPPED,
    TaskState.FAILED,
    TaskState.FINISHED,
)


@attrs.frozen(kw_only=True)
class Payload:
    """What a task simulates; ``result_bytes`` is the length to pad the result to."""

    run_seconds: float = 0.0
    result: str = ""
    fail: bool = False
    usage_factor: float = 1.0
    result_bytes: int = 0
    is_valid: bool = True


def parse_payload(text):
    """Return the payload in a JSON text; a task with an invalid payload fails."""
    try:
        values = json.loads(text) if text else {}
        return Payload(
            run_seconds=float(values.get("run_seconds", 0.0)),
            result=str(values.get("result", "")),
            fail=bool(values.get("fail", False)),
            usage_factor=float(values.get("usage_factor", 1.0)),
            result_bytes=int(values.get("result_bytes", 0)),
        )
    except (ValueError, TypeError, AttributeError):
        return Payload(is_valid=False)


@attrs.define(kw_only=True, eq=False)
class Task:
    """One task; ``progress_seconds`` was measured at ``measured_at_seconds``."""

    task_index: int
    state: TaskState = TaskState.RESERVED
    progress_seconds: float = 0.0
    measured_at_seconds: float = 0.0
    speed: float = 1.0
    body: str = ""
    length_bytes: int = 0
    sha256: str = ""

    def advance_progress(self, now_seconds):
        """Bring the progress up to date."""
        elapsed_seconds = now_seconds - self.measured_at_seconds
        self.progress_seconds += elapsed_seconds * self.speed
        self.measured_at_seconds = now_seconds


@attrs.define(kw_only=True, eq=False)
class Gang:
    """The tasks of one attempt of a job on this worker."""

    job_id: str
    token: int
    holder: str
    shape: dict
    details: dict
    lease_end_seconds: float
    tasks: list
    payload: Payload = Payload()
    started_at_seconds: float | None = None
    run_limit_end_seconds: float = float("inf")
    ended_at_seconds: float | None = None

    @property
    def phase(self):
        """Phase of the gang, derived from the states of its tasks."""
        states = {task.state for task in self.tasks}
        return next(state for state in PHASE_ORDER if state in states)

    @property
    def is_open(self):
        """Whether the phase is reserved or running."""
        return self.phase in OPEN_STATES

    def tasks_in(self, *states):
        """Return the tasks in any of the states."""
        return [task for task in self.tasks if task.state in states]


@attrs.define(kw_only=True)
class Worker:
    """State of one worker.

    ``record`` is called with (event, gang, tasks, now_seconds, fields) for each applied
    change. ``saved_progress`` holds checkpoints by (job id, task index) and may be
    shared by workers. ``newest_claims`` holds the newest token and its holder by job,
    ``fences`` the newest stopped or forgotten token.
    """

    worker_id: str
    data_centre: str
    rack: str
    capacity: dict
    usage_lag_seconds: float
    saved_progress: dict
    record: object
    incarnation: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    is_leaving: bool = False
    gangs: dict = attrs.field(factory=dict)
    newest_claims: dict = attrs.field(factory=dict)
    fences: dict = attrs.field(factory=dict)
    usage_history: deque = attrs.field(factory=deque)

    def advance(self, now_seconds):
        """Lapse leases and end tasks that are due.

        Leases come first: after a pause of the process that is longer than a lease,
        the tasks under the lapsed lease must not take effect.
        """
        for key, gang in list(self.gangs.items()):
            if not gang.is_open:
                ended_seconds = now_seconds - (gang.ended_at_seconds or now_seconds)
                has_result = bool(gang.tasks_in(TaskState.FINISHED, TaskState.FAILED))
                if ended_seconds > ENDED_RETENTION_SECONDS and not has_result:
                    del self.gangs[key]
                continue
            if gang.lease_end_seconds <= now_seconds:
                self._end_open_tasks(gang, TaskState.LAPSED, "lapse", now_seconds)
            else:
                self._advance_tasks(gang, now_seconds)

    def _advance_tasks(self, gang, now_seconds):
        is_over_limit = gang.run_limit_end_seconds <= now_seconds
        finished, failed = [], []
        for task in gang.tasks_in(TaskState.RUNNING):
            task.advance_progress(now_seconds)
            # The tolerance covers float rounding of due times and progress.
            if task.progress_seconds + 1e-6 >= gang.payload.run_seconds:
                is_failed = gang.payload.fail or not gang.payload.is_valid
                (failed if is_failed else finished).append(task)
            elif is_over_limit:
                failed.append(task)
        for task in finished:
            task.state = TaskState.FINISHED
            task.body = make_result_body(gang, task.task_index)
            content = task.body.encode()
            task.length_bytes = len(content)
            task.sha256 = hashlib.sha256(content).hexdigest()
        for task in failed:
            task.state = TaskState.FAILED
        for event, tasks in (("task_effect", finished), ("task_failed", failed)):
            if tasks:
                self._record_change(event, gang, tasks, now_seconds)

    def next_due_seconds(self):
        """Return the time at which the next lease lapses or the next task ends."""
        due_seconds = float("inf")
        for gang in self.gangs.values():
            if not gang.is_open:
                continue
            due_seconds = min(due_seconds, gang.lease_end_seconds)
            for task in gang.tasks_in(TaskState.RUNNING):
                due_seconds = min(due_seconds, gang.run_limit_end_seconds)
                left_seconds = gang.payload.run_seconds - task.progress_seconds
                if task.speed > 0:
                    end_seconds = task.measured_at_seconds + left_seconds / task.speed
                    due_seconds = min(due_seconds, end_seconds)
        return due_seconds

    def reserve(
        self,
        *,
        job_id,
        token,
        holder,
        task_indices,
        shape,
        lease_seconds,
        details,
        now_seconds,
    ):
        """Reserve capacity for tasks; repeating a reservation renews its lease."""
        self._check_fence(job_id, token)
        newest_token, newest_holder = self.newest_claims.get(job_id, (0, ""))
        if token < newest_token:
            raise RequestError(409, "stale_token", f"newest token is {newest_token}")
        if token == newest_token and holder != newest_holder:
            raise RequestError(409, "other_holder", f"held by {newest_holder}")
        gang = self.gangs.get((job_id, token))
        if gang is not None:
            self._check_open(gang)
            if {task.task_index for task in gang.tasks} != set(task_indices):
                message = "the token is bound to other task indices"
                raise RequestError(400, "bad_request", message)
            gang.lease_end_seconds = now_seconds + lease_seconds
            return gang
        if self.is_leaving:
            raise RequestError(409, "leaving", "the worker is leaving")
        older = [
            gang
            for gang in self.gangs.values()
            if gang.job_id == job_id and gang.is_open
        ]
        missing = self._missing_capacity(shape, len(task_indices), released=older)
        if missing:
            raise RequestError(409, "no_capacity", f"too little: {', '.join(missing)}")
        for gang in older:
            self._end_open_tasks(gang, TaskState.STOPPED, "stop", now_seconds)
        gang = Gang(
            job_id=job_id,
            token=token,
            holder=holder,
            shape=shape,
            details=details,
            lease_end_seconds=now_seconds + lease_seconds,
            tasks=[Task(task_index=index) for index in task_indices],
        )
        self.gangs[job_id, token] = gang
        self.newest_claims[job_id] = (token, holder)
        self._record_change("reserve", gang, gang.tasks, now_seconds)
        return gang

    def start(
        self,
        *,
        job_id,
        token,
        holder,
        payload,
        run_seconds_limit,
        fails,
        now_seconds,
    ):
        """Start the reserved tasks; a repeated start changes nothing.

        ``fails`` makes every task fail at once (fault ``fail_starts``).
        """
        self._check_fence(job_id, token)
        gang = self._find_gang(job_id, token)
        if gang.holder != holder:
            raise RequestError(409, "other_holder", f"held by {gang.holder}")
        if gang.started_at_seconds is not None:
            return gang
        self._check_open(gang)
        gang.payload = parse_payload(payload)
        if fails or not gang.payload.is_valid:
            gang.payload = attrs.evolve(gang.payload, run_seconds=0.0, fail=True)
        gang.started_at_seconds = now_seconds
        if run_seconds_limit:
            gang.run_limit_end_seconds = now_seconds + run_seconds_limit
        self._record_change("start", gang, gang.tasks, now_seconds)
        for task in gang.tasks:
            task.state = TaskState.RUNNING
            task.progress_seconds = self.saved_progress.get(
                (job_id, task.task_index), 0.0
            )
            task.measured_at_seconds = now_seconds
        self._record_change("task_start", gang, gang.tasks, now_seconds)
        self.advance(now_seconds)
        return gang

    def renew(self, *, job_id, token, holder, lease_seconds, now_seconds):
        """Extend a lease; return the gang, or None if this holder has no such gang."""
        gang = self.gangs.get((job_id, token))
        if gang is None or gang.holder != holder:
            return None
        if gang.is_open:
            gang.lease_end_seconds = now_seconds + lease_seconds
        return gang

    def checkpoint(self, *, job_id, token, now_seconds):
        """Save the progress of running tasks, for later attempts of the job."""
        gang = self._find_running_gang(job_id, token)
        for task in gang.tasks_in(TaskState.RUNNING):
            task.advance_progress(now_seconds)
            self.saved_progress[job_id, task.task_index] = task.progress_seconds
        running = gang.tasks_in(TaskState.RUNNING)
        self.record("checkpoint", gang, running, now_seconds, {})
        return gang

    def throttle(self, *, job_id, token, factor, now_seconds):
        """Run the tasks of a gang at ``factor`` of full speed."""
        gang = self._find_running_gang(job_id, token)
        for task in gang.tasks_in(TaskState.RUNNING):
            task.advance_progress(now_seconds)
            task.speed = factor
        running = gang.tasks_in(TaskState.RUNNING)
        self._record_change("throttle", gang, running, now_seconds, factor=factor)
        return gang

    def stop(self, *, job_id, token, now_seconds):
        """Stop gangs of the job up to ``token`` and reject these tokens from now on."""
        self.fences[job_id] = max(token, self.fences.get(job_id, 0))
        for gang in list(self.gangs.values()):
            if gang.job_id == job_id and gang.token <= token and gang.is_open:
                self._end_open_tasks(gang, TaskState.STOPPED, "stop", now_seconds)
        return self.gangs.get((job_id, token))

    def forget(self, *, job_id, token, now_seconds):
        """Stop like `stop`, then drop results and records up to ``token``."""
        self.stop(job_id=job_id, token=token, now_seconds=now_seconds)
        for key, gang in list(self.gangs.items()):
            if gang.job_id == job_id and gang.token <= token:
                self.record("forget", gang, gang.tasks, now_seconds, {})
                del self.gangs[key]

    def find_result(self, *, job_id, token, task_index):
        """Return the gang and its finished task."""
        gang = self._find_gang(job_id, token)
        for task in gang.tasks_in(TaskState.FINISHED):
            if task.task_index == task_index:
                return gang, task
        if gang.phase is TaskState.LAPSED:
            raise RequestError(409, "lapsed", "the lease lapsed")
        raise RequestError(409, "not_reserved", "no finished task with this index")

    def restart_empty(self, now_seconds):
        """Lose all state except checkpoints, as a host that crashes does."""
        for gang in self.gangs.values():
            if gang.is_open:
                self._end_open_tasks(gang, TaskState.STOPPED, "lost", now_seconds)
        self.gangs.clear()
        self.newest_claims.clear()
        self.fences.clear()
        self.usage_history.clear()
        self.incarnation = uuid.uuid4().hex
        fields = {"incarnation": self.incarnation}
        self.record("restart", None, [], now_seconds, fields)

    def usage(self, now_seconds):
        """Return the usage as measured ``usage_lag_seconds`` ago."""
        limit_seconds = self._drop_old_usage(now_seconds)
        gangs = []
        if self.usage_history and self.usage_history[0][0] <= limit_seconds:
            gangs = self.usage_history[0][1]
        totals = {name: sum(gang[name] for gang in gangs) for name in SHAPE_FIELDS}
        return {**totals, "age_seconds": self.usage_lag_seconds, "gangs": gangs}

    def describe(self, now_seconds):
        """Return the body of ``GET /v1/state``."""
        return {
            "worker_id": self.worker_id,
            "incarnation": self.incarnation,
            "data_centre": self.data_centre,
            "rack": self.rack,
            "capacity": self.capacity,
            "is_leaving": self.is_leaving,
            "gangs": [describe_gang(g, now_seconds) for g in self.gangs.values()],
            "usage": self.usage(now_seconds),
        }

    def _check_fence(self, job_id, token):
        fence = self.fences.get(job_id, 0)
        if token <= fence:
            raise RequestError(409, "stale_token", f"tokens up to {fence} are stopped")

    def _check_open(self, gang):
        if gang.phase is TaskState.LAPSED:
            raise RequestError(409, "lapsed", "the lease lapsed")
        if not gang.is_open:
            raise RequestError(409, "stale_token", f"the gang is {gang.phase}")

    def _find_gang(self, job_id, token):
        gang = self.gangs.get((job_id, token))
        if gang is None:
            newest_token, _ = self.newest_claims.get(job_id, (0, ""))
            if newest_token > token:
                message = f"newest token is {newest_token}"
                raise RequestError(409, "stale_token", message)
            raise RequestError(409, "not_reserved", "no such reservation")
        return gang

    def _find_running_gang(self, job_id, token):
        gang = self._find_gang(job_id, token)
        if not gang.tasks_in(TaskState.RUNNING):
            code = "lapsed" if gang.phase is TaskState.LAPSED else "not_reserved"
            raise RequestError(409, code, f"the gang is {gang.phase}")
        return gang

    def _missing_capacity(self, shape, tasks_count, *, released):
        missing = []
        used_slots_count = 0
        used = dict.fromkeys(SHAPE_FIELDS, 0)
        for gang in self.gangs.values():
            if gang in released:
                continue
            open_count = len(gang.tasks_in(*OPEN_STATES))
            used_slots_count += open_count
            for name in SHAPE_FIELDS:
                used[name] += open_count * gang.shape[name]
        for name in SHAPE_FIELDS:
            if used[name] + tasks_count * shape[name] > self.capacity[name]:
                missing.append(name)
        if used_slots_count + tasks_count > self.capacity["slots_count"]:
            missing.append("slots_count")
        return missing

    def _end_open_tasks(self, gang, state, event, now_seconds):
        tasks = gang.tasks_in(*OPEN_STATES)
        for task in tasks:
            task.state = state
        self._record_change(event, gang, tasks, now_seconds)

    def _record_change(self, event, gang, tasks, now_seconds, **fields):
        if not gang.is_open and gang.ended_at_seconds is None:
            gang.ended_at_seconds = now_seconds
        self.record(event, gang, tasks, now_seconds, fields)
        self.usage_history.append((now_seconds, self._measure_usage()))
        self._drop_old_usage(now_seconds)

    def _drop_old_usage(self, now_seconds):
        """Keep the newest measurement that may be reported, and all later ones."""
        limit_seconds = now_seconds - self.usage_lag_seconds
        history = self.usage_history
        while len(history) > 1 and history[1][0] <= limit_seconds:
            history.popleft()
        return limit_seconds

    def _measure_usage(self):
        measured = []
        for gang in self.gangs.values():
            tasks = gang.tasks_in(TaskState.RUNNING)
            if not tasks:
                continue
            factor = sum(gang.payload.usage_factor * task.speed for task in tasks)
            entry = {"job_id": gang.job_id, "token": gang.token}
            for name in SHAPE_FIELDS:
                entry[name] = round(gang.shape[name] * factor)
            measured.append(entry)
        return measured


def make_result_body(gang, task_index):
    """Return the result body of a task, which identifies the task."""
    values = {
        "job_id": gang.job_id,
        "task_index": task_index,
        "result": gang.payload.result,
    }
    body = json.dumps(values)
    padding_bytes = gang.payload.result_bytes - len(body.encode())
    return body + " " * max(0, padding_bytes)


def describe_gang(gang, now_seconds):
    """Return a gang as it appears in ``state``.

    ``was_started`` is an addition to the worker interface: it distinguishes a stopped
    gang that never ran from one that was stopped while it ran.
    """
    lease_remaining_seconds = 0.0
    if gang.is_open:
        lease_remaining_seconds = max(0.0, gang.lease_end_seconds - now_seconds)
    return {
        "job_id": gang.job_id,
        "token": gang.token,
        "holder": gang.holder,
        "phase": gang.phase,
        "tasks": [
            {
                "task_index": task.task_index,
                "state": task.state,
                "length_bytes": task.length_bytes,
                "sha256": task.sha256,
            }
            for task in gang.tasks
        ],
        "shape": gang.shape,
        "lease_remaining_seconds": lease_remaining_seconds,
        "details": gang.details,
        "was_started": gang.started_at_seconds is not None,
    }
