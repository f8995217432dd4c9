"""The emulated workers: tokens, leases, capacity, results and faults."""

import contextlib
import hashlib
import json
import tempfile
import time

from emulator.service import RequestError
from emulator.workers import make_workers

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
SHAPE = {
    "accelerators_count": 4,
    "cores_count": 1,
    "memory_bytes": 1000,
    "connections_count": 1,
}
CAPACITY = {
    "accelerators_count": 8,
    "cores_count": 32,
    "memory_bytes": 64_000_000_000,
    "connections_count": 64,
    "slots_count": 8,
}


def make_worker():
    """Return a worker with 8 accelerators and its journal."""
    journal = []
    workers = make_workers(
        data_centre="x",
        count=1,
        capacity=CAPACITY,
        workers_per_rack=8,
        usage_lag_seconds=1.0,
        journal=journal,
    )
    return workers["x-worker-00"], journal


def reserve(worker, now_seconds, **changes):
    """Reserve one task of job ``j`` with token 1 and a lease of 10 s."""
    values = {
        "job_id": "j",
        "token": 1,
        "holder": "h",
        "task_indices": [0],
        "shape": SHAPE,
        "lease_seconds": 10.0,
        "details": {},
    }
    return worker.reserve(**(values | changes), now_seconds=now_seconds)


def start(worker, now_seconds, *, token=1, holder="h", run_seconds=1.0, **payload):
    """Start job ``j``."""
    return worker.start(
        job_id="j",
        token=token,
        holder=holder,
        payload=json.dumps({"run_seconds": run_seconds, **payload}),
        run_seconds_limit=20.0,
        fails=False,
        now_seconds=now_seconds,
    )


def check_refused(code, function, *args, **kwargs):
    """Check that a call is refused with status 409 and a code."""
    with check.assertRaises(RequestError) as caught:
        function(*args, **kwargs)
    check.assertEqual((caught.exception.status, caught.exception.code), (409, code))


def events_of(journal, event):
    """Return (token, task indices) of the events of one kind."""
    return [
        (entry["token"], entry["task_indices"])
        for entry in journal
        if entry["event"] == event
    ]


def test_tokens_and_holders_are_fenced():
    """Guards against starts by delayed or duplicate messages of an older attempt."""
    worker, journal = make_worker()
    reserve(worker, 0.0, token=2)
    reserve(worker, 0.0, token=2)
    check_refused("stale_token", reserve, worker, 0.0, token=1)
    check_refused("other_holder", reserve, worker, 0.0, token=2, holder="g")
    check_refused("other_holder", start, worker, 0.0, token=2, holder="g")
    check_refused("not_reserved", start, worker, 0.0, token=3)
    start(worker, 0.0, token=2)
    start(worker, 0.5, token=2)
    worker.stop(job_id="j", token=2, now_seconds=0.6)
    check_refused("stale_token", start, worker, 0.7, token=2)
    check_refused("stale_token", reserve, worker, 0.7, token=2)
    worker.stop(job_id="j", token=5, now_seconds=0.7)
    check_refused("stale_token", reserve, worker, 0.8, token=5)
    reserve(worker, 0.8, token=6)
    worker.advance(9.0)
    check.assertEqual(events_of(journal, "task_start"), [(2, [0])])
    check.assertEqual(events_of(journal, "task_effect"), [])


def test_newer_token_ends_the_older_attempt():
    """Guards against two attempts of a job that run on a worker at the same time."""
    worker, journal = make_worker()
    reserve(worker, 0.0, task_indices=[0, 1])
    start(worker, 0.0)
    reserve(worker, 0.5, token=2, task_indices=[0, 1])
    start(worker, 0.5, token=2)
    worker.advance(2.0)
    check.assertEqual(events_of(journal, "stop"), [(1, [0, 1])])
    check.assertEqual(events_of(journal, "task_effect"), [(2, [0, 1])])


