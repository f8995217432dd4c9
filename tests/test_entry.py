"""The whole path in separate processes, and takeover after an instance dies."""

from .cases import (
    apply_lists,
    check_answer,
    effects_of,
    make_job,
    submit,
    wait_final,
    wait_placers,
)
from .deployment import start_deployment
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
    check.assertEqual(effects_of(deployment, job_id), {0: 1, 1: 1})
