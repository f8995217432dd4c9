"""Jobs from submission to answer in separate processes, and takeover."""

from .deployment import start_deployment
from .entry_requests import (
    apply_lists,
    check_answer,
    count_effects,
    make_job,
    submit,
    wait_final,
    wait_placers,
)
from .support import check, function_tests

load_tests = function_tests(__name__)


def test_jobs_are_answered_from_any_entry_and_survive_the_placer():
    """Guards against a job that only the instance it was submitted to can answer."""
    with start_deployment() as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        entries = deployment.running_entries()
        bodies = [make_job(f"job-{n}", result=f"r{n}") for n in range(len(entries))]
        for entry, body in zip(entries, bodies, strict=True):
            status, answer = submit(entry, body, wait_seconds=10)
            check.assertEqual(status, 200, answer)
            check_answer(answer, body)
        for entry, body in zip(reversed(entries), bodies, strict=True):
            check_answer(submit(entry, body)[1], body)
        _check_takeover(deployment, entries[0])


def _check_takeover(deployment, entry):
    body = make_job("long", run_seconds=6.0, is_repeatable=False)
    _, answer = submit(entry, body)
    job_id = answer["job_id"]
    started = deployment.wait(
        lambda: [
            event
            for event in deployment.worker_journal()
            if event["event"] == "start" and event["job_id"] == job_id
        ],
        "the gang starts",
    )
    data_centre = started[0]["data_centre"]
    placer = min(
        deployment.running_entries(data_centre), key=lambda entry: entry.instance_id
    )
    placer.process.kill()
    other = deployment.running_entries()[-1]
    answer = wait_final(deployment, other, job_id)
    check_answer(answer, body)
    check.assertEqual(answer["attempt"], 1)
    check.assertEqual(count_effects(deployment, job_id), {0: 1, 1: 1})


def test_a_job_that_exceeds_its_shape_is_throttled_then_failed():
    """Guards against a task that permanently takes resources of other tasks."""
    settings = {"workers": {"renewal_interval_seconds": 0.5, "lease_seconds": 3}}
    with start_deployment(
        data_centres=("kumasi",), entries_count=1, settings=settings
    ) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        entry = deployment.running_entries()[0]
        greedy = make_job("greedy", run_seconds=60.0, payload={"usage_factor": 5.0})
        modest = make_job("modest", run_seconds=4.0)
        greedy_id = submit(entry, greedy)[1]["job_id"]
        modest_id = submit(entry, modest)[1]["job_id"]
        answer = wait_final(deployment, entry, greedy_id)
        check.assertEqual(answer["outcome"], "failed", answer)
        check.assertIn("above the declared shape", answer["reason"])
        check_answer(wait_final(deployment, entry, modest_id), modest)
        throttled = {
            event["job_id"]
            for event in deployment.worker_journal()
            if event["event"] == "throttle"
        }
        check.assertEqual(throttled, {greedy_id})


def test_waiting_job_of_a_removed_organisation_is_refused():
    """Guards against a job that waits forever after its organisation was removed."""
    with start_deployment(
        data_centres=("kumasi",), workers_count=4, entries_count=1
    ) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        entry = deployment.running_entries()[0]
        whole = {"accelerators_count": 8, "cores_count": 8, "memory_bytes": 1000}
        running = make_job("running", run_seconds=3.0, tasks_count=4, shape=whole)
        waiting = make_job("waiting", tasks_count=4, shape=whole, organisation="sales")
        submit(entry, running)
        job_id = submit(entry, waiting)[1]["job_id"]
        apply_lists(deployment, organisations="[organisation design]\nplan = studio\n")
        answer = wait_final(deployment, entry, job_id)
        check.assertEqual(answer["outcome"], "not_run", answer)
        check.assertEqual(count_effects(deployment, job_id), {})
