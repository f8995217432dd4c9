"""The program that runs on every instance of the platform."""

import asyncio
import os
import signal
import sys
import time

import anyio
import attrs
from loguru import logger

from ..coordination.instance import Instance, InstanceSettings
from ..coordination.ports import Clocks, Environment
from ..errors import watch_errors
from ..logs import configure_logs, log_event
from ..prometheus_metrics import PrometheusMetrics
from ..signals import STOP_SIGNALS, receive_signals
from ..state.planning.plan_rules import PlanRules
from ..transport.connection_limits import limits_of_process
from ..transport.connection_table import ConnectionTable
from ..transport.http_client import HttpClient
from ..transport.http_server import HttpServer
from .http_api import (
    make_callers_application,
    make_metrics_application,
    make_readiness_application,
)
from .operators import make_operators
from .settings import SettingsError, load_settings, settings_path
from .store import DEFAULT_ROW_BYTES, make_store
from .workers import make_workers

# Concurrent requests to the store, for callers and for the scheduler.
STORE_CONNECTIONS_COUNT = 16
# Share of `PlatformSettings.permission_loss_seconds` for which requests are answered by
# an unconfirmed configuration; the rest is left for requests that are being answered.
PERMISSION_LOSS_FRACTION = 0.7
# Time for which a leaving instance still accepts connections: two readiness probes a
# second apart, and one in flight.
DRAIN_SECONDS = 2.5
# Time left to the open requests when the listeners close. Together with DRAIN_SECONDS
# it must stay below the time that the platform leaves between SIGTERM and SIGKILL,
# `PlatformSettings.stop_seconds`.
OPEN_REQUESTS_TIMEOUT_SECONDS = 2.0
# Share of `PlatformSettings.stop_seconds` after which a stop that hangs is given up.
STOP_LIMIT_FRACTION = 0.9
# Memory of the process if the settings file does not tell: that of a small machine.
DEFAULT_MEMORY_MB = 200.0
# Connections that the addresses for readiness and metrics accept at a time.
OPERATIONS_BACKLOG_COUNT = 32
# The settings file may also change without a SIGHUP.
SETTINGS_POLL_INTERVAL_SECONDS = 2.0


@attrs.define(kw_only=True)
class SettingsHolder:
    """The settings in force; reloaded when the file changes.

    ``is_rejected`` tells that the file, as last read, could not be used, so that the
    rejection is logged once.
    """

    path: object
    current: object
    is_rejected: bool = False

    def reload(self):
        """Read the file again; unusable settings are logged and not applied."""
        try:
            loaded = load_settings(self.path)
        except SettingsError as error:
            if not self.is_rejected:
                log_event("reload", outcome="rejected", reason=str(error))
            self.is_rejected = True
            return
        self.is_rejected = False
        if loaded == self.current:
            return
        changed = [
            field.name
            for field in attrs.fields(type(loaded))
            if getattr(loaded, field.name) != getattr(self.current, field.name)
        ]
        self.current = loaded
        log_event("reload", outcome="applied", changed=changed)


def run_program(deferred_signals):
    """Run an instance until SIGTERM or SIGINT.

    Parameters
    ----------
    deferred_signals : set of int
        Result of `signals.defer_signals`.

    Returns
    -------
    int
        The exit status.
    """
    started_at_seconds = time.monotonic()
    try:
        path = settings_path()
        settings = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    configure_logs(level="INFO", instance_id=settings.instance_id)
    holder = SettingsHolder(path=path, current=settings)
    anyio.run(
        _run_instance, holder, deferred_signals, started_at_seconds, backend="asyncio"
    )
    return 0


def make_environment(get_store_url, *, row_bytes=DEFAULT_ROW_BYTES):
    """Return the `Environment` of the platform.

    Parameters
    ----------
    get_store_url : callable
        Returns the URL of the store in the settings in force.
    row_bytes : int
        Largest value of a row of the store, in Base64.
    """
    store = make_store(
        HttpClient(connections_count=STORE_CONNECTIONS_COUNT),
        get_store_url,
        row_bytes=row_bytes,
    )
    return Environment(
        store=store,
        workers=make_workers(store, time.monotonic),
        operators=make_operators(store),
        clocks=Clocks(
            steady=time.monotonic, boottime=_boottime_seconds, wall=time.time
        ),
    )


async def _run_instance(holder, deferred_signals, started_at_seconds):
    with receive_signals(deferred_signals) as signals:
        await _run_until_stopped(holder, signals, started_at_seconds)
    log_event("instance", outcome="stopped")
    await logger.complete()


