"""``kingcuptrack-caller``: submits jobs, waits for them and cancels them.

Exit codes: 0 done and checked (for ``cancel``: it did not run); 1 not run (for
``cancel``: it had ended already); 2 bad usage or findings; 3 the job ran and failed;
4 outcome unknown or no instance reachable; 5 pending.
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
from ..state.jobs import TaskResult, Urgency, make_job_id, verify_result
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

# Refusals given without a look for earlier submissions of the key in the table.
CODES_WITHOUT_KEY_LOOKUP = ("unavailable", "unreachable")

# Longest long poll of one request; instances allow 30 s unless set otherwise.
POLL_SECONDS = 10.0
# Time beyond the poll after which a request counts as unanswered.
ANSWER_MARGIN_SECONDS = 10.0
# Cancelling waits for the leases of workers that do not answer.
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
    :param retry_seconds: time in which a submission that no instance took is repeated
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
        # Told before the first request, so that a user who interrupts it can retry.
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
    """Return the body of a submission; raises `UsageError` for unreadable files."""
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
        old_shape = body.get("shape", {})
        body["shape"] = {**(old_shape if isinstance(old_shape, dict) else {}), **shape}
    if payload_file is not None:
        try:
            body["payload"] = payload_file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f"{payload_file} cannot be used: {error}") from None
    return body


async def submit_body(client, job_id, body, *, wait_seconds, retry_seconds, is_new_key):
    """Submit until an instance takes the job; return the answer about it.

    Every repetition carries the same key, so that the job is accepted once. "Not
    run" is passed on only if no earlier try may have been accepted, be it one of
    an earlier run of this program.
    """
    started_seconds = time.monotonic()
    may_be_accepted = False
    delay_seconds = RETRY_DELAY_SECONDS
    while True:
        poll_seconds = min(wait_seconds, POLL_SECONDS)
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
        is_about_key = answer.get("code") == "key_conflict" or answer.get("findings")
        if not is_about_key:
            reason = f"this try was not run ({answer.get('reason')}); an earlier one"
            answer |= {"outcome": "unknown", "reason": f"{reason} may have been"}
    if answer["outcome"] == "pending" and wait_seconds > 0:
        left_seconds = wait_seconds - (time.monotonic() - started_seconds)
        answer = await wait_for_outcome(
            client, job_id, timeout_seconds=max(0.0, left_seconds)
        )
    return answer


async def wait_for_outcome(client, job_id, *, timeout_seconds):
    """Poll until the outcome is final; return the last answer at the deadline."""
    deadline_seconds = time.monotonic() + timeout_seconds
    delay_seconds = RETRY_DELAY_SECONDS
    while True:
        left_seconds = max(0.0, deadline_seconds - time.monotonic())
        poll_seconds = min(left_seconds, POLL_SECONDS)
        outcome = await client.request(
            "GET",
            f"/v1/jobs/{job_id}?wait_seconds={poll_seconds:.3f}",
            timeout_seconds=poll_seconds + ANSWER_MARGIN_SECONDS,
        )
        answer = _answer_of(outcome, job_id)
        # A 503 says that the outcome cannot be read at present.
        is_answered = isinstance(outcome, Done) and outcome.value.status != 503
        if is_answered and answer["outcome"] != "pending":
            return answer
        left_seconds = deadline_seconds - time.monotonic()
        if left_seconds <= 0:
            return answer
        if not is_answered:
            await anyio.sleep(min(delay_seconds, left_seconds))
            delay_seconds = min(2 * delay_seconds, RETRY_DELAY_LIMIT_SECONDS)


def check_results(answer, *, tasks_count=None):
    """Return the answer, as unknown if a result is missing or damaged."""
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
    """Return the lines of text that tell an answer."""
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
    """Return a JSON object about the job for any outcome of a request."""
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
    is_other = answer.get("job_id", job_id) != job_id
    if is_other or answer.get("outcome", "unknown") not in EXIT_BY_OUTCOME:
        reason = f"answer about another job or in another form: {answer}"
        return {"job_id": job_id, "outcome": "unknown", "reason": reason}
    return {"job_id": job_id, "outcome": "unknown", **answer}


COMMANDS = [submit, wait, status, cancel]


def main():
    """Entry point."""
    sys.exit(defopt.run(COMMANDS, argv=merge_entry_url_flags(sys.argv[1:]), short={}))


if __name__ == "__main__":
    main()
