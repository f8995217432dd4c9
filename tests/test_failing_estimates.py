"""Changes of the shard state while an estimate that accompanies them fails."""

import contextlib
import itertools
import random
from unittest import mock

import anyio

from kingcuptrack.coordination.learned_rows import LearnedRows
from kingcuptrack.state.cluster import run_learning, shard_state as shard_state_module
from kingcuptrack.state.cluster.interference import Interference
from kingcuptrack.state.cluster.neighbours import NeighbourTimes
from kingcuptrack.state.cluster.run_learning import RunLearning
from kingcuptrack.state.cluster.run_times import RunTimes
from kingcuptrack.state.cluster.shard_state import ShardState
from kingcuptrack.state.cluster.worker_speeds import WorkerSpeeds
from kingcuptrack.state.jobs.progress import JobState
from kingcuptrack.state.planning.features import Features
from kingcuptrack.state.planning.plan_rules import PlanRules

from .cluster_plays import play_cluster, submit_job
from .reference_planning import check_holders
from .shard_states import (
    add_job,
    make_entry,
    make_ref,
    make_report,
    make_step,
    start_run,
)
from .simulation import random_faults, run_simulation
from .support import check, function_tests

load_tests = function_tests(__name__)

# What only estimates or explains.
PLACES = (
    (RunLearning, "learn_end"),
    (RunLearning, "learn_progress"),
    (RunTimes, "learn"),
    (RunTimes, "expect_seconds"),
    (WorkerSpeeds, "learn"),
    (WorkerSpeeds, "learn_progress"),
    (WorkerSpeeds, "view"),
    (WorkerSpeeds, "gang_factor"),
    (WorkerSpeeds, "note_life"),
    (WorkerSpeeds, "note_entry"),
    (WorkerSpeeds, "forget_worker"),
    (Interference, "learn"),
    (Interference, "slowdown"),
    (NeighbourTimes, "attach"),
    (NeighbourTimes, "detach"),
    (run_learning, "project_seconds"),
    (run_learning, "kind_of"),
    (shard_state_module, "make_past_run"),
)
WORKER_IDS = ("w0", "w1", "w2")
TASKS_COUNT = 3


class EstimateError(Exception):
    """An error that no code expects."""


@contextlib.contextmanager
def failing(owner, name, *, failures_count=float("inf"), is_failing=lambda: True):
    """Let the first calls of a function raise an error; yields a list of them.

    ``is_failing`` tells whether a call fails.
    """
    function = getattr(owner, name)
    failures = []

    def call(*arguments, **keywords):
        if len(failures) < failures_count and is_failing():
            failures.append(name)
            raise EstimateError(name)
        return function(*arguments, **keywords)

    with mock.patch.object(owner, name, call):
        yield failures


def start_jobs(*, is_gang):
    """Return a shard state with a job on three workers, and one on the first alone."""
    shard_state = ShardState(learns_speeds=True, learns_interference=True)
    entries = [make_entry(worker_id) for worker_id in WORKER_IDS]
    shard_state.set_worker_entries(entries, now_seconds=0.0)
    for worker_id in WORKER_IDS:
        shard_state.apply_report(worker_id, make_report())
    add_job(shard_state, "job", make_step(tasks=TASKS_COUNT, is_gang=is_gang))
    add_job(shard_state, "other", make_step(tasks=1))
    for index, worker_id in enumerate(WORKER_IDS):
        start_run(shard_state, "job", worker_id, index=index)
    start_run(shard_state, "other", "w0")
    return shard_state


def report_ends(shard_state, how):
    """Report the ends of both runs of the first worker, and then one of the second."""
    ends = [(1, make_ref("job"), 1, how), (2, make_ref("other"), 1, "done")]
    shard_state.apply_report("w0", make_report(now_seconds=2.0, ended=ends))
    ends = [(1, make_ref("job", 1), 1, how)]
    shard_state.apply_report("w1", make_report(now_seconds=2.0, ended=ends))


def report_progress(shard_state):
    """Report the progress of all runs, then an end."""
    for now_seconds, percent in ((0.5, 10), (1.5, 50)):
        for index, worker_id in enumerate(WORKER_IDS):
            running = [(make_ref("job", index), 1, percent * (1 + index))]
            if worker_id == "w0":
                running.append((make_ref("other"), 1, percent))
            report = make_report(now_seconds=now_seconds, running=running)
            shard_state.apply_report(worker_id, report)
    report_ends(shard_state, "done")


def report_new_life(shard_state):
    """Report that the first worker has restarted."""
    report = make_report(now_seconds=2.0, life=2, clock_seconds=2.0)
    shard_state.apply_report("w0", report)


def remove_workers(shard_state):
    """Remove workers from the list, of which the first has runs that lapse then."""
    shard_state.set_worker_entries([make_entry("w2")], now_seconds=2.0)
    shard_state.end_lapsed_runs("w0", now_seconds=6.0)
    report_ends(shard_state, "done")
    shard_state.set_worker_entries([make_entry("w2")], now_seconds=60.0)


