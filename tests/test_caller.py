"""Command-line client of callers: checks of results, and the outcome "not run"."""

import contextlib
import hashlib
import io
import json

import anyio

from kingcuptrack.tools import caller
from kingcuptrack.tools.client import EntryClient

from .support import check, function_tests
from .test_client import LOST, UNREACHABLE, URLS, ScriptedHttpClient, answered

load_tests = function_tests(__name__)

JOB_ID = "ab" * 16


def make_result(task_index, body="ok"):
    """Return a result with the correct length and digest."""
    content = body.encode()
    return {
        "task_index": task_index,
        "body": body,
        "length_bytes": len(content),
        "sha256": hashlib.sha256(content).hexdigest(),
    }


def answer(outcome, status, **fields):
    """Return an answer about the job, as the outcome of an HTTP request."""
    body = {"job_id": JOB_ID, "outcome": outcome, **fields}
    return answered(status, json.dumps(body).encode())


def submit(*outcomes, is_new_key=True, retry_seconds=0.0):
    """Submit to two URLs that give these outcomes; return the answer."""
    http_client = ScriptedHttpClient(*outcomes)
    client = EntryClient(URLS, http_client=http_client)

    async def submit_once():
        return await caller.submit_body(
            client,
            JOB_ID,
            {},
            wait_seconds=0.0,
            retry_seconds=retry_seconds,
            is_new_key=is_new_key,
        )

    return anyio.run(submit_once)


def test_results_are_checked_for_length_digest_and_number():
    """Guards against "done" with damaged, missing or repeated results."""
    good = [make_result(0), make_result(1, "naïve")]
    checked = caller.check_results({"outcome": "done", "results": good}, tasks_count=2)
    check.assertEqual(checked["outcome"], "done")
    bad = {
        "digest": [make_result(0), {**make_result(1), "body": "no"}],
        "length": [make_result(0), {**make_result(1), "length_bytes": 3}],
        "missing": good[:1],
        "repeated": [make_result(0), make_result(0)],
        "malformed": [make_result(0), {"task_index": 1}],
        "none": None,
    }
    for name, results in bad.items():
        done = {"outcome": "done", "results": results}
        checked = caller.check_results(done, tasks_count=2)
        check.assertEqual(checked["outcome"], "unknown", name)


def test_not_run_is_reported_only_if_no_earlier_try_may_have_run():
    """Guards against a false "not run", after which a user submits the job again.

    It comes about when a request is refused although an earlier one, whose answer was
    lost, has been accepted.
    """
    leaving = answer("not_run", 503, code="leaving", reason="this instance is leaving")
    unavailable = answer("not_run", 503, code="unavailable")
    conflict = answer("not_run", 409, code="key_conflict")
    cancelled = answer("not_run", 200, phase="cancelled")
    cases = [
        ((leaving, leaving), True, "not_run"),
        ((LOST, leaving), True, "unknown"),
        ((leaving, leaving), False, "not_run"),
        ((unavailable, unavailable), True, "not_run"),
        ((unavailable, unavailable), False, "unknown"),
        ((UNREACHABLE, UNREACHABLE), True, "not_run"),
        ((UNREACHABLE, UNREACHABLE), False, "unknown"),
        ((conflict,), False, "not_run"),
        ((LOST, cancelled), False, "not_run"),
        ((answer("done", 200, job_id="0" * 32),), True, "unknown"),
    ]
    for outcomes, is_new_key, expected in cases:
        seen = submit(*outcomes, is_new_key=is_new_key)
        check.assertEqual(seen["outcome"], expected, outcomes)
    # The retry of both URLs still counts the lost answers of the first requests.
    seen = submit(LOST, LOST, leaving, retry_seconds=0.35)
    check.assertEqual(seen["outcome"], "unknown")
    check.assertIn("this instance is leaving", seen["reason"])


def test_durations_that_never_pass_are_bad_usage():
    """Guards against a wait that never ends because NaN compares as false."""
    for seconds in (float("nan"), -1.0):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            exit_code = caller.wait(JOB_ID, timeout_seconds=seconds, entry_url=URLS)
        check.assertEqual(exit_code, 2)
        check.assertIn("--timeout-seconds", errors.getvalue())


def test_findings_are_reported_before_anything_is_sent():
    """Guards against a non-repeatable job without a key that a retry could find."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exit_code = caller.submit(
            organisation="sales",
            tasks_count=1,
            repeatable=False,
            entry_url=["http://127.0.0.1:9"],
            json=True,
        )
    check.assertEqual(exit_code, 2)
    findings = json.loads(output.getvalue())["findings"]
    check.assertEqual([finding["key"] for finding in findings], ["idempotency_key"])
