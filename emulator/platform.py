"""Stand-in of the platform: table service, object store and instance list.

One process with its state in memory. Paths under ``/control`` set faults and read the
journal: ``POST /control/faults`` (see `parse_fault`), ``POST /control/clear``,
``GET /control/journal?after=SEQUENCE``, ``GET /control/statistics`` and
``DELETE /control/instances/{id}``, which removes an instance from the list as the
platform does when it detects that the instance is dead.
"""

import bisect
import hashlib
import time
from collections import Counter, deque

import attrs
import defopt
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .faults import Fault, FaultTable, make_fault_middleware
from .service import (
    RequestError,
    make_application,
    make_server,
    read_field,
    read_json_object,
)

ROWS_LIMIT_COUNT = 1000
MODES = ("up", "down", "slow", "lose_response", "late")
SERVICES = ("table", "objects", "instances")
SERVICE_OF_PREFIX = {
    "/v1/tables/": "table",
    "/v1/objects/": "objects",
    "/v1/instances": "instances",
}


@attrs.define(kw_only=True)
class Table:
    """Rows as (version, value) by key, and the sorted keys."""

    rows: dict = attrs.field(factory=dict)
    keys: list = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Platform:
    """State of the three services; times are seconds of the monotonic clock.

    ``registered`` is the current instance list, ``visible`` the list that readers see,
    and ``unseen_changes`` holds the changes that readers do not see yet.
    """

    lag_seconds: float = 1.0
    tables: dict = attrs.field(factory=dict)
    objects: dict = attrs.field(factory=dict)
    registered: dict = attrs.field(factory=dict)
    visible: dict = attrs.field(factory=dict)
    unseen_changes: deque = attrs.field(factory=deque)
    journal: list = attrs.field(factory=list)
    counts: Counter = attrs.field(factory=Counter)
    faults: FaultTable = attrs.field(factory=lambda: FaultTable(any_subject="all"))

    def write_row(self, table_name, key, expected_version, value):
        """Write a row if it has the expected version, which is 0 for a new row.

        Returns
        -------
        is_written : bool
        row : tuple of (int, object)
            Version and value in the table after the call.
        """
        table = self.tables.setdefault(table_name, Table())
        version, old_value = table.rows.get(key, (0, None))
        if version != expected_version:
            return False, (version, old_value)
        if version == 0:
            bisect.insort(table.keys, key)
        table.rows[key] = (version + 1, value)
        return True, table.rows[key]

    def delete_row(self, table_name, key):
        """Delete a row of any version; return whether it existed."""
        table = self.tables.get(table_name, Table())
        if table.rows.pop(key, None) is None:
            return False
        del table.keys[bisect.bisect_left(table.keys, key)]
        return True

    def list_rows(self, table_name, *, prefix, after, limit):
        """Return up to ``limit`` rows with the key prefix, after the key ``after``."""
        table = self.tables.get(table_name, Table())
        start = bisect.bisect_left(table.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(table.keys, after))
        rows = []
        for key in table.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            version, value = table.rows[key]
            rows.append({"key": key, "version": version, "value": value})
        return rows

    def register(self, instance_id, entry, *, now_seconds):
        """Set an entry of the instance list; None removes it."""
        if entry is None:
            self.registered.pop(instance_id, None)
        else:
            self.registered[instance_id] = entry
        self.unseen_changes.append((now_seconds, instance_id, entry))

    def list_instances(self, *, now_seconds):
        """Return the list as it was ``lag_seconds`` ago."""
        while (
            self.unseen_changes
            and self.unseen_changes[0][0] <= now_seconds - self.lag_seconds
        ):
            _, instance_id, entry = self.unseen_changes.popleft()
            if entry is None:
                self.visible.pop(instance_id, None)
            else:
                self.visible[instance_id] = entry
        return [entry for _, entry in sorted(self.visible.items())]

    def record(self, service, operation, key, *, data_centre, now_seconds, **fields):
        """Append an applied write to the journal."""
        event = {
            "sequence": len(self.journal) + 1,
            "time_seconds": now_seconds,
            "service": service,
            "operation": operation,
            "key": key,
            "data_centre": data_centre,
            **fields,
        }
        self.journal.append(event)