def claim_again(shard_state):
    """Withdraw a run and claim its task again."""
    run = shard_state.workers["w0"].runs[make_ref("other"), 1]
    shard_state.withdraw(run, now_seconds=1.0)
    start_run(shard_state, "other", "w1", number=2, now_seconds=2.0)


CHANGES = {
    "done": lambda state: report_ends(state, "done"),
    "failed": lambda state: report_ends(state, "failed"),
    "progress": report_progress,
    "lapse": lambda state: state.end_lapsed_runs("w0", now_seconds=5.0),
    "replaced worker": lambda state: state.end_replaced_worker("w0", now_seconds=5.0),
    "new life": report_new_life,
    "worker gone": remove_workers,
    "withdrawn": claim_again,
}


def describe(shard_state):
    """Return what is known of jobs, runs and workers."""
    jobs = {
        job_id: (
            job.progress,
            {key: (run.phase, run.is_stopping) for key, run in job.runs.items()},
            job.failed_worker_ids,
            job.ready_since_seconds,
        )
        for job_id, job in shard_state.jobs.items()
    }
    workers = {
        worker_id: (
            set(worker.runs),
            worker.used,
            worker.life,
            worker.failed_job_ids,
            worker.suspect_until_seconds,
        )
        for worker_id, worker in shard_state.workers.items()
    }
    return jobs, workers, shard_state.dirty_job_ids, shard_state.used_by_organisation


def test_changes_are_whole_where_an_estimate_fails():
    """Guards against tasks without a run, and ends or runs that are forgotten."""
    for is_gang, (change_name, change) in itertools.product(
        (False, True), CHANGES.items()
    ):
        expected = start_jobs(is_gang=is_gang)
        change(expected)
        check.assertEqual(expected.estimates.take_failures(), [])
        for (owner, name), failures_count in itertools.product(
            PLACES, (1, float("inf"))
        ):
            place = name, failures_count, change_name, is_gang
            shard_state = start_jobs(is_gang=is_gang)
            with failing(owner, name, failures_count=failures_count) as failures:
                change(shard_state)
            check.assertEqual(describe(shard_state), describe(expected), place)
            check_holders(shard_state)
            recorded = shard_state.estimates.take_failures()
            check.assertEqual(bool(recorded), bool(failures), place)


def test_jobs_are_served_while_an_estimate_fails():
    """Guards against jobs that stay running, and terms that end, for an estimate."""
    step = make_step(tasks=3, seconds=0.0)
    rules = PlanRules(features=Features(speeds=True, interference=True))

    async def run(cluster):
        epoch = cluster.leader().instance.candidate._chain.epoch
        member = cluster.members[0]
        callers = {}
        for number in range(4):
            job_id = f"{number:016x}"
            callers[job_id] = await submit_job(
                member, cluster, job_id, step, run_seconds=0.5
            )
            await anyio.sleep(2.0)
        await anyio.sleep(10.0)
        service = member.instance.admissions
        states = [
            (await service.read_state(caller, job_id)).value
            for job_id, caller in callers.items()
        ]
        scheduler = cluster.leader().instance.candidate.scheduler
        metrics = scheduler._metrics.render().decode()
        # The same leader has served all of them.
        check.assertEqual(cluster.leader().instance.candidate._chain.epoch, epoch)
        return states, metrics

    places = (
        *PLACES,
        (WorkerSpeeds, "take_changed_workers"),
        (LearnedRows, "changed_rows"),
    )
    for owner, name in places:
        with failing(owner, name) as failures:
            states, metrics = play_cluster(
                run, allowed_errors=("estimate",), instances_count=2, rules=rules
            )
        check.assertEqual(states, [JobState.COMPLETED] * 4, name)
        is_counted = "kingcuptrack_estimate_failures_total{" in metrics
        check.assertEqual(is_counted, bool(failures), name)


def test_estimates_fail_under_random_faults():
    """Guards against rules that are broken when estimates fail now and then.

    One call of each estimate in five fails, beside crashes, cuts and changes of the
    leader; half of the plays have jobs without estimates.
    """
    rules = PlanRules(features=Features(speeds=True, interference=True))
    for seed in range(500, 506):
        rng = random.Random(seed)

        def is_failing(rng=rng):
            return rng.random() < 0.2

        with contextlib.ExitStack() as stack:
            for owner, name in PLACES:
                # The full count of neighbours needs each of their changes.
                if owner is not NeighbourTimes:
                    stack.enter_context(failing(owner, name, is_failing=is_failing))
            checker = run_simulation(
                seed,
                random_faults,
                allowed_errors=("estimate",),
                has_estimates=seed % 2 == 0,
                rules=rules,
                worker_factors=(0.6, 1.0, 1.6) * 4,
            )
        check.assertEqual(checker.violations, [], (seed, checker.log))
