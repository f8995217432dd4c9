"""Stand-in of the workers of one data centre, all in one process.

The base URL of a worker is ``http://127.0.0.1:PORT/workers/WORKER_ID``. In addition to
the interface of the workers, the process serves ``POST /control/faults`` (see
`parse_fault`), ``POST /control/clear`` and ``GET /control/journal?after=SEQUENCE``.

Events of the journal: ``reserve``, ``start``, ``task_start``, ``task_effect``,
``task_failed``, ``stop``, ``lapse``, ``lost`` (the worker restarted without state),
``restart``, ``checkpoint``, ``throttle``, ``forget``. ``task_indices`` of an event are
the tasks that it changed. Times are CLOCK_MONOTONIC seconds, which are comparable
between processes on one host.

``usage`` holds the totals of the worker in the fields of a shape, ``age_seconds``, and
``gangs`` with the same fields for each running ``job_id`` and ``token``.
"""

import asyncio
import json
import math
import time

import anyio
import attrs
import defopt
import httpcore
from starlette.responses import JSONResponse
from starlette.routing import Route

from .faults import Fault, FaultTable, make_fault_middleware
from .service import (
    RequestError,
    make_application,
    make_server,
    read_field,
    read_json_object,
)
from .worker_state import SHAPE_FIELDS, Worker, describe_gang

# Modes that affect the transport of a call; the fault middleware applies them.
CALL_MODES = ("vanish", "lose_response", "late", "slow")
# Modes that change how a worker handles an operation.
WORKER_MODES = ("fail_starts", "unstoppable", "corrupt_result", "wrong_result")
# Modes that take effect once, when the fault is set.
ACTION_MODES = ("up", "restart_empty", "leaving")
REGISTRATION_RETRY_SECONDS = 0.5


@attrs.define(kw_only=True)
class WorkerProcess:
    """All workers of the process, their faults, timers and journal.

    ``registration_requests`` is the send stream for ids of workers whose entry in
    the instance list has to be written.
    """

    workers: dict
    advertised_url: str
    registration_requests: object
    journal: list
    timers: dict = attrs.field(factory=dict)
    faults: FaultTable = attrs.field(factory=lambda: FaultTable(any_subject="*"))

    def schedule(self, worker):
        """Set the timer of a worker to its next lease lapse or end of a task."""
        timer = self.timers.pop(worker.worker_id, None)
        if timer is not None:
            timer.cancel()
        due_seconds = worker.next_due_seconds()
        if math.isfinite(due_seconds):
            loop = asyncio.get_running_loop()
            delay_seconds = max(0.0, due_seconds - time.monotonic())
            self.timers[worker.worker_id] = loop.call_later(
                delay_seconds, self._advance, worker
            )

    def _advance(self, worker):
        worker.advance(time.monotonic())
        self.schedule(worker)

    def consume_fault(self, worker, mode, operation):
        """Count the call; return whether a fault of this mode applies to it."""
        fault = self.faults.consume(
            subject=worker.worker_id, operation=operation, modes=(mode,)
        )
        return fault is not None

    def apply_action(self, fault):
        """Apply a fault of `ACTION_MODES` to its worker, or to all workers if ``*``."""
        for worker in self.workers.values():
            if fault.subject not in ("*", worker.worker_id):
                continue
            now_seconds = time.monotonic()
            if fault.mode == "restart_empty":
                worker.advance(now_seconds)
                worker.restart_empty(now_seconds)
                self.schedule(worker)
            elif worker.is_leaving != (fault.mode == "leaving"):
                worker.is_leaving = fault.mode == "leaving"
                self.registration_requests.send_nowait(worker.worker_id)


def make_workers(
    *, data_centre, count, capacity, workers_per_rack, usage_lag_seconds, journal
):
    """Return workers by id, which share ``journal`` and the saved checkpoints."""
    saved_progress = {}
    workers = {}
    for index in range(count):
        worker_id = f"{data_centre}-worker-{index:02d}"
        workers[worker_id] = Worker(
            worker_id=worker_id,
            data_centre=data_centre,
            rack=f"{data_centre}-rack-{index // workers_per_rack}",
            capacity=dict(capacity),
            usage_lag_seconds=usage_lag_seconds,
            saved_progress=saved_progress,
            record=make_recorder(journal, worker_id, data_centre),
        )
    return workers


