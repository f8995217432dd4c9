"""Unexpected errors in one part of an instance, with jobs that must still finish."""

from unittest import mock

import anyio

from emulator.platform_service import NullObserver
from emulator.virtual_clock import run_virtual
from kingcuptrack.coordination import batches, scheduler
from kingcuptrack.coordination.commits import LeadershipLostError
from kingcuptrack.coordination.ports import Shard
from kingcuptrack.coordination.rows import progress_key
from kingcuptrack.coordination.supervision import supervise
from kingcuptrack.errors import describe_error
from kingcuptrack.state.cluster.shard_state import ShardState
from kingcuptrack.state.jobs.progress import JobState
from kingcuptrack.state.planning.ordering import order_key
from kingcuptrack.state.planning.plan_rules import PlanRules

from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .support import check, function_tests

load_tests = function_tests(__name__)

BAD_JOB_ID = f"{0xBAD:016x}"
FINISH_SECONDS = 25.0
# Reports that cannot be applied.
FAILURES_COUNT = 2


class UnexpectedError(Exception):
    """An error that no code expects."""


def play_jobs(*job_ids, allowed_errors, rules=None, terms=None):
    """Submit jobs to a cluster of two instances and return their states at the end.

    ``allowed_errors`` are the events of the errors that the test injects. ``terms``
    gets the (name, epoch) of the leader before the jobs and at the end.
    """
    terms = [] if terms is None else terms

    def note_term(cluster):
        leader = cluster.leader()
        terms.append((leader.name, leader.instance.candidate._chain.epoch))

    async def run(cluster):
        note_term(cluster)
        member = cluster.members[0]
        step = make_step(tasks=3, seconds=1.0)
        callers = {
            job_id: await submit_job(member, cluster, job_id, step, run_seconds=1.0)
            for job_id in job_ids
        }
        await anyio.sleep(FINISH_SECONDS)
        note_term(cluster)
        service = member.instance.admissions
        return {
            job_id: (await service.read_state(caller, job_id)).value
            for job_id, caller in callers.items()
        }

    return play_cluster(
        run,
        allowed_errors=allowed_errors,
        instances_count=2,
        **({"rules": rules} if rules else {}),
    )


def make_job_ids(count):
    """Return ids of jobs."""
    return [f"{number:016x}" for number in range(1, 1 + count)]


def fail_sometimes(function, is_failing):
    """Return a function that raises instead if ``is_failing`` of its arguments."""

    def call(*arguments, **keywords):
        if is_failing(*arguments, **keywords):
            raise UnexpectedError("injected")
        return function(*arguments, **keywords)

    return call


def test_a_job_that_cannot_be_planned_affects_no_other():
    """Guards against one job whose data stops the scheduling of all jobs."""

    def order(unit, **keywords):
        if unit.job.submission.job_id == BAD_JOB_ID:
            raise UnexpectedError("injected")
        return order_key(unit, **keywords)

    states = play_jobs(
        BAD_JOB_ID,
        *make_job_ids(3),
        allowed_errors=("plan",),
        rules=PlanRules(order=order),
    )
    check.assertEqual(states.pop(BAD_JOB_ID), JobState.QUEUED)
    check.assertEqual(set(states.values()), {JobState.COMPLETED})


def test_a_report_that_cannot_be_applied_ends_no_process():
    """Guards against one malformed report that stops the scheduler."""
    failures = []

    def is_failing(shard_state, worker_id, report):
        if not report.running or len(failures) >= FAILURES_COUNT:
            return False
        failures.append(worker_id)
        return True

    apply_report = fail_sometimes(ShardState.apply_report, is_failing)
    with mock.patch.object(ShardState, "apply_report", apply_report):
        terms = []
        states = play_jobs(*make_job_ids(4), allowed_errors=("task",), terms=terms)
    check.assertEqual(len(failures), FAILURES_COUNT)
    check.assertEqual(terms[0], terms[1])
    check.assertEqual(set(states.values()), {JobState.COMPLETED})


def test_a_failed_term_is_followed_by_that_of_another_instance():
    """Guards against a process that ends, or leads for ever without scheduling."""
    failed_holders = []

    def is_failing(shard_state, claims, **keywords):
        if not claims or failed_holders:
            return False
        failed_holders.append(claims[0].worker_id)
        return True

    make_batch = fail_sometimes(batches.make_batch, is_failing)
    with mock.patch.object(scheduler, "make_batch", make_batch):
        terms = []
        states = play_jobs(
            *make_job_ids(3), allowed_errors=("leadership",), terms=terms
        )
    check.assertTrue(failed_holders)
    (first_name, _), (last_name, _) = terms
    check.assertNotEqual(first_name, last_name)
    check.assertEqual(set(states.values()), {JobState.COMPLETED})


def test_a_row_that_contradicts_itself_stops_no_takeover():
    """Guards against a stored job that keeps every instance from leading."""

    def is_failing(shard_state, submission, **keywords):
        return submission.job_id == BAD_JOB_ID

    add_job = fail_sometimes(ShardState.add_job, is_failing)
    with mock.patch.object(ShardState, "add_job", add_job):
        states = play_jobs(BAD_JOB_ID, *make_job_ids(2), allowed_errors=("row",))
    check.assertEqual(states.pop(BAD_JOB_ID), JobState.QUEUED)
    check.assertEqual(set(states.values()), {JobState.COMPLETED})


def test_a_job_with_unreadable_progress_is_not_run_again():
    """Guards against a second run of finished work after a takeover.

    Without its progress row, a job looks as if it had not begun.
    """
    job_id = BAD_JOB_ID
    starts = []

    class StartRecorder(NullObserver):
        def note_start(self, worker, run, order):
            starts.append(order.ref.job_id)

    async def run(cluster):
        member = cluster.members[0]
        step = make_step(tasks=2, seconds=1.0)
        await submit_job(member, cluster, job_id, step, run_seconds=1.0)
        await anyio.sleep(4.0)
        cluster.store.put(progress_key(Shard(), job_id), b"")
        cluster.kill(cluster.leader())
        await anyio.sleep(12.0)

    play_cluster(run, observer=StartRecorder(), instances_count=2)
    check.assertEqual(starts, [job_id] * 2)


def test_the_end_of_a_term_is_not_an_unexpected_error():
    """Guards against a superseded scheduler whose tasks start again."""

    async def lose():
        raise LeadershipLostError("superseded")

    with check.assertRaises(LeadershipLostError):
        run_virtual(supervise, "task", lose)


def test_an_error_is_described_with_its_place():
    """Guards against a log line that does not lead to the cause."""
    try:
        raise ExceptionGroup("tasks", [ValueError("first"), KeyError("second")])
    except ExceptionGroup as error:
        check.assertIn("ValueError('first')", describe_error(error))
    try:
        int("x")
    except ValueError as error:
        check.assertIn("test_an_error_is_described", describe_error(error))
