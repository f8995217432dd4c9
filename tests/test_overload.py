"""Refusals under overload on the in-memory cluster: when they come, and their truth."""

import json
import random
from unittest import mock

import anyio
from loguru import logger

from kingcuptrack.coordination import overload as overload_module
from kingcuptrack.coordination.admissions import OVERLOADED, JobRequest
from kingcuptrack.coordination.load_views import AGE_LIMIT_SECONDS, LoadViewWriter
from kingcuptrack.coordination.ports import Shard
from kingcuptrack.coordination.rows import LOAD_TABLE, WITHDRAWALS_TABLE, job_key
from kingcuptrack.outcomes import Done, Refused, Unknown
from kingcuptrack.platform.http_api import make_callers_application
from kingcuptrack.prometheus_metrics import PrometheusMetrics
from kingcuptrack.state.planning.features import Features
from kingcuptrack.state.planning.plan_rules import DEFAULT_RULES, PlanRules
from kingcuptrack.tools.inspection_text import describe_cluster

from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .simulation import HOST, KEY
from .support import check, function_tests

load_tests = function_tests(__name__)

RULES = PlanRules(features=Features(admission=True))
# Tasks of a job that keeps the cluster busy for ten minutes.
LARGE_STEP = make_step(tasks=1000, seconds=60.0)
SMALL_STEP = make_step(seconds=2.0)
# Time until every instance reads a view with a new job.
VIEW_SECONDS = 2.5


def job_id(number):
    return f"{number:016x}"


async def overload(cluster):
    """Submit a job after which jobs with `SMALL_STEP` would end too late."""
    await submit_job(
        cluster.members[0], cluster, job_id(9999), LARGE_STEP, run_seconds=60.0
    )
    await anyio.sleep(VIEW_SECONDS)


async def submit(cluster, member, number, *, queue="batch", timeout_seconds=2.0):
    """Submit a small job; returns its outcome."""
    cluster.fleet.jobs[job_id(number)] = (SMALL_STEP,), 2.0, 0
    admissions = member.instance.admissions
    caller = admissions.authorise(
        host=HOST, path=f"/{queue}/{job_id(number)}", key=KEY
    ).value
    request = JobRequest(spec="", steps=(SMALL_STEP,), digest=job_id(number))
    return await admissions.submit(
        caller, job_id(number), request, timeout_seconds=timeout_seconds
    )


def is_stored(cluster, number):
    return job_key(Shard(), job_id(number)) in cluster.store.rows


def is_refused(outcome):
    return isinstance(outcome, Refused) and outcome.code == OVERLOADED


def play(function, *, rules=RULES, **options):
    return play_cluster(function, rules=rules, **options)


def test_useless_jobs_are_refused_and_not_stored():
    """Guards against jobs that are stored although nobody can use their result."""

    async def run(cluster):
        await overload(cluster)
        for number, member in enumerate(cluster.members):
            began_at_seconds = anyio.current_time()
            outcome = await submit(cluster, member, number)
            check.assertTrue(is_refused(outcome), outcome)
            check.assertGreaterEqual(outcome.retry_after_seconds, 1.0)
            check.assertFalse(is_stored(cluster, number))
            # A refusal does not wait: one read of the view and one of the job.
            check.assertLess(anyio.current_time() - began_at_seconds, 0.1)

    play(run)


def test_urgent_work_is_accepted_under_overload():
    """Guards against refusals of the work that guarantees cover."""

    async def run(cluster):
        await overload(cluster)
        outcome = await submit(cluster, cluster.members[1], 1, queue="urgent")
        check.assertIsInstance(outcome, Done)

    play(run)


def test_an_error_in_the_decision_admits_the_job():
    """Guards against submissions that fail because of admission control."""

    async def run(cluster):
        await overload(cluster)
        with mock.patch.object(
            overload_module, "decide_admission", side_effect=ZeroDivisionError
        ):
            outcome = await submit(cluster, cluster.members[1], 1)
        check.assertIsInstance(outcome, Done)

    play(run, allowed_errors=("load_view",))


