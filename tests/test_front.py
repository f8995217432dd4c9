"""Answers to a submission that is refused although its key may have been accepted."""

from .deployment import start_deployment
from .entry_requests import ORGANISATIONS, apply_lists, make_job, submit, wait_placers
from .support import check, function_tests

load_tests = function_tests(__name__)


def test_refusal_never_says_not_run_about_an_accepted_key():
    """Guards against "not run" about a retry while the first submission runs.

    A leaving instance, or one whose lists no longer have the organisation, refuses.
    """
    with start_deployment(data_centres=("kumasi",), workers_count=2) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        first, second = deployment.running_entries()
        body = make_job("batch", run_seconds=4.0, is_repeatable=False)
        check.assertEqual(submit(first, body)[1]["outcome"], "pending")
        deployment.wait(
            lambda: (
                "start" in {event["event"] for event in deployment.worker_journal()}
            ),
            "the job starts",
        )
        without = ORGANISATIONS.replace("[organisation design]", "[organisation x]")
        apply_lists(deployment, organisations=without)
        for other in (body, {**body, "idempotency_key": "new"}):
            is_known = other is body
            answer = submit(first, other)[1]
            check.assertEqual(answer["outcome"], "pending" if is_known else "not_run")
        second.process.terminate()
        deployment.wait(
            lambda: submit(second, make_job("new"))[1]["code"] == "leaving",
            "the second instance is leaving",
        )
        check.assertEqual(submit(second, body)[1]["outcome"], "pending")
        status, answer = submit(first, body, wait_seconds=9.0)
        check.assertEqual((status, answer["outcome"]), (200, "done"), answer)


def test_outage_hides_whether_an_earlier_request_of_a_key_ran():
    """Guards against "not run" about a finished job whose row cannot be read."""
    with start_deployment(
        data_centres=("kumasi",), workers_count=4, entries_count=1
    ) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        (entry,) = deployment.running_entries()
        body = make_job("once", is_repeatable=False)
        check.assertEqual(submit(entry, body, wait_seconds=10)[1]["outcome"], "done")
        replacement = deployment.restart(entry)
        deployment.set_platform_fault("down", service="table")
        status, answer = submit(replacement, body)
        check.assertEqual((status, answer["outcome"]), (503, "unknown"), answer)
        deployment.clear_faults()
        status, answer = submit(replacement, body, wait_seconds=10)
        check.assertEqual((status, answer["outcome"]), (200, "done"), answer)
