"""Tasks that a worker holds without a run, as after an error in a change."""

import random
from unittest import mock

import anyio

from emulator.platform_service import NullObserver
from kingcuptrack.coordination.scheduler import STATE_CHECK_TASKS_COUNT
from kingcuptrack.state.cluster.shard_entities import RunPhase
from kingcuptrack.state.cluster.shard_state import ShardState
from kingcuptrack.state.jobs.progress import EndKind, JobState

from .cluster_plays import play_cluster, submit_job
from .reference_planning import check_holders
from .shard_states import (
    add_job,
    make_ref,
    make_report,
    make_shard_state,
    make_step,
    start_run,
)
from .simulation import random_faults, run_simulation
from .support import check, function_tests

load_tests = function_tests(__name__)

TASKS_COUNT = 3


class ChangeError(Exception):
    """An error that no code expects."""


def lose_run(*, is_gang=False, tasks_count=TASKS_COUNT):
    """Return a shard state that has lost the run of the first task of a job."""
    shard_state = make_shard_state({"r0": ["w0", "w1", "w2"]})
    add_job(shard_state, "job", make_step(tasks=tasks_count, is_gang=is_gang))
    for index in range(TASKS_COUNT):
        start_run(shard_state, "job", f"w{index}", index=index)
    run = shard_state.workers["w0"].runs[make_ref("job"), 1]
    shard_state._detach(run, now_seconds=1.0)
    with check.assertRaisesRegex(AssertionError, "held without a run"):
        check_holders(shard_state)
    return shard_state


def restore(shard_state):
    """Restore missing runs as often as one look at every job takes; return them."""
    for _ in range(1 + len(shard_state.jobs)):
        shard_state.restore_missing_runs(
            tasks_limit_count=STATE_CHECK_TASKS_COUNT, now_seconds=2.0
        )
    return shard_state.take_restored_runs()


def test_the_end_of_a_missing_run_counts():
    """Guards against an end that is acknowledged, and forgotten, without an effect."""
    for is_gang in (False, True):
        for how in (EndKind.DONE, EndKind.FAILED, EndKind.STOPPED):
            shard_state = lose_run(is_gang=is_gang)
            ends = [(1, make_ref("job"), 1, how)]
            ((run, _),), _ = shard_state.apply_report(
                "w0", make_report(now_seconds=2.0, ended=ends)
            )
            check.assertEqual(run.key, (make_ref("job"), 1))
            check_holders(shard_state)
            job = shard_state.jobs["job"]
            check.assertIsNone(job.progress.held_run(make_ref("job")))
            if is_gang and how == EndKind.DONE:
                check.assertEqual(job.progress.state, JobState.COMPLETED)
            else:
                task = job.progress.task(make_ref("job"))
                check.assertEqual(task.is_done, how == EndKind.DONE)
                check.assertEqual(task.failures_count, int(how == EndKind.FAILED))
            stopping = {run.is_stopping for run in job.runs.values()}
            check.assertEqual(stopping, {is_gang and how != EndKind.DONE})
            check.assertEqual(len(shard_state.take_restored_runs()), 1)


def test_the_end_of_another_run_does_not_count():
    """Guards against an old end, or one at another worker, that ends the newest run."""
    shard_state = lose_run()
    for worker_id, number in (("w0", 2), ("w1", 1)):
        ends = [(1, make_ref("job"), number, "done")]
        shard_state.apply_report(worker_id, make_report(now_seconds=1.0, ended=ends))
        task = shard_state.jobs["job"].progress.task(make_ref("job"))
        check.assertFalse(task.is_done)
        check.assertEqual(shard_state.take_restored_runs(), [])


def test_the_run_of_a_cancelled_job_is_restored():
    """Guards against a run that goes on although its job was cancelled."""
    shard_state = lose_run()
    shard_state.cancel_job("job")
    (run,) = restore(shard_state)
    check_holders(shard_state)
    check.assertEqual(run.key, (make_ref("job"), 1))
    check.assertTrue(run.is_stopping)
    ends = [(1, make_ref("job"), 1, "stopped")]
    shard_state.apply_report("w0", make_report(now_seconds=3.0, ended=ends))
    check.assertIsNone(shard_state.jobs["job"].progress.held_run(make_ref("job")))
    check_holders(shard_state)


