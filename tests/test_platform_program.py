"""The program as processes, against the emulator of the users' platform."""

import base64
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpcore

from kingcuptrack.coordination.ports import StoreLimits

from .platform_deployment import make_configuration, make_job, start_platform_deployment
from .support import ROOT, check, function_tests, request_json, wait_until
from .test_platform_workers import make_odd_entries

load_tests = function_tests(__name__)

JOB_ID = "00000000000000{:02x}".format
FINISH_SECONDS = 20.0


def _wait_for_state(instance, path, state):
    def has_state():
        status, answer = instance.send_request("GET", path)
        return status == 200 and answer["state"] == state

    wait_until(has_state, f"{path} is {state}", timeout_seconds=FINISH_SECONDS)


def test_serve_callers():
    """Guards against faults in the whole path of a request, from socket to workers."""
    with start_platform_deployment() as deployment:
        first, second = deployment.instances
        path = f"/urgent/{JOB_ID(1)}"
        check.assertEqual(first.send_request("POST", path, make_job(gang=True))[0], 200)
        # The same id and body at another instance is a retry, not a second job.
        check.assertEqual(
            second.send_request("POST", path, make_job(gang=True))[0], 200
        )
        check.assertEqual(second.send_request("POST", path, make_job(tasks=3))[0], 409)
        _wait_for_state(second, path, "completed")
        _check_rejections(first)
        _check_bad_input(first)
        _check_cancel(deployment)
        _check_metrics(first)
        _check_command_line(deployment)


def _check_rejections(instance):
    path = f"/urgent/{JOB_ID(2)}"
    check.assertEqual(instance.send_request("GET", path)[0], 410)
    check.assertEqual(instance.send_request("DELETE", path)[0], 410)
    check.assertEqual(instance.send_request("GET", path, key="wrong")[0], 401)
    check.assertEqual(instance.send_request("GET", path, host="other.example")[0], 404)
    check.assertEqual(instance.send_request("GET", f"/nowhere/{JOB_ID(2)}")[0], 404)
    check.assertEqual(instance.send_request("GET", "/urgent/"), (200, {"pending": 0}))


def _check_bad_input(instance):
    path = f"/urgent/{JOB_ID(3)}"
    cases = [
        ({"steps": []}, 400),
        ({"steps": "none"}, 400),
        ({"steps": [{"count": 0}]}, 400),
        ({"steps": [{"count": 10**9}]}, 400),
        ({"steps": [{"count": 1, "after": [0]}]}, 400),
        ({"steps": [{"count": 1, "cpu": -5}]}, 400),
        ({"steps": [{"count": 1, "gpu": 9}]}, 422),
        ({"steps": [{"count": 1, "requirements": "no-such-label"}]}, 422),
        ({"steps": [{"count": 1}], "spec": "x" * 5000}, 413),
        ({"steps": [{"count": 1}], "times": -1}, 400),
    ]
    for body, expected_status in cases:
        status, answer = instance.send_request("POST", path, body)
        check.assertEqual(status, expected_status, f"{str(body)[:60]}: {answer}")
        check.assertTrue(answer["error"])
    check.assertEqual(
        instance.send_request("POST", "/urgent/not-an-id", make_job())[0], 400
    )
    check.assertEqual(instance.send_request("PUT", path, make_job())[0], 405)
    # None of the rejected requests has created a job.
    check.assertEqual(instance.send_request("GET", path)[0], 410)


def _check_cancel(deployment):
    first, second = deployment.instances
    path = f"/batch/{JOB_ID(4)}"
    check.assertEqual(first.send_request("POST", path, make_job(seconds=60))[0], 200)
    _wait_for_state(second, path, "running")
    check.assertEqual(second.send_request("DELETE", path)[0], 200)
    check.assertEqual(first.send_request("DELETE", path)[0], 200)
    _wait_for_state(first, path, "cancelled")


def _check_command_line(deployment):
    first = deployment.instances[0]
    environment = {"KINGCUPTRACK_BOOT": str(first.settings_path)}

    def command(*arguments, exit_code=0):
        completed = subprocess.run(
            [sys.executable, "-m", "kingcuptrack.platform", *arguments],
            cwd=ROOT,
            env={**os.environ, **environment},
            capture_output=True,
            text=True,
            timeout=FINISH_SECONDS,
        )
        check.assertEqual(completed.returncode, exit_code, completed.stderr)
        return completed.stdout + completed.stderr

    status = command("status")
    check.assertIn("configuration: version 1", status)
    check.assertIn("leads in epoch 1", status)
    check.assertRegex(status, r"cancelled +1")
    check.assertIn("job 0000000000000001: completed", command("job", JOB_ID(1)))
    check.assertIn("is stored", command("job", JOB_ID(99), exit_code=1))
    check.assertIn("are usable", command("check"))
    _check_configuration_check(deployment, command)
    environment["KINGCUPTRACK_BOOT"] = "/nonexistent.json"
    check.assertIn("cannot be read", command("check", exit_code=2))


