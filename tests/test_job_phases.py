"""Where the time of a finished job went."""

from kingcuptrack.state.cluster.job_phases import Phase, split_job_time

from .shard_states import (
    add_job,
    make_ref,
    make_report,
    make_shard_state,
    make_step,
    start_run,
)
from .support import check, function_tests

load_tests = function_tests(__name__)


def _end(shard_state, run, how, *, now_seconds, number=1):
    report = make_report(
        now_seconds=now_seconds, ended=[(number, run.ref, run.number, how)]
    )
    shard_state.apply_report(run.worker_id, report)


def test_phases_add_up_to_the_whole_time():
    """Guards against time that no phase explains, after a failure and a wait."""
    shard_state = make_shard_state({"r0": ["w0", "w1"]})
    job = add_job(shard_state, "job", make_step(), now_seconds=10.0)
    first = start_run(shard_state, "job", "w0", now_seconds=11.0)
    _end(shard_state, first, "failed", now_seconds=13.0)
    second = start_run(shard_state, "job", "w1", number=2, now_seconds=13.5)
    _end(shard_state, second, "done", now_seconds=17.0)
    times = split_job_time(job, total_seconds=8.25, now_seconds=17.25)
    expected = {
        Phase.UNTIL_KNOWN: 1.0,
        Phase.WAITING: 1.5,
        "rerun_failed": 2.0,
        Phase.RUNNING: 3.5,
        Phase.STORING: 0.25,
    }
    check.assertEqual(times.phases, {str(key): expected[key] for key in expected})
    check.assertEqual(sum(times.phases.values()), 8.25)


def test_the_task_that_ended_last_decides():
    """Guards against a step whose first task hides the wait of its last one."""
    shard_state = make_shard_state({"r0": ["w0", "w1"]})
    job = add_job(shard_state, "job", make_step(tasks=2), now_seconds=0.0)
    runs = [
        start_run(shard_state, "job", f"w{index}", index=index, now_seconds=begin)
        for index, begin in ((0, 0.0), (1, 3.0))
    ]
    _end(shard_state, runs[0], "done", now_seconds=4.0)
    _end(shard_state, runs[1], "done", now_seconds=7.0)
    times = split_job_time(job, total_seconds=7.0, now_seconds=7.0)
    check.assertEqual(times.phases, {str(Phase.WAITING): 3.0, str(Phase.RUNNING): 4.0})


def test_steps_are_followed_back_to_the_first():
    """Guards against a wait for an earlier step that counts as a wait for room."""
    shard_state = make_shard_state({"r0": ["w0"]})
    steps = (make_step(), make_step(after=(0,)))
    job = add_job(shard_state, "job", *steps, now_seconds=0.0)
    first = start_run(shard_state, "job", "w0", now_seconds=0.0)
    _end(shard_state, first, "done", now_seconds=4.0)
    ref = make_ref("job", step=1)
    run = shard_state.claim(ref, "w0", number=1, now_seconds=5.0)
    shard_state.confirm_start(run, clock_seconds=5.0, now_seconds=5.0)
    _end(shard_state, run, "done", now_seconds=9.0, number=2)
    times = split_job_time(job, total_seconds=9.0, now_seconds=9.0)
    check.assertEqual(times.phases, {str(Phase.RUNNING): 8.0, str(Phase.WAITING): 1.0})


def test_a_run_that_never_started_is_named():
    """Guards against an order without effect that counts as running."""
    shard_state = make_shard_state({"r0": ["w0", "w1"]})
    job = add_job(shard_state, "job", make_step(), now_seconds=0.0)
    lost = shard_state.claim(make_ref("job"), "w0", number=1, now_seconds=0.0)
    shard_state.withdraw(lost, now_seconds=0.5)
    (past_run,) = job.past_runs
    check.assertEqual(past_run.cause, "not_started")


def test_runs_without_duration_are_not_followed_in_a_circle():
    """Guards against a leader that never returns from the line of a finished job.

    Two claims of a task are withdrawn at the time at which they were made.
    """
    shard_state = make_shard_state({"r0": ["w0"]})
    job = add_job(shard_state, "job", make_step(), now_seconds=0.0)
    for number in (1, 2):
        lost = shard_state.claim(make_ref("job"), "w0", number=number, now_seconds=1.0)
        shard_state.withdraw(lost, now_seconds=1.0)
    run = start_run(shard_state, "job", "w0", number=3, now_seconds=1.0)
    _end(shard_state, run, "done", now_seconds=5.0)
    times = split_job_time(job, total_seconds=5.0, now_seconds=5.0)
    check.assertEqual(times.phases, {str(Phase.WAITING): 1.0, str(Phase.RUNNING): 4.0})
