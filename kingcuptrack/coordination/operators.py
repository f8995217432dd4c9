"""Operator requests: the two lists, data centres in and out, status."""

import difflib
from datetime import UTC, datetime, timedelta

import anyio

from ..outcomes import Done, Refused
from ..protocol.bodies import encode_findings
from ..protocol.messages import DescribeDataCentre
from ..state.plans import ORGANISATIONS_FILE, PLANS_FILE, parse_lists

# Bounds of the design page, told to operators for instances that can be reached.
CONFIGURATION_BOUND_SECONDS = 5.0
TAKE_OUT_BOUND_SECONDS = 3.0


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
            "pending_notices": [
                {
                    "notice_id": notice.notice_id,
                    "data_centre": notice.data_centre,
                    **self._notice_in_force(notice, "not recorded yet"),
                }
                for notice in self._configuration.notices.values()
            ],
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
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            answer["difference"] = _difference(outcome.detail, body)
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
        state = "not recorded yet"
        if isinstance(outcome, Done):
            state = f"recorded as version {outcome.value.version}"
        in_force = self._notice_in_force(notice, state)
        return status, {**answer, "notice_id": notice.notice_id, **in_force}

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
        return [
            {
                "instance_id": entry.instance_id,
                "data_centre": entry.data_centre,
                "version": entry.info.configuration_version if entry.info else 0,
                "is_leaving": entry.info is not None and entry.info.is_leaving,
                "silent_seconds": round(entry.silent_seconds, 1),
            }
            for entry in self._membership.known_entries()
        ]

    def _notice_in_force(self, notice, state):
        """Describe where a take-out is in force, as acknowledged."""
        current = self._configuration.current
        is_recorded = notice.notice_id in current.notice_ids

        def is_confirmed(info):
            is_newest = is_recorded and info.configuration_version >= current.version
            return is_newest or notice.notice_id in info.notice_ids

        return self._describe_force(
            is_confirmed,
            state,
            bound_seconds=TAKE_OUT_BOUND_SECONDS,
            data_centre=notice.data_centre,
        )

    def _describe_force(self, is_confirmed, state, *, bound_seconds, data_centre=None):
        """Describe where something is in force and by when the rest follows.

        Parameters
        ----------
        is_confirmed : callable
            Whether the info of an instance acknowledges it.
        state : str
            Begin of the summary.
        bound_seconds : float
            Time that instances which can be reached may take.
        data_centre : str, optional
            Data centre that ``is_in_force`` is about; default: all.
        """
        groups = {"confirmed": [], "following": [], "unreachable": []}
        for entry in self._membership.known_entries():
            if entry.info is not None and is_confirmed(entry.info):
                groups["confirmed"].append(entry)
            else:
                groups["following" if entry.is_live else "unreachable"].append(entry)
        confirmed = [
            entry
            for entry in groups["confirmed"]
            if data_centre in (None, entry.data_centre)
        ]
        missing = [
            entry
            for entry in groups["following"] + groups["unreachable"]
            if data_centre in (None, entry.data_centre)
        ]
        parts = [state]
        if groups["following"]:
            names = _data_centre_names(groups["following"])
            parts.append(f"in force in {names} within {bound_seconds:g} s")
        not_in_force = [_describe_unreachable(entry) for entry in groups["unreachable"]]
        for name in sorted({entry.data_centre for entry in groups["unreachable"]}):
            since = min(
                item["unreachable_since"]
                for item in not_in_force
                if item["data_centre"] == name
            )
            parts.append(f"not in force in {name}, unreachable since {since}")
        if len(parts) == 1:
            parts.append("in force everywhere")
        return {
            "is_in_force": bool(confirmed) and not missing,
            "confirmed_by": [entry.instance_id for entry in confirmed],
            "following": [entry.instance_id for entry in groups["following"]],
            "follow_within_seconds": bound_seconds,
            "not_in_force": not_in_force,
            "summary": "; ".join(parts),
        }

    def _change_answer(self, outcome):
        if isinstance(outcome, Done):
            version = outcome.value.version
            return 200, {
                "outcome": "recorded",
                "version": version,
                "in_force": self._in_force(),
                **self._describe_force(
                    lambda info: info.configuration_version >= version,
                    f"recorded as version {version}",
                    bound_seconds=CONFIGURATION_BOUND_SECONDS,
                ),
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


def _data_centre_names(entries):
    return ", ".join(sorted({entry.data_centre for entry in entries}))


def _describe_unreachable(entry):
    since = datetime.now(UTC) - timedelta(seconds=entry.silent_seconds)
    return {
        "instance_id": entry.instance_id,
        "data_centre": entry.data_centre,
        "unreachable_seconds": round(entry.silent_seconds, 1),
        "unreachable_since": since.isoformat(timespec="seconds"),
    }


def _difference(newer, body):
    """Return the lines by which the lists of an operator differ from newer ones."""
    lists = (
        (ORGANISATIONS_FILE, newer.organisations_text, body.organisations),
        (PLANS_FILE, newer.plans_text, body.plans),
    )
    return [
        line
        for name, newer_text, edited_text in lists
        for line in difflib.unified_diff(
            newer_text.splitlines(),
            edited_text.splitlines(),
            f"{name} (version {newer.version})",
            f"{name} (edited)",
            lineterm="",
        )
    ]
