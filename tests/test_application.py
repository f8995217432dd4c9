"""Bad input at the caller and operator interfaces of a running entry daemon."""

import http.client
import json
import socket

from .deployment import start_deployment
from .entry_requests import (
    ORGANISATIONS,
    PLANS,
    apply_lists,
    make_job,
    submit,
    wait_placers,
)
from .support import check, function_tests

load_tests = function_tests(__name__)

UNKNOWN_JOB = "0" * 32
SURROGATE = make_job("x")["payload"] + "\ud800"


def job(**changes):
    """Return a changed submission as bytes."""
    return json.dumps({**make_job("key"), **changes}).encode()


def lists(organisations=ORGANISATIONS, plans=PLANS, **fields):
    """Return the body of a change of the lists as bytes."""
    body = {"organisations": organisations, "plans": plans, **fields}
    return json.dumps({"expected_version": 1, **body}).encode()


def plan_named(name):
    """Return a change whose plan list has one plan of this name."""
    return lists("", PLANS.replace("[plan studio]", f"[plan {name}]"))


HUGE_SHAPE = {"accelerators_count": 9, "cores_count": 1, "memory_bytes": 1}
JOBS, CONFIGURATION = "/v1/jobs", "/v1/configuration"

# Method, path, body, status, outcome, part of the answer.
CASES = [
    ("POST", JOBS, b"{", 422, "not_run", "not valid JSON"),
    ("POST", JOBS, b"", 422, "not_run", "not valid JSON"),
    ("POST", JOBS, b"[1]", 422, "not_run", "must be a JSON object"),
    ("POST", JOBS, b"[" * 100_000, 422, "not_run", "nested too deeply"),
    ("POST", JOBS, b'{"a":' * 100_000, 422, "not_run", "nested too deeply"),
    ("POST", JOBS, b'{"organisation": "\xff"}', 422, "not_run", "not UTF-8"),
    ("POST", JOBS, job().decode().encode("utf-16"), 422, "not_run", "not UTF-8"),
    ("POST", JOBS, b'{"tasks_count":' + b"9" * 5000, 422, "not_run", "not valid JSON"),
    ("POST", JOBS, b'{"payload": "", "payload": "x"}', 422, "not_run", "repeated keys"),
    ("POST", JOBS, job(colour="red"), 422, "not_run", "colour"),
    ("POST", JOBS, job(tasks_count="2"), 422, "not_run", "a whole number"),
    ("POST", JOBS, job(shape=[]), 422, "not_run", "a JSON object"),
    ("POST", JOBS, job(urgency="soon"), 422, "not_run", "urgent, patient"),
    ("POST", JOBS, job(tasks_count=0), 422, "not_run", "1 to 256"),
    ("POST", JOBS, job(declared_run_seconds=1e999), 422, "not_run", "0 to 2592000"),
    ("POST", JOBS, job(shape={"accelerators_count": -1}), 422, "not_run", "shape."),
    ("POST", JOBS, job(shape=HUGE_SHAPE), 422, "not_run", "never_fits"),
    ("POST", JOBS, job(organisation="nobody"), 422, "not_run", "unknown_organisation"),
    ("POST", JOBS, job(organisation="a\0b"), 422, "not_run", "control characters"),
    ("POST", JOBS, job(organisation="a" * 65), 422, "not_run", "64 characters"),
    ("POST", JOBS, job(idempotency_key="a\nb"), 422, "not_run", "control characters"),
    ("POST", JOBS, job(idempotency_key="k" * 257), 422, "not_run", "256 bytes"),
    ("POST", JOBS, job(idempotency_key="\ud800"), 422, "not_run", "surrogate"),
    ("POST", JOBS, job(payload=SURROGATE), 422, "not_run", "surrogate"),
    ("POST", JOBS, job(payload="x" * 300_000), 422, "not_run", "262144 bytes"),
    ("POST", JOBS, b"x" * 1_100_000, 413, "not_run", "1048576"),
    ("POST", JOBS + "?wait_seconds=soon", job(), 422, "not_run", "wait_seconds"),
    ("POST", JOBS + "?wait_seconds=31", job(), 422, "not_run", "0 to 30"),
    ("GET", f"{JOBS}/{UNKNOWN_JOB}?wait_seconds=nan", b"", 422, None, "wait_seconds"),
    ("GET", f"{JOBS}/{UNKNOWN_JOB}", b"", 404, "unknown", "no such job"),
    ("GET", f"{JOBS}/no%00such%3Fjob", b"", 404, "unknown", "32 hexadecimal"),
    ("DELETE", f"{JOBS}/{UNKNOWN_JOB}", b"", 404, "unknown", "no such job"),
    ("DELETE", f"{JOBS}/{'f' * 5000}", b"", 404, "unknown", "32 hexadecimal"),
    ("PUT", CONFIGURATION, b"{", 422, "not_recorded", "not valid JSON"),
    ("PUT", CONFIGURATION, b"\xff", 422, "not_recorded", "not UTF-8"),
    ("PUT", CONFIGURATION, lists(plans=3), 422, "not_recorded", "a string"),
    ("PUT", CONFIGURATION, lists(plans="\ud800"), 422, "not_recorded", "surrogate"),
    ("PUT", CONFIGURATION, lists(plans="x = 1"), 422, "not_recorded", "section"),
    ("PUT", CONFIGURATION, lists("[organisation a]"), 422, "not_recorded", "missing"),
    ("PUT", CONFIGURATION, plan_named("p" * 65), 422, "not_recorded", "longer than 64"),
    ("PUT", CONFIGURATION, plan_named("p\0q"), 422, "not_recorded", "control"),
    ("PUT", CONFIGURATION, b"x" * 1_100_000, 413, "not_recorded", "1048576"),
    ("PUT", CONFIGURATION, lists(expected_version=7), 409, "not_recorded", "conflict"),
    ("POST", CONFIGURATION + "/check", b"[]", 422, None, "must be a JSON object"),
    ("POST", "/v1/data-centres/accra/out", b"", 404, "not_recorded", "accra"),
    ("POST", "/v1/data-centres/accra/in", b"", 404, "not_recorded", "accra"),
    ("POST", f"/v1/data-centres/{'a' * 5000}/in", b"", 404, "not_recorded", "unknown"),
    ("GET", "/v1/nothing", b"", 404, None, "no_such_call"),
    ("PATCH", JOBS, b"", 405, None, "no_such_call"),
]


