"""The deployment fixture, without entry daemons."""

from .deployment import start_deployment
from .support import NO_ANSWER_ERRORS, check, function_tests, request_json

load_tests = function_tests(__name__)


def test_stand_ins_start_behind_routes_and_end():
    """Guards against links that bypass the proxy and against processes left behind."""
    with start_deployment(entries_count=0, is_proxied=True, lag_seconds=0) as running:
        check.assertEqual(len(running.instances("worker")), 24)
        address = running.instances("worker")[0]["address"]
        check.assertEqual(request_json("GET", f"{address}/v1/state")[0], 200)
        statistics = running.proxy.send("statistics")
        check.assertEqual(statistics["kumasi>workers"]["accepted_count"], 1)
        port = statistics["kumasi>platform"]["listen_port"]
        url = f"http://127.0.0.1:{port}/v1/instances"
        check.assertEqual(request_json("GET", url)[0], 200)
        running.isolate("kumasi")
        with check.assertRaises(NO_ANSWER_ERRORS):
            request_json("GET", url, timeout_seconds=0.3)
        running.isolate("kumasi", mode="pass")
        check.assertEqual(request_json("GET", url)[0], 200)
        running.set_worker_fault("kumasi", "restart_empty")
        check.assertEqual(
            [e["event"] for e in running.worker_journal()], ["restart"] * 8
        )
    check.assertFalse(any(process.is_running for process in running.processes))
    check.assertFalse(running.directory.exists())
