"""Guarantees on a full cluster: their capacity is reclaimed from borrowed work."""

from .deployment import start_deployment
from .entry_requests import (
    PLANS,
    apply_lists,
    check_answer,
    make_job,
    submit,
    wait_placers,
)
from .support import check, function_tests

load_tests = function_tests(__name__)

# Limit of the design page, from the insertion of the job to the start of its gang.
START_LIMIT_SECONDS = 5.1

WHOLE_WORKER_SHAPE = {"accelerators_count": 8, "cores_count": 8, "memory_bytes": 1000}
ONE_GANG_PLANS = PLANS.replace(
    "guaranteed_gangs_count = 3", "guaranteed_gangs_count = 1"
)
WORKERS_COUNT = 8


def test_a_guaranteed_gang_starts_on_a_cluster_full_of_borrowed_work():
    """Guards against a guaranteed gang that waits until borrowed work has finished."""
    with start_deployment(
        data_centres=("kumasi",), workers_count=WORKERS_COUNT
    ) as deployment:
        apply_lists(deployment, plans=ONE_GANG_PLANS)
        wait_placers(deployment)
        entry = deployment.running_entries()[0]
        fill_with_borrowed_work(deployment, entry)
        # Neither a slow checkpoint nor a worker that refuses to stop may delay the
        # start; each checkpoint takes longer than START_LIMIT_SECONDS.
        deployment.set_worker_fault(
            "kumasi", "slow", operation="checkpoint", delay_seconds=10.0
        )
        for name, fields in (
            ("urgent", {"urgency": "urgent"}),
            ("patient", {"organisation": "sales"}),
        ):
            body = make_job(name, run_seconds=1.0, shape=WHOLE_WORKER_SHAPE, **fields)
            status, answer = submit(entry, body, wait_seconds=20)
            check.assertEqual(status, 200, answer)
            check_answer(answer, body)
            waited_seconds = start_delay_seconds(deployment, answer["job_id"])
            check.assertLess(waited_seconds, START_LIMIT_SECONDS, name)


def fill_with_borrowed_work(deployment, entry):
    """Use every accelerator for patient gangs, some of one and some of two tasks."""
    counts = (2, 1, 2, 1, 1, 1)
    for number, tasks_count in enumerate(counts):
        body = make_job(
            f"borrowed-{number}",
            run_seconds=120.0,
            shape=WHOLE_WORKER_SHAPE,
            tasks_count=tasks_count,
            organisation=("design", "sales")[number % 2],
            is_checkpointable=bool(number % 3),
        )
        submit(entry, body)
    deployment.wait(
        lambda: started_tasks_count(deployment) >= WORKERS_COUNT,
        "every accelerator is taken",
    )


def started_tasks_count(deployment):
    """Return how many tasks have been started."""
    return sum(
        len(event["task_indices"])
        for event in deployment.worker_journal()
        if event["event"] == "task_start"
    )


def start_delay_seconds(deployment, job_id):
    """Return the time from the insertion of a row to the last start of its gang."""
    inserted = min(
        event["time_seconds"]
        for event in deployment.platform_journal()
        if event["key"] == job_id
    )
    started = max(
        event["time_seconds"]
        for event in deployment.worker_journal()
        if event["event"] == "task_start" and event["job_id"] == job_id
    )
    return started - inserted