def request(entry, method, path, body):
    """Send raw bytes; return the status, the JSON answer and its text."""
    connection = http.client.HTTPConnection("127.0.0.1", entry.http_port, timeout=10)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    return response.status, json.loads(text), text


def test_every_bad_input_gets_its_own_true_error():
    """Guards against internal errors, dropped input and false outcomes."""
    with start_deployment(
        data_centres=("kumasi",), entries_count=1, workers_count=2
    ) as deployment:
        (entry,) = deployment.running_entries()
        # Without lists, every organisation is unknown.
        status, answer = submit(entry, make_job("early"))
        check.assertEqual((status, answer["code"]), (422, "unknown_organisation"))
        apply_lists(deployment)
        wait_placers(deployment)
        for method, path, body, status, outcome, part in CASES:
            case = f"{method} {path[:60]} {body[:60]!r}"
            seen_status, answer, text = request(entry, method, path, body)
            check.assertEqual(seen_status, status, f"{case}: {text[:300]}")
            check.assertEqual(answer.get("outcome"), outcome, f"{case}: {text[:300]}")
            check.assertIn(part, text, case)
            check.assertLess(len(text), 12_000, case)
        _check_key_conflict(entry)
        _check_broken_requests(entry)
        check.assertNotIn("Traceback", entry.process.log_text())
        check.assertEqual(deployment.worker_journal()[0]["event"], "reserve")


def _check_key_conflict(entry):
    body = make_job("batch", is_repeatable=False)
    status, first = submit(entry, body, wait_seconds=10)
    check.assertEqual((status, first["outcome"]), (200, "done"), first)
    status, answer = submit(entry, {**body, "tasks_count": 1})
    check.assertEqual((status, answer["code"]), (409, "key_conflict"))
    check.assertEqual(submit(entry, body)[1], first)


def _check_broken_requests(entry):
    """Send malformed and incomplete requests; the daemon must keep answering."""
    head = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\n"
    for raw in (
        b"\x00\x01\x02\r\n\r\n",
        head + b"content-length: 100\r\n\r\n{",
        head + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    ):
        with socket.create_connection(("127.0.0.1", entry.http_port), 5) as client:
            client.sendall(raw)
    check.assertTrue(entry.is_ready())
