"""Operator requests: the two lists, data centres in and out, status."""

import time

import anyio
import anyio.to_thread
import attrs

from ..findings import Finding, Place
from ..ini import parse_ini
from ..outcomes import Done, Refused
from ..protocol.bodies import encode_findings
from ..protocol.messages import DescribeDataCentre
from ..state.guarantees import packing_findings
from ..state.plans import PLANS_FILE, parse_lists
from ..state.shapes import Worker

# States of a job in which its gang holds workers.
HOLDING_STATUSES = ("starting", "running", "stopping")


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

    async def check_lists(self, body):
        """Return all findings of two lists without recording them.

        ``is_valid`` tells whether they can be recorded: guarantees beyond the
        capacity are errors, but workers may be missing for a while only.
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
        return status, {**answer, "findings": encode_findings(findings)}

    async def take_out(self, data_centre):
        """Take a data centre out of service."""
        findings = self._configuration.check_data_centre(data_centre)
        if findings:
            return _unknown_data_centre(findings)
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
            return _unknown_data_centre(findings)
        return self._change_answer(await self._configuration.bring_back(data_centre))

    async def read_status(self):
        """Return the state of data centres, workers and organisations."""
        names, descriptions = await self.describe()
        out = self._configuration.data_centres_out()
        current = self._configuration.current
        return {
            "version": current.version,
            "data_centres": [
                describe_data_centre(name, descriptions.get(name), name not in out)
                for name in names
            ],
            "organisations": describe_organisations(current, descriptions.values()),
            # The figures of organisations leave these data centres out.
            "unanswered_data_centres": [
                name for name in names if name not in descriptions
            ],
            "in_force": self._in_force(),
        }

    async def describe(self):
        """Ask all placers.

        Returns
        -------
        names : list of str
            All data centres that an instance, a worker or a list names.
        descriptions : dict of str to DataCentreDescription
            Without the data centres whose placer did not answer.
        """
        listed = {item.data_centre for item in self._membership.listed.values()}
        names = sorted(
            listed
            | self._membership.known_data_centres
            | self._configuration.data_centres_out()
        )
        descriptions = {}
        timeout_seconds = self._settings.peer_call_timeout_seconds

        async def describe_one(name):
            # The bound holds for the own placer too, which may be rebuilding.
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
        names, descriptions = await self.describe()
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
        # Packing thousands of workers takes longer than heartbeats may wait.
        findings = await anyio.to_thread.run_sync(
            packing_findings, configuration, workers, names
        )
        return [_with_line(finding, parsed.plans_text) for finding in findings]

    def _in_force(self):
        """Return the version acknowledged by every known instance."""
        now_seconds = time.monotonic()
        rows = []
        for info in self._membership.live_instances():
            rows.append(self._describe_instance(info, 0.0))
        known_ids = {row["instance_id"] for row in rows}
        for peer in self._membership.peers.values():
            if peer.info.instance_id not in known_ids:
                silent_seconds = now_seconds - peer.heard_seconds
                rows.append(self._describe_instance(peer.info, silent_seconds))
        known_ids |= set(self._membership.peers)
        for listed in self._membership.listed.values():
            if listed.kind == "entry" and listed.instance_id not in known_ids:
                rows.append(
                    {
                        "instance_id": listed.instance_id,
                        "data_centre": listed.data_centre,
                        "version": 0,
                        "is_leaving": listed.is_leaving,
                        # Listed by the platform and never heard from.
                        "silent_seconds": None,
                    }
                )
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
        """Return which instances of the data centre are known to know a notice.

        Silent instances count as not knowing it: cut off, they may still place.
        """
        infos = self._membership.live_instances(data_centre)
        recorded = notice.notice_id in self._configuration.current.notice_ids
        version = self._configuration.current.version if recorded else None
        confirmed = [
            info.instance_id
            for info in infos
            if notice.notice_id in info.notice_ids
            or (version is not None and info.configuration_version >= version)
        ]
        unconfirmed = [
            row["instance_id"]
            for row in self._in_force()
            if row["data_centre"] == data_centre
            and row["instance_id"] not in confirmed
            and not (row["is_leaving"] and row["silent_seconds"])
        ]
        return {
            "is_in_force": bool(confirmed) and not unconfirmed,
            "confirmed_by": confirmed,
            "unconfirmed": unconfirmed,
        }

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


def describe_data_centre(name, description, is_in_service):
    """Return one data centre as JSON; without a description nothing is known of it."""
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


def describe_organisations(configuration, descriptions):
    """Return plan and use of each organisation, summed over data centres.

    An organisation that is no longer listed but has jobs has an empty plan.
    """
    jobs = [job for description in descriptions for job in description.jobs]
    names = set(configuration.plan_by_organisation)
    names |= {job.organisation for job in jobs}
    rows = []
    for name in sorted(names):
        own = [job for job in jobs if job.organisation == name]
        holding = [job for job in own if job.status in HOLDING_STATUSES]
        waiting = [job for job in own if job.status == "queued"]
        plan_name = configuration.plan_by_organisation.get(name, "")
        rows.append(
            {
                "organisation": name,
                "plan": plan_name,
                **_describe_plan(configuration.plans.get(plan_name)),
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


def _describe_plan(plan):
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
