"""Stand-in of the users' platform over HTTP: store, registry, operator, workers.

    python -m emulator.platform_service PORT [--workers N]

It serves the store at PORT and the workers at the ports after it, backed by
`emulator.rows` and `emulator.gang_workers`. In addition to the requests of the platform
it accepts ``POST /fault`` with a JSON object of fields of `StoreFaults` and
`OrderFaults`, and ``POST /operator/KEY`` and ``DELETE /operator/KEY``, which write and
remove rows of the operator. The ``spec`` of a job is a JSON text with the run time of
its tasks and the steps as submitted: ``{"seconds": 1, "steps": [...]}``.
"""

import base64
import json
import random
import sys
import time
from urllib.parse import parse_qs

import anyio
import defopt

from kingcuptrack.coordination.ports import (
    CONFLICT,
    DENIED,
    FENCED,
    HISTORY_LOST,
    TOO_LATE,
    PollRequest,
    RowKey,
    StartOrder,
    Transaction,
)
from kingcuptrack.outcomes import Done, Refused
from kingcuptrack.platform.http_api import decode_job
from kingcuptrack.state.jobs.steps import TaskRef
from kingcuptrack.transport.http_server import HttpServer

from .gang_workers import Fleet, make_worker_entry
from .rows import RowStore

REGISTRATION_INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 5.0
SERVER_STOP_TIMEOUT_SECONDS = 1.0
WORKERS_LIMIT_COUNT = 16
# The platform answers a feed request after this time at the latest.
FEED_WAIT_LIMIT_SECONDS = 30.0
READ_ROWS_LIMIT_COUNT = 500


class NullObserver:
    """Observer of workers that ignores every event."""

    is_late_order = False

    def note_start(self, worker, run, order):
        """Ignore a start."""

    def note_end(self, worker, run, end):
        """Ignore an end."""

    def note_crash(self, worker, cause):
        """Ignore a crash."""

    def note_lost(self, worker, run):
        """Ignore a loss."""

    def note_lapse(self, worker):
        """Ignore a lapse."""

    def note_acknowledged(self, worker, number, now):
        """Ignore an acknowledgement."""


def make_json_application(handler):
    """Return an ASGI application that serves JSON.

    ``handler`` is called with method, path, query and body and returns (status, JSON
    value). Status 0 simulates a missing answer: the response is a 500 that is delayed
    by CALL_TIMEOUT_SECONDS.
    """

    async def application(scope, receive, send):
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        status, value = await handler(
            scope["method"], scope["path"], query, json.loads(body) if body else {}
        )
        if status == 0:
            await anyio.sleep(CALL_TIMEOUT_SECONDS)
            status = 500
        content = json.dumps(value).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": content})

    return application


def make_store_handler(store, fleet):
    """Return the request handler of the store."""
    store_calls = store.port("anybody")

    async def handle_request(method, path, query, body):
        if path == "/-/rows-get":
            return await read(query)
        if path == "/-/rows-tx":
            return await transact(body)
        if path == "/-/rows-feed":
            return await follow(query)
        if path == "/fault":
            return set_faults(body)
        if path.startswith("/operator/"):
            key = RowKey(table="op", part="", key=path.removeprefix("/operator/"))
            if method == "DELETE":
                store.remove(key)
            else:
                store.put(key, json.dumps(body).encode())
            return 200, {}
        return 404, {"error": f"{method} {path}"}

    async def read(query):
        outcome = await store_calls.read(
            table=query["table"],
            part=query.get("part", ""),
            first=query.get("from", ""),
            last=query.get("to", ""),
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done):
            return _encode_failure(outcome)
        rows = outcome.value.rows[:READ_ROWS_LIMIT_COUNT]
        return 200, {
            "rows": [_encode_row(row) for row in rows],
            "has_more": len(rows) < len(outcome.value.rows),
            **_encode_version(outcome.value.version),
        }

    async def transact(body):
        transaction = Transaction(
            expect={_decode_key(entry): entry["ver"] for entry in body["expect"]},
            puts={
                _decode_key(entry): base64.b64decode(entry["value"])
                for entry in body["puts"]
            },
            removes=tuple(_decode_key(entry) for entry in body["remove"]),
        )
        outcome = await store_calls.transact(
            transaction=transaction, timeout_seconds=CALL_TIMEOUT_SECONDS
        )
        if isinstance(outcome, Done):
            return 200, _encode_version(outcome.value)
        if isinstance(outcome, Refused) and outcome.code == CONFLICT:
            rows = [_encode_row(row) for row in outcome.detail.values()]
            return 412, {"rows": rows, **_encode_version(store.version)}
        return _encode_failure(outcome)

    async def follow(query):
        wait_seconds = int(query.get("wait_ms", 0)) / 1000
        outcome = await store_calls.follow(
            table=query["table"],
            after_version=int(query["after"]),
            wait_seconds=min(wait_seconds, FEED_WAIT_LIMIT_SECONDS),
        )
        if isinstance(outcome, Refused) and outcome.code == HISTORY_LOST:
            return 410, {}
        if not isinstance(outcome, Done):
            return _encode_failure(outcome)
        rows = [_encode_row(row) for row in outcome.value.rows]
        return 200, {"rows": rows, **_encode_version(outcome.value.version)}

    def set_faults(body):
        for name, value in body.items():
            target = store.faults if hasattr(store.faults, name) else fleet.faults
            setattr(target, name, set(value) if isinstance(value, list) else value)
        return 200, {}

    return handle_request


