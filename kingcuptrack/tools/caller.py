"""``kingcuptrack-caller``: submits jobs, waits for them and cancels them.

Exit codes: 0 done with valid results (for ``cancel``: the job did not run); 1 not run
(for ``cancel``: the job was already done); 2 bad usage or findings; 3 the job ran and
failed; 4 outcome unknown or no instance reachable; 5 pending.
"""

import json as json_module
import random
import sys
import time
import uuid
from collections.abc import Sequence
from pathlib import Path

import anyio
import attrs
import defopt

from ..outcomes import Done, Refused, Unknown
from ..protocol.bodies import encode_findings, parse_job_spec
from ..state.placer.jobs import TaskResult, Urgency, make_job_id, verify_result
from .client import (
    UsageError,
    check_durations,
    describe_findings,
    merge_entry_url_flags,
    run_command,
)

EXIT_NOT_RUN = 1
EXIT_FINDINGS = 2
EXIT_BY_OUTCOME = {
    "done": 0,
    "not_run": EXIT_NOT_RUN,
    "failed": 3,
    "unknown": 4,
    "pending": 5,
}

# Refusals that are given without looking up the idempotency key in the table.
CODES_WITHOUT_KEY_LOOKUP = ("unavailable", "unreachable")

# Longest wait of one long poll; must not exceed the instances' wait_limit_seconds
# (30 s by default).
LONG_POLL_LIMIT_SECONDS = 10.0
# Time after the end of the long poll until a request counts as unanswered.
ANSWER_MARGIN_SECONDS = 10.0
# A cancellation waits for the leases of workers that do not answer to lapse; the
# timeout must exceed the instances' lease_seconds and handover_lease_seconds (10 s and
# 30 s by default).
CANCEL_TIMEOUT_SECONDS = 40.0
RETRY_DELAY_SECONDS = 0.2
RETRY_DELAY_LIMIT_SECONDS = 5.0


