"""Requests that read the store while it is slow, silent or down."""

import json
import types
from unittest import mock

import anyio
import attrs

from kingcuptrack.coordination.admissions import NEVER_FITS, Admissions, JobRequest
from kingcuptrack.coordination.ports import BUSY, Shard
from kingcuptrack.outcomes import Done, Refused, Unknown
from kingcuptrack.platform.http_api import make_callers_application
from kingcuptrack.state.jobs.steps import Resources

from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .simulated_policy import HOST, KEY, make_policy
from .support import check, function_tests

load_tests = function_tests(__name__)

JOB_ID = "00000000000000{:02x}".format
JOBS_COUNT = 6
USUAL_SECONDS = 0.004
# The time that callers wait, less the way of the answer.
ANSWER_LIMIT_SECONDS = 2.7
REFUSAL_LIMIT_SECONDS = 0.3
# Time after which an instance knows that it does not reach the store.
CUT_SECONDS = 2.0
# A gang that is larger than all workers together.
WAITING_STEP = make_step(tasks=1000, gpus=4, is_gang=True)
DOWN = Refused(code=BUSY, message="status 503")


@attrs.define(kw_only=True)
class Reads:
    """Reads of a store whose answers take ``seconds``.

    The first ``silent_count`` reads of each range get no answer, the first
    ``failing_count`` the ``failure`` at once. ``is_trickling`` answers keep arriving,
    beyond the timeout.
    """

    store: object
    seconds: float = USUAL_SECONDS
    silent_count: int = 0
    failing_count: int = 0
    failure: object = DOWN
    is_trickling: bool = False
    open_count: int = 0
    counts: dict = attrs.field(factory=dict)

    async def read(self, *, table, part, first, last, timeout_seconds, note_begun=None):
        """Return the outcome of one read."""
        count = self.counts.get((table, first), 0)
        self.counts[table, first] = count + 1
        self.open_count += 1
        try:
            if count < self.failing_count:
                await anyio.sleep(USUAL_SECONDS)
                return self.failure
            if self.is_trickling and note_begun is not None:
                note_begun()
            seconds = self.seconds if count >= self.silent_count else float("inf")
            await anyio.sleep(
                seconds if self.is_trickling else min(seconds, timeout_seconds)
            )
            if seconds > timeout_seconds:
                return Unknown(message="no answer")
            return Done(value=self.store.read_range(table, part, first, last))
        finally:
            self.open_count -= 1


def make_admissions(cluster, reads):
    """Return the `Admissions` of an instance with other reads of the store."""
    member = cluster.members[0]
    environment = cluster.make_environment(member)
    return Admissions(
        environment=attrs.evolve(
            environment, store=attrs.evolve(environment.store, read=reads.read)
        ),
        policy_watch=member.instance.policy_watch,
        shard=Shard(),
        list_workers=lambda service: [],
        metrics=mock.Mock(),
    )


async def get(cluster, admissions, path, *, deadline_ms=3000):
    """Send a GET over the HTTP interface; returns (status, body, seconds)."""
    instance = types.SimpleNamespace(
        admissions=admissions,
        policy_watch=cluster.members[0].instance.policy_watch,
        is_leaving=False,
    )
    headers = {"host": HOST, "x-api-key": KEY, "deadline-ms": str(deadline_ms)}
    scope = {
        "type": "http",
        "method": "GET",
        "path": path,
        "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
    }
    sent = []

    async def receive():
        return {"type": "http.request"}

    async def send(message):
        sent.append(message)

    began_at_seconds = anyio.current_time()
    await make_callers_application(instance, mock.Mock())(scope, receive, send)
    seconds = anyio.current_time() - began_at_seconds
    return sent[0]["status"], json.loads(sent[1]["body"]), seconds


def play_gets(*, deadline_ms=3000, **faults):
    """Ask for queued and completed jobs and the waiting jobs.

    Returns the answers by path, and the `Reads`, whose open ones must have ended.
    """

    async def run(cluster):
        step = make_step(seconds=1.0)
        for number in range(JOBS_COUNT):
            wanted = WAITING_STEP if number % 2 else step
            await submit_job(
                cluster.members[0], cluster, JOB_ID(number), wanted, run_seconds=1.0
            )
        await anyio.sleep(5.0)
        reads = Reads(store=cluster.store, **faults)
        admissions = make_admissions(cluster, reads)
        answers = {}

        async def ask(path):
            answers[path] = await get(
                cluster, admissions, path, deadline_ms=deadline_ms
            )
            await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            for number in range(JOBS_COUNT):
                tasks.start_soon(ask, f"/batch/{JOB_ID(number)}")
            tasks.start_soon(ask, "/batch/")
        check.assertEqual(reads.open_count, 0)
        return answers, reads

    return play_cluster(run)


