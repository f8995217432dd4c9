"""Entry daemon: assembles the tasks and stops them gracefully."""

import signal
import time

import anyio
from loguru import logger

from ...logs import log_event
from ...protocol.messages import (
    GetConfiguration,
    Heartbeat,
    InstanceInfo,
    PushConfiguration,
)
from ...signals import STOP_SIGNALS, receive_signals
from ...state.placer.scheduling import decide
from ...statsd_metrics import make_statsd_client
from ...transport.http_client import HttpClient
from ...transport.http_server import HttpServer
from ...transport.instances import InstanceListClient
from ...transport.objects import ObjectStoreClient
from ...transport.peers import serve_peers
from ...transport.table import TableClient
from ...transport.workers import WorkerClient
from .application import make_application
from .configuration import ConfigurationKeeper
from .context import PlacerContext
from .front import Front
from .gangs import GangCalls
from .job_table import JobTable
from .mailbox import Mailbox
from .membership import Membership
from .operator_requests import OperatorRequests
from .placer import Placer
from .routing import Router

# A new instance waits this long for heartbeats before it can become the placer, so that
# it does not act at the same time as a placer that it has not heard from yet.
PEER_DISCOVERY_SECONDS = 1.0


class Entry:
    """All parts of one entry instance.

    Parameters
    ----------
    settings : Settings
    decide : callable
        Placement policy; benchmarks pass others for comparison.
    """

    def __init__(self, *, settings, decide=decide):
        self._decide = decide
        self._settings = settings
        self._metrics = make_statsd_client(settings)
        self._is_leaving = False
        self._discovery_end_seconds = time.monotonic() + PEER_DISCOVERY_SECONDS
        self._platform_client = HttpClient(
            connections_count=settings.platform_connections_count,
            headers={"x-data-centre": settings.data_centre},
        )
        self._build_platform_parts()
        self._build_scheduling_parts()
        self._server = HttpServer(
            application=make_application(
                settings=settings,
                front=self._front,
                operator_requests=self._operator_requests,
                is_ready=self._is_ready,
            ),
            ip=settings.listen_ip,
            port=settings.http_port,
            stop_timeout_seconds=settings.stop_timeout_seconds,
        )

    def _build_platform_parts(self):
        settings = self._settings

        def make_client(client_class, base_url):
            return client_class(
                http_client=self._platform_client,
                base_url=base_url,
                timeout_seconds=settings.platform_timeout_seconds,
            )

        table = make_client(TableClient, settings.table_url)
        objects = make_client(ObjectStoreClient, settings.objects_url)
        instance_list = make_client(InstanceListClient, settings.instances_url)
        self._configuration = ConfigurationKeeper(settings=settings, table=table)
        self._membership = Membership(
            settings=settings,
            instance_list=instance_list,
            describe_self=self._describe_self,
            exchange_notices=self._configuration.exchange_notices,
        )
        self._configuration.membership = self._membership
        self._job_table = JobTable(table=table, objects=objects)

    def _build_scheduling_parts(self):
        settings = self._settings
        self._mailbox = Mailbox()
        self._router = Router(
            settings=settings,
            membership=self._membership,
            configuration=self._configuration,
            job_table=self._job_table,
            mailbox=self._mailbox,
        )
        worker_client = WorkerClient(timeout_seconds=settings.worker_timeout_seconds)
        context = PlacerContext(
            settings=settings,
            membership=self._membership,
            configuration=self._configuration,
            job_table=self._job_table,
            gang_calls=GangCalls(settings=settings, worker_client=worker_client),
            worker_client=worker_client,
            mailbox=self._mailbox,
            metrics=self._metrics,
        )
        self._placer = Placer(context=context, router=self._router, decide=self._decide)
        self._front = Front(
            settings=settings,
            membership=self._membership,
            configuration=self._configuration,
            job_table=self._job_table,
            router=self._router,
        )
        self._operator_requests = OperatorRequests(
            settings=settings,
            membership=self._membership,
            configuration=self._configuration,
            router=self._router,
        )

    async def run(self, deferred_signals):
        """Run until a termination signal, then stop gracefully.

        Parameters
        ----------
        deferred_signals : set of int
            Result of `signals.defer_signals`.
        """
        # The receiver stays open until the end, since the default action of a second
        # signal would abort open requests.
        with receive_signals(deferred_signals) as signals:
            await self._run_until(signals)
        logger.info("entry instance stopped")

    async def _run_until(self, signals):
        settings = self._settings
        async with anyio.create_task_group() as background:
            await background.start(self._membership.run)
            background.start_soon(self._configuration.run)
            background.start_soon(self._placer.run)
            await background.start(self._serve_peers)
            async with anyio.create_task_group() as serving:
                await serving.start(self._server.run)
                logger.bind(
                    http=f"{settings.listen_ip}:{settings.http_port}",
                    data_centre=settings.data_centre,
                ).info("entry instance serving")
                await _wait_for_stop_signal(signals)
                background.start_soon(_log_signals, signals)
                await self._stop()
            background.cancel_scope.cancel()

    async def _stop(self):
        """Hand the placer role over and answer every open request before stopping."""
        logger.info("entry instance leaving")
        self._is_leaving = True
        self._front.stop_requested.set()
        await self._membership.register(is_leaving=True)
        await self._membership.announce()
        # The load balancer reads the list with a delay and still sends requests
        # meanwhile; they get an answer instead of a refused connection.
        await anyio.sleep(self._settings.stop_notice_seconds)
        self._server.stop()

    async def _serve_peers(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        await serve_peers(
            self._handle_peer,
            ip=self._settings.listen_ip,
            port=self._settings.peer_port,
            task_status=task_status,
        )

    async def _handle_peer(self, message):
        if isinstance(message, Heartbeat):
            return self._membership.receive_heartbeat(message)
        if isinstance(message, GetConfiguration):
            return PushConfiguration(configuration=self._configuration.current)
        if isinstance(message, PushConfiguration):
            self._configuration.apply(message.configuration)
            return self._membership.make_heartbeat()
        return await self._mailbox.call(message)

    def _is_ready(self):
        return self._configuration.is_ready and not self._is_leaving

    def _describe_self(self, sequence):
        settings = self._settings
        default_address = f"{settings.listen_ip}:{settings.peer_port}"
        is_discovery_over = time.monotonic() >= self._discovery_end_seconds
        version, notice_ids = self._configuration.acknowledged()
        return InstanceInfo(
            instance_id=settings.instance_id,
            data_centre=settings.data_centre,
            peer_address=settings.advertised_peer_address or default_address,
            sequence=sequence,
            is_ready=self._configuration.is_ready and is_discovery_over,
            is_leaving=self._is_leaving,
            configuration_version=version,
            notice_ids=notice_ids,
            data_centres_out=tuple(
                sorted(self._configuration.current.data_centres_out)
            ),
            summary=self._placer.summary,
        )


async def _wait_for_stop_signal(signals):
    async for number in signals:
        _log_signal(number)
        if number in STOP_SIGNALS:
            return


async def _log_signals(signals):
    async for number in signals:
        _log_signal(number)


def _log_signal(number):
    """Log a signal; only the first stop signal has an effect."""
    fields = {}
    if number not in STOP_SIGNALS:
        fields["reason"] = "settings are only read at the start"
    log_event("signal", outcome=signal.Signals(number).name, **fields)
