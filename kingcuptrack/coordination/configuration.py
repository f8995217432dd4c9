"""Configuration: the newest version known, its spread, and take-out notices."""

import time
import uuid

import anyio
import attrs
from loguru import logger

from ..findings import Finding, Place
from ..outcomes import Done, Refused, Unknown
from ..protocol.codecs import json_converter
from ..protocol.messages import GetConfiguration, PushConfiguration, TakeOutNotice
from ..state.plans import EMPTY_CONFIGURATION, Configuration, parse_lists

TABLE = "configuration"
KEY = "current"

# Recorded notices that the row remembers, so that a late copy is recognised. A
# notice older than these takes the data centre out again, which is the safe side.
NOTICES_KEPT_COUNT = 256


class ConfigurationKeeper:
    """Newest configuration of this instance; its version never decreases."""

    def __init__(self, *, settings, table):
        self._settings = settings
        self._table = table
        self._poll_now = anyio.Event()
        self.membership = None
        self.current = EMPTY_CONFIGURATION
        self.notices = {}
        self.table_heard_seconds = float("-inf")

    @property
    def is_ready(self):
        """Whether the configuration is known, be it that there is none yet."""
        return self.current.version > 0 or self.table_heard_seconds > float("-inf")

    def data_centres_out(self):
        """Return the data centres out of service, by the row or by a notice."""
        notified = {notice.data_centre for notice in self.notices.values()}
        return self.current.data_centres_out | notified

    def is_table_silent(self):
        """Whether the table has not answered for the isolation timeout."""
        silent_seconds = time.monotonic() - self.table_heard_seconds
        return silent_seconds >= self._settings.isolation_timeout_seconds

    def is_isolated(self):
        """Whether a take-out recorded elsewhere might not have been heard of here.

        That is the case without the table if any other data centre is silent as
        well: a notice accepted there may not have reached this one.
        """
        if not self.is_table_silent():
            return False
        has_list = self.membership.listed_seconds > float("-inf")
        silent = self.membership.silent_data_centres(
            self._settings.isolation_timeout_seconds
        )
        return bool(silent) or not has_list

    def apply(self, configuration):
        """Use a configuration if it is newer; return whether it was."""
        if configuration.version <= self.current.version:
            return False
        self.current = configuration
        for notice_id in configuration.notice_ids:
            self.notices.pop(notice_id, None)
        logger.bind(version=configuration.version).info("configuration in force")
        return True

    def exchange_notices(self, info, notices):
        """Take in the notices of a heartbeat; return those to send."""
        for notice in notices:
            self._add_notice(notice)
        if info is not None and info.configuration_version > self.current.version:
            self._poll_now.set()
        return tuple(self.notices.values())

    async def run(self):
        """Poll the row and the peers until cancelled."""
        while True:
            await self._poll_table()
            if not self._is_newest():
                await self._poll_peers()
            if self.notices:
                await self._record_notices()
            self._poll_now = anyio.Event()
            with anyio.move_on_after(
                self._settings.configuration_poll_interval_seconds
            ):
                await self._poll_now.wait()

    async def change(self, make_next, *, expected_version=None):
        """Record a change made by ``make_next`` from the current row.

        Parameters
        ----------
        make_next : callable
            Returns the next `Configuration` for the current one.
        expected_version : int, optional
            Version that the operator edited. Without it a concurrent change is
            no conflict and the change is applied to the newer row.

        Returns
        -------
        Done, Refused or Unknown
            Done holds the recorded `Configuration`, the current one if the change
            has no effect on it. Refused with code
            ``conflict`` holds the newer one as detail.
        """
        while True:
            outcome = await self._read_row()
            if not isinstance(outcome, Done):
                message = "the table cannot be read; nothing was changed"
                return Refused(code="unavailable", message=message)
            row, current = outcome.value
            if expected_version not in (None, current.version):
                return Refused(
                    code="conflict",
                    message=f"version is {current.version}, not {expected_version}",
                    detail=current,
                )
            following = make_next(current)
            if following == current:
                # Every instance that hears of a notice tries to record it.
                self.apply(current)
                return Done(value=current)
            following = attrs.evolve(following, version=current.version + 1)
            outcome = await self._write_row(row, following)
            is_race = isinstance(outcome, Refused) and outcome.code == "conflict"
            if is_race and expected_version is None:
                continue
            if isinstance(outcome, Done):
                await self._spread()
            elif is_race:
                return Refused(
                    code="conflict",
                    message="another change was recorded first",
                    detail=self._parse_row(outcome.detail),
                )
            return outcome

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

        outcome = await self.change(make_next, expected_version=expected_version)
        return outcome, findings

    async def take_out(self, data_centre):
        """Take a data centre out at once, and in the table when it answers."""
        notice = TakeOutNotice(notice_id=str(uuid.uuid4()), data_centre=data_centre)
        self._add_notice(notice)
        await self.membership.announce()
        outcome = await self._record_notices()
        return notice, outcome

    async def bring_back(self, data_centre):
        """Bring a data centre back; needs the table."""

        def make_next(current):
            remaining = current.data_centres_out - {data_centre}
            return attrs.evolve(
                current,
                data_centres_out=remaining,
                notice_ids=_with_notices(current, self._notices_for(data_centre)),
            )

        return await self.change(make_next)

    def check_data_centre(self, data_centre):
        """Return findings if no instance or worker of that name is known."""
        known = {listed.data_centre for listed in self.membership.listed.values()}
        if data_centre in known | self.membership.known_data_centres:
            return []
        message = f"unknown data centre {data_centre!r}; known: {sorted(known)}"
        return [Finding(place=Place(file="request"), message=message)]

    def _notices_for(self, data_centre):
        return [
            notice.notice_id
            for notice in self.notices.values()
            if notice.data_centre == data_centre
        ]

    def _add_notice(self, notice):
        is_recorded = notice.notice_id in self.current.notice_ids
        if not is_recorded and notice.notice_id not in self.notices:
            self.notices[notice.notice_id] = notice
            logger.bind(data_centre=notice.data_centre).info("data centre taken out")
            self._poll_now.set()

    async def _record_notices(self):
        notices = list(self.notices.values())
        if not notices:
            return Done(value=self.current)

        def make_next(current):
            new_notices = [
                notice
                for notice in notices
                if notice.notice_id not in current.notice_ids
            ]
            return attrs.evolve(
                current,
                data_centres_out=current.data_centres_out
                | {notice.data_centre for notice in new_notices},
                notice_ids=_with_notices(
                    current, [notice.notice_id for notice in new_notices]
                ),
            )

        return await self.change(make_next)

    def _is_newest(self):
        versions = [
            info.configuration_version for info in self.membership.live_instances()
        ]
        return self.current.version >= max(versions, default=0)

    async def _poll_table(self):
        outcome = await self._read_row()
        if isinstance(outcome, Done):
            row, configuration = outcome.value
            if self.apply(configuration):
                await self._spread()
            elif row.version and _stored_version(row) < self.current.version:
                # The row was restored from a backup; an accepted configuration
                # must not revert.
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

    async def _spread(self):
        await self.membership.broadcast(PushConfiguration(configuration=self.current))

    async def _read_row(self):
        outcome = await self._table.read(TABLE, KEY)
        if not isinstance(outcome, Done):
            return outcome
        try:
            configuration = self._parse_row(outcome.value)
        except Exception as error:  # cattrs raises exception groups of many types
            logger.error("the configuration row is malformed: {!r}", error)
            return Unknown(message="the configuration row is malformed")
        self.table_heard_seconds = time.monotonic()
        return Done(value=(outcome.value, configuration))

    def _parse_row(self, row):
        """Return the newest of the row and the configuration in force here."""
        if row.value is None:
            return self.current
        configuration = json_converter.structure(row.value, Configuration)
        return max(configuration, self.current, key=lambda item: item.version)

    async def _write_row(self, row, configuration):
        configuration = attrs.evolve(configuration, write_token=str(uuid.uuid4()))
        outcome = await self._table.write_surely(
            TABLE,
            KEY,
            json_converter.unstructure(configuration),
            expected_version=row.version,
            retries_count=2,
        )
        if isinstance(outcome, Done):
            self.table_heard_seconds = time.monotonic()
            self.apply(configuration)
            return Done(value=configuration)
        return outcome


def _stored_version(row):
    return row.value["version"]


def _with_notices(current, notice_ids):
    return (*current.notice_ids, *notice_ids)[-NOTICES_KEPT_COUNT:]
