"""Output of the operators' program: tables, findings and differences."""

import difflib
import json
import sys

from ..state.placer.plans import ORGANISATIONS_FILE, PLANS_FILE
from .client import describe_findings
from .tables import format_table

# File name of each list, and its key in answers.
CONFIGURATION_LISTS = ((ORGANISATIONS_FILE, "organisations"), (PLANS_FILE, "plans"))


def print_json(value):
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_findings(findings, *, file=None):
    """Print findings, one per line."""
    for line in describe_findings(findings):
        print(line, file=file)


def has_errors(findings):
    """Return whether any finding of a JSON answer is an error."""
    return any(not finding["is_warning"] for finding in findings)


def print_refusal(body):
    """Print why a request was refused."""
    print_findings(body.get("findings", []), file=sys.stderr)
    outcome = body.get("outcome", "refused").replace("_", " ")
    reason = body.get("reason") or body.get("code") or "see the findings"
    print(f"{outcome}: {reason}", file=sys.stderr)


def print_conflict(body, lists, current):
    """Print a concurrent change, and how these lists differ from its result."""
    version = body.get("version")
    print(f"conflict: {body.get('reason')}; nothing was recorded", file=sys.stderr)
    if version is None:
        return
    old_name = f"version {current['version']}"
    new_name = f"version {version}"
    print(f"changed by others from {old_name} to {new_name}:")
    print(diff_lists(current, body, old_name, new_name) or "  the lists are equal")
    print(f"difference of your lists to {new_name}:")
    print(diff_lists(body, lists, new_name, "yours") or "  none")


def diff_lists(old, new, old_name, new_name):
    """Return the unified difference of two pairs of lists."""
    lines = []
    for name, key in CONFIGURATION_LISTS:
        lines += difflib.unified_diff(
            old[key].splitlines(),
            new[key].splitlines(),
            f"{name} ({old_name})",
            f"{name} ({new_name})",
            lineterm="",
        )
    if not lines and any(old[key] != new[key] for _, key in CONFIGURATION_LISTS):
        return "the lists differ in line endings only"
    return "\n".join(lines)


def describe_take_out(name, body):
    """Return the answer to a take-out as text."""
    if body["outcome"] == "recorded":
        lines = [f"{name} is out of service"]
    else:
        lines = [
            f"{name}: take-out notice {body['notice_id']} sent but NOT RECORDED yet:"
            f" {body.get('reason', '')}",
            "the instances that received the notice record it once the table answers",
        ]
    confirmed = ", ".join(body["confirmed_by"]) or "no instance"
    if body["is_in_force"]:
        lines.append(f"in force in {name}: confirmed by {confirmed}")
    else:
        missing = ", ".join(body["unconfirmed"]) or "no instance is known there"
        lines.append(f"NOT known to be in force in {name}: confirmed by {confirmed}")
        lines.append(f"not confirmed by: {missing}")
    return "\n".join(lines)


def print_in_force(rows, version):
    """Print at which instances a version is in force."""
    table = [
        (
            row["instance_id"],
            row["data_centre"],
            row["version"],
            row["version"] >= version,
            _instance_state(row),
        )
        for row in rows
    ]
    headers = ("instance", "data centre", "version", f"{version} in force", "state")
    print(format_table(headers, table))
    if not is_in_force(rows, version):
        print(f"version {version} is not in force everywhere")


def is_in_force(rows, version):
    """Return whether the version is in force at every instance.

    Instances that announced their stop and no longer answer do not count; without any
    other instance, the result is False.
    """
    serving = [row for row in rows if not (row["is_leaving"] and row["silent_seconds"])]
    return bool(serving) and all(row["version"] >= version for row in serving)


def _instance_state(row):
    state = "leaving" if row["is_leaving"] else "live"
    if row["silent_seconds"] is None:
        return f"{state}, no message received"
    if row["silent_seconds"]:
        return f"{state}, silent for {row['silent_seconds']:g} s"
    return state


def print_data_centres(data_centres):
    """Print one line for each data centre."""
    rows = []
    for item in data_centres:
        workers = item["workers"]
        totals = (None, None, None)
        if workers is not None:
            totals = (
                len(workers),
                sum(worker["accelerators_count"] for worker in workers),
                sum(worker["free_accelerators_count"] for worker in workers),
            )
        placer = item["placer_id"] if item["is_answering"] else "no answer"
        service = "in" if item["is_in_service"] else "OUT"
        rows.append((item["data_centre"], service, placer, *totals, item["jobs_count"]))
    headers = (
        "data centre", "service", "placer", "workers", "accelerators", "free", "jobs",
    )  # fmt: skip
    print(format_table(headers, rows))


def print_organisations(answer):
    """Print plan and usage of each organisation, in accelerators."""
    rows = [
        (
            item["organisation"],
            item["plan"] or "none",
            item["guaranteed_accelerators_count"],
            item["quota_accelerators_count"],
            item["in_use_guaranteed_accelerators_count"],
            item["in_use_borrowed_accelerators_count"],
            item["waiting_accelerators_count"],
            item["running_jobs_count"],
            item["waiting_jobs_count"],
        )
        for item in answer["organisations"]
    ]
    headers = (
        "organisation", "plan", "guarantee", "quota", "guaranteed", "borrowed",
        "waiting", "jobs running", "jobs waiting",
    )  # fmt: skip
    print(format_table(headers, rows))
    print_unanswered(answer["unanswered_data_centres"])


def print_workers(data_centres):
    """Print one line for each worker."""
    rows = [
        (
            worker["worker_id"],
            item["data_centre"],
            worker["rack"],
            "leaving" if worker["is_leaving"] else worker["health"] or "live",
            worker["accelerators_count"],
            worker["free_accelerators_count"],
            worker["tasks_count"],
        )
        for item in data_centres
        for worker in item["workers"] or ()
    ]
    headers = (
        "worker", "data centre", "rack", "state", "accelerators", "free", "tasks",
    )  # fmt: skip
    print(format_table(headers, rows))
    print_unanswered(
        [item["data_centre"] for item in data_centres if not item["is_answering"]]
    )


def print_jobs(jobs):
    """Print one line for each open job."""
    rows = [
        (
            job["job_id"],
            job["organisation"],
            job["data_centre"],
            job["urgency"],
            job["status"],
            job["attempt"],
            job["tasks_count"],
            job["accelerators_count"],
            job["reason"],
        )
        for job in jobs
    ]
    headers = (
        "job", "organisation", "data centre", "urgency", "status", "attempt", "tasks",
        "accelerators", "reason",
    )  # fmt: skip
    print(format_table(headers, rows))


def print_unanswered(names):
    """Print the data centres that are missing from the preceding table."""
    if names:
        print(f"not included, no answer: {', '.join(names)}")
