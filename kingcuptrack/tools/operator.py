"""``kingcuptrack-operator``: shows status, and changes lists and data centres.

The lists are those of organisations and of plans, which form the configuration.

Exit codes: 0 done; 1 refused, not recorded or not in force; 2 bad usage or findings;
3 conflict with a concurrent change; 4 outcome unknown or no instance reachable.
"""

import sys
import time
from collections.abc import Sequence
from pathlib import Path
from urllib.parse import quote

import anyio
import defopt

from ..outcomes import Done, Refused
from .client import UsageError, check_durations, merge_entry_url_flags, run_command
from .operator_output import (
    CONFIGURATION_LISTS,
    describe_take_out,
    diff_lists,
    has_errors,
    is_in_force,
    print_conflict,
    print_data_centres,
    print_findings,
    print_in_force,
    print_jobs,
    print_json,
    print_organisations,
    print_refusal,
    print_unanswered,
    print_workers,
)

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4

REQUEST_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.2


def show_lists(*, entry_url: Sequence[str] = (), json: bool = False):
    """Show both lists as the answering instance has them in force.

    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        answer = await read_configuration(client)
        if isinstance(answer, int):
            return answer
        if json:
            print_json(answer)
            return EXIT_DONE
        print(f"# version {answer['version']}")
        for name, key in CONFIGURATION_LISTS:
            print(f"# {name}")
            print(answer[key].rstrip("\n"))
        return EXIT_DONE

    return run_command(command, entry_url)


def check_lists(
    organisations: Path,
    plans: Path,
    *,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Check two lists and report all findings without recording anything.

    :param organisations: file with the list of organisations
    :param plans: file with the list of plans
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        lists = read_lists(organisations, plans)
        answer = await request_check(client, lists)
        if isinstance(answer, int):
            return answer
        findings = answer["findings"]
        if json:
            print_json(answer)
        else:
            print_findings(findings)
            print("the lists have errors" if has_errors(findings) else "no errors")
        return EXIT_FINDINGS if has_errors(findings) else EXIT_DONE

    return run_command(command, entry_url)


def apply_lists(
    organisations: Path,
    plans: Path,
    *,
    yes: bool = False,
    over_capacity: bool = False,
    timeout_seconds: float = 5.0,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Show the difference to the lists in force, then record the new ones.

    :param organisations: file with the list of organisations
    :param plans: file with the list of plans
    :param yes: record without asking
    :param over_capacity: record guarantees that do not fit the present workers
    :param timeout_seconds: time to wait until the version is in force
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        check_durations(timeout_seconds=timeout_seconds)
        lists = read_lists(organisations, plans)
        current = await read_configuration(client)
        if isinstance(current, int):
            return current
        checked = await request_check(client, lists)
        if isinstance(checked, int):
            return checked
        findings = checked["findings"]
        print_findings(findings, file=sys.stderr)
        if has_errors(findings) and not (over_capacity and checked["is_valid"]):
            print("the lists have errors; nothing was recorded", file=sys.stderr)
            if checked["is_valid"]:
                text = "use --over-capacity if workers are missing only temporarily"
                print(text, file=sys.stderr)
            if json:
                print_json({"outcome": "not_recorded", "findings": findings})
            return EXIT_FINDINGS
        version = current["version"]
        difference = diff_lists(current, lists, f"version {version}", "new")
        if not difference and version:
            if json:
                print_json({"outcome": "unchanged", "version": version})
                return EXIT_DONE
            print(f"no difference to version {version}; nothing to record")
            return EXIT_DONE
        print(difference, file=sys.stderr if json else sys.stdout)
        if not yes and not is_confirmed(f"record this after version {version}?"):
            print("not confirmed; nothing was recorded", file=sys.stderr)
            return EXIT_REFUSED
        return await record_lists(
            client,
            lists,
            current,
            json=json,
            timeout_seconds=timeout_seconds,
        )

    return run_command(command, entry_url)


def take_out(
    name: str,
    *,
    timeout_seconds: float = 5.0,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Take a data centre out of service at once, with or without the table.

    :param name: data centre
    :param timeout_seconds: time to wait until the recorded version is in force
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        check_durations(timeout_seconds=timeout_seconds)
        # A repetition is harmless: it takes out the same data centre again.
        outcome = await client.request(
            "POST",
            f"/v1/data-centres/{quote(name, safe='', errors='replace')}/out",
            timeout_seconds=REQUEST_TIMEOUT_SECONDS,
        )
        if not isinstance(outcome, Done):
            return report_failure(outcome, f"taking out {name}", json=json)
        answer = outcome.value
        is_taken_out = answer.status in (200, 202)
        if is_taken_out and not json:
            print(describe_take_out(name, answer.body), flush=True)
        if answer.body.get("outcome") == "recorded":
            return await report_recorded(
                client, answer.body, json=json, timeout_seconds=timeout_seconds
            )
        if json:
            print_json(answer.body)
        elif not is_taken_out:
            print_refusal(answer.body)
        return change_exit_code(answer)

    return run_command(command, entry_url)


def bring_back(
    name: str,
    *,
    timeout_seconds: float = 5.0,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Bring a data centre back into service; needs the table.

    :param name: data centre
    :param timeout_seconds: time to wait until the version is in force
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        check_durations(timeout_seconds=timeout_seconds)
        # Not repeated after a lost answer: the repetition could undo a take-out that
        # was ordered after the first request.
        outcome = await client.request(
            "POST",
            f"/v1/data-centres/{quote(name, safe='', errors='replace')}/in",
            timeout_seconds=REQUEST_TIMEOUT_SECONDS,
            may_repeat=False,
        )
        if not isinstance(outcome, Done):
            return report_failure(outcome, f"bringing back {name}", json=json)
        answer = outcome.value
        if answer.status == 200:
            title = f"{name} returns to service: "
            return await report_recorded(
                client, answer.body, title, json=json, timeout_seconds=timeout_seconds
            )
        if json:
            print_json(answer.body)
        else:
            print_refusal(answer.body)
        return change_exit_code(answer)

    return run_command(command, entry_url)


def show_status(*, entry_url: Sequence[str] = (), json: bool = False):
    """Show data centres, organisations and the version in force at each instance.

    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        answer = await read_answer(client, "/v1/status")
        if isinstance(answer, int):
            return answer
        if json:
            print_json(answer)
            return EXIT_DONE
        print(f"configuration version {answer['version']}\n")
        print_data_centres(answer["data_centres"])
        print()
        print_organisations(answer)
        print()
        print_in_force(answer["in_force"], answer["version"])
        return EXIT_DONE

    return run_command(command, entry_url)