def test_with_the_switch_off_there_is_no_row_no_read_and_no_refusal():
    """Guards against a part that changes deployments which do not use it."""

    async def run(cluster):
        await overload(cluster)
        outcome = await submit(cluster, cluster.members[1], 1)
        check.assertIsInstance(outcome, Done)
        check.assertEqual(
            [key for key in cluster.store.rows if key.table == LOAD_TABLE], []
        )
        member = cluster.members[1]
        check.assertIsNone(member.instance.admissions._overload)

    play(run, rules=DEFAULT_RULES)


def test_a_stored_job_is_not_refused_at_another_instance():
    """Guards against a refusal of a job that runs, since its first answer was lost."""

    async def run(cluster):
        first, second = cluster.members[:2]
        cluster.store.faults.lost_share = 1.0
        outcome = await submit(cluster, first, 1)
        check.assertIsInstance(outcome, Unknown)
        cluster.store.faults.lost_share = 0.0
        check.assertTrue(is_stored(cluster, 1))
        await overload(cluster)
        check.assertTrue(is_refused(await submit(cluster, second, 2)))
        check.assertIsInstance(await submit(cluster, second, 1), Done)

    play(run)


def test_without_an_answer_to_the_lookup_the_submission_goes_on():
    """Guards against an untrue refusal of a job whose row could not be looked up."""

    async def run(cluster):
        member = cluster.members[1]
        await overload(cluster)
        # The instance has a recent copy of the view.
        check.assertTrue(is_refused(await submit(cluster, member, 1)))
        cluster.store.faults.silent_tables = {WITHDRAWALS_TABLE}
        check.assertIsInstance(await submit(cluster, member, 2), Done)
        check.assertTrue(is_stored(cluster, 2))

    play(run)


def test_a_submission_that_may_still_be_stored_is_not_refused():
    """Guards against a refusal before the store applies an earlier transaction late."""

    async def run(cluster):
        member = cluster.members[1]
        numbers = range(10)
        cluster.store.faults.late_share = 1.0
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(send_unanswered, cluster, member, number)
        cluster.store.faults.late_share = 0.0
        await overload(cluster)
        check.assertTrue(is_refused(await submit(cluster, member, 20)))
        late = [number for number in numbers if not is_stored(cluster, number)]
        check.assertGreater(len(late), 2)
        for number in numbers:
            check.assertIsInstance(await submit(cluster, member, number), Done)

    async def send_unanswered(cluster, member, number):
        outcome = await submit(cluster, member, number, timeout_seconds=0.5)
        check.assertIsInstance(outcome, Unknown)

    play(run)


def test_a_view_that_is_not_renewed_ends_the_refusals():
    """Guards against refusals for good by the view of a leader that has died."""

    async def run(cluster):
        await overload(cluster)
        member = cluster.members[1]
        check.assertTrue(is_refused(await submit(cluster, member, 1)))
        with mock.patch.object(LoadViewWriter, "due_rows", return_value={}):
            await anyio.sleep(AGE_LIMIT_SECONDS - 1.5)
            check.assertTrue(is_refused(await submit(cluster, member, 2)))
            await anyio.sleep(1.5)
            check.assertIsInstance(await submit(cluster, member, 3), Done)
        await anyio.sleep(VIEW_SECONDS)
        check.assertTrue(is_refused(await submit(cluster, member, 4)))

    play(run)


def test_the_next_leader_measures_the_load():
    """Guards against an end of admission control at a change of the leader."""

    async def run(cluster):
        await overload(cluster)
        leader = cluster.leader()
        other = next(member for member in cluster.members if member is not leader)
        cluster.kill(leader)
        while cluster.leader() is None:
            await anyio.sleep(0.1)
        await anyio.sleep(VIEW_SECONDS)
        check.assertTrue(is_refused(await submit(cluster, other, 1)))

    play(run)


