"""Newest known configuration, its distribution to peers, and take-out notices."""

import contextlib
import math
import time
import uuid

import anyio
import attrs
from loguru import logger

from ...findings import Finding, Place
from ...outcomes import Done, Refused, Unknown
from ...protocol.codecs import json_converter
from ...protocol.messages import GetConfiguration, PushConfiguration, TakeOutNotice
from ...state.placer.plans import EMPTY_CONFIGURATION, Configuration, parse_lists

TABLE_NAME = "configuration"
ROW_KEY = "current"

# Recorded notices whose ids the row keeps, so that a late copy is ignored. A late copy
# of an older notice takes the data centre out again, which is the safe error.
NOTICES_KEPT_COUNT = 256

# Attempts to record a change while concurrent writers come first, as long as its
# expected version holds. One of the concurrent writers succeeds in every round.
CHANGE_TRIES_COUNT = 20

# Retries of a write whose answer was lost.
WRITE_RETRIES_COUNT = 2


class ConfigurationKeeper:
    """Newest configuration of this instance; its version never decreases.

    ``pending_notices`` holds the take-out notices that the configuration in force does
    not include yet, by id.
    """

    def __init__(self, *, settings, table):
        self._settings = settings
        self._table = table
        self._poll_now = anyio.Event()
        self.membership = None
        self.current = EMPTY_CONFIGURATION
        self.pending_notices = {}
        self.table_answered_seconds = float("-inf")
        self._has_unannounced_notices = False
        self._earlier_pending_ids = frozenset()
        # Version and notice ids when each start began, and the time of its end.
        self._starts = {}

    @property
    def is_ready(self):
        """Whether the configuration is known, also if none was recorded yet."""
        return self.current.version > 0 or self.table_answered_seconds > float("-inf")

    def data_centres_out(self):
        """Return the data centres out of service.

        They are out by the configuration in force, by a pending notice, or by a newer
        configuration that a peer has reported and that is not fetched yet.
        """
        notified = {notice.data_centre for notice in self.pending_notices.values()}
        newest = self._newest_peer()
        reported = newest.data_centres_out if newest is not None else ()
        return self.current.data_centres_out | notified | frozenset(reported)

    @contextlib.contextmanager
    def hold_acknowledgements(self):
        """Withhold acknowledgements while tasks are being started.

        These starts do not consider a version or notice that arrives meanwhile, so it
        is acknowledged only when they have ended. After an exception they may still be
        under way until the reservations have lapsed.
        """
        key = object()
        known = (self.current.version, frozenset(self.pending_notices))
        self._starts[key] = (*known, math.inf)
        try:
            yield
        except BaseException:
            lapse_seconds = time.monotonic() + self._settings.lease_seconds
            self._starts[key] = (*known, lapse_seconds)
            raise
        del self._starts[key]

    def acknowledged(self):
        """Return the version and the notice ids that all starts here considered."""
        now_seconds = time.monotonic()
        version, notice_ids = self.current.version, set(self.pending_notices)
        for key, (known_version, known_ids, end_seconds) in list(self._starts.items()):
            if end_seconds <= now_seconds:
                del self._starts[key]
                continue
            version = min(version, known_version)
            notice_ids &= known_ids
        return version, tuple(sorted(notice_ids))

    def is_table_silent(self):
        """Whether the table has not answered for the isolation timeout."""
        silent_seconds = time.monotonic() - self.table_answered_seconds
        return silent_seconds >= self._settings.isolation_timeout_seconds

    def is_isolated(self):
        """Whether this instance might miss a take-out that is recorded elsewhere.

        While the table is silent, contact to one other data centre suffices under the
        policy ``serve``, since notices are forwarded. Under ``stop``, contact to all
        of them is needed: two data centres that are cut off together would receive
        only each other's notices.
        """
        if not self.is_table_silent():
            return False
        is_list_known = self.membership.list_read_seconds > float("-inf")
        known = self.membership.known_data_centres - {self._settings.data_centre}
        silent = self.membership.silent_data_centres(
            self._settings.isolation_timeout_seconds
        )
        if not known:
            return not is_list_known
        if self._settings.isolated_start_policy == "stop":
            return bool(silent)
        return known == silent

    def apply(self, configuration):
        """Use a configuration if it is newer; return whether it was."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        for notice_id in configuration.notice_ids:
            self.pending_notices.pop(notice_id, None)
        logger.bind(version=configuration.version).info("configuration in force")
        return True

    def exchange_notices(self, info, notices):
        """Add the notices of a heartbeat; return the pending ones, to be sent."""
        for notice in notices:
            self._add_notice(notice)
        if info is not None and info.configuration_version > self.current.version:
            self._poll_now.set()
        return tuple(self.pending_notices.values())

    async def run(self):
        """Poll the row and the peers until cancelled."""
        while True:
            # Replaced before polling, so that no event set meanwhile is lost.
            self._poll_now = anyio.Event()
            await self.poll_once()
            with anyio.move_on_after(
                self._settings.configuration_poll_interval_seconds
            ):
                await self._poll_now.wait()

    async def poll_once(self):
        """Forward new notices, read the row and newer peers, record older notices."""
        async with anyio.create_task_group() as task_group:
            if self._has_unannounced_notices:
                self._has_unannounced_notices = False
                task_group.start_soon(self.membership.announce)
            await self._poll_table()
            if self._newest_peer() is not None:
                await self._poll_peers()
            # The instance that accepted a notice records it. The others record it only
            # if it is still pending at their next poll, to avoid concurrent writes.
            notice_ids = self._earlier_pending_ids & self.pending_notices.keys()
            self._earlier_pending_ids = frozenset(self.pending_notices)
            if notice_ids:
                await self._record_notices(notice_ids)

    async def record_change(self, make_next, *, expected_version=None):
        """Record a change made by ``make_next`` from the current row.

        Parameters
        ----------
        make_next : callable
            Returns the next `Configuration` for the current one, the current one
            itself if there is nothing to record, or an outcome to return instead.
        expected_version : int, optional
            Version that the operator edited. Without it a concurrent change is
            no conflict, and this change is applied to the newer row.

        Returns
        -------
        Done, Refused or Unknown
            Done holds the recorded `Configuration`, or the current one if the change
            has no effect on it. Refused with code ``conflict`` holds the newer one as
            detail.
        """
        if self._newest_peer() is not None:
            # The row may have been restored from a backup; a change made from it
            # would share its version with another configuration.
            await self._poll_peers()
        for _ in range(CHANGE_TRIES_COUNT):
            outcome = await self._read_row()
            if isinstance(outcome, Unknown):
                # After a partition, the first call on an open connection may fail.
                outcome = await self._read_row()
            if isinstance(outcome, Done):
                self.apply(outcome.value[1])
            newest = self._newest_peer()
            reason = ""
            if not isinstance(outcome, Done):
                reason = f"the table cannot be read ({outcome.message})"
            elif newest is not None:
                reason = f"{newest.instance_id} has a newer version than the table"
            if reason:
                message = f"{reason}; nothing was changed"
                return Refused(code="unavailable", message=message)
            row, current = outcome.value
            if expected_version not in (None, current.version):
                return Refused(
                    code="conflict",
                    message=f"version is {current.version}, not {expected_version}",
                    detail=current,
                )
            next_configuration = make_next(current)
            if not isinstance(next_configuration, Configuration):
                return next_configuration
            if next_configuration == current:
                return Done(value=current)
            # Counting from the version of the row as well keeps versions unique when
            # an older configuration was restored into the row.
            version = max(current.version, row.version) + 1
            next_configuration = attrs.evolve(next_configuration, version=version)
            outcome = await self._write_row(row, next_configuration)
            if isinstance(outcome, Done):
                await self._push_to_peers()
            is_conflict = isinstance(outcome, Refused) and outcome.code == "conflict"
            if not is_conflict:
                return outcome
            # The row is read again, since the conflict need not be another edit: an
            # instance may have written this version back after the row was lost.
        return Refused(
            code="unavailable",
            message="other changes were recorded first; nothing was changed",
        )

    async def set_lists(self, organisations_text, plans_text, *, expected_version):
        """Replace both lists; the data centres stay as they are.

        Returns
        -------
        outcome : Done, Refused or Unknown
            Refused with code ``findings`` if the lists have errors.
        findings : list of Finding
        """
        parsed, findings = parse_lists(organisations_text, plans_text)
        if parsed is None:
            return Refused(code="findings", message="the lists have errors"), findings

        def make_next(current):
            return attrs.evolve(
                parsed,
                data_centres_out=current.data_centres_out,
                notice_ids=current.notice_ids,
            )

        outcome = await self.record_change(make_next, expected_version=expected_version)
        return outcome, findings

    async def take_out(self, data_centre):
        """Take a data centre out at once, and record this if the table answers."""
        notice = TakeOutNotice(notice_id=str(uuid.uuid4()), data_centre=data_centre)
        self._add_notice(notice)
        self._has_unannounced_notices = False
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.membership.announce)
            outcome = await self._record_notices({notice.notice_id})
        return notice, outcome

    async def bring_back(self, data_centre):
        """Bring a data centre back; needs the table.

        Revokes the take-outs known when this is called. A take-out that arrives while
        the return is being recorded has precedence.
        """
        revoked_ids = [
            notice.notice_id
            for notice in self.pending_notices.values()
            if notice.data_centre == data_centre
        ]
        seen_ids = {*self.current.notice_ids, *revoked_ids}

        def make_next(current):
            if not seen_ids.issuperset(current.notice_ids):
                return Refused(
                    code="conflict",
                    message="a data centre was taken out at the same time; try again",
                    detail=current,
                )
            new_ids = [item for item in revoked_ids if item not in current.notice_ids]
            if data_centre not in current.data_centres_out and not new_ids:
                return current
            return attrs.evolve(
                current,
                data_centres_out=current.data_centres_out - {data_centre},
                notice_ids=_with_notices(current, new_ids),
            )

        return await self.record_change(make_next)

    def check_data_centre(self, data_centre):
        """Return findings if no instance or worker of a data centre is known.

        Until the instance list has been read, every name is accepted.
        """
        known = {listed.data_centre for listed in self.membership.listed_by_id.values()}
        known |= self.membership.known_data_centres | self.data_centres_out()
        is_listed = self.membership.list_read_seconds > float("-inf")
        if data_centre in known or not is_listed:
            return []
        message = f"unknown data centre {data_centre!r}; known: {sorted(known)}"
        return [Finding(place=Place(file="request"), message=message)]

    def _add_notice(self, notice):
        is_recorded = notice.notice_id in self.current.notice_ids
        if not is_recorded and notice.notice_id not in self.pending_notices:
            self.pending_notices[notice.notice_id] = notice
            logger.bind(data_centre=notice.data_centre).info("data centre taken out")
            # Forwarded at once, since the sender may not reach every peer.
            self._has_unannounced_notices = True
            self._poll_now.set()

    async def _record_notices(self, notice_ids):
        notices = [
            self.pending_notices[item]
            for item in notice_ids
            if item in self.pending_notices
        ]

        def make_next(current):
            new_notices = [
                notice
                for notice in notices
                if notice.notice_id not in current.notice_ids
            ]
            if not new_notices:
                return current
            return attrs.evolve(
                current,
                data_centres_out=current.data_centres_out
                | {notice.data_centre for notice in new_notices},
                notice_ids=_with_notices(
                    current, [notice.notice_id for notice in new_notices]
                ),
            )

        return await self.record_change(make_next)

    def _newest_peer(self):
        """Return the info of the live peer with the newest version, if newer."""
        newest = max(
            self.membership.live_instances(),
            key=lambda info: info.configuration_version,
            default=None,
        )
        if newest is None or newest.configuration_version <= self.current.version:
            return None
        return newest

    async def _poll_table(self):
        outcome = await self._read_row()
        if not isinstance(outcome, Done):
            return
        row, configuration = outcome.value
        self.apply(configuration)
        if _stored_version(row) < self.current.version:
            # The row was restored from a backup or lost; an accepted
            # configuration must not revert.
            logger.warning("writing the newer configuration back to the table")
            await self._write_row(row, self.current)

    async def _poll_peers(self):
        for info in self.membership.live_instances():
            if info.configuration_version <= self.current.version:
                continue
            outcome = await self.membership.call(
                info,
                GetConfiguration(),
                timeout_seconds=self._settings.peer_call_timeout_seconds,
            )
            if isinstance(outcome, Done):
                self.apply(outcome.value.configuration)

    async def _push_to_peers(self):
        await self.membership.broadcast(PushConfiguration(configuration=self.current))

    async def _read_row(self):
        outcome = await self._table.read(TABLE_NAME, ROW_KEY)
        if not isinstance(outcome, Done):
            return outcome
        try:
            configuration = self._parse_row(outcome.value)
        except Exception as error:  # cattrs raises exception groups of many types
            logger.error("the configuration row is malformed: {!r}", error)
            return Unknown(message="the configuration row is malformed")
        self.table_answered_seconds = time.monotonic()
        return Done(value=(outcome.value, configuration))

    def _parse_row(self, row):
        """Return the newest of the row and the configuration in force here."""
        if row.value is None:
            return self.current
        configuration = json_converter.structure(row.value, Configuration)
        return max(configuration, self.current, key=lambda item: item.version)

    async def _write_row(self, row, configuration):
        """Write a row; retry a write whose answer was lost.

        Returns
        -------
        Done, Refused or Unknown
            Unknown also if the write may have been recorded and replaced since.
        """
        configuration = attrs.evolve(configuration, write_token=str(uuid.uuid4()))
        value = json_converter.unstructure(configuration)
        is_answer_lost = False
        for _ in range(WRITE_RETRIES_COUNT + 1):
            outcome = await self._table.write(
                TABLE_NAME, ROW_KEY, value, expected_version=row.version
            )
            if not isinstance(outcome, Unknown):
                break
            is_answer_lost = True
        current_row = outcome.detail if isinstance(outcome, Refused) else None
        if current_row is not None and is_answer_lost:
            token = (current_row.value or {}).get("write_token")
            if token == configuration.write_token:
                outcome = Done(value=current_row.version)
            elif current_row.version > row.version + 1:
                return Unknown(
                    message="the change may have been recorded and replaced since"
                )
        if isinstance(outcome, Refused) and current_row is None and is_answer_lost:
            return Unknown(message=f"an answer was lost, then: {outcome.message}")
        if isinstance(outcome, Done):
            self.table_answered_seconds = time.monotonic()
            self.apply(configuration)
            return Done(value=configuration)
        return outcome


def _stored_version(row):
    return row.value["version"] if row.value is not None else 0


def _with_notices(current, notice_ids):
    return (*current.notice_ids, *notice_ids)[-NOTICES_KEPT_COUNT:]