def check_answered(answers):
    for number in range(JOBS_COUNT):
        status, body, seconds = answers[f"/batch/{JOB_ID(number)}"]
        check.assertEqual(status, 200, body)
        state = "queued" if number % 2 else "completed"
        check.assertEqual(body, {"state": state})
        check.assertLessEqual(seconds, ANSWER_LIMIT_SECONDS)
    status, body, seconds = answers["/batch/"]
    check.assertEqual((status, body), (200, {"pending": JOBS_COUNT // 2}))
    check.assertLessEqual(seconds, ANSWER_LIMIT_SECONDS)


def check_refused(answers, limit_seconds):
    for status, body, seconds in answers.values():
        check.assertEqual(status, 503, body)
        check.assertIn("the store cannot be read", body["error"])
        check.assertLessEqual(seconds, limit_seconds)


def test_a_slow_store_answers_every_request_for_a_state():
    """Guards against accepted jobs without a state while each answer takes seconds."""
    for seconds in (1.0, 2.0):
        answers, _ = play_gets(seconds=seconds)
        check_answered(answers)


def test_silent_connections_delay_no_state_beyond_the_deadline():
    """Guards against requests that wait for a broken connection until they end."""
    for seconds, silent_count in ((USUAL_SECONDS, 1), (USUAL_SECONDS, 2), (1.0, 1)):
        answers, _ = play_gets(seconds=seconds, silent_count=silent_count)
        check_answered(answers)


def test_one_refused_read_refuses_no_request_for_a_state():
    """Guards against a 503 for each single call that the store refuses."""
    for failure in (DOWN, Unknown(message="connection reset")):
        answers, _ = play_gets(failing_count=1, failure=failure)
        check_answered(answers)


def test_a_store_that_is_down_refuses_states_soon():
    """Guards against requests held back, and calls multiplied, during an outage."""
    answers, reads = play_gets(failing_count=1000)
    check_refused(answers, REFUSAL_LIMIT_SECONDS)
    check.assertLessEqual(sum(reads.counts.values()), 3 * JOBS_COUNT + 2)


def test_an_instance_without_the_store_refuses_states_soon():
    """Guards against callers held at an instance that is cut off until they give up."""

    async def run(cluster):
        member = cluster.members[0]
        caller = await submit_job(
            member, cluster, JOB_ID(1), WAITING_STEP, run_seconds=1.0
        )
        cluster.store.faults.cut_callers.add(member.name)
        await anyio.sleep(CUT_SECONDS)
        began_at_seconds = anyio.current_time()
        outcome = await member.instance.admissions.read_state(
            caller, JOB_ID(1), timeout_seconds=ANSWER_LIMIT_SECONDS
        )
        return outcome, anyio.current_time() - began_at_seconds

    outcome, seconds = play_cluster(run)
    check.assertIsInstance(outcome, Refused)
    check.assertLessEqual(seconds, 1.0)


def test_a_state_is_refused_before_the_callers_deadline():
    """Guards against answers after the caller has given up."""
    answers, _ = play_gets(seconds=2.0, deadline_ms=1000)
    check_refused(answers, 0.75)
    answers, _ = play_gets(seconds=30.0, is_trickling=True)
    check_refused(answers, ANSWER_LIMIT_SECONDS + 0.05)


def test_an_answer_that_arrives_slowly_is_not_asked_for_again():
    """Guards against repeated reads that slow down a large row over a narrow link."""
    answers, reads = play_gets(seconds=2.0, is_trickling=True)
    check_answered(answers)
    check.assertEqual(set(reads.counts.values()), {1})


def test_no_read_is_begun_after_the_callers_deadline():
    """Guards against calls to the store whose answers nobody waits for."""
    answers, reads = play_gets(deadline_ms=100)
    check_refused(answers, 0.0)
    check.assertEqual(reads.counts, {})


def test_a_job_is_absent_only_after_an_answered_read():
    """Guards against a 410 for an accepted job whose row was not read."""

    async def run(cluster):
        await submit_job(
            cluster.members[0], cluster, JOB_ID(1), WAITING_STEP, run_seconds=1.0
        )
        statuses = []
        for number in (1, 2):
            for silent_count in (0, 1, 1000):
                reads = Reads(store=cluster.store, silent_count=silent_count)
                admissions = make_admissions(cluster, reads)
                status, _, _ = await get(
                    cluster, admissions, f"/batch/{JOB_ID(number)}"
                )
                check.assertEqual(reads.open_count, 0)
                statuses.append(status)
        return statuses

    check.assertEqual(play_cluster(run), [200, 200, 503, 410, 410, 503])


def test_a_slow_store_takes_cancels():
    """Guards against a cancel whose read of the job ends before each answer."""

    async def run(cluster):
        caller = await submit_job(
            cluster.members[0], cluster, JOB_ID(1), WAITING_STEP, run_seconds=1.0
        )
        outcomes = []
        for seconds in (1.0, 2.0, 30.0):
            reads = Reads(store=cluster.store, seconds=seconds)
            admissions = make_admissions(cluster, reads)
            outcomes.append(
                await admissions.cancel(caller, JOB_ID(1), timeout_seconds=2.7)
            )
            check.assertEqual(reads.open_count, 0)
        return outcomes

    *done, refused = play_cluster(run)
    check.assertEqual(done, [Done(), Done()])
    check.assertIn("the store cannot be read", refused.message)
    check.assertIsInstance(refused, Refused)


def test_a_slow_store_settles_a_job_above_the_maximum():
    """Guards against an unknown outcome for a job that can never run."""
    maximum = Resources(cpu_millicores=1000, memory_mb=1000, gpus_count=1)
    request = JobRequest(spec="", steps=(make_step(gpus=2),), digest="")

    async def run(cluster):
        cluster.set_policy(make_policy(version=2, maximum=maximum))
        await anyio.sleep(2.0)
        reads = Reads(store=cluster.store, seconds=1.0)
        admissions = make_admissions(cluster, reads)
        caller = admissions.authorise(
            host=HOST, path=f"/batch/{JOB_ID(1)}", key=KEY
        ).value
        return await admissions.submit(caller, JOB_ID(1), request, timeout_seconds=2.7)

    outcome = play_cluster(run)
    check.assertIsInstance(outcome, Refused)
    check.assertEqual(outcome.code, NEVER_FITS)