def test_refusals_are_true_under_lost_answers_takeovers_and_outages():
    """Guards against a job that runs although its latest answer was a refusal.

    Callers send each job to random instances until it is accepted, while answers are
    lost, the leader is killed and the store is down.
    """
    for seed in range(4):
        answers, stored = play(lambda cluster, seed=seed: play_faults(cluster, seed))
        untrue = [
            number
            for number, outcomes in answers.items()
            if outcomes and is_refused(outcomes[-1]) and number in stored
        ]
        check.assertEqual(untrue, [], f"seed {seed}")
        refusals_count = sum(
            is_refused(outcome) for outcomes in answers.values() for outcome in outcomes
        )
        lost_count = sum(
            isinstance(outcome, Unknown)
            for outcomes in answers.values()
            for outcome in outcomes
        )
        check.assertGreater(refusals_count, 20)
        check.assertGreater(lost_count, 3)


async def play_faults(cluster, seed):
    """Return the outcomes of each job, and the numbers of the stored jobs."""
    rng = random.Random(seed)
    answers = {}

    async def call(number):
        await anyio.sleep(rng.uniform(0.0, 25.0))
        answers[number] = []
        for _ in range(6):
            member = rng.choice(cluster.members)
            instance = member.instance
            if instance is not None and instance.is_ready():
                outcome = await submit(cluster, member, number)
                # The answer of an instance that was killed meanwhile is lost.
                if member.instance is not instance:
                    outcome = Unknown(message="connection closed")
                answers[number].append(outcome)
                if isinstance(outcome, Done):
                    return
            await anyio.sleep(rng.uniform(0.2, 3.0))

    async def disrupt():
        # Jobs are stored and their answers are lost before the overload and, since
        # views age, after the outage of the store.
        faults = cluster.store.faults
        faults.lost_share = 0.8
        await anyio.sleep(3.0)
        faults.lost_share = 0.0
        await overload(cluster)
        faults.lost_share = 0.5
        leader = cluster.leader()
        if leader is not None:
            cluster.kill(leader)
            await anyio.sleep(2.0)
            cluster.start(leader)
        await anyio.sleep(3.0)
        faults.down = rng.choice(("silent", "busy"))
        await anyio.sleep(rng.uniform(2.0, 6.0))
        faults.down = ""
        await anyio.sleep(6.0)
        faults.lost_share = 0.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(disrupt)
        for number in range(80):
            tasks.start_soon(call, number)
    await anyio.sleep(8.0)
    return answers, {number for number in answers if is_stored(cluster, number)}


def test_callers_get_429_with_retry_after():
    """Guards against a refusal that callers or operators cannot tell from others."""

    async def run(cluster):
        await overload(cluster)
        metrics = PrometheusMetrics()
        application = make_callers_application(cluster.members[1].instance, metrics)
        lines = []
        logger.enable("kingcuptrack")
        sink = logger.add(lambda message: lines.append(message.record), level="INFO")
        try:
            status, headers, body = await send_request(application, job_id(1))
        finally:
            logger.remove(sink)
            logger.disable("kingcuptrack")
        check.assertEqual(status, 429)
        check.assertGreaterEqual(int(headers[b"retry-after"]), 1)
        check.assertIn("overload", body["error"])
        check.assertIn(
            b'kingcuptrack_overload_refusals_total{reason="overload"} 1.0',
            metrics.render(),
        )
        fields = next(
            line["extra"] for line in lines if line["extra"].get("kind") == "submit"
        )
        check.assertEqual(fields["refused"], "overload")
        check.assertGreater(fields["expected_wait_seconds"], 30.0)

    play(run)


async def send_request(application, number):
    """Submit a small batch job over the ASGI interface."""
    body = json.dumps(
        {"steps": [{"count": 1, "cpu": 1000, "gpu": 1, "estimate_ms": 2000}]}
    ).encode()
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": f"/batch/{number}",
        "headers": [(b"host", HOST.encode()), (b"x-api-key", KEY.encode())],
    }
    await application(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"]), json.loads(sent[1]["body"])


def test_status_shows_the_load():
    """Guards against refusals whose cause operators cannot see."""

    async def run(cluster):
        await overload(cluster)
        member = cluster.members[1]
        return await describe_cluster(cluster.make_environment(member))

    text = play(run)
    check.assertRegex(text, r"load at 2023-11-1\d")
    check.assertRegex(text, r"studio +acme +\d+")
