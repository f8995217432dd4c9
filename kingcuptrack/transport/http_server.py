"""HTTP server for callers and operators."""

import functools

import anyio
import uvicorn

from .bounded_protocol import BoundedHttpProtocol
from .connection_limits import limits_of_process
from .connection_table import ConnectionTable

# Interval at which connections whose time is over are closed.
SWEEP_INTERVAL_SECONDS = 1.0


class HttpServer:
    """uvicorn server that runs as a task and leaves signals to the program.

    Parameters
    ----------
    application : callable
        ASGI application.
    ip : str
    port : int
    stop_timeout_seconds : float
        Time left to open requests when the server stops.
    connections : ConnectionTable, optional
        Accepted connections and their limits; servers of one process share it. By
        default, a server has its own with `limits_of_process`.
    backlog_count : int, optional
        Connections that are accepted at a time; default: that of the limits.
    """

    def __init__(
        self,
        *,
        application,
        ip,
        port,
        stop_timeout_seconds,
        connections=None,
        backlog_count=None,
    ):
        if connections is None:
            connections = ConnectionTable(limits=limits_of_process())
        self._connections = connections
        self._server = uvicorn.Server(
            uvicorn.Config(
                application,
                host=ip,
                port=port,
                # uvloop may use io_uring, which is not allowed.
                loop="asyncio",
                http=functools.partial(BoundedHttpProtocol, table=self._connections),
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                backlog=backlog_count or self._connections.limits.backlog_count,
                timeout_keep_alive=30,
                timeout_graceful_shutdown=max(1, round(stop_timeout_seconds)),
            )
        )
        self._is_stopped = anyio.Event()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until `stop` is called and the open requests are completed."""
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup()
        if self._server.should_exit:
            raise OSError("the HTTP server could not listen on its address")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep_connections)
            task_status.started()
            await self._server.main_loop()
            await self._server.shutdown()
            tasks.cancel_scope.cancel()
        self._is_stopped.set()

    async def wait_stopped(self):
        """Wait until the last open request has been answered."""
        await self._is_stopped.wait()

    def stop(self):
        """Stop accepting connections and end `run` after the open requests."""
        self._server.should_exit = True

    async def _sweep_connections(self):
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            self._connections.sweep()
