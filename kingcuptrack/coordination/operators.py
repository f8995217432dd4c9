"""Operator requests: the two lists, data centres in and out, status."""

import time

import anyio

from ..outcomes import Done, Refused
from ..protocol.bodies import encode_findings
from ..protocol.messages import DescribeDataCentre
from ..state.plans import parse_lists


class Operators:
    """Handles requests of operators; every method returns status and JSON body."""

    def __init__(self, *, settings, membership, configuration, router):
        self._settings = settings
        self._membership = membership
        self._configuration = configuration
        self._router = router

    def read_configuration(self):
        """Return the lists in force here, with their version."""
        current = self._configuration.current
        return 200, {
            "version": current.version,
            "organisations": current.organisations_text,
            "plans": current.plans_text,
            "data_centres_out": sorted(self._configuration.data_centres_out()),
            "in_force": self._in_force(),
        }

    def check_lists(self, body):
        """Return all findings of two lists without recording them."""
        _, findings = parse_lists(body.organisations, body.plans)
        return 200, {"findings": encode_findings(findings)}

    async def set_lists(self, body):
        """Record two lists as the next version."""
        outcome, findings = await self._configuration.set_lists(
            body.organisations, body.plans, expected_version=body.expected_version
        )
        status, answer = self._change_answer(outcome)
        return status, {**answer, "findings": encode_findings(findings)}

    async def take_out(self, data_centre):
        """Take a data centre out of service."""
        findings = self._configuration.check_data_centre(data_centre)
        if findings:
            return 404, {"findings": encode_findings(findings)}
        notice, outcome = await self._configuration.take_out(data_centre)
        status, answer = self._change_answer(outcome)
        if not isinstance(outcome, Done):
            # The notice is in force wherever it was heard, recorded or not.
            status = 202
        confirmed = self._notice_in_force(notice, data_centre)
        return status, {**answer, "notice_id": notice.notice_id, **confirmed}

    async def bring_back(self, data_centre):
        """Bring a data centre back into service."""
        findings = self._configuration.check_data_centre(data_centre)
        if findings:
            return 404, {"findings": encode_findings(findings)}
        return self._change_answer(await self._configuration.bring_back(data_centre))

    async def describe(self):
        """Return the state of all data centres, workers, organisations and jobs."""
        names = sorted(self._membership.known_data_centres)
        descriptions = {}

        async def describe_one(name):
            outcome = await self._router.ask_placer(
                name,
                DescribeDataCentre(),
                timeout_seconds=self._settings.peer_call_timeout_seconds,
            )
            if isinstance(outcome, Done) and outcome.value is not None:
                descriptions[name] = outcome.value

        async with anyio.create_task_group() as task_group:
            for name in names:
                task_group.start_soon(describe_one, name)
        return names, descriptions

    def _in_force(self):
        """Return the version acknowledged by every known instance."""
        now_seconds = time.monotonic()
        rows = []
        for info in self._membership.live_instances():
            rows.append(self._describe_instance(info, 0.0))
        live_ids = {row["instance_id"] for row in rows}
        for peer in self._membership.peers.values():
            if peer.info.instance_id not in live_ids:
                silent_seconds = now_seconds - peer.heard_seconds
                rows.append(self._describe_instance(peer.info, silent_seconds))
        return sorted(rows, key=lambda row: row["instance_id"])

    def _describe_instance(self, info, silent_seconds):
        return {
            "instance_id": info.instance_id,
            "data_centre": info.data_centre,
            "version": info.configuration_version,
            "is_leaving": info.is_leaving,
            "silent_seconds": round(silent_seconds, 1),
        }

    def _notice_in_force(self, notice, data_centre):
        """Return whether every live instance of the data centre knows a notice."""
        infos = self._membership.live_instances(data_centre)
        recorded = notice.notice_id in self._configuration.current.notice_ids
        version = self._configuration.current.version if recorded else None
        confirmed = [
            info.instance_id
            for info in infos
            if notice.notice_id in info.notice_ids
            or (version is not None and info.configuration_version >= version)
        ]
        is_in_force = bool(infos) and len(confirmed) == len(infos)
        return {"is_in_force": is_in_force, "confirmed_by": confirmed}

    def _change_answer(self, outcome):
        if isinstance(outcome, Done):
            return 200, {
                "outcome": "recorded",
                "version": outcome.value.version,
                "in_force": self._in_force(),
            }
        if isinstance(outcome, Refused):
            answer = {
                "outcome": "not_recorded",
                "code": outcome.code,
                "reason": outcome.message,
            }
            if outcome.code == "conflict" and outcome.detail is not None:
                answer["version"] = outcome.detail.version
                answer["organisations"] = outcome.detail.organisations_text
                answer["plans"] = outcome.detail.plans_text
            status = {"conflict": 409, "findings": 422}.get(outcome.code, 503)
            return status, answer
        return 503, {"outcome": "unknown", "reason": outcome.message}