def test_capacity_is_granted_once_and_returned():
    """Guards against overcommitted accelerators and against leaked capacity."""
    worker, _ = make_worker()
    reserve(worker, 0.0, task_indices=[0, 1])
    check_refused("no_capacity", reserve, worker, 0.0, job_id="k")
    worker.advance(10.0)
    reserve(worker, 10.0, job_id="k", task_indices=[0, 1])
    worker.stop(job_id="k", token=1, now_seconds=10.0)
    none = dict.fromkeys(SHAPE, 0)
    reserve(worker, 10.0, job_id="m", shape=none, task_indices=list(range(8)))
    check_refused("no_capacity", reserve, worker, 10.0, job_id="n", shape=none)
    worker.is_leaving = True
    check_refused("leaving", reserve, worker, 10.0, job_id="n")


def test_unrenewed_lease_lapses_before_its_tasks_take_effect():
    """Guards against an effect after the end of the lease if the process was paused."""
    worker, journal = make_worker()
    reserve(worker, 0.0)
    start(worker, 0.0)
    worker.advance(11.0)
    check.assertEqual(events_of(journal, "lapse"), [(1, [0])])
    check.assertEqual(events_of(journal, "task_effect"), [])
    check_refused("lapsed", reserve, worker, 11.0)
    reserve(worker, 11.0, token=2)
    start(worker, 11.0, token=2, run_seconds=12.0)
    for now_seconds in (15.0, 20.0):
        key = {"job_id": "j", "token": 2, "holder": "h", "lease_seconds": 10.0}
        worker.renew(**key, now_seconds=now_seconds)
        check.assertIsNone(
            worker.renew(**{**key, "holder": "g"}, now_seconds=now_seconds)
        )
    check.assertEqual(worker.next_due_seconds(), 23.0)
    worker.advance(23.0)
    check.assertEqual(events_of(journal, "task_effect"), [(2, [0])])


def test_result_names_its_task_until_forgotten():
    """Guards against results that tests cannot assign to a job and task."""
    worker, _ = make_worker()
    reserve(worker, 0.0, task_indices=[3, 7])
    start(worker, 0.0, result="abc", result_bytes=200)
    worker.advance(1.0)
    worker.advance(100.0)
    _, task = worker.find_result(job_id="j", token=1, task_index=7)
    expected = {"job_id": "j", "task_index": 7, "result": "abc"}
    check.assertEqual(json.loads(task.body), expected)
    check.assertEqual((len(task.body), task.length_bytes), (200, 200))
    check.assertEqual(task.sha256, hashlib.sha256(task.body.encode()).hexdigest())
    worker.forget(job_id="j", token=1, now_seconds=101.0)
    check_refused("not_reserved", worker.find_result, job_id="j", token=1, task_index=7)
    check_refused("stale_token", reserve, worker, 101.0)


def test_checkpoint_throttle_and_limit():
    """Guards against lost progress, ineffective throttling and tasks without an end."""
    worker, journal = make_worker()
    reserve(worker, 0.0, lease_seconds=1000.0)
    start(worker, 0.0, run_seconds=6.0)
    worker.checkpoint(job_id="j", token=1, now_seconds=4.0)
    reserve(worker, 5.0, token=2, lease_seconds=1000.0)
    start(worker, 5.0, token=2, run_seconds=6.0)
    worker.throttle(job_id="j", token=2, factor=0.5, now_seconds=6.0)
    check.assertAlmostEqual(worker.next_due_seconds(), 8.0)
    worker.advance(8.0)
    check.assertEqual(events_of(journal, "task_effect"), [(2, [0])])
    reserve(worker, 10.0, token=3, lease_seconds=1000.0)
    start(worker, 10.0, token=3, run_seconds=100.0, usage_factor=2.0)
    check.assertEqual(worker.usage(10.5)["accelerators_count"], 0)
    check.assertEqual(worker.usage(11.0)["accelerators_count"], 8)
    worker.advance(30.0)
    check.assertEqual(events_of(journal, "task_failed"), [(3, [0])])


