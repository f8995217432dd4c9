"""Live entry instances and listed workers, from heartbeats and the platform's list.

The view may be outdated or wrong, which may cost efficiency, never correctness.
"""

import time

import anyio
import attrs
from loguru import logger

from ...outcomes import Done
from ...protocol.messages import Heartbeat, InstanceInfo
from ...transport.instances import ListedInstance
from ...transport.peers import PeerLink

# A peer that neither answers nor is listed is forgotten after this time.
FORGET_PEER_SECONDS = 60.0


@attrs.define(kw_only=True)
class Peer:
    """Newest info of another entry instance, and when it was heard.

    ``heard_seconds`` counts any heartbeat; ``request_seconds`` is when the last one
    arrived that was not an answer. Both are monotonic times.
    """

    info: InstanceInfo
    heard_seconds: float
    request_seconds: float = float("-inf")


@attrs.frozen(kw_only=True)
class KnownEntry:
    """An entry instance that is listed or was heard from.

    ``info`` is the newest received, or None. ``silent_seconds`` is 0 for this instance;
    for an instance never heard from it counts from when that was first listed.
    """

    instance_id: str
    data_centre: str
    info: InstanceInfo | None
    silent_seconds: float
    is_live: bool


class Membership:
    """View of the entry instances and the listed workers.

    Parameters
    ----------
    settings : Settings
    instance_list : InstanceListClient
    describe_self : callable
        Returns the current `InstanceInfo` of this instance for a sequence number.
    exchange_notices : callable
        Called with the info and the notices of each received heartbeat, or with
        None and no notices; returns the notices to send.
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
        self.listed_by_id = {}
        self.list_read_seconds = float("-inf")
        self._first_listed_seconds = {}
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
        now_seconds = time.monotonic()
        infos = [
            peer.info
            for peer in self.peers.values()
            if now_seconds - peer.heard_seconds <= self._timeout_of(peer.info)
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

    def known_entries(self):
        """Return every entry instance that is listed or was heard from, by id.

        Instances that reported to be leaving and are silent since are left out, since
        they place nothing any more.
        """
        now_seconds = time.monotonic()
        live_ids = {info.instance_id for info in self.live_instances()}
        heard = {
            instance_id: (peer.info, now_seconds - peer.heard_seconds)
            for instance_id, peer in self.peers.items()
        }
        heard[self._settings.instance_id] = (self.info, 0.0)
        entries = [
            KnownEntry(
                instance_id=instance_id,
                data_centre=info.data_centre,
                info=info,
                silent_seconds=silent_seconds,
                is_live=instance_id in live_ids,
            )
            for instance_id, (info, silent_seconds) in heard.items()
            if instance_id in live_ids or not info.is_leaving
        ]
        entries += [
            KnownEntry(
                instance_id=listed.instance_id,
                data_centre=listed.data_centre,
                info=None,
                silent_seconds=now_seconds
                - self._first_listed_seconds[listed.instance_id],
                is_live=False,
            )
            for listed in self.listed_by_id.values()
            if listed.kind == "entry" and listed.instance_id not in heard
        ]
        return sorted(entries, key=lambda entry: entry.instance_id)

    def placer_of(self, data_centre):
        """Return the info of the placer of a data centre, or None.

        The placer is the live instance with the lowest id that is ready and not
        leaving.
        """
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
            for listed in self.listed_by_id.values()
            if listed.kind == "worker"
            and listed.data_centre == self._settings.data_centre
        }

    def all_data_centres(self):
        """Return the known data centres and those with a listed instance or worker.

        Unlike the known data centres, one stays included while its entry instances
        are replaced, so that shares of guarantees do not shift meanwhile.
        """
        listed = {instance.data_centre for instance in self.listed_by_id.values()}
        return listed | self.known_data_centres

    def select_leaving(self, instance_ids):
        """Return the ids that the list shows as leaving, sorted."""
        return tuple(
            instance_id
            for instance_id in sorted(instance_ids)
            if instance_id in self.listed_by_id
            and self.listed_by_id[instance_id].is_leaving
        )

    def silent_data_centres(self, timeout_seconds):
        """Return the other known data centres without a heartbeat in that time."""
        oldest_seconds = time.monotonic() - timeout_seconds
        heard = {
            peer.info.data_centre
            for peer in self.peers.values()
            if peer.heard_seconds >= oldest_seconds
        }
        return self.known_data_centres - heard - {self._settings.data_centre}

    def receive_heartbeat(self, heartbeat, *, is_answer=False):
        """Record a heartbeat; return the answer to it."""
        info = heartbeat.info
        if info.instance_id != self._settings.instance_id:
            now_seconds = time.monotonic()
            peer = self.peers.get(info.instance_id)
            if peer is None:
                peer = Peer(info=info, heard_seconds=now_seconds)
                self.peers[info.instance_id] = peer
            if peer.info is info or info.sequence > peer.info.sequence:
                peer.info = info
                peer.heard_seconds = now_seconds
                self.known_data_centres.add(info.data_centre)
                self._ensure_heartbeats(info.instance_id)
            if not is_answer:
                peer.request_seconds = now_seconds
        self._exchange_notices(info, heartbeat.notices)
        return self.make_heartbeat()

    def make_heartbeat(self):
        """Return a heartbeat with a new sequence number."""
        self._sequence += 1
        return Heartbeat(info=self.info, notices=self._exchange_notices(None, ()))

    async def call(self, info, message, *, timeout_seconds):
        """Send a request to the instance described by ``info``."""
        address = self._address_of(info.instance_id)
        link = self._link_to(info.instance_id, address or info.peer_address)
        return await link.call(message, timeout_seconds=timeout_seconds)

    async def broadcast(self, message):
        """Send a message that is answered with a heartbeat to every live peer."""
        async with anyio.create_task_group() as task_group:
            for info in self.live_instances():
                if info.instance_id != self._settings.instance_id:
                    task_group.start_soon(self._send_message, info, message)

    async def announce(self):
        """Send a heartbeat to every live peer at once."""
        async with anyio.create_task_group() as task_group:
            for info in self.live_instances():
                if info.instance_id != self._settings.instance_id:
                    task_group.start_soon(self._send_heartbeat, info.instance_id)

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

    async def _send_message(self, info, message):
        timeout_seconds = self._settings.peer_call_timeout_seconds
        outcome = await self.call(info, message, timeout_seconds=timeout_seconds)
        if isinstance(outcome, Done) and isinstance(outcome.value, Heartbeat):
            self.receive_heartbeat(outcome.value, is_answer=True)

    async def _poll_list(self):
        is_registered = False
        interval_seconds = self._settings.instances_poll_interval_seconds
        while True:
            # A slow answer must not add to the interval, since the list lags anyway.
            next_seconds = anyio.current_time() + interval_seconds
            if not is_registered:
                outcome = await self.register(is_leaving=False)
                is_registered = isinstance(outcome, Done)
            outcome = await self._instance_list.read()
            if isinstance(outcome, Done):
                self._apply_list(outcome.value)
            else:
                logger.debug("instance list not read: {}", outcome)
            self._forget_silent_peers()
            await anyio.sleep_until(next_seconds)

    def _apply_list(self, listed_instances):
        self.listed_by_id = {listed.instance_id: listed for listed in listed_instances}
        self.list_read_seconds = time.monotonic()
        self._first_listed_seconds = {
            instance_id: self._first_listed_seconds.get(
                instance_id, self.list_read_seconds
            )
            for instance_id in self.listed_by_id
        }
        self.known_data_centres = {
            listed.data_centre
            for listed in listed_instances
            if listed.kind == "entry" and not listed.is_leaving
        } | {self._settings.data_centre}
        for listed in listed_instances:
            if listed.kind == "entry":
                self._ensure_heartbeats(listed.instance_id)

    def _forget_silent_peers(self):
        oldest_seconds = time.monotonic() - FORGET_PEER_SECONDS
        for instance_id in list(self._peer_scopes):
            peer = self.peers.get(instance_id)
            is_silent = peer is None or peer.heard_seconds < oldest_seconds
            if is_silent and instance_id not in self.listed_by_id:
                self.peers.pop(instance_id, None)
                self._peer_scopes.pop(instance_id).cancel()

    def _ensure_heartbeats(self, instance_id):
        if instance_id in (self._settings.instance_id, *self._peer_scopes):
            return
        scope = anyio.CancelScope()
        self._peer_scopes[instance_id] = scope
        self._task_group.start_soon(self._send_heartbeats, instance_id, scope)

    async def _send_heartbeats(self, instance_id, scope):
        with scope:
            while True:
                sent_seconds = time.monotonic()
                interval_seconds = self._interval_of(instance_id)
                if not self._is_known_from_answers(instance_id, interval_seconds):
                    await self._send_heartbeat(instance_id)
                elapsed_seconds = time.monotonic() - sent_seconds
                await anyio.sleep(max(0.0, interval_seconds - elapsed_seconds))
        link = self._links.pop(instance_id, None)
        if link is not None:
            await link.close()

    async def _send_heartbeat(self, instance_id):
        address = self._address_of(instance_id)
        if not address:
            return
        # Shorter than the silence after which a peer counts as dead: after a partition,
        # the wait for a lost heartbeat must not delay the next one by that much.
        timeout_seconds = min(
            self._settings.peer_call_timeout_seconds,
            self._settings.peer_timeout_seconds / 2,
        )
        outcome = await self._link_to(instance_id, address).call(
            self.make_heartbeat(), timeout_seconds=timeout_seconds
        )
        if isinstance(outcome, Done):
            self.receive_heartbeat(outcome.value, is_answer=True)

    def _is_known_from_answers(self, instance_id, interval_seconds):
        """Whether answers alone keep a remote peer informed of this instance.

        Halves the heartbeats between data centres. The instance with the lower id
        always sends, so that the two never wait for each other.
        """
        peer = self.peers.get(instance_id)
        if peer is None or instance_id > self._settings.instance_id:
            return False
        silent_seconds = time.monotonic() - peer.request_seconds
        is_remote = peer.info.data_centre != self._settings.data_centre
        # The next request of the peer may be late by a quarter of the interval.
        return is_remote and silent_seconds < 1.25 * interval_seconds

    def _interval_of(self, instance_id):
        known = self.listed_by_id.get(instance_id) or self.peers.get(instance_id)
        info = known.info if isinstance(known, Peer) else known
        if info is not None and info.data_centre != self._settings.data_centre:
            return self._settings.remote_heartbeat_interval_seconds
        return self._settings.heartbeat_interval_seconds

    def _timeout_of(self, info):
        """Return the silence after which a peer is treated as dead."""
        settings = self._settings
        if info.data_centre == settings.data_centre:
            return settings.peer_timeout_seconds
        interval_ratio = (
            settings.remote_heartbeat_interval_seconds
            / settings.heartbeat_interval_seconds
        )
        return settings.peer_timeout_seconds * max(1.0, interval_ratio)

    def _address_of(self, instance_id):
        """Return the listed address of a peer, which is reachable from here.

        A peer that is not listed yet is called at the address that it reported.
        """
        listed = self.listed_by_id.get(instance_id)
        if listed is not None:
            return listed.address
        peer = self.peers.get(instance_id)
        return peer.info.peer_address if peer is not None else ""

    def _link_to(self, instance_id, address):
        link = self._links.get(instance_id)
        if link is None or link.address != address:
            if link is not None:
                self._task_group.start_soon(link.close)
            link = PeerLink(address=address, task_group=self._task_group)
            self._links[instance_id] = link
        return link
