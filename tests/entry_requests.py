"""Organisations, plans, job bodies and requests to entries for integration tests."""

import json

PLANS = """\
[plan studio]
guaranteed_gangs_count = 3
guaranteed_tasks_count = 2
guaranteed_task_accelerators_count = 8
guaranteed_task_cores_count = 16
guaranteed_task_memory_bytes = 1000000000
quota_accelerators_count = 192
"""
ORGANISATIONS = """\
[organisation design]
plan = studio
[organisation sales]
plan = studio
"""


def apply_lists(deployment, *, organisations=ORGANISATIONS, plans=PLANS, entry=None):
    """Record organisations and plans; return their version.

    Waits until every running entry uses this version.
    """
    entry = entry or deployment.running_entries()[0]
    current = entry.request("GET", "/v1/configuration")[1]
    body = {
        "organisations": organisations,
        "plans": plans,
        "expected_version": current["version"],
    }
    status, answer = entry.request("PUT", "/v1/configuration", body)
    assert status == 200, (status, answer)
    wait_in_force(deployment, answer["version"])
    return answer["version"]


def wait_in_force(deployment, version, *, timeout_seconds=5.0):
    """Wait until every running entry uses a version, or a newer one."""
    deployment.wait(
        lambda: all(
            entry.request("GET", "/v1/configuration")[1]["version"] >= version
            for entry in deployment.running_entries()
        ),
        f"version {version} is in force",
        timeout_seconds=timeout_seconds,
    )


def wait_placers(deployment, *, timeout_seconds=10.0):
    """Wait until every data centre with a running entry has a placer with workers."""

    def has_placers():
        entry = deployment.running_entries()[0]
        data_centres = entry.request("GET", "/v1/status")[1]["data_centres"]
        return len(data_centres) == len(deployment.data_centres) and all(
            data_centre["placer_id"] and data_centre["workers"]
            for data_centre in data_centres
        )

    deployment.wait(
        has_placers, "every data centre has a placer", timeout_seconds=timeout_seconds
    )


def make_job(key, *, run_seconds=0.2, result="ok", payload=None, **fields):
    """Return the body of a submission; ``fields`` replace the default fields."""
    payload = {"run_seconds": run_seconds, "result": result, **(payload or {})}
    return {
        "organisation": "design",
        "tasks_count": 2,
        "shape": {"accelerators_count": 4, "cores_count": 4, "memory_bytes": 1000},
        "idempotency_key": key,
        "declared_run_seconds": run_seconds,
        "payload": json.dumps(payload),
        **fields,
    }


def submit(entry, body, *, wait_seconds=0.0):
    """Submit a job and return the status and the answer."""
    return entry.request(
        "POST",
        f"/v1/jobs?wait_seconds={wait_seconds}",
        body,
        timeout_seconds=wait_seconds + 15.0,
    )


def wait_final(deployment, entry, job_id, *, timeout_seconds=30.0):
    """Poll a job until its outcome is final; return the answer."""

    def read_final():
        status, answer = entry.request(
            "GET", f"/v1/jobs/{job_id}?wait_seconds=2", timeout_seconds=10.0
        )
        is_final = status == 200 and answer["outcome"] != "pending"
        return answer if is_final else None

    return deployment.wait(
        read_final, f"job {job_id} is final", timeout_seconds=timeout_seconds
    )


def count_effects(deployment, job_id):
    """Return the number of effects of each task of a job, by task index."""
    counts = {}
    for event in deployment.worker_journal():
        if event["event"] == "task_effect" and event["job_id"] == job_id:
            for task_index in event["task_indices"]:
                counts[task_index] = counts.get(task_index, 0) + 1
    return counts


def check_answer(answer, body):
    """Assert that a job is done and that its answer holds the result of every task."""
    assert answer["outcome"] == "done", answer
    results = answer["results"]
    indices = [result["task_index"] for result in results]
    assert indices == list(range(body["tasks_count"])), indices
    expected = json.loads(body["payload"])["result"]
    for result in results:
        content = json.loads(result["body"])
        assert content["job_id"] == answer["job_id"], content
        assert content["task_index"] == result["task_index"], content
        assert content["result"] == expected, content