def make_recorder(journal, worker_id, data_centre):
    """Return the function by which a worker appends events to the journal."""

    def record(event, gang, tasks, now_seconds, fields):
        entry = {
            "sequence": len(journal) + 1,
            "event": event,
            "time_seconds": now_seconds,
            "worker_id": worker_id,
            "data_centre": data_centre,
        }
        if gang is not None:
            entry |= {
                "job_id": gang.job_id,
                "token": gang.token,
                "holder": gang.holder,
                "task_indices": [task.task_index for task in tasks],
                "details": gang.details,
            }
        journal.append(entry | fields)

    return record


def parse_fault(body, worker_ids):
    """Return the fault that a request for ``/control/faults`` describes.

    - ``slow``, ``late``, ``lose_response``: see `faults.make_fault_middleware`.
    - ``vanish``: calls are not applied and the connection is closed; tasks and leases
      continue, as on a host without a network connection.
    - ``restart_empty``: once, all state except checkpoints is lost and the incarnation
      changes, as after a crash; with ``vanish`` the worker also stays unreachable.
    - ``fail_starts``: starts are accepted and all tasks fail at once.
    - ``unstoppable``: stop is answered 503 and has no effect.
    - ``corrupt_result``, ``wrong_result``: a result has an altered body, or is that of
      another finished task of the worker, if there is one.
    - ``leaving``: reservations are refused, and the state of the worker in the instance
      list becomes ``leaving``.
    - ``up``: removes the faults of the worker and ends ``leaving``.
    """
    worker_id = read_field(body, "worker_id", str)
    mode = read_field(body, "mode", str)
    if worker_id != "*" and worker_id not in worker_ids:
        raise RequestError(400, "bad_request", f"unknown worker {worker_id!r}")
    if mode not in CALL_MODES + WORKER_MODES + ACTION_MODES:
        raise RequestError(400, "bad_request", f"unknown mode {mode!r}")
    count = read_field(body, "count", int, minimum=0, default=0)
    return Fault(
        subject=worker_id,
        mode=mode,
        delay_seconds=read_field(body, "delay_seconds", float, minimum=0, default=0.0),
        operation=read_field(body, "operation", str, default=""),
        remaining_count=count or None,
    )


def parse_gang_key(body):
    """Return the fields that identify an attempt of a job."""
    return {
        "job_id": read_field(body, "job_id", str),
        "token": read_field(body, "token", int, minimum=1),
    }


def parse_reservation(body):
    """Return the checked fields of a reserve request."""
    shape = read_field(body, "shape", dict)
    task_indices = read_field(body, "task_indices", list)
    are_valid = [type(index) is int and index >= 0 for index in task_indices]
    if (
        not all(are_valid)
        or len(set(task_indices)) != len(task_indices)
        or not are_valid
    ):
        message = "task_indices must be distinct whole numbers, at least one"
        raise RequestError(400, "bad_request", message)
    return {
        **parse_gang_key(body),
        "holder": read_field(body, "holder", str),
        "task_indices": task_indices,
        "shape": {
            name: read_field(shape, name, int, minimum=0) for name in SHAPE_FIELDS
        },
        "lease_seconds": read_field(body, "lease_seconds", float, minimum=0),
        "details": read_field(body, "details", dict, default={}),
    }


def answer_reserve(process, worker, body, now_seconds):
    """Answer a reserve request."""
    gang = worker.reserve(**parse_reservation(body), now_seconds=now_seconds)
    return describe_gang(gang, now_seconds)


def answer_start(process, worker, body, now_seconds):
    """Answer a start request."""
    limit_seconds = 0.0
    if body.get("run_seconds_limit") is not None:
        limit_seconds = read_field(body, "run_seconds_limit", float, minimum=0)
    fields = {
        **parse_gang_key(body),
        "holder": read_field(body, "holder", str),
        "payload": read_field(body, "payload", str, default=""),
        "run_seconds_limit": limit_seconds,
    }
    fails = process.consume_fault(worker, "fail_starts", "start")
    gang = worker.start(**fields, fails=fails, now_seconds=now_seconds)
    return describe_gang(gang, now_seconds)