async def _run_until_stopped(holder, signals, started_at_seconds):
    settings = holder.current
    metrics = PrometheusMetrics()
    watch_errors(metrics.count_error)
    instance = Instance(
        settings=InstanceSettings(
            instance_id=settings.instance_id,
            lease_seconds=settings.longest_lease_seconds,
            remote_factor=settings.remote_factor,
            processor_cores=settings.processor_cores,
            policy_age_limit_seconds=PERMISSION_LOSS_FRACTION
            * settings.permission_loss_seconds,
        ),
        environment=make_environment(
            lambda: holder.current.store_url, row_bytes=settings.row_bytes
        ),
        metrics=metrics,
        rules=PlanRules(features=settings.features),
    )
    servers = _make_servers(settings, instance, metrics)
    async with anyio.create_task_group() as tasks:
        for server in servers:
            await tasks.start(server.run)
        log_event(
            "instance",
            outcome="started",
            data_centre=settings.data_centre,
            callers=f"{settings.callers.ip}:{settings.callers.port}",
            metrics_port=settings.metrics_port,
            start_seconds=round(time.monotonic() - started_at_seconds, 3),
        )
        tasks.start_soon(instance.run)
        tasks.start_soon(_poll_settings, holder)
        await _wait_for_stop_signal(signals, holder)
        _limit_stop(STOP_LIMIT_FRACTION * holder.current.stop_seconds)
        tasks.start_soon(_handle_late_signals, signals, holder)
        await _stop_gracefully(tasks, instance, servers)


def make_connection_limits(settings):
    """Return the `ConnectionLimits` of an instance by its `PlatformSettings`."""
    return limits_of_process(
        memory_mb=settings.memory_mb or DEFAULT_MEMORY_MB,
        descriptors_count=settings.descriptors_count,
    )


def _make_servers(settings, instance, metrics):
    connections = ConnectionTable(
        limits=make_connection_limits(settings),
        count_refusal=metrics.count_refused_connection,
    )
    backlog_count = connections.limits.backlog_count

    def make_server(application, ip, port, *, backlog_count):
        return HttpServer(
            application=application,
            ip=ip,
            port=port,
            stop_timeout_seconds=OPEN_REQUESTS_TIMEOUT_SECONDS,
            connections=connections,
            backlog_count=backlog_count,
        )

    operations_backlog_count = min(backlog_count, OPERATIONS_BACKLOG_COUNT)
    callers, readiness = settings.callers, settings.readiness
    return [
        make_server(
            make_callers_application(instance, metrics),
            callers.ip,
            callers.port,
            backlog_count=backlog_count,
        ),
        make_server(
            make_readiness_application(instance),
            readiness.ip,
            readiness.port,
            backlog_count=operations_backlog_count,
        ),
        make_server(
            make_metrics_application(metrics),
            callers.ip,
            settings.metrics_port,
            backlog_count=operations_backlog_count,
        ),
    ]


async def _wait_for_stop_signal(signals, holder):
    async for number in signals:
        if number in STOP_SIGNALS:
            log_event("signal", outcome=signal.Signals(number).name, is_stopping=False)
            return
        holder.reload()


async def _handle_late_signals(signals, holder):
    """Handle the signals that arrive during the stop, in which requests are served."""
    async for number in signals:
        if number in STOP_SIGNALS:
            log_event("signal", outcome=signal.Signals(number).name, is_stopping=True)
        else:
            holder.reload()


def _limit_stop(limit_seconds):
    """End the process if it still runs after a time."""

    def end_process():
        log_event("instance", outcome="stop_timed_out", limit_seconds=limit_seconds)
        os._exit(1)

    asyncio.get_running_loop().call_later(limit_seconds, end_process)


async def _poll_settings(holder):
    while True:
        await anyio.sleep(SETTINGS_POLL_INTERVAL_SECONDS)
        holder.reload()


async def _stop_gracefully(tasks, instance, servers):
    """Hand scheduling over while new requests are served, then close the servers."""
    tasks.start_soon(instance.leave)
    await anyio.sleep(DRAIN_SECONDS)
    for server in servers:
        server.stop()
    with anyio.move_on_after(OPEN_REQUESTS_TIMEOUT_SECONDS):
        for server in servers:
            await server.wait_stopped()
    tasks.cancel_scope.cancel()


def _boottime_seconds():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
