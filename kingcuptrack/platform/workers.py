"""Client of the workers, and of the registry that lists them."""

import re
from typing import Annotated

import attrs
import msgspec

from ..coordination.ports import (
    FENCED,
    REJECTED,
    REPLACED,
    TOO_LATE,
    WORKER_BUSY,
    Workers,
)
from ..decoding import DecodingError, decode_json, shorten
from ..logs import log_event
from ..outcomes import Done, Refused, Unknown
from ..state.cluster.reports import EndedRun, RunningRun, WorkerEntry, WorkerReport
from ..state.jobs.progress import EndKind
from ..state.jobs.steps import Resources, TaskRef
from ..transport.http_client import HttpClient
from .addresses import parse_address
from .operators import closure_key
from .store import KEY_LIMIT_BYTES

_REGISTRY_TABLE = "servers"
_DRAINING = "draining"
_STATES = frozenset({"ready", _DRAINING})
# Largest number of ended runs in one answer of a worker.
_ENDS_LIMIT_COUNT = 500
# One connection for the poll that waits for a change, one for orders, and one for the
# poll that settles orders without an answer.
CONNECTIONS_PER_WORKER_COUNT = 3
_CODE_BY_REASON = {"fence": FENCED, "late": TOO_LATE}
# Ids are sent in a header.
_WORKER_ID = re.compile(r"[!-~]{1,200}")
_TASK_NAME = re.compile(r"([0-9a-f]{16})\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")

# Texts and numbers of other processes. The bounds are far beyond real values; within
# them, no sum or product of a few values overflows.
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Amount = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=-(2.0**53), le=2.0**53)]
_Percent = Annotated[float, msgspec.Meta(ge=-1e6, le=1e6)]


@attrs.frozen
class _WireCapacity:
    cpu: _Amount = 0  # thousandths of a core
    mem_mb: _Amount = 0
    gpu: _Amount = 0


@attrs.frozen
class _WireWorker:
    """Row of a worker in the registry."""

    service: _Text
    address: str
    zone: _Text  # data centre
    state: str
    capacity: _WireCapacity
    labels: list[_Text]  # the worker's kind and its rack, in this order
    # Least time that a draining worker still serves.
    remaining_ms: _Milliseconds = 0.0
    # Time for which a started worker is still slow.
    cold_remaining_ms: _Milliseconds = 0.0


@attrs.frozen
class _OrderAnswer:
    clock_ms: _Milliseconds = 0.0  # steady clock of the worker
    reason: str = ""  # why the order was refused


class _WireRunning(msgspec.Struct, array_like=True):
    task: str
    run: _Count
    checkpoint: str
    percent: _Percent


class _WireEnded(msgspec.Struct, array_like=True):
    number: _Count
    task: str
    run: _Count
    how: EndKind
    checkpoint: str


@attrs.frozen
class _PollAnswer:
    clock_ms: _Milliseconds  # steady clock of the worker
    # Start of this incarnation, in milliseconds since 1970.
    born: Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
    running: list[_WireRunning] = attrs.field(factory=list)
    ended: list[_WireEnded] = attrs.field(factory=list)