def make_worker_handler(worker, fleet):
    """Return the request handler of one worker."""
    worker_calls = fleet.port("anybody", lambda: True)

    async def handle_request(method, path, query, body):
        if path == "/-/hold":
            outcome = await worker_calls.poll(
                entry=worker.entry,
                request=PollRequest(
                    token=body["fencing_token"],
                    acknowledged_end=body["last_seen"],
                    deadline_seconds=(
                        body["deadline_ms"] / 1000 if "deadline_ms" in body else None
                    ),
                    wait_seconds=body.get("wait_ms", 0) / 1000,
                ),
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
            if isinstance(outcome, Done):
                return 200, _encode_report(outcome.value)
        elif path == "/-/run-start":
            outcome = await start(body)
        elif path == "/-/run-stop":
            outcome = await worker_calls.stop(
                entry=worker.entry,
                ref=_decode_ref(body["task"]),
                run=body["run"],
                token=body["fencing_token"],
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
        else:
            return 404, {"error": f"{method} {path}"}
        if isinstance(outcome, Done):
            return 200, {"clock_ms": round(outcome.value * 1000)}
        if isinstance(outcome, Refused):
            reason = {FENCED: "fence", TOO_LATE: "late"}.get(outcome.code, "old")
            return 409, {"clock_ms": round(worker.clock() * 1000), "reason": reason}
        return 0, {}

    async def start(body):
        ref = _decode_ref(body["task"])
        content = json.loads(body["spec"])
        request = decode_job(json.dumps({"steps": content["steps"]}).encode())
        fleet.jobs.setdefault(ref.job_id, (request.steps, content["seconds"], 0))
        order = StartOrder(
            ref=ref,
            run=body["run"],
            spec=body["spec"],
            checkpoint=body.get("checkpoint", ""),
            deadline_seconds=body["deadline_ms"] / 1000,
            token=body["fencing_token"],
        )
        return await worker_calls.start(
            entry=worker.entry, order=order, timeout_seconds=CALL_TIMEOUT_SECONDS
        )

    return handle_request


async def serve(*, port, workers_count):
    """Serve the store and the workers until cancelled."""
    rng = random.Random(port)
    async with anyio.create_task_group() as tasks:
        store = RowStore(rng=rng, spawn=tasks.start_soon)
        fleet = Fleet(rng=rng, spawn=tasks.start_soon, observer=NullObserver())
        await _serve_at(tasks, port, make_store_handler(store, fleet))
        for number in range(workers_count):
            worker = fleet.add(
                make_worker_entry(number, rack_size=4), life=int(time.time() * 1000)
            )
            handler = make_worker_handler(worker, fleet)
            await _serve_at(tasks, port + 1 + number, handler)
        tasks.start_soon(fleet.run)
        tasks.start_soon(_register_workers, store, fleet, port)


async def _serve_at(tasks, port, handler):
    server = HttpServer(
        application=make_json_application(handler),
        ip="127.0.0.1",
        port=port,
        stop_timeout_seconds=SERVER_STOP_TIMEOUT_SECONDS,
    )
    await tasks.start(server.run)


async def _register_workers(store, fleet, port):
    """Write the registry entries of the workers at a fixed interval."""
    sequence = 0
    while True:
        sequence += 1
        for number, entry in enumerate(fleet.list_entries()):
            capacity = entry.capacity
            registration = {
                "service": entry.service,
                "address": f"127.0.0.1:{port + 1 + number}",
                "zone": entry.data_centre,
                "version": "v1",
                "slots": 8,
                "state": "draining" if entry.is_draining else "ready",
                "cold_remaining_ms": 0,
                "capacity": {
                    "cpu": capacity.cpu_millicores,
                    "mem_mb": capacity.memory_mb,
                    "gpu": capacity.gpus_count,
                },
                "labels": ["a", entry.rack],
                "sequence": sequence,
            }
            key = RowKey(table="servers", part="", key=entry.worker_id)
            store.put(key, json.dumps(registration).encode())
        await anyio.sleep(REGISTRATION_INTERVAL_SECONDS)


def _encode_failure(outcome):
    if isinstance(outcome, Refused):
        return 400 if outcome.code == DENIED else 503, {"error": outcome.message}
    return 0, {}


def _encode_version(version):
    return {"ver": version, "now_ms": round(anyio.current_time() * 1000)}


def _encode_row(row):
    encoded = {
        "table": row.key.table,
        "part": row.key.part,
        "key": row.key.key,
        "value": base64.b64encode(row.value).decode(),
        "ver": row.version,
    }
    if row.is_removed:
        encoded["removed"] = True
    return encoded


def _decode_key(entry):
    return RowKey(table=entry["table"], part=entry["part"], key=entry["key"])


def _encode_report(report):
    return {
        "clock_ms": round(report.clock_seconds * 1000),
        "born": report.life,
        "running": [
            [_encode_ref(item.ref), item.run, item.checkpoint, item.percent]
            for item in report.running
        ],
        "ended": [
            [item.number, _encode_ref(item.ref), item.run, item.how, item.checkpoint]
            for item in report.ended
        ],
    }


def _encode_ref(ref):
    return f"{ref.job_id}.{ref.occurrence}.{ref.step}.{ref.index}"


def _decode_ref(name):
    job_id, occurrence, step, index = name.split(".")
    return TaskRef(
        job_id=job_id, occurrence=int(occurrence), step=int(step), index=int(index)
    )


def run_service(port: int, *, workers: int = 4):
    """Serve the stand-in until it is interrupted.

    :param port: port of the store; the workers have the ports after it
    :param workers: number of workers
    """
    if not 1 <= workers <= WORKERS_LIMIT_COUNT:
        print(f"--workers must be from 1 to {WORKERS_LIMIT_COUNT}", file=sys.stderr)
        return 2

    async def run():
        await serve(port=port, workers_count=workers)

    anyio.run(run)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run_service))
