"""Requests of operators: the two lists, take-outs of data centres, and status."""

import difflib
from datetime import UTC, datetime, timedelta

import anyio
import anyio.to_thread
import attrs

from ...findings import Finding, Place
from ...ini import parse_ini
from ...outcomes import Done, Refused
from ...protocol.bodies import encode_findings
from ...protocol.messages import DescribeDataCentre
from ...state.placer.guarantees import packing_findings
from ...state.placer.plans import ORGANISATIONS_FILE, PLANS_FILE, parse_lists
from ...state.placer.shapes import Worker

# Time within which a change is in force at every instance that can be reached, as
# stated on the design page. Answers to operators contain these bounds.
CONFIGURATION_BOUND_SECONDS = 5.0
TAKE_OUT_BOUND_SECONDS = 3.0

# States of a job in which its gang holds workers.
HOLDING_STATUSES = ("starting", "running", "stopping")


class OperatorRequests:
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
            "in_force": self._acknowledged_versions(),
            "pending_notices": [
                {
                    "notice_id": notice.notice_id,
                    "data_centre": notice.data_centre,
                    **self._notice_confirmations(notice, "not recorded yet"),
                }
                for notice in self._configuration.pending_notices.values()
            ],
        }

    async def check_lists(self, body):
        """Return all findings of two lists without recording them.

        ``is_valid`` tells whether the lists can be recorded. Guarantees beyond the
        capacity are errors but do not prevent it, since workers may be missing only
        for a while.
        """
        parsed, findings = parse_lists(body.organisations, body.plans)
        if parsed is not None:
            findings = findings + await self._capacity_findings(parsed)
        return 200, {
            "is_valid": parsed is not None,
            "findings": encode_findings(findings),
        }

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
            return _unknown_data_centre(findings)
        notice, outcome = await self._configuration.take_out(data_centre)
        status, answer = self._change_answer(outcome)
        if not isinstance(outcome, Done):
            # The notice is in force at every instance that has received it, though not
            # recorded.
            status = 202
        state = "not recorded yet"
        if isinstance(outcome, Done):
            state = f"recorded as version {outcome.value.version}"
        in_force = self._notice_confirmations(notice, state)
        return status, {**answer, "notice_id": notice.notice_id, **in_force}

    async def bring_back(self, data_centre):
        """Bring a data centre back into service."""
        findings = self._configuration.check_data_centre(data_centre)
        if findings:
            return _unknown_data_centre(findings)
        return self._change_answer(await self._configuration.bring_back(data_centre))

    async def read_status(self):
        """Return the state of data centres, workers and organisations."""
        names, descriptions = await self.describe_data_centres()
        out = self._configuration.data_centres_out()
        current = self._configuration.current
        return {
            "version": current.version,
            "data_centres": [
                data_centre_status(name, descriptions.get(name), name not in out)
                for name in names
            ],
            "organisations": organisation_statuses(current, descriptions.values()),
            # The figures of organisations do not include these data centres.
            "unanswered_data_centres": [
                name for name in names if name not in descriptions
            ],
            "in_force": self._acknowledged_versions(),
        }

    async def describe_data_centres(self):
        """Ask the placers of all data centres for their descriptions.

        Returns
        -------
        names : list of str
            All data centres that an instance, a worker or a list names.
        descriptions : dict of str to DataCentreDescription
            Without the data centres whose placer did not answer.
        """
        listed = {item.data_centre for item in self._membership.listed_by_id.values()}
        names = sorted(
            listed
            | self._membership.known_data_centres
            | self._configuration.data_centres_out()
        )
        descriptions = {}
        timeout_seconds = self._settings.peer_call_timeout_seconds

        async def describe_one(name):
            # The timeout also covers the placer of this process, which may be
            # rebuilding its state.
            with anyio.move_on_after(timeout_seconds):
                outcome = await self._router.ask_placer(
                    name, DescribeDataCentre(), timeout_seconds=timeout_seconds
                )
                if isinstance(outcome, Done) and outcome.value is not None:
                    descriptions[name] = outcome.value

        async with anyio.create_task_group() as task_group:
            for name in names:
                task_group.start_soon(describe_one, name)
        return names, descriptions

    async def _capacity_findings(self, parsed):
        """Check the guarantees of two lists against the workers of all placers."""
        names, descriptions = await self.describe_data_centres()
        out = self._configuration.data_centres_out()
        silent = [name for name in names if name not in descriptions.keys() | out]
        if silent:
            message = f"guarantees not checked: no answer from {', '.join(silent)}"
            place = Place(file=PLANS_FILE)
            return [Finding(place=place, message=message, is_warning=True)]
        workers = [
            Worker(
                worker_id=worker.worker_id,
                data_centre=name,
                rack=worker.rack,
                address="",
                incarnation="",
                capacity=worker.capacity,
            )
            for name, description in descriptions.items()
            for worker in description.workers
            if not worker.is_leaving
        ]
        configuration = attrs.evolve(parsed, data_centres_out=frozenset(out))
        # Packing thousands of workers in the event loop would delay heartbeats.
        findings = await anyio.to_thread.run_sync(
            packing_findings, configuration, workers, names
        )
        return [_with_line(finding, parsed.plans_text) for finding in findings]

    def _acknowledged_versions(self):
        """Return the version that each known instance has acknowledged."""
        return [
            {
                "instance_id": entry.instance_id,
                "data_centre": entry.data_centre,
                "version": entry.info.configuration_version if entry.info else 0,
                "is_leaving": entry.info is not None and entry.info.is_leaving,
                "silent_seconds": _silent_seconds(entry),
            }
            for entry in self._membership.known_entries()
        ]

    def _notice_confirmations(self, notice, state):
        """Return at which instances a take-out is in force, as they acknowledged it."""
        current = self._configuration.current
        is_recorded = notice.notice_id in current.notice_ids

        def is_confirmed(info):
            is_included = is_recorded and info.configuration_version >= current.version
            return is_included or notice.notice_id in info.notice_ids

        return self._confirmations(
            is_confirmed,
            state,
            bound_seconds=TAKE_OUT_BOUND_SECONDS,
            data_centre=notice.data_centre,
        )

    def _confirmations(self, is_confirmed, state, *, bound_seconds, data_centre=None):
        """Return which instances confirm a change, and by when the others follow.

        Parameters
        ----------
        is_confirmed : callable
            Returns whether the info of an instance acknowledges the change.
        state : str
            First part of the summary.
        bound_seconds : float
            Time within which the instances that can be reached follow.
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
            "unconfirmed": [entry.instance_id for entry in missing],
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
                "in_force": self._acknowledged_versions(),
                **self._confirmations(
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


def _silent_seconds(entry):
    """Return how long an instance has been silent: 0 if live, None if never heard."""
    if entry.info is None:
        return None
    return 0.0 if entry.is_live else round(entry.silent_seconds, 1)


def _describe_unreachable(entry):
    since = datetime.now(UTC) - timedelta(seconds=entry.silent_seconds)
    return {
        "instance_id": entry.instance_id,
        "data_centre": entry.data_centre,
        "unreachable_seconds": round(entry.silent_seconds, 1),
        "unreachable_since": since.isoformat(timespec="seconds"),
    }


def _difference(newer, body):
    """Return a unified diff from the newer lists to those that an operator edited."""
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


def data_centre_status(name, description, is_in_service):
    """Return the status of a data centre as JSON fields.

    ``description`` is None if its placer did not answer; what only the placer knows is
    then None.
    """
    is_answering = description is not None
    body = {
        "data_centre": name,
        "is_in_service": is_in_service,
        "is_answering": is_answering,
        "placer_id": None,
        "workers": None,
        "jobs_count": None,
    }
    if is_answering:
        body["placer_id"] = description.placer_id
        body["workers"] = [attrs.asdict(worker) for worker in description.workers]
        body["jobs_count"] = len(description.jobs)
    return body


def organisation_statuses(configuration, descriptions):
    """Return plan and usage of each organisation, summed over data centres.

    An organisation that is no longer listed but has jobs has an empty plan.
    """
    jobs = [job for description in descriptions for job in description.jobs]
    names = set(configuration.plan_by_organisation)
    names |= {job.organisation for job in jobs}
    rows = []
    for name in sorted(names):
        organisation_jobs = [job for job in jobs if job.organisation == name]
        holding = [job for job in organisation_jobs if job.status in HOLDING_STATUSES]
        waiting = [job for job in organisation_jobs if job.status == "queued"]
        plan_name = configuration.plan_by_organisation.get(name, "")
        rows.append(
            {
                "organisation": name,
                "plan": plan_name,
                **_plan_counts(configuration.plans.get(plan_name)),
                "in_use_guaranteed_accelerators_count": sum(
                    job.accelerators_count for job in holding if job.is_guaranteed
                ),
                "in_use_borrowed_accelerators_count": sum(
                    job.accelerators_count for job in holding if not job.is_guaranteed
                ),
                "waiting_accelerators_count": sum(
                    job.accelerators_count for job in waiting
                ),
                "running_jobs_count": len(holding),
                "waiting_jobs_count": len(waiting),
            }
        )
    return rows


def _plan_counts(plan):
    if plan is None:
        counts = (0, 0, 0, 0)
    else:
        gang_accelerators_count = (
            plan.guaranteed_tasks_count * plan.guaranteed_shape.accelerators_count
        )
        counts = (
            plan.guaranteed_gangs_count,
            plan.guaranteed_tasks_count,
            plan.guaranteed_gangs_count * gang_accelerators_count,
            plan.quota_accelerators_count,
        )
    keys = (
        "guaranteed_gangs_count",
        "guaranteed_tasks_count",
        "guaranteed_accelerators_count",
        "quota_accelerators_count",
    )
    return dict(zip(keys, counts, strict=True))


def _with_line(finding, plans_text):
    """Return a finding about plans with the line of its key."""
    sections, _ = parse_ini(plans_text, file=PLANS_FILE)
    section = sections.get(finding.place.section)
    value = section and section.values.get(finding.place.key)
    if not value:
        return finding
    return attrs.evolve(finding, place=attrs.evolve(finding.place, line=value.line))


def _unknown_data_centre(findings):
    return 404, {
        "outcome": "not_recorded",
        "code": "unknown_data_centre",
        "reason": findings[0].message,
        "findings": encode_findings(findings),
    }
