"""Takeovers by another instance after kills, pauses and outages of the placer."""

import time

from .oracle import job_id_of
from .shared_deployment import (
    find_placer,
    make_unique_job,
    restore_deployment,
    shared_deployment_tests,
    wait_event,
)
from .support import check

# Bounds that the design page states.
TAKEOVER_SECONDS = 5.0
URGENT_START_SECONDS = 5.1

HOME = "kumasi"
# Above TAKEOVER_SECONDS, since a takeover adopts only gangs whose leases are valid.
LEASE_SECONDS = 6.0
# 12 workers suffice for the guarantees of both organisations in one data centre.
load_tests = shared_deployment_tests(
    __name__, data_centres=(HOME,), workers_count=12, lease_seconds=LEASE_SECONDS
)


def submit_both(oracle, entry, name, **fields):
    """Submit a repeatable job and one that is not; return their ids in this order."""
    bodies = [
        make_unique_job(name, is_repeatable=flag, **fields) for flag in (True, False)
    ]
    return [oracle.submit(entry, body)[0] for body in bodies]


def kill_placer(oracle):
    """Kill the placer; return the time of the kill and the other entry."""
    entry = find_placer(oracle.deployment, HOME)
    entry.process.kill()
    return time.monotonic(), find_placer(oracle.deployment, HOME)


def check_takeover(oracle, entry, killed_seconds):
    """Assert that an urgent job, sent now, starts within the bounds of a takeover."""
    body = make_unique_job("urgent", urgency="urgent")
    sent_seconds = time.monotonic()
    oracle.start_call(oracle.submit, entry, body, wait_seconds=15)
    job_id = job_id_of(body)
    starts = wait_event(oracle, job_id, "task_start", count=2, timeout_seconds=15.0)
    reserves = wait_event(oracle, job_id, "reserve")
    check.assertLess(reserves[0]["time_seconds"] - killed_seconds, TAKEOVER_SECONDS)
    check.assertLess(starts[-1]["time_seconds"] - sent_seconds, URGENT_START_SECONDS)


def outcomes(oracle, job_ids):
    """Wait until jobs are final; return outcome and attempt of each."""
    answers = oracle.wait_until_final(job_ids)
    return [
        (answers[job_id]["outcome"], answers[job_id]["attempt"]) for job_id in job_ids
    ]


def test_running_gangs_are_adopted_and_urgent_work_starts(oracle):
    """Guards against lost gangs, lost answers and late starts after a kill."""
    entry = find_placer(oracle.deployment, HOME)
    job_ids = submit_both(oracle, entry, "adopted", run_seconds=5.0)
    for job_id in job_ids:
        wait_event(oracle, job_id, "task_start", count=2)
    body = oracle.bodies[job_ids[1]]
    other = oracle.deployment.running_entries()[-1]
    waiting = oracle.start_call(oracle.submit, other, body, wait_seconds=15)
    killed_seconds, entry = kill_placer(oracle)
    check_takeover(oracle, entry, killed_seconds)
    check.assertEqual(outcomes(oracle, job_ids), [("done", 1), ("done", 1)])
    check.assertEqual(waiting.result()[1]["outcome"], "done")


def test_takeover_while_the_table_is_down_and_a_worker_is_gone(oracle):
    """Guards against a takeover that waits for timeouts one after the other."""
    deployment = oracle.deployment
    entry = find_placer(deployment, HOME)
    job_ids = submit_both(oracle, entry, "outage", run_seconds=4.0)
    for job_id in job_ids:
        wait_event(oracle, job_id, "task_start", count=2)
    used_ids = {event.get("worker_id") for event in deployment.worker_journal()}
    idle_id = min({f"{HOME}-worker-{n:02d}" for n in range(12)} - used_ids)
    # The worker accepts connections and never answers.
    deployment.set_worker_fault(HOME, "vanish", worker_id=idle_id, delay_seconds=60.0)
    deployment.set_platform_fault("down", delay_seconds=60.0, service="table")
    killed_seconds, entry = kill_placer(oracle)
    check_takeover(oracle, entry, killed_seconds)
    deployment.clear_faults()
    check.assertEqual(outcomes(oracle, job_ids), [("done", 1), ("done", 1)])


# Each of these functions sets a fault that prolongs one step of a start.


def widen_reservations(deployment):
    deployment.set_worker_fault(
        HOME, "late", operation="reserve", delay_seconds=0.9, count=2
    )


def widen_claims(deployment):
    deployment.set_platform_fault(
        "late", service="table", path_prefix="/v1/tables/jobs/", delay_seconds=1.2
    )


def widen_starts(deployment):
    deployment.set_worker_fault(
        HOME, "slow", operation="start", delay_seconds=8.0, count=1
    )


def has_claim(deployment, job_id):
    """Whether the platform has recorded a claim of a job."""
    return any(
        write["key"] == job_id and write.get("value", {}).get("phase") == "claimed"
        for write in deployment.platform_journal()
        if write["service"] == "table"
    )


def make_event_predicate(event):
    """Return a predicate: whether the workers have recorded such an event of a job."""

    def find(deployment, job_id):
        return any(
            (record["event"], record.get("job_id")) == (event, job_id)
            for record in deployment.worker_journal()
        )

    return find