def parse_fault(body):
    """Return the fault that a request for ``/control/faults`` describes.

    Modes are those of `faults.make_fault_middleware`, and ``up``, which removes the
    faults of the service that match the given filters. ``closes_connection`` makes
    ``down`` close the connection instead of answering 503. The newest matching fault
    applies.
    """
    service = read_field(body, "service", str, default="all")
    mode = read_field(body, "mode", str)
    if service not in (*SERVICES, "all"):
        raise RequestError(400, "bad_request", f"unknown service {service!r}")
    if mode not in MODES:
        raise RequestError(400, "bad_request", f"unknown mode {mode!r}")
    count = read_field(body, "count", int, minimum=0, default=0)
    return Fault(
        subject=service,
        mode=mode,
        delay_seconds=read_field(body, "delay_seconds", float, minimum=0, default=0.0),
        data_centre=read_field(body, "data_centre", str, default=""),
        operation=read_field(body, "method", str, default="").upper(),
        path_prefix=read_field(body, "path_prefix", str, default=""),
        remaining_count=count or None,
        closes_connection=read_field(body, "closes_connection", bool, default=False),
    )


def make_app(platform):
    """Return the ASGI application of the platform."""

    def data_centre_of(request):
        return request.headers.get("x-data-centre", "")

    async def read_row(request):
        table = platform.tables.get(request.path_params["table"], Table())
        row = table.rows.get(request.path_params["key"])
        if row is None:
            raise RequestError(404, "not_found", "no such row")
        return JSONResponse({"version": row[0], "value": row[1]})

    async def write_row(request):
        body = await read_json_object(request)
        expected_version = read_field(body, "expected_version", int, minimum=0)
        if "value" not in body:
            raise RequestError(400, "bad_request", "value is missing")
        table_name, key = request.path_params["table"], request.path_params["key"]
        is_written, (version, value) = platform.write_row(
            table_name, key, expected_version, body["value"]
        )
        if not is_written:
            platform.counts["table_conflicts_count"] += 1
            return JSONResponse({"version": version, "value": value}, status_code=409)
        platform.record(
            "table",
            "PUT",
            key,
            data_centre=data_centre_of(request),
            now_seconds=time.monotonic(),
            table=table_name,
            version=version,
            value=value,
        )
        return JSONResponse({"version": version})

    async def delete_row(request):
        table_name = request.path_params["table"]
        key = request.path_params["key"]
        if not platform.delete_row(table_name, key):
            raise RequestError(404, "not_found", "no such row")
        platform.record(
            "table",
            "DELETE",
            key,
            data_centre=data_centre_of(request),
            now_seconds=time.monotonic(),
            table=table_name,
        )
        return JSONResponse({})

    async def list_rows(request):
        query = request.query_params
        try:
            limit = int(query.get("limit", ROWS_LIMIT_COUNT))
        except ValueError:
            raise RequestError(400, "bad_request", "limit is not a number") from None
        rows = platform.list_rows(
            request.path_params["table"],
            prefix=query.get("prefix", ""),
            after=query.get("after", ""),
            limit=min(max(limit, 0), ROWS_LIMIT_COUNT),
        )
        return JSONResponse({"rows": rows})

    async def read_object(request):
        content = platform.objects.get(request.path_params["key"])
        if content is None:
            raise RequestError(404, "not_found", "no such object")
        return Response(content, media_type="application/octet-stream")

    async def write_object(request):
        content = await request.body()
        platform.objects[request.path_params["key"]] = content
        platform.record(
            "objects",
            "PUT",
            request.path_params["key"],
            data_centre=data_centre_of(request),
            now_seconds=time.monotonic(),
            length_bytes=len(content),
            sha256=hashlib.sha256(content).hexdigest(),
        )
        return JSONResponse({})

    async def list_instances(request):
        entries = platform.list_instances(now_seconds=time.monotonic())
        return JSONResponse({"instances": entries})

    async def write_instance(request):
        body = await read_json_object(request)
        entry = {"instance_id": request.path_params["instance_id"]}
        for name in ("kind", "data_centre", "address", "state"):
            entry[name] = read_field(body, name, str)
        if entry["kind"] not in ("entry", "worker"):
            raise RequestError(400, "bad_request", "kind must be entry or worker")
        if entry["state"] not in ("live", "leaving"):
            raise RequestError(400, "bad_request", "state must be live or leaving")
        change_instance(request, entry)
        return JSONResponse({})

    async def remove_instance(request):
        change_instance(request, None)
        return JSONResponse({})

    def change_instance(request, entry):
        instance_id = request.path_params["instance_id"]
        now_seconds = time.monotonic()
        platform.register(instance_id, entry, now_seconds=now_seconds)
        platform.record(
            "instances",
            request.method,
            instance_id,
            data_centre=data_centre_of(request),
            now_seconds=now_seconds,
            value=entry,
        )

    async def add_fault(request):
        platform.faults.add(parse_fault(await read_json_object(request)))
        return JSONResponse({})

    async def clear_faults(request):
        platform.faults.clear()
        return JSONResponse({})

    async def read_journal(request):
        after = int(request.query_params.get("after", 0))
        return JSONResponse({"events": platform.journal[after:]})

    async def read_statistics(request):
        return JSONResponse(dict(platform.counts))

    row_path = "/v1/tables/{table}/rows/{key:path}"
    routes = [
        Route("/v1/tables/{table}/rows", list_rows, methods=["GET"]),
        Route(row_path, read_row, methods=["GET"]),
        Route(row_path, write_row, methods=["PUT"]),
        Route(row_path, delete_row, methods=["DELETE"]),
        Route("/v1/objects/{key:path}", read_object, methods=["GET"]),
        Route("/v1/objects/{key:path}", write_object, methods=["PUT"]),
        Route("/v1/instances", list_instances, methods=["GET"]),
        Route("/v1/instances/{instance_id}", write_instance, methods=["PUT"]),
        Route("/control/instances/{instance_id}", remove_instance, methods=["DELETE"]),
        Route("/control/faults", add_fault, methods=["POST"]),
        Route("/control/clear", clear_faults, methods=["POST"]),
        Route("/control/journal", read_journal, methods=["GET"]),
        Route("/control/statistics", read_statistics, methods=["GET"]),
    ]
    app = make_application(routes)

    def consume_fault(scope):
        service = service_of(scope["path"])
        if not service:
            return None
        kind = "reads" if scope["method"] == "GET" else "writes"
        platform.counts[f"{service}_{kind}_count"] += 1
        headers = dict(scope["headers"])
        fault = platform.faults.consume(
            subject=service,
            operation=scope["method"],
            data_centre=headers.get(b"x-data-centre", b"").decode(),
            path=scope["path"],
        )
        if fault is not None:
            platform.counts[f"{service}_faults_count"] += 1
        return fault

    return make_fault_middleware(app, consume_fault)


def service_of(path):
    """Return the service that a path belongs to; empty for other paths."""
    for prefix, service in SERVICE_OF_PREFIX.items():
        if path.startswith(prefix):
            return service
    return ""


def main(*, port: int, lag_seconds: float = 1.0):
    """Serve the platform stand-in on a loopback port.

    :param port: TCP port.
    :param lag_seconds: age of the instance list that readers see.
    """
    make_server(make_app(Platform(lag_seconds=lag_seconds)), port=port).run()


if __name__ == "__main__":
    defopt.run(main)