def make_workers(store, steady):
    """Return the `Workers` port.

    Parameters
    ----------
    store : Store
        Holds the registry.
    steady : callable
        Steady clock of this process, in seconds.
    """
    clients = {}
    # Logged reasons why rows of the registry name no usable worker, by worker id.
    logged_reasons = {}

    async def call(entry, path, body, timeout_seconds):
        client = clients.get(entry.address)
        if client is None:
            client = HttpClient(connections_count=CONNECTIONS_PER_WORKER_COUNT)
            clients[entry.address] = client
        outcome = await client.request(
            "POST",
            f"http://{entry.address}{path}",
            timeout_seconds=timeout_seconds,
            body=body,
            headers={"Target-Instance": entry.worker_id},
        )
        if not isinstance(outcome, Done):
            return outcome
        return _decode_response(outcome.value)

    async def poll(*, entry, request, timeout_seconds):
        body = {
            "fencing_token": request.token,
            "last_seen": request.acknowledged_end,
            "wait_ms": round(request.wait_seconds * 1000),
        }
        if request.deadline_seconds is not None:
            body["deadline_ms"] = int(request.deadline_seconds * 1000)
        # The workers' interface calls a poll a hold.
        outcome = await call(entry, "/-/hold", body, timeout_seconds)
        if not isinstance(outcome, Done):
            return outcome
        return _decode_report(
            outcome.value, token=request.token, received_at_seconds=steady()
        )

    async def start(*, entry, order, timeout_seconds):
        body = {
            "task": _encode_task_ref(order.ref),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": int(order.deadline_seconds * 1000),
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        outcome = await call(entry, "/-/run-start", body, timeout_seconds)
        return _decode_order_answer(outcome)

    async def stop(*, entry, ref, run, token, timeout_seconds):
        body = {"task": _encode_task_ref(ref), "run": run, "fencing_token": token}
        outcome = await call(entry, "/-/run-stop", body, timeout_seconds)
        return _decode_order_answer(outcome)

    async def list_entries(*, timeout_seconds, note_begun=None):
        outcome = await store.read(
            table=_REGISTRY_TABLE,
            part="",
            first="",
            last="",
            timeout_seconds=timeout_seconds,
            note_begun=note_begun,
        )
        if not isinstance(outcome, Done):
            return outcome
        entries, reasons = [], {}
        for row in outcome.value.rows:
            entry = _decode_entry(row)
            if isinstance(entry, WorkerEntry):
                entries.append(entry)
            else:
                reasons[row.key.key] = entry
        # The list is read about every second, so an unusable row is logged only when
        # its reason changes.
        for worker_id in sorted(reasons):
            if logged_reasons.get(worker_id) != reasons[worker_id]:
                log_event(
                    "registry",
                    outcome="unusable",
                    worker_id=worker_id,
                    reason=reasons[worker_id],
                )
        logged_reasons.clear()
        logged_reasons.update(reasons)
        return Done(value=entries)

    return Workers(poll=poll, start=start, stop=stop, list=list_entries)


def _decode_response(response):
    status = response.status
    if status == 200:
        return Done(value=response.body)
    if status in (429, 503):
        return Refused(code=WORKER_BUSY, message=f"status {status}")
    if status == 421:
        # Every call names its worker; another one has taken over the address.
        return Refused(code=REPLACED, message=f"status {status}")
    if status in (400, 404, 409):
        reason = _decode_reason(response.body)
        return Refused(
            code=_CODE_BY_REASON.get(reason, REJECTED),
            message=f"status {status} {reason}",
        )
    return Unknown(message=f"status {status}")


def _decode_reason(body):
    try:
        return shorten(decode_json(body, _OrderAnswer).reason)
    except DecodingError:
        return f"unreadable body {body[:80]!r}"


def _decode_order_answer(outcome):
    if not isinstance(outcome, Done):
        return outcome
    try:
        answer = decode_json(outcome.value, _OrderAnswer)
    except DecodingError as error:
        return Unknown(message=f"malformed answer: {error}")
    return Done(value=answer.clock_ms / 1000)


def _decode_report(body, *, token, received_at_seconds):
    try:
        answer = decode_json(body, _PollAnswer)
        report = WorkerReport(
            life=answer.born,
            clock_seconds=answer.clock_ms / 1000,
            running=tuple(_decode_running(row) for row in answer.running),
            ended=tuple(_decode_ended(row) for row in answer.ended),
            token=token,
            received_at_seconds=received_at_seconds,
            is_complete=len(answer.ended) < _ENDS_LIMIT_COUNT,
        )
    except ValueError as error:
        return Unknown(message=f"malformed answer: {error}")
    return Done(value=report)


def _decode_running(row):
    return RunningRun(
        ref=_decode_task_ref(row.task),
        run=row.run,
        checkpoint=row.checkpoint,
        percent=row.percent,
    )


def _decode_ended(row):
    return EndedRun(
        number=row.number,
        ref=_decode_task_ref(row.task),
        run=row.run,
        how=row.how,
        checkpoint=row.checkpoint,
    )


def _encode_task_ref(ref):
    return f"{ref.job_id}.{ref.occurrence}.{ref.step}.{ref.index}"


def _decode_task_ref(name):
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError(f"{shorten(name)!r} is not the name of a task")
    job_id, *numbers = match.groups()
    occurrence, step, index = map(int, numbers)
    return TaskRef(job_id=job_id, occurrence=occurrence, step=step, index=index)


def _decode_entry(row):
    """Return the `WorkerEntry` of a registry row, or the reason why there is none.

    Other writers have access to the registry, so that nothing in a row is certain. An
    entry is usable only if all that is done with a worker works with it.
    """
    worker_id = row.key.key
    try:
        worker = decode_json(row.value, _WireWorker)
        parse_address(worker.address)
    except ValueError as error:
        return f"unreadable: {error}"
    if _WORKER_ID.fullmatch(worker_id) is None:
        return "the id is not printable ASCII"
    if worker.state not in _STATES:
        return f"unknown state {shorten(worker.state)!r}"
    if not worker.labels:
        return "no labels, so its rack is unknown"
    if len(closure_key(worker.zone).key.encode()) > KEY_LIMIT_BYTES:
        return "the name of its data centre is too long for a key"
    return WorkerEntry(
        worker_id=worker_id,
        service=worker.service,
        address=worker.address,
        data_centre=worker.zone,
        rack=worker.labels[-1],
        labels=frozenset(worker.labels),
        capacity=Resources(
            cpu_millicores=worker.capacity.cpu,
            memory_mb=worker.capacity.mem_mb,
            gpus_count=worker.capacity.gpu,
        ),
        is_draining=worker.state == _DRAINING,
        remaining_service_seconds=max(0.0, worker.remaining_ms / 1000),
        cold_remaining_seconds=max(0.0, worker.cold_remaining_ms / 1000),
    )