def _check_configuration_check(deployment, command):
    """The command compares a file with the configuration and the workers of a store."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "config.json"
        path.write_text(json.dumps(make_configuration(2, keys=())), encoding="utf-8")
        settings = json.loads(deployment.instances[0].settings_path.read_text())
        store = settings["platform"]["address"]
        output = command("check-config", str(path), "--store", store)
    check.assertIn("[organisation acme] keys: warning: no key", output)
    check.assertIn("callers refused: organisation acme, keys removed", output)


def _check_metrics(instance):
    with httpcore.ConnectionPool() as pool:
        text = pool.request("GET", instance.metrics_url).content.decode()
    check.assertIn('kingcuptrack_requests_total{kind="submit",outcome="200"}', text)
    check.assertIn("kingcuptrack_latency_seconds_bucket", text)


def test_leader_killed_while_a_job_runs():
    """Guards against jobs that are lost or run again when the leader is killed."""
    with start_platform_deployment() as deployment:
        path = f"/batch/{JOB_ID(5)}"
        first, second = deployment.instances
        check.assertEqual(first.send_request("POST", path, make_job(seconds=4))[0], 200)
        _wait_for_state(second, path, "running")
        leader, other = first, second
        if '"outcome": "taken"' not in first.process.log_text():
            leader, other = second, first
        leader.process.kill()
        _wait_for_state(other, path, "completed")
        starts = [
            json.loads(line)
            for instance in deployment.instances
            for line in instance.process.log_text().splitlines()
            if '"event": "start"' in line
        ]
        check.assertEqual([start["run"] for start in starts], [1, 1])


def test_stop_answers_every_request():
    """Guards against requests that fail during a graceful stop."""
    with start_platform_deployment() as deployment:
        leaving, other = deployment.instances
        leaving.process.terminate()
        begun_at = time.monotonic()
        answered_count = 0
        while time.monotonic() - begun_at < 2.0:
            path = f"/batch/{answered_count:016x}"
            check.assertEqual(leaving.send_request("POST", path, make_job())[0], 200)
            answered_count += 1
            time.sleep(0.05)
        check.assertGreater(answered_count, 5)
        check.assertFalse(leaving.is_ready())
        leaving.process.popen.wait(6.0)
        check.assertEqual(leaving.process.popen.returncode, 0)
        for number in range(answered_count):
            _wait_for_state(other, f"/batch/{number:016x}", "completed")


def test_configuration_key_and_settings_changes():
    """Guards against revoked keys that stay valid, and settings not reloaded."""
    with start_platform_deployment(instances_count=1) as deployment:
        instance = deployment.instances[0]
        deployment.set_configuration(make_configuration(2, keys=("key-2",)))
        path = f"/urgent/{JOB_ID(6)}"
        # A submission is accepted only under the stored configuration, so a key that
        # the newest one lacks is rejected at once.
        check.assertEqual(instance.send_request("POST", path, make_job())[0], 401)
        check.assertEqual(
            instance.send_request("POST", path, make_job(), key="key-2")[0], 200
        )
        settings = json.loads(instance.settings_path.read_text(encoding="utf-8"))
        settings["bounds"]["grace_s"] = 7
        instance.settings_path.write_text(json.dumps(settings), encoding="utf-8")
        instance.process.popen.send_signal(signal.SIGHUP)
        wait_until(
            lambda: '"changed": ["stop_seconds"]' in instance.process.log_text(),
            "the reload is logged",
        )
        instance.settings_path.write_text("{", encoding="utf-8")
        instance.process.popen.send_signal(signal.SIGHUP)
        wait_until(
            lambda: '"outcome": "rejected"' in instance.process.log_text(),
            "the rejected settings are logged",
        )
        check.assertEqual(instance.send_request("GET", path, key="key-2")[0], 200)


def test_short_tasks_without_estimates_run_once():
    """Guards against ends lost to an error, and done tasks that run again (review/11).

    The tasks of some jobs end almost at once on one worker. All instances are stopped
    and started in turn then, so that the leader changes.
    """
    job = make_job(tasks=24, gpu=0)
    with start_platform_deployment() as deployment:
        paths = [f"/urgent/{number:016x}" for number in range(1, 4)]
        for path in paths:
            instance = deployment.instances[0]
            check.assertEqual(instance.send_request("POST", path, job)[0], 200)
        for path in paths:
            _wait_for_state(instance, path, "completed")
        for instance in deployment.instances:
            instance.process.popen.send_signal(signal.SIGTERM)
            instance.process.popen.wait(timeout=FINISH_SECONDS)
            deployment.restart_instance(instance)
            wait_until(instance.is_ready, f"{instance.name} is ready")
            for path in paths:
                _wait_for_state(instance, path, "completed")
        starts = [
            line["task"]
            for instance in deployment.instances
            for line in map(json.loads, instance.process.log_text().splitlines())
            if (line.get("event"), line.get("outcome")) == ("start", "accepted")
        ]
        check.assertEqual(len(starts), 24 * len(paths))
        check.assertEqual(len(set(starts)), len(starts))


def test_store_out_of_reach():
    """Guards against accepting jobs that the store does not hold, and slow refusals."""
    with start_platform_deployment(instances_count=1) as deployment:
        instance = deployment.instances[0]
        deployment.set_faults(down="busy")
        wait_until(lambda: not instance.is_ready(), "the instance is not ready")
        begun_at = time.monotonic()
        path = f"/urgent/{JOB_ID(7)}"
        status, answer = instance.send_request("POST", path, make_job())
        check.assertEqual(status, 503, answer)
        check.assertLess(time.monotonic() - begun_at, 0.5)
        deployment.set_faults(down="")
        wait_until(instance.is_ready, "the instance is ready again")
        check.assertEqual(instance.send_request("GET", path)[0], 410)
        check.assertEqual(instance.send_request("POST", path, make_job())[0], 200)
        _wait_for_state(instance, path, "completed")


def test_bad_configuration_and_registry_rows():
    """Guards against an instance that stops, or accepts jobs, on unreadable rows."""
    with start_platform_deployment(instances_count=1) as deployment:
        instance = deployment.instances[0]
        deployment.set_configuration({"version": "two", "routes": 7})
        request_json(
            "POST",
            f"{deployment.store_url}/-/rows-tx",
            {
                "expect": [],
                "puts": [
                    {
                        "table": "servers",
                        "part": "",
                        "key": "i-broken",
                        "value": "bm90IGpzb24=",
                    }
                ],
                "remove": [],
            },
        )
        for event, outcome in (
            ("configuration", "unreadable"),
            ("registry", "unusable"),
        ):
            wait_until(
                lambda event=event, outcome=outcome: any(
                    f'"event": "{event}"' in line and f'"outcome": "{outcome}"' in line
                    for line in instance.process.log_text().splitlines()
                ),
                f"the row of the {event} is logged",
            )
        path = f"/urgent/{JOB_ID(8)}"
        status, _ = instance.send_request("POST", path, make_job())
        # The stored configuration cannot be decoded, so no job may be accepted.
        check.assertEqual(status, 503)
        check.assertIsNone(instance.process.popen.poll())


def test_odd_registry_entries_do_not_stop_scheduling():
    """Guards against one entry of another writer that ends every reading of the list.

    Nothing was started by any instance while it was there.
    """
    with start_platform_deployment(instances_count=1) as deployment:
        instance = deployment.instances[0]
        odd_entries = {
            worker_id: value
            for worker_id, value in make_odd_entries().items()
            if len(value) <= StoreLimits().row_bytes
        }
        for number, (worker_id, value) in enumerate(odd_entries.items()):
            put = {"table": "servers", "part": "", "key": worker_id or "empty"}
            put["value"] = base64.b64encode(value).decode()
            body = {"expect": [], "puts": [put], "remove": []}
            url = f"{deployment.store_url}/-/rows-tx"
            check.assertEqual(request_json("POST", url, body)[0], 200, str(number))
        # The list that was read before the entries is too old to plan by then.
        time.sleep(3.0)
        path = f"/urgent/{JOB_ID(9)}"
        check.assertEqual(instance.send_request("POST", path, make_job())[0], 200)
        _wait_for_state(instance, path, "completed")
        lines = instance.process.log_text().splitlines()
        unusable = [line for line in lines if '"outcome": "unusable"' in line]
        check.assertEqual(len(unusable), len(odd_entries) - 1)
        check.assertFalse([line for line in lines if '"outcome": "failed"' in line])