def submit(
    *,
    organisation: str = "",
    tasks_count: int | None = None,
    accelerators_count: int | None = None,
    cores_count: int | None = None,
    memory_bytes: int | None = None,
    connections_count: int | None = None,
    urgent: bool | None = None,
    repeatable: bool | None = None,
    checkpointable: bool | None = None,
    idempotency_key: str = "",
    declared_run_seconds: float | None = None,
    payload: str | None = None,
    payload_file: Path | None = None,
    job_file: Path | None = None,
    wait_seconds: float = 0.0,
    retry_seconds: float = 10.0,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Submit a job, from a JSON file, from flags, or from a file changed by flags.

    A submission without an answer is repeated with the same idempotency key at the
    next entry URL.

    :param organisation: organisation that the job belongs to
    :param tasks_count: tasks of the gang
    :param accelerators_count: accelerators of each task
    :param cores_count: cores of each task
    :param memory_bytes: memory of each task
    :param connections_count: connections of each task
    :param urgent: urgent, else patient
    :param repeatable: may run again after a failure (default: yes)
    :param checkpointable: can be checkpointed and moved
    :param idempotency_key: key that names this job; required if not repeatable
    :param declared_run_seconds: estimate of the run time
    :param payload: payload of the tasks
    :param payload_file: file with the payload
    :param job_file: JSON file with the body of ``POST /v1/jobs``
    :param wait_seconds: time to wait for the outcome
    :param retry_seconds: time for which a submission is repeated until accepted
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """
    flags = {
        "organisation": organisation or None,
        "tasks_count": tasks_count,
        "urgency": None if urgent is None else _urgency(urgent),
        "is_repeatable": repeatable,
        "is_checkpointable": checkpointable,
        "idempotency_key": idempotency_key or None,
        "declared_run_seconds": declared_run_seconds,
        "payload": payload,
    }
    shape_flags = {
        "accelerators_count": accelerators_count,
        "cores_count": cores_count,
        "memory_bytes": memory_bytes,
        "connections_count": connections_count,
    }

    async def command(client):
        check_durations(wait_seconds=wait_seconds, retry_seconds=retry_seconds)
        body = make_body(flags, shape_flags, job_file, payload_file)
        spec, findings = parse_job_spec(json_module.dumps(body))
        if findings:
            return report({"outcome": "not_run"}, encode_findings(findings), json=json)
        is_new_key = not spec.idempotency_key
        if is_new_key:
            body["idempotency_key"] = str(uuid.uuid4())
            spec = attrs.evolve(spec, idempotency_key=body["idempotency_key"])
        # Printed before the first request, so that a user who interrupts the program
        # can submit the job again under the same key.
        key_text = f"idempotency key: {spec.idempotency_key}"
        print(key_text, file=sys.stderr if json else sys.stdout, flush=True)
        job_id = make_job_id(spec.organisation, spec.idempotency_key)
        answer = await submit_body(
            client,
            job_id,
            body,
            wait_seconds=wait_seconds,
            retry_seconds=retry_seconds,
            is_new_key=is_new_key,
        )
        answer = check_results(answer, tasks_count=spec.tasks_count)
        answer["idempotency_key"] = spec.idempotency_key
        return report(answer, answer.get("findings", []), json=json)

    return run_command(command, entry_url)


def wait(
    job_id: str,
    *,
    timeout_seconds: float = 60.0,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Wait for the outcome of a job and check its results.

    :param job_id: job
    :param timeout_seconds: longest wait
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        check_job_id(job_id)
        check_durations(timeout_seconds=timeout_seconds)
        answer = await wait_for_outcome(client, job_id, timeout_seconds=timeout_seconds)
        answer = check_results(answer)
        return report(answer, answer.get("findings", []), json=json)

    return run_command(command, entry_url)


def status(
    job_id: str,
    *,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Show what is known about a job now.

    :param job_id: job
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """
    return wait(job_id, timeout_seconds=0.0, entry_url=entry_url, json=json)


def cancel(
    job_id: str,
    *,
    entry_url: Sequence[str] = (),
    json: bool = False,
):
    """Cancel a job; the answer tells whether it may have run.

    :param job_id: job
    :param entry_url: URL of an entry instance; several are tried in order
    :param json: print JSON
    """

    async def command(client):
        check_job_id(job_id)
        outcome = await client.request(
            "DELETE", f"/v1/jobs/{job_id}", timeout_seconds=CANCEL_TIMEOUT_SECONDS
        )
        answer = check_results(_answer_of(outcome, job_id))
        exit_code = report(answer, answer.get("findings", []), json=json)
        if answer["outcome"] == "not_run":
            return 0
        return EXIT_NOT_RUN if answer["outcome"] == "done" else exit_code

    return run_command(command, entry_url)


def make_body(flags, shape_flags, job_file, payload_file):
    """Return the body of a submission; raises `UsageError` for unusable files."""
    body = {}
    if job_file is not None:
        try:
            body = json_module.loads(job_file.read_text(encoding="utf-8"))
        except (OSError, ValueError, RecursionError) as error:
            raise UsageError(f"{job_file} cannot be used: {error}") from None
        if not isinstance(body, dict):
            raise UsageError(f"{job_file} does not hold a JSON object")
    body |= {key: value for key, value in flags.items() if value is not None}
    shape = {key: value for key, value in shape_flags.items() if value is not None}
    if shape or "shape" not in body:
        file_shape = body.get("shape", {})
        body["shape"] = {
            **(file_shape if isinstance(file_shape, dict) else {}),
            **shape,
        }
    if payload_file is not None:
        try:
            body["payload"] = payload_file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{payload_file} cannot be used: {error}") from None
    return body


async def submit_body(client, job_id, body, *, wait_seconds, retry_seconds, is_new_key):
    """Submit until an instance accepts the job; return the answer about the job.

    All requests carry the same idempotency key, so that the job is accepted at most
    once. The outcome ``not_run`` is changed to ``unknown`` if an earlier request, also
    one of an earlier run of this program, may have been accepted.
    """
    started_seconds = time.monotonic()
    may_be_accepted = False
    delay_seconds = RETRY_DELAY_SECONDS
    while True:
        poll_seconds = min(wait_seconds, LONG_POLL_LIMIT_SECONDS)
        outcome = await client.request(
            "POST",
            f"/v1/jobs?wait_seconds={poll_seconds:g}",
            body=body,
            timeout_seconds=poll_seconds + ANSWER_MARGIN_SECONDS,
        )
        answer = _answer_of(outcome, job_id)
        if isinstance(outcome, Unknown):
            may_be_accepted = True
        if isinstance(outcome, Done) and outcome.value.is_after_unknown_attempt:
            may_be_accepted = True
        is_settled = (
            isinstance(outcome, Done)
            and answer["outcome"] in EXIT_BY_OUTCOME
            and not answer.get("retry_after_seconds")
        )
        if is_settled:
            break
        delay_seconds = max(delay_seconds, answer.get("retry_after_seconds") or 0.0)
        pause_seconds = delay_seconds * random.uniform(0.5, 1.5)
        elapsed_seconds = time.monotonic() - started_seconds
        if elapsed_seconds + pause_seconds > retry_seconds:
            break
        await anyio.sleep(pause_seconds)
        delay_seconds = min(2 * delay_seconds, RETRY_DELAY_LIMIT_SECONDS)
    if not is_new_key and answer.get("code") in CODES_WITHOUT_KEY_LOOKUP:
        may_be_accepted = True
    if answer["outcome"] == "not_run" and not answer.get("phase") and may_be_accepted:
        is_bad_input = answer.get("code") == "key_conflict" or answer.get("findings")
        if not is_bad_input:
            reason = (
                f"this request was not run ({answer.get('reason')}); an earlier one"
            )
            answer |= {"outcome": "unknown", "reason": f"{reason} may have been"}
    if answer["outcome"] == "pending" and wait_seconds > 0:
        remaining_seconds = wait_seconds - (time.monotonic() - started_seconds)
        answer = await wait_for_outcome(
            client, job_id, timeout_seconds=max(0.0, remaining_seconds)
        )
    return answer


async def wait_for_outcome(client, job_id, *, timeout_seconds):
    """Poll until the outcome is final or the timeout has passed; return the answer."""
    deadline_seconds = time.monotonic() + timeout_seconds
    delay_seconds = RETRY_DELAY_SECONDS
    while True:
        remaining_seconds = max(0.0, deadline_seconds - time.monotonic())
        poll_seconds = min(remaining_seconds, LONG_POLL_LIMIT_SECONDS)
        outcome = await client.request(
            "GET",
            f"/v1/jobs/{job_id}?wait_seconds={poll_seconds:.3f}",
            timeout_seconds=poll_seconds + ANSWER_MARGIN_SECONDS,
        )
        answer = _answer_of(outcome, job_id)
        # Status 503: the instance cannot read the outcome at present.
        is_answered = isinstance(outcome, Done) and outcome.value.status != 503
        if is_answered and answer["outcome"] != "pending":
            return answer
        remaining_seconds = deadline_seconds - time.monotonic()
        if remaining_seconds <= 0:
            return answer
        if not is_answered:
            await anyio.sleep(min(delay_seconds, remaining_seconds))
            delay_seconds = min(2 * delay_seconds, RETRY_DELAY_LIMIT_SECONDS)


def check_results(answer, *, tasks_count=None):
    """Return the answer, with outcome ``unknown`` if a result is missing or damaged."""
    if answer["outcome"] != "done":
        return answer
    problem = _result_problem(answer.get("results"), tasks_count)
    if not problem:
        return answer
    reason = f"the job is done but its results cannot be used: {problem}"
    return {**answer, "outcome": "unknown", "reason": reason, "results": []}


def _result_problem(results, tasks_count):
    try:
        checked = [TaskResult(**result) for result in results]
        indices = [result.task_index for result in checked]
        damaged = [result.task_index for result in checked if not verify_result(result)]
    except (TypeError, AttributeError, UnicodeEncodeError) as error:
        return f"malformed results: {error}"
    if damaged:
        return f"length or digest differs for tasks {damaged}"
    expected_count = len(indices) if tasks_count is None else tasks_count
    if not indices or indices != list(range(expected_count)):
        return f"results of tasks {indices} instead of {expected_count} tasks"
    return ""


def check_job_id(job_id):
    """Raise `UsageError` unless the text has the form of a job id."""
    is_hex = set(job_id) <= set("0123456789abcdef")
    if len(job_id) != 32 or not is_hex:
        raise UsageError(f"{job_id!r} is not a job id (32 hexadecimal digits)")


def report(answer, findings, *, json):
    """Print an answer and its findings; return the exit code."""
    if json:
        if findings:
            answer = {**answer, "findings": findings}
        print(json_module.dumps(answer, indent=2, ensure_ascii=False))
    else:
        for line in describe_findings(findings):
            print(line, file=sys.stderr)
        for line in describe_answer(answer):
            print(line)
    return EXIT_FINDINGS if findings else EXIT_BY_OUTCOME[answer["outcome"]]


def describe_answer(answer):
    """Return an answer as lines of text."""
    title = answer["outcome"].replace("_", " ")
    details = [answer[key] for key in ("code", "reason") if answer.get(key)]
    if answer.get("attempt"):
        details.append(f"attempt {answer['attempt']}")
    if answer.get("durability"):
        details.append(f"recorded in: {answer['durability']}")
    suffix = f" ({'; '.join(details)})" if details else ""
    job = f"job {answer['job_id']}: " if answer.get("job_id") else ""
    lines = [f"{job}{title}{suffix}"]
    for result in answer.get("results") or ():
        lines.append(
            f"task {result['task_index']}, {result['length_bytes']} bytes, checked:"
            f" {result['body']}"
        )
    return lines


def _urgency(is_urgent):
    return str(Urgency.URGENT if is_urgent else Urgency.PATIENT)


def _answer_of(outcome, job_id):
    """Return the outcome of a request as an answer about the job."""
    if isinstance(outcome, Refused):
        return {
            "job_id": job_id,
            "outcome": "not_run",
            "code": outcome.code,
            "reason": f"no entry instance could be reached: {outcome.message}",
        }
    if isinstance(outcome, Unknown):
        return {"job_id": job_id, "outcome": "unknown", "reason": outcome.message}
    answer = dict(outcome.value.body)
    is_other_job = answer.get("job_id", job_id) != job_id
    if is_other_job or answer.get("outcome", "unknown") not in EXIT_BY_OUTCOME:
        reason = f"answer about another job or in an unexpected form: {answer}"
        return {"job_id": job_id, "outcome": "unknown", "reason": reason}
    return {"job_id": job_id, "outcome": "unknown", **answer}


COMMANDS = [submit, wait, status, cancel]


def main():
    """Run the program and exit with its exit code."""
    sys.exit(defopt.run(COMMANDS, argv=merge_entry_url_flags(sys.argv[1:]), short={}))


if __name__ == "__main__":
    main()