def show_workers(
    *,
    data_centre: str = "",
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Show the workers of all data centres or of one.

    :param data_centre: only this data centre
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        answer = await read_answer(client, "/v1/status")
        if isinstance(answer, int):
            return answer
        selected = [
            row
            for row in answer["data_centres"]
            if data_centre in ("", row["data_centre"])
        ]
        if not selected:
            print(f"unknown data centre {data_centre!r}", file=sys.stderr)
            return EXIT_FINDINGS
        if json:
            print_json({"data_centres": selected})
            return EXIT_DONE
        print_workers(selected)
        return EXIT_DONE

    return run_command(command, entry_url)


def show_jobs(
    *,
    organisation: str = "",
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Show all open jobs and why those that wait do so.

    :param organisation: only jobs of this organisation
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        answer = await read_answer(client, "/v1/status/jobs")
        if isinstance(answer, int):
            return answer
        jobs = [
            job for job in answer["jobs"] if organisation in ("", job["organisation"])
        ]
        if json:
            print_json({**answer, "jobs": jobs})
            return EXIT_DONE
        print_jobs(jobs)
        print_unanswered(answer["unanswered_data_centres"])
        return EXIT_DONE

    return run_command(command, entry_url)


def wait_in_force(
    version: int,
    *,
    timeout_seconds: float = 10.0,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Wait until a version, or a later one, is in force at every instance.

    :param version: version of the configuration
    :param timeout_seconds: longest wait
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        check_durations(timeout_seconds=timeout_seconds)
        rows = await poll_in_force(client, version, timeout_seconds=timeout_seconds)
        if isinstance(rows, int):
            return rows
        is_everywhere = is_in_force(rows, version)
        if json:
            print_json(
                {"version": version, "is_in_force": is_everywhere, "in_force": rows}
            )
        else:
            print_in_force(rows, version)
        return EXIT_DONE if is_everywhere else EXIT_REFUSED

    return run_command(command, entry_url)


def read_lists(organisations, plans):
    """Return the texts of both files; raises `UsageError` naming unreadable files."""
    texts, problems = {}, []
    for (_, key), path in zip(CONFIGURATION_LISTS, (organisations, plans), strict=True):
        try:
            texts[key] = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problems.append(f"{path} cannot be read: {error}")
    if problems:
        raise UsageError("; ".join(problems))
    return texts


async def read_answer(client, path):
    """Return the JSON object at a path, or the exit code of a reported failure."""
    outcome = await client.request("GET", path, timeout_seconds=REQUEST_TIMEOUT_SECONDS)
    if not isinstance(outcome, Done):
        return report_failure(outcome, f"reading {path}", json=False)
    if outcome.value.status != 200:
        print_refusal(outcome.value.body)
        return EXIT_UNKNOWN
    return outcome.value.body


async def read_configuration(client):
    """Return the configuration in force; see `read_answer` for failures."""
    return await read_answer(client, "/v1/configuration")


async def request_check(client, lists):
    """Return the answer with all findings, or the exit code of a reported failure."""
    outcome = await client.request(
        "POST",
        "/v1/configuration/check",
        body={**lists, "expected_version": 0},
        timeout_seconds=REQUEST_TIMEOUT_SECONDS,
    )
    if not isinstance(outcome, Done):
        return report_failure(outcome, "checking the lists", json=False)
    if outcome.value.status != 200:
        print_refusal(outcome.value.body)
        return change_exit_code(outcome.value)
    return outcome.value.body


async def record_lists(client, lists, current, *, json, timeout_seconds):
    """Record both lists, report the result and return the exit code.

    ``current`` is the configuration that the new lists are to replace.
    """
    expected_version = current["version"]
    outcome = await client.request(
        "PUT",
        "/v1/configuration",
        body={**lists, "expected_version": expected_version},
        timeout_seconds=REQUEST_TIMEOUT_SECONDS,
    )
    if not isinstance(outcome, Done):
        return report_failure(outcome, "recording the lists", json=json)
    answer = outcome.value
    body = answer.body
    if (
        answer.status == 409
        and answer.is_after_unknown_attempt
        and is_same(body, lists)
    ):
        # An earlier attempt, whose answer was lost, has recorded these lists.
        body = {**body, "outcome": "recorded"}
        del body["code"], body["reason"]
    if body.get("outcome") == "recorded":
        return await report_recorded(
            client, body, json=json, timeout_seconds=timeout_seconds
        )
    if json:
        print_json(body)
    elif answer.status == 409:
        print_conflict(body, lists, current)
    else:
        print_refusal(body)
    return change_exit_code(answer)


async def report_recorded(client, body, title="", *, json, timeout_seconds):
    """Report a recorded change, and where it is in force; return the exit code."""
    version = body["version"]
    rows = await poll_in_force(client, version, timeout_seconds=timeout_seconds)
    if isinstance(rows, int):
        rows = body.get("in_force", [])
    if json:
        print_json({**body, "in_force": rows})
        return EXIT_DONE
    print(f"{title}recorded as version {version}")
    print_in_force(rows, version)
    return EXIT_DONE


async def poll_in_force(client, version, *, timeout_seconds):
    """Wait until a version is in force at all instances or the timeout has passed.

    Returns the last rows of versions in force; after a failure, the exit code.
    """
    deadline_seconds = time.monotonic() + timeout_seconds
    while True:
        answer = await read_configuration(client)
        if isinstance(answer, int):
            return answer
        rows = answer["in_force"]
        if is_in_force(rows, version) or time.monotonic() >= deadline_seconds:
            return rows
        await anyio.sleep(POLL_INTERVAL_SECONDS)


def is_same(body, lists):
    """Return whether an answer holds exactly these lists."""
    return all(body.get(key) == lists[key] for _, key in CONFIGURATION_LISTS)


def is_confirmed(question):
    """Ask on standard error; return False unless the answer is yes."""
    print(f"{question} [y/N] ", end="", file=sys.stderr, flush=True)
    return sys.stdin.readline().strip().lower() in ("y", "yes")


def change_exit_code(answer):
    """Return the exit code for the answer to a change."""
    if answer.body.get("outcome") == "recorded":
        return EXIT_DONE
    if answer.status == 409:
        return EXIT_CONFLICT
    if answer.status in (404, 413, 422):
        return EXIT_FINDINGS
    if answer.body.get("outcome") == "unknown":
        return EXIT_UNKNOWN
    return EXIT_REFUSED


def report_failure(outcome, what, *, json):
    """Report a request without an answer; return the exit code."""
    if isinstance(outcome, Refused):
        text = f"{what}: no entry instance could be reached; nothing was changed"
        body = {"outcome": "not_recorded", "code": outcome.code}
    else:
        text = f"{what}: no answer; it is not known whether it took effect"
        body = {"outcome": "unknown"}
    print(f"{text} ({outcome.message})", file=sys.stderr)
    if json:
        print_json({**body, "reason": outcome.message})
    return EXIT_UNKNOWN


COMMANDS = {
    "lists": {"show": show_lists, "check": check_lists, "apply": apply_lists},
    "data-centre": {"out": take_out, "in": bring_back},
    "status": show_status,
    "workers": show_workers,
    "jobs": show_jobs,
    "wait-in-force": wait_in_force,
}


def main():
    """Run the program and exit with its exit code."""
    sys.exit(defopt.run(COMMANDS, argv=merge_entry_url_flags(sys.argv[1:]), short={}))


if __name__ == "__main__":
    main()