@contextlib.contextmanager
def running_workers():
    """Start a platform and two workers; yield (process, entries, call, control).

    ``process`` is that of the workers, ``entries`` returns the instance list, ``call``
    sends a request to a worker, and ``control`` a control request.
    """
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        ports = stack.enter_context(contextlib.closing(PortPool()))
        platform_port, port = ports.reserve(), ports.reserve()
        url = f"http://127.0.0.1:{platform_port}"
        for name, arguments in (
            ("platform", ("--port", platform_port, "--lag-seconds", 0)),
            (
                "workers",
                ("--port", port, "--data-centre", "x", "--count", 2)
                + ("--platform-url", url),
            ),
        ):
            process = start_process(
                name, f"emulator.{name}", *arguments, log_directory=directory
            )
            stack.enter_context(contextlib.closing(process))

        def entries():
            return request_json("GET", f"{url}/v1/instances")[1]["instances"]

        addresses = wait_until(
            lambda: len(entries()) == 2 and [entry["address"] for entry in entries()],
            "workers are listed",
        )

        def call(operation, body=None, *, worker=0, **kwargs):
            method = "GET" if body is None else "POST"
            target = f"{addresses[worker]}/v1/{operation}"
            return request_json(method, target, body, **kwargs)

        def control(path, body=None):
            method = "GET" if body is None else "POST"
            target = f"http://127.0.0.1:{port}/control/{path}"
            return request_json(method, target, body)

        yield process, entries, call, control


KEY = {"job_id": "j", "token": 1, "holder": "h"}
RESERVE = {
    **KEY,
    "task_indices": [0],
    "shape": SHAPE,
    "lease_seconds": 1.0,
    "details": {"a": 1},
}


def test_worker_faults_over_http():
    """Guards against a fault mode of workers without the effect that tests rely on."""
    with running_workers() as (_, entries, call, control):

        def set_fault(mode, **fields):
            control("faults", {"worker_id": "x-worker-00", "mode": mode, **fields})

        check.assertEqual(call("reserve", {**RESERVE, "shape": {}})[0], 400)
        set_fault("lose_response", operation="reserve", count=1)
        with check.assertRaises(NO_ANSWER_ERRORS):
            call("reserve", RESERVE)
        gangs = call("state")[1]["gangs"]
        check.assertEqual([gang["details"] for gang in gangs], [{"a": 1}])
        set_fault("vanish")
        with check.assertRaises(NO_ANSWER_ERRORS):
            call("state")
        check.assertEqual(call("state", worker=1)[0], 200)
        set_fault("up")
        call("reserve", {**RESERVE, "token": 2})
        set_fault("fail_starts", count=1)
        status, gang = call("start", {**KEY, "token": 2, "payload": ""})
        check.assertEqual((status, gang["phase"]), (200, "failed"))
        call("reserve", {**RESERVE, "token": 3})
        set_fault("unstoppable")
        check.assertEqual(call("stop", {"job_id": "j", "token": 3})[0], 503)
        set_fault("up")
        status, gang = call("start", {**KEY, "token": 3, "payload": ""})
        check.assertEqual(gang["phase"], "finished")
        set_fault("corrupt_result", count=1)
        path = "result?job_id=j&token=3&task_index=0"
        bad, good = call(path)[1], call(path)[1]
        check.assertNotEqual(bad["body"], good["body"])
        check.assertEqual(bad["sha256"], good["sha256"])
        set_fault("leaving")
        wait_until(lambda: entries()[0]["state"] == "leaving", "worker is leaving")
        check.assertEqual(
            call("reserve", {**RESERVE, "token": 4})[1]["code"], "leaving"
        )
        incarnation = call("state")[1]["incarnation"]
        set_fault("restart_empty")
        state = call("state")[1]
        check.assertEqual(state["gangs"], [])
        check.assertNotEqual(state["incarnation"], incarnation)


def test_leases_lapse_over_http_and_while_paused():
    """Guards against leases that lapse only at the next request, or never."""
    with running_workers() as (process, _, call, control):

        def events(kind):
            journal = control("journal")[1]["events"]
            return [event for event in journal if event["event"] == kind]

        call("reserve", RESERVE)
        lapse = wait_until(lambda: events("lapse"), "the reservation lapses")[0]
        reserved = events("reserve")[0]
        check.assertEqual(lapse["details"], {"a": 1})
        lapsed_after_seconds = lapse["time_seconds"] - reserved["time_seconds"]
        check.assertAlmostEqual(lapsed_after_seconds, 1.0, delta=0.3)
        call("reserve", {**RESERVE, "token": 2})
        payload = json.dumps({"run_seconds": 0.8})
        call("start", {**KEY, "token": 2, "payload": payload})
        process.pause()
        time.sleep(1.3)
        process.resume()
        wait_until(lambda: len(events("lapse")) == 2, "the paused gang lapses")
        check.assertEqual(events("task_effect"), [])
