"""Membership: who is alive, from heartbeats and the platform's list.

All of it is a hint. A wrong view may cost efficiency, never correctness.
"""

import time

import anyio
import attrs
from loguru import logger

from ..outcomes import Done
from ..protocol.messages import Heartbeat, InstanceInfo
from ..transport.instances import ListedInstance
from ..transport.peers import PeerLink

# A peer that neither answers nor is listed is forgotten after this time.
FORGET_PEER_SECONDS = 60.0


@attrs.define(kw_only=True)
class Peer:
    """What is known about another entry instance."""

    info: InstanceInfo
    heard_seconds: float


class Membership:
    """View of the entry instances and the listed workers.

    Parameters
    ----------
    settings : Settings
    instance_list : InstanceListClient
    describe_self : callable
        Returns the current `InstanceInfo` of this instance for a sequence number.
    exchange_notices : callable
        Called with the infos and notices of each heartbeat that arrives; returns
        the notices to send.
    """

    def __init__(self, *, settings, instance_list, describe_self, exchange_notices):
        self._settings = settings
        self._instance_list = instance_list
        self._describe_self = describe_self
        self._exchange_notices = exchange_notices
        self._sequence = time.time_ns()
        self._links = {}
        self._peer_scopes = {}
        self._task_group = None
        self.peers = {}
        self.listed = {}
        self.listed_seconds = float("-inf")
        self.known_data_centres = {settings.data_centre}

    @property
    def info(self):
        """Info of this instance as of now."""
        return self._describe_self(self._sequence)

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Exchange heartbeats and poll the list until cancelled."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            task_group.start_soon(self._poll_list)
            task_status.started()

    def live_instances(self, data_centre=None):
        """Return the infos of live instances, this one included, by id."""
        horizon = time.monotonic() - self._settings.peer_timeout_seconds
        infos = [
            peer.info for peer in self.peers.values() if peer.heard_seconds >= horizon
        ]
        infos.append(self.info)
        return sorted(
            (
                info
                for info in infos
                if data_centre is None or info.data_centre == data_centre
            ),
            key=lambda info: info.instance_id,
        )

    def placer_of(self, data_centre):
        """Return the info of the instance that places there, or None."""
        for info in self.live_instances(data_centre):
            if info.is_ready and not info.is_leaving:
                return info
        return None

    def is_placer(self):
        """Whether this instance places for its data centre."""
        placer = self.placer_of(self._settings.data_centre)
        return placer is not None and placer.instance_id == self._settings.instance_id

    def listed_workers(self):
        """Return the listed workers of this data centre by id."""
        return {
            listed.instance_id: listed
            for listed in self.listed.values()
            if listed.kind == "worker"
            and listed.data_centre == self._settings.data_centre
        }

    def all_data_centres(self):
        """Return every data centre that has instances or workers in the list.

        Unlike the known data centres, one keeps its place here while its entry
        instances are replaced, so that shares of guarantees do not shift meanwhile.
        """
        listed = {instance.data_centre for instance in self.listed.values()}
        return listed | self.known_data_centres

    def silent_data_centres(self, timeout_seconds):
        """Return the other known data centres not heard from in that time."""
        horizon = time.monotonic() - timeout_seconds
        heard = {
            peer.info.data_centre
            for peer in self.peers.values()
            if peer.heard_seconds >= horizon
        }
        return self.known_data_centres - heard - {self._settings.data_centre}

    def heard(self, heartbeat):
        """Take in a heartbeat; return the answer to it."""
        info = heartbeat.info
        if info.instance_id != self._settings.instance_id:
            known = self.peers.get(info.instance_id)
            if known is None or info.sequence > known.info.sequence:
                self.peers[info.instance_id] = Peer(
                    info=info, heard_seconds=time.monotonic()
                )
                self.known_data_centres.add(info.data_centre)
                self._ensure_heartbeats(info.instance_id, info.peer_address)
        self._exchange_notices(info, heartbeat.notices)
        return self.make_heartbeat()

    def make_heartbeat(self):
        """Return a heartbeat with a new sequence number."""
        self._sequence += 1
        return Heartbeat(info=self.info, notices=self._exchange_notices(None, ()))

    async def call(self, info, message, *, timeout_seconds):
        """Send a request to the instance described by ``info``."""
        link = self._link_to(info.instance_id, info.peer_address)
        return await link.call(message, timeout_seconds=timeout_seconds)

    async def broadcast(self, message):
        """Send a message to every live peer; answers are ignored."""
        async with anyio.create_task_group() as task_group:
            for info in self.live_instances():
                if info.instance_id != self._settings.instance_id:
                    task_group.start_soon(self._send_once, info, message)

    async def announce(self):
        """Send a heartbeat to every live peer at once."""
        async with anyio.create_task_group() as task_group:
            for info in self.live_instances():
                if info.instance_id != self._settings.instance_id:
                    task_group.start_soon(
                        self._beat_once, info.instance_id, info.peer_address
                    )

    async def register(self, *, is_leaving):
        """Report this instance to the platform's list."""
        return await self._instance_list.register(
            ListedInstance(
                instance_id=self._settings.instance_id,
                kind="entry",
                data_centre=self._settings.data_centre,
                address=self.info.peer_address,
                state="leaving" if is_leaving else "live",
            )
        )

    async def _send_once(self, info, message):
        timeout_seconds = self._settings.peer_call_timeout_seconds
        await self.call(info, message, timeout_seconds=timeout_seconds)

    async def _poll_list(self):
        is_registered = False
        while True:
            if not is_registered:
                outcome = await self.register(is_leaving=False)
                is_registered = isinstance(outcome, Done)
            outcome = await self._instance_list.read()
            if isinstance(outcome, Done):
                self._apply_list(outcome.value)
            else:
                logger.debug("instance list not read: {}", outcome)
            self._forget_silent_peers()
            await anyio.sleep(self._settings.instances_poll_interval_seconds)

    def _apply_list(self, listed_instances):
        self.listed = {listed.instance_id: listed for listed in listed_instances}
        self.listed_seconds = time.monotonic()
        self.known_data_centres = {
            listed.data_centre
            for listed in listed_instances
            if listed.kind == "entry" and not listed.is_leaving
        } | {self._settings.data_centre}
        for listed in listed_instances:
            if listed.kind == "entry":
                self._ensure_heartbeats(listed.instance_id, listed.address)

    def _forget_silent_peers(self):
        horizon = time.monotonic() - FORGET_PEER_SECONDS
        for instance_id in list(self._peer_scopes):
            peer = self.peers.get(instance_id)
            is_silent = peer is None or peer.heard_seconds < horizon
            if is_silent and instance_id not in self.listed:
                self.peers.pop(instance_id, None)
                self._peer_scopes.pop(instance_id).cancel()

    def _ensure_heartbeats(self, instance_id, address):
        if instance_id in (self._settings.instance_id, *self._peer_scopes):
            return
        scope = anyio.CancelScope()
        self._peer_scopes[instance_id] = scope
        self._task_group.start_soon(self._beat, instance_id, address, scope)

    async def _beat(self, instance_id, address, scope):
        with scope:
            while True:
                await self._beat_once(instance_id, address)
                await anyio.sleep(self._settings.heartbeat_interval_seconds)
        link = self._links.pop(instance_id, None)
        if link is not None:
            await link.close()

    async def _beat_once(self, instance_id, address):
        link = self._link_to(instance_id, address)
        outcome = await link.call(
            self.make_heartbeat(),
            timeout_seconds=self._settings.peer_call_timeout_seconds,
        )
        if isinstance(outcome, Done):
            self.heard(outcome.value)

    def _link_to(self, instance_id, address):
        link = self._links.get(instance_id)
        if link is None or link.address != address:
            link = PeerLink(address=address, task_group=self._task_group)
            self._links[instance_id] = link
        return link