# Fault that widens a race window, predicate that holds while the window is open, and
# the outcomes of a repeatable job and of one that is not.
WINDOWS = (
    (widen_reservations, make_event_predicate("reserve"), "done", "done"),
    (widen_claims, has_claim, "done", "done"),
    (widen_starts, make_event_predicate("task_start"), "done", "unknown"),
)


def test_kills_between_the_steps_of_a_start(oracle):
    """Guards against partial gangs, second runs and lost jobs in each window."""
    deployment = oracle.deployment
    for widen, is_open, *wanted in WINDOWS:
        for is_repeatable, outcome in zip((True, False), wanted, strict=True):
            entry = find_placer(deployment, HOME)
            body = make_unique_job(widen.__name__, is_repeatable=is_repeatable)
            widen(deployment)
            job_id = job_id_of(body)
            oracle.start_call(oracle.submit, entry, body, wait_seconds=5)
            deployment.wait(
                lambda is_open=is_open, job_id=job_id: is_open(deployment, job_id),
                f"{widen.__name__}: the window is open",
            )
            kill_placer(oracle)
            restore_deployment(deployment)
            check.assertEqual(outcomes(oracle, [job_id])[0][0], outcome, widen.__name__)


def test_all_instances_are_replaced(oracle):
    """Guards against lost jobs when only the table and the workers hold their state."""
    deployment = oracle.deployment
    entry = find_placer(deployment, HOME)
    job_ids = submit_both(oracle, entry, "replaced", run_seconds=1.0)
    # More tasks than fit at once, so that some jobs are queued.
    waiting_ids = [
        oracle.submit(entry, make_unique_job("waiting", tasks_count=12))[0]
        for _ in range(2)
    ]
    for job_id in job_ids:
        wait_event(oracle, job_id, "task_start", count=2)
    for entry in deployment.running_entries():
        entry.process.kill()
    restore_deployment(deployment)
    # Workers keep results until they are collected.
    check.assertEqual(outcomes(oracle, job_ids), [("done", 1), ("done", 1)])
    waiting_outcomes = {outcome for outcome, _ in outcomes(oracle, waiting_ids)}
    check.assertEqual(waiting_outcomes, {"done"})


def test_started_job_that_instances_and_workers_forgot(oracle):
    """Guards against a second run when only the claim in the table is left."""
    deployment = oracle.deployment
    entry = find_placer(deployment, HOME)
    job_ids = submit_both(oracle, entry, "forgotten", run_seconds=1.0)
    for job_id in job_ids:
        wait_event(oracle, job_id, "task_start", count=2)
    for entry in deployment.running_entries():
        entry.process.kill()
    deployment.set_worker_fault(HOME, "restart_empty")
    restore_deployment(deployment)
    found = [outcome for outcome, _ in outcomes(oracle, job_ids)]
    check.assertEqual(found, ["done", "unknown"])


def test_placer_paused_past_a_lease(oracle):
    """Guards against effects of a placer that resumes after it was replaced."""
    deployment = oracle.deployment
    paused = find_placer(deployment, HOME)
    job_ids = submit_both(oracle, paused, "paused", run_seconds=8.0)
    for job_id in job_ids:
        wait_event(oracle, job_id, "task_start", count=2)
    paused.process.pause()
    paused_seconds = time.monotonic()
    # The paused instance accepts the connection and handles the job when it resumes.
    late = make_unique_job("late", is_repeatable=False)
    oracle.start_call(oracle.submit, paused, late, wait_seconds=5)
    other = deployment.running_entries()[-1]
    check_takeover(oracle, other, paused_seconds)
    for body in (
        late,
        make_unique_job("meanwhile", is_repeatable=False, run_seconds=3.0),
    ):
        job_ids.append(oracle.submit(other, body)[0])
    wait_event(oracle, job_ids[-1], "task_start", count=2)
    deployment.wait(
        lambda: time.monotonic() > paused_seconds + LEASE_SECONDS, "leases have lapsed"
    )
    paused.process.resume()
    found = [outcome for outcome, _ in outcomes(oracle, job_ids)]
    check.assertEqual((found[0], found[2]), ("done", "done"))


def test_jobs_in_memory_survive_the_return_of_a_paused_placer(oracle):
    """Guards against losing jobs without a row when the former placer takes over."""
    deployment = oracle.deployment
    paused = find_placer(deployment, HOME)
    other = deployment.running_entries()[-1]
    paused.process.pause()
    deployment.set_platform_fault("down", service="table")
    body = make_unique_job("memory", run_seconds=4.0)
    # Until the takeover, no instance answers for the paused placer.
    deployment.wait(
        lambda: oracle.submit(other, body)[1]["outcome"] == "pending",
        "the job is accepted",
    )
    job_id = job_id_of(body)
    wait_event(oracle, job_id, "task_start", count=2)
    paused.process.resume()
    deployment.wait(
        lambda: "no longer placer" in other.process.log_text(),
        "the other instance is no longer the placer",
    )
    deployment.clear_faults()
    check.assertEqual(outcomes(oracle, [job_id]), [("done", 1)])