def answer_renew(process, worker, body, now_seconds):
    """Answer a renewal of many leases; a gang of another holder counts as absent."""
    lease_seconds = read_field(body, "lease_seconds", float, minimum=0)
    keys = []
    for item in read_field(body, "gangs", list):
        if not isinstance(item, dict):
            raise RequestError(400, "bad_request", "gangs must be objects")
        keys.append(parse_gang_key(item) | {"holder": read_field(item, "holder", str)})
    gangs = []
    for key in keys:
        gang = worker.renew(**key, lease_seconds=lease_seconds, now_seconds=now_seconds)
        if gang is None:
            gangs.append(describe_absent_gang(key))
        else:
            # Only states contain the details, which may hold a large payload.
            answer = describe_gang(gang, now_seconds)
            del answer["details"], answer["shape"]
            gangs.append(answer)
    return {
        "worker_id": worker.worker_id,
        "incarnation": worker.incarnation,
        "is_leaving": worker.is_leaving,
        "gangs": gangs,
        "usage": worker.usage(now_seconds),
    }


def answer_checkpoint(process, worker, body, now_seconds):
    """Answer a checkpoint request."""
    gang = worker.checkpoint(**parse_gang_key(body), now_seconds=now_seconds)
    return describe_gang(gang, now_seconds)


def answer_throttle(process, worker, body, now_seconds):
    """Answer a throttle request; ``factor`` is a share of full speed (default 0.5)."""
    factor = read_field(body, "factor", float, minimum=0, default=0.5)
    gang = worker.throttle(
        **parse_gang_key(body), factor=factor, now_seconds=now_seconds
    )
    return describe_gang(gang, now_seconds)


def answer_stop(process, worker, body, now_seconds):
    """Answer a stop request with the gang, or phase ``absent`` if there is none."""
    key = parse_gang_key(body)
    if process.consume_fault(worker, "unstoppable", "stop"):
        raise RequestError(503, "stop_failed", "fault: unstoppable")
    gang = worker.stop(**key, now_seconds=now_seconds)
    return (
        describe_absent_gang(key) if gang is None else describe_gang(gang, now_seconds)
    )


def answer_forget(process, worker, body, now_seconds):
    """Answer a forget request."""
    key = parse_gang_key(body)
    worker.forget(**key, now_seconds=now_seconds)
    return describe_absent_gang(key)


def describe_absent_gang(key):
    """Return the answer for a gang that the worker does not have."""
    return {"job_id": key["job_id"], "token": key["token"], "phase": "absent"}


def read_result(process, worker, query):
    """Return the result of one task, as ``GET /v1/result`` answers it."""
    try:
        key = {
            "job_id": query["job_id"],
            "token": int(query["token"]),
            "task_index": int(query["task_index"]),
        }
    except (KeyError, ValueError) as error:
        raise RequestError(400, "bad_request", f"bad query: {error}") from None
    gang, task = worker.find_result(**key)
    if process.consume_fault(worker, "wrong_result", "result"):
        gang, task = find_other_result(worker, task) or (gang, task)
    body = task.body
    if process.consume_fault(worker, "corrupt_result", "result"):
        body = body[:-1] + ("?" if body[-1] != "?" else "!")
    return {
        "job_id": gang.job_id,
        "token": gang.token,
        "task_index": task.task_index,
        "body": body,
        "length_bytes": task.length_bytes,
        "sha256": task.sha256,
    }


def find_other_result(worker, wanted_task):
    """Return another finished task of the worker and its gang, or None."""
    for gang in worker.gangs.values():
        for task in gang.tasks_in("finished"):
            if task is not wanted_task:
                return gang, task
    return None


OPERATIONS = {
    "reserve": answer_reserve,
    "start": answer_start,
    "renew": answer_renew,
    "checkpoint": answer_checkpoint,
    "throttle": answer_throttle,
    "stop": answer_stop,
    "forget": answer_forget,
}


