"""Moves of waiting jobs to a data centre with free capacity."""

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

WHOLE_WORKER_SHAPE = {"accelerators_count": 8, "cores_count": 8, "memory_bytes": 1000}
BUSY_SECONDS = 25.0


def test_waiting_job_moves_to_a_data_centre_that_returned():
    """Guards against jobs that wait although a data centre back in service is empty."""
    with start_deployment(
        data_centres=("kumasi", "obuasi"), workers_count=4
    ) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        entry = deployment.running_entries("kumasi")[0]
        entry.request("POST", "/v1/data-centres/obuasi/out")
        for number in range(2):
            busy = make_job(
                f"busy-{number}", run_seconds=BUSY_SECONDS, shape=WHOLE_WORKER_SHAPE
            )
            submit(entry, busy)
        waiting = make_job("waiting", shape=WHOLE_WORKER_SHAPE, is_repeatable=True)
        job_id = submit(entry, waiting)[1]["job_id"]
        entry.request("POST", "/v1/data-centres/obuasi/in")
        # The timeout ends before the busy gangs do, so that only a move can pass.
        answer = wait_final(deployment, entry, job_id, timeout_seconds=BUSY_SECONDS / 2)
        check_answer(answer, waiting)
        check.assertEqual(count_effects(deployment, job_id), {0: 1, 1: 1})