def test_a_missing_run_is_settled_by_its_worker():
    """Guards against a task that nobody runs for the rest of the term, or a second run.

    The worker decides: it still runs the task, or has never heard of it.
    """
    for is_running in (True, False):
        shard_state = lose_run()
        (run,) = restore(shard_state)
        check.assertEqual(run.phase, RunPhase.UNSETTLED)
        check_holders(shard_state)
        running = [(make_ref("job"), 1, 10)] if is_running else []
        report = make_report(now_seconds=3.0, running=running, token=run.token + 1)
        shard_state.apply_report("w0", report)
        task = shard_state.jobs["job"].progress.task(make_ref("job"))
        check.assertEqual(task.worker_id, "w0" if is_running else "")
        check_holders(shard_state)
        check.assertEqual(restore(shard_state), [])


def test_every_job_is_looked_at_in_turn():
    """Guards against a missing run behind wide jobs, and a search that takes long."""
    shard_state = lose_run(tasks_count=2 * STATE_CHECK_TASKS_COUNT)
    for number in range(20):
        wide = make_step(tasks=STATE_CHECK_TASKS_COUNT // 4)
        name = f"job-{number}"
        add_job(shard_state, name, wide)
        run = start_run(shard_state, name, "w1")
        shard_state._detach(run, now_seconds=1.0)
    counts = []
    while sum(counts) < 21:
        shard_state.restore_missing_runs(
            tasks_limit_count=STATE_CHECK_TASKS_COUNT, now_seconds=2.0
        )
        counts.append(len(shard_state.take_restored_runs()))
    # The first job takes a search, the others share searches.
    check.assertEqual(counts[0], 1)
    check.assertLessEqual(max(counts), 4)
    check.assertLessEqual(len(counts), 7)
    check_holders(shard_state)


def play_torn_changes(*, name, failures_count):
    """Let changes of the state fail after their run is gone.

    Returns the state of each job, the number of starts by task, and how often the
    leader changed.
    """
    starts = {}
    failures = []

    class StartRecorder(NullObserver):
        def note_start(self, worker, run, order):
            starts[order.ref] = starts.get(order.ref, 0) + 1

    async def run(cluster):
        epoch = cluster.leader().instance.candidate._chain.epoch
        member = cluster.members[0]
        callers = {}
        for number in range(6):
            job_id = f"{number:016x}"
            step = make_step(tasks=4, is_gang=number % 2 == 1, seconds=1.0)
            callers[job_id] = await submit_job(
                member, cluster, job_id, step, run_seconds=1.0
            )
        await anyio.sleep(12.0)
        service = member.instance.admissions
        states = [
            (await service.read_state(caller, job_id)).value
            for job_id, caller in callers.items()
        ]
        return states, cluster.leader().instance.candidate._chain.epoch - epoch

    function = getattr(ShardState, name)

    def fail(*arguments, **keywords):
        if keywords.get("how", EndKind.DONE) == EndKind.DONE:
            failures.append(name)
            if len(failures) <= failures_count:
                raise ChangeError(name)
        return function(*arguments, **keywords)

    with mock.patch.object(ShardState, name, fail):
        states, changes_count = play_cluster(
            run,
            allowed_errors=("task", "run"),
            instances_count=2,
            observer=StartRecorder(),
        )
    check.assertGreaterEqual(len(failures), failures_count)
    return states, starts, changes_count


def test_torn_changes_lose_no_job_and_start_no_task_again():
    """Guards against tasks that are done and run again after a change of the leader.

    An end is lost between the removal of its run and its record, several times.
    """
    for failures_count in (1, 3, 8):
        states, starts, changes_count = play_torn_changes(
            name="_record_end", failures_count=failures_count
        )
        check.assertEqual(states, [JobState.COMPLETED] * 6, failures_count)
        check.assertEqual(set(starts.values()), {1}, failures_count)
        check.assertEqual(changes_count, 0)


def test_torn_changes_under_random_faults():
    """Guards against a repair that starts tasks twice, or loses jobs, under faults.

    One record of an end in twenty fails, beside crashes, cuts and changes of leaders.
    """
    record_end = ShardState._record_end
    for seed in range(500, 506):
        rng = random.Random(seed)

        def fail_sometimes(*arguments, rng=rng, **keywords):
            if rng.random() < 0.05:
                raise ChangeError("injected")
            return record_end(*arguments, **keywords)

        with mock.patch.object(ShardState, "_record_end", fail_sometimes):
            checker = run_simulation(
                seed, random_faults, allowed_errors=("task", "run", "leadership")
            )
        check.assertEqual(checker.violations, [], (seed, checker.log))
