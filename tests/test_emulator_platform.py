"""The emulated platform: compare-and-set, list lag and faults."""

import contextlib
import tempfile

from .support import (
    NO_ANSWER_ERRORS,
    PortPool,
    check,
    function_tests,
    request_json,
    start_process,
    wait_until,
)

load_tests = function_tests(__name__)
LAG_SECONDS = 0.3


@contextlib.contextmanager
def running_platform():
    """Start the emulated platform; yield a function that sends it a request."""
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        ports = stack.enter_context(contextlib.closing(PortPool()))
        port = ports.reserve()
        arguments = ("--port", port, "--lag-seconds", LAG_SECONDS)
        process = start_process(
            "platform", "emulator.platform", *arguments, log_directory=directory
        )
        stack.enter_context(contextlib.closing(process))

        def call(method, path, body=None, **kwargs):
            return request_json(
                method, f"http://127.0.0.1:{port}{path}", body, **kwargs
            )

        wait_until(lambda: call("GET", "/v1/instances"), "platform answers")
        yield call


def write_row(call, key, expected_version, value, **kwargs):
    """Compare and set a row of table ``jobs``."""
    body = {"expected_version": expected_version, "value": value}
    return call("PUT", f"/v1/tables/jobs/rows/{key}", body, **kwargs)


def test_rows_are_compared_and_set():
    """Guards against lost updates and against wrong pages of rows."""
    with running_platform() as call:
        check.assertEqual(write_row(call, "a/1", 0, "x"), (200, {"version": 1}))
        conflict = (409, {"version": 1, "value": "x"})
        check.assertEqual(write_row(call, "a/1", 0, "y"), conflict)
        check.assertEqual(write_row(call, "a/1", 1, "y"), (200, {"version": 2}))
        check.assertEqual(
            call("GET", "/v1/tables/jobs/rows/a/1"), (200, {"version": 2, "value": "y"})
        )
        check.assertEqual(call("GET", "/v1/tables/jobs/rows/none")[0], 404)
        check.assertEqual(call("PUT", "/v1/tables/jobs/rows/a", {"value": 1})[0], 400)
        for key in ("b", "a/3", "a/2"):
            write_row(call, key, 0, key)
        _, answer = call("GET", "/v1/tables/jobs/rows?prefix=a/&after=a/1&limit=5")
        check.assertEqual([row["key"] for row in answer["rows"]], ["a/2", "a/3"])
        _, journal = call("GET", "/control/journal?after=1")
        check.assertEqual(
            [event["sequence"] for event in journal["events"]], [2, 3, 4, 5]
        )
        _, statistics = call("GET", "/control/statistics")
        check.assertEqual(statistics["table_conflicts_count"], 1)


def test_instance_list_lags():
    """Guards against tests of clients in which the instance list never lags."""
    entry = {"kind": "entry", "data_centre": "x", "address": "a:1", "state": "live"}
    with running_platform() as call:

        def listed():
            return call("GET", "/v1/instances")[1]["instances"]

        call("PUT", "/v1/instances/e1", entry)
        check.assertEqual(listed(), [])
        expected = {"instance_id": "e1", **entry}
        wait_until(lambda: listed() == [expected], "entry is listed")
        call("DELETE", "/control/instances/e1")
        check.assertEqual(listed(), [expected])
        wait_until(lambda: listed() == [], "entry is removed")


def test_faults_apply_or_withhold_the_write():
    """Guards against a fault mode that leaves the table in the wrong state."""
    with running_platform() as call:

        def set_fault(mode, **fields):
            call(
                "POST", "/control/faults", {"service": "table", "mode": mode, **fields}
            )

        def version_of(key):
            return call("GET", f"/v1/tables/jobs/rows/{key}")[1].get("version", 0)

        set_fault("down", count=1)
        check.assertEqual(write_row(call, "a", 0, 1)[0], 503)
        set_fault("down", count=1, closes_connection=True)
        with check.assertRaises(NO_ANSWER_ERRORS):
            write_row(call, "a", 0, 1)
        check.assertEqual(version_of("a"), 0)
        set_fault("lose_response", count=1, method="PUT")
        with check.assertRaises(NO_ANSWER_ERRORS):
            write_row(call, "a", 0, 1)
        check.assertEqual(version_of("a"), 1)
        set_fault("late", count=1, method="PUT", delay_seconds=0.4)
        with check.assertRaises(NO_ANSWER_ERRORS):
            write_row(call, "a", 1, 2, timeout_seconds=0.1)
        check.assertEqual(version_of("a"), 2)
        set_fault("slow", count=1, method="PUT", delay_seconds=0.4)
        with check.assertRaises(NO_ANSWER_ERRORS):
            write_row(call, "a", 2, 3, timeout_seconds=0.1)
        check.assertEqual(version_of("a"), 2)
        wait_until(lambda: version_of("a") == 3, "the abandoned write is applied")


def test_faults_select_callers():
    """Guards against a fault of one data centre that affects the others."""
    with running_platform() as call:
        body = {"service": "all", "mode": "down", "data_centre": "x"}
        call("POST", "/control/faults", body)
        headers = {"x-data-centre": "x"}
        check.assertEqual(write_row(call, "a", 0, 1, headers=headers)[0], 503)
        check.assertEqual(write_row(call, "a", 0, 1)[0], 200)
        call("POST", "/control/faults", {**body, "mode": "up"})
        check.assertEqual(write_row(call, "a", 1, 1, headers=headers)[0], 200)
        check.assertEqual(call("POST", "/control/faults", {"mode": "odd"})[0], 400)
