"""Client of the control interface of workers."""

import time
from urllib.parse import urlencode

import attrs
import cattrs

from ..outcomes import Done, Refused, Unknown
from ..protocol.codecs import json_converter
from ..state.placer.jobs import TaskResult
from ..state.placer.shapes import Capacity, Shape
from .http_client import HttpClient, decode_body


@attrs.frozen(kw_only=True)
class GangKey:
    """Identity of one attempt of a gang at a worker.

    ``token`` is the fencing token (the attempt) and ``holder`` the nonce of the
    claim that owns it.
    """

    job_id: str
    token: int
    holder: str


@attrs.frozen(kw_only=True)
class TaskState:
    """State of one task at a worker."""

    task_index: int
    state: str
    length_bytes: int = 0
    sha256: str = ""


@attrs.frozen(kw_only=True)
class GangState:
    """State of one attempt of a gang at a worker; phase ``absent`` if it has none.

    ``was_started`` stays true after the tasks ended.
    """

    job_id: str
    token: int
    phase: str
    holder: str = ""
    tasks: tuple[TaskState, ...] = ()
    shape: Shape | None = None
    lease_remaining_seconds: float = 0.0
    was_started: bool = False
    details: dict = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class WorkerState:
    """Answer of a worker to a state request."""

    worker_id: str
    incarnation: str
    data_centre: str
    rack: str
    capacity: Capacity
    is_leaving: bool
    gangs: tuple[GangState, ...] = ()
    usage: dict = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class RenewalAnswer:
    """Answer of a worker to a renewal: the state of every gang named in it."""

    worker_id: str
    incarnation: str
    is_leaving: bool
    gangs: tuple[GangState, ...] = ()
    usage: dict = attrs.field(factory=dict)


# Connections to one worker, for renewals and for the calls of the gangs that it holds.
CONNECTIONS_PER_WORKER_COUNT = 8

# The connection pool of a worker is closed if it has not been used for this long.
IDLE_POOL_SECONDS = 120.0


@attrs.define(kw_only=True)
class _ConnectionPool:
    http_client: HttpClient
    used_seconds: float


class WorkerClient:
    """Calls to workers; each takes the base URL of the worker as ``address``.

    Every worker has a connection pool of its own, because the cost of a call grows
    with the number of connections in the pool of httpcore.
    """

    def __init__(self, *, timeout_seconds):
        self._timeout_seconds = timeout_seconds
        self._pools = {}

    async def read_state(self, address):
        """Return Done with a `WorkerState`."""
        return await self._call(address, "state", None, WorkerState)

    async def reserve(
        self, address, key, *, task_indices, shape, lease_seconds, details
    ):
        """Reserve capacity for some tasks of a gang under a short lease."""
        body = {
            **cattrs.unstructure(key),
            "task_indices": list(task_indices),
            "shape": cattrs.unstructure(shape),
            "lease_seconds": lease_seconds,
            "details": details,
        }
        return await self._call(address, "reserve", body)

    async def start(self, address, key, *, payload, run_seconds_limit):
        """Start the reserved tasks; idempotent for one key."""
        body = {
            **cattrs.unstructure(key),
            "payload": payload,
            "run_seconds_limit": run_seconds_limit,
        }
        return await self._call(address, "start", body)

    async def renew(self, address, keys, *, lease_seconds):
        """Renew the leases of all given gangs at a worker."""
        body = {
            "lease_seconds": lease_seconds,
            "gangs": [cattrs.unstructure(key) for key in keys],
        }
        return await self._call(address, "renew", body, RenewalAnswer)

    async def checkpoint(self, address, key):
        """Save the progress of the tasks of a gang."""
        return await self._call(address, "checkpoint", cattrs.unstructure(key))

    async def throttle(self, address, key):
        """Limit the tasks of a gang to their declared usage."""
        return await self._call(address, "throttle", cattrs.unstructure(key))

    async def stop(self, address, key):
        """Stop a gang, and fence its token and all older tokens of the job.

        Done holds the `GangState` after the stop; its ``was_started`` tells whether
        the tasks were ever started.
        """
        return await self._call(address, "stop", cattrs.unstructure(key), GangState)

    async def forget(self, address, key):
        """Tell the worker to discard the results of a finished gang."""
        return await self._call(address, "forget", cattrs.unstructure(key))

    async def read_result(self, address, key, task_index):
        """Return Done with the `TaskResult` of exactly this attempt and task."""
        query = urlencode(
            {"job_id": key.job_id, "token": key.token, "task_index": task_index}
        )
        outcome = await self._call(address, f"result?{query}", None, dict)
        if not isinstance(outcome, Done):
            return outcome
        data = outcome.value
        found = (data.get("job_id"), data.get("token"), data.get("task_index"))
        if found != (key.job_id, key.token, task_index):
            return Unknown(
                message=f"answer belongs to another attempt or task: {found}"
            )
        return Done(value=json_converter.structure(data, TaskResult))

    async def _get_http_client(self, address):
        now_seconds = time.monotonic()
        pool = self._pools.get(address)
        if pool is None:
            await self._close_idle_pools(now_seconds)
            http_client = HttpClient(connections_count=CONNECTIONS_PER_WORKER_COUNT)
            pool = _ConnectionPool(http_client=http_client, used_seconds=now_seconds)
            self._pools[address] = pool
        pool.used_seconds = now_seconds
        return pool.http_client

    async def _close_idle_pools(self, now_seconds):
        oldest_seconds = now_seconds - IDLE_POOL_SECONDS
        idle_addresses = [
            address
            for address, pool in self._pools.items()
            if pool.used_seconds < oldest_seconds
        ]
        for address in idle_addresses:
            await self._pools.pop(address).http_client.close()

    async def _call(self, address, operation, body, kind=None):
        http_client = await self._get_http_client(address)
        outcome = await http_client.request(
            "GET" if body is None else "POST",
            f"{address}/v1/{operation}",
            timeout_seconds=self._timeout_seconds,
            body=body,
        )
        if not isinstance(outcome, Done):
            return outcome
        response = outcome.value
        if response.status == 200:
            if kind is None:
                return Done()
            return decode_body(
                response, lambda data: json_converter.structure(data, kind)
            )
        if 400 <= response.status < 500:
            refusal = decode_body(response, lambda data: (data["code"], data))
            if isinstance(refusal, Unknown):
                return Refused(code="rejected", message=f"status {response.status}")
            code, data = refusal.value
            return Refused(code=code, message=data.get("message", ""))
        return Unknown(message=f"status {response.status}")