def make_app(process):
    """Return the ASGI application of the process."""

    def find_worker(request):
        worker = process.workers.get(request.path_params["worker_id"])
        if worker is None:
            raise RequestError(404, "unknown_worker", "no such worker")
        worker.advance(time.monotonic())
        return worker

    async def read_state(request):
        return JSONResponse(find_worker(request).describe(time.monotonic()))

    async def serve_result(request):
        worker = find_worker(request)
        return JSONResponse(read_result(process, worker, request.query_params))

    def make_operation(answer):
        async def run_operation(request):
            body = await read_json_object(request)
            worker = find_worker(request)
            try:
                return JSONResponse(answer(process, worker, body, time.monotonic()))
            finally:
                process.schedule(worker)

        return run_operation

    async def add_fault(request):
        fault = parse_fault(await read_json_object(request), process.workers)
        if fault.mode in ("up", *CALL_MODES, *WORKER_MODES):
            process.faults.add(fault)
        if fault.mode in ACTION_MODES:
            process.apply_action(fault)
        return JSONResponse({})

    async def clear_faults(request):
        process.faults.clear()
        process.apply_action(Fault(subject="*", mode="up"))
        return JSONResponse({})

    async def read_journal(request):
        after = int(request.query_params.get("after", 0))
        return JSONResponse({"events": process.journal[after:]})

    base = "/workers/{worker_id}/v1"
    routes = [
        Route(f"{base}/state", read_state, methods=["GET"]),
        Route(f"{base}/result", serve_result, methods=["GET"]),
        *(
            Route(f"{base}/{name}", make_operation(answer), methods=["POST"])
            for name, answer in OPERATIONS.items()
        ),
        Route("/control/faults", add_fault, methods=["POST"]),
        Route("/control/clear", clear_faults, methods=["POST"]),
        Route("/control/journal", read_journal, methods=["GET"]),
    ]
    app = make_application(routes)

    def consume_fault(scope):
        parts = scope["path"].split("/")
        if len(parts) != 5 or parts[1] != "workers":
            return None
        return process.faults.consume(
            subject=parts[2], operation=parts[4], modes=CALL_MODES
        )

    return make_fault_middleware(app, consume_fault)


async def register_workers(process, platform_url, worker_ids):
    """Write the instance list entry of each worker whose id arrives, with retries."""
    async with httpcore.AsyncConnectionPool() as pool:
        async for worker_id in worker_ids:
            worker = process.workers[worker_id]
            is_registered = False
            while not is_registered:
                entry = {
                    "kind": "worker",
                    "data_centre": worker.data_centre,
                    "address": f"{process.advertised_url}/workers/{worker_id}",
                    "state": "leaving" if worker.is_leaving else "live",
                }
                is_registered = await put_instance(pool, platform_url, worker, entry)
                if not is_registered:
                    await anyio.sleep(REGISTRATION_RETRY_SECONDS)


async def put_instance(pool, platform_url, worker, entry):
    """Write one entry; return whether the platform confirmed it."""
    try:
        response = await pool.request(
            "PUT",
            f"{platform_url}/v1/instances/{worker.worker_id}",
            headers={"x-data-centre": worker.data_centre},
            content=json.dumps(entry).encode(),
            extensions={"timeout": {"connect": 2.0, "read": 2.0, "pool": 2.0}},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        return False
    return response.status == 200


def main(
    *,
    port: int,
    data_centre: str,
    platform_url: str,
    count: int = 24,
    advertised_url: str = "",
    accelerators_count: int = 8,
    cores_count: int = 32,
    memory_bytes: int = 64_000_000_000,
    connections_count: int = 64,
    slots_count: int = 8,
    workers_per_rack: int = 8,
    usage_lag_seconds: float = 1.0,
):
    """Serve the workers of one data centre on a loopback port.

    :param port: TCP port.
    :param data_centre: name of the data centre.
    :param platform_url: base URL of the platform, for the instance list.
    :param count: number of workers.
    :param advertised_url: base URL that the instance list shows; default: own port.
    :param accelerators_count: accelerators of each worker.
    :param cores_count: cores of each worker.
    :param memory_bytes: memory of each worker.
    :param connections_count: connections of each worker.
    :param slots_count: tasks that a worker can hold.
    :param workers_per_rack: workers that share a rack.
    :param usage_lag_seconds: age of the usage that workers report.
    """
    journal = []
    workers = make_workers(
        data_centre=data_centre,
        count=count,
        capacity={
            "accelerators_count": accelerators_count,
            "cores_count": cores_count,
            "memory_bytes": memory_bytes,
            "connections_count": connections_count,
            "slots_count": slots_count,
        },
        workers_per_rack=workers_per_rack,
        usage_lag_seconds=usage_lag_seconds,
        journal=journal,
    )

    async def serve():
        registration_requests, worker_ids = anyio.create_memory_object_stream(math.inf)
        process = WorkerProcess(
            workers=workers,
            advertised_url=advertised_url or f"http://127.0.0.1:{port}",
            registration_requests=registration_requests,
            journal=journal,
        )
        for worker_id in workers:
            registration_requests.send_nowait(worker_id)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(register_workers, process, platform_url, worker_ids)
            await make_server(make_app(process), port=port).serve()
            tasks.cancel_scope.cancel()

    anyio.run(serve)


if __name__ == "__main__":
    defopt.run(main)
