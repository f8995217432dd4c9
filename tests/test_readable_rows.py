"""Rows of accepted jobs, as callers read them."""

import json
import random
from unittest import mock

import anyio
import attrs
from hypothesis import given, settings, strategies as st

from kingcuptrack.coordination import admissions
from kingcuptrack.coordination.ports import Shard, StoreLimits
from kingcuptrack.coordination.rows import job_key, pending_key, progress_key
from kingcuptrack.outcomes import Done, Refused, Unknown
from kingcuptrack.platform.http_api import decode_job
from kingcuptrack.state.jobs.progress import (
    JobProgress,
    JobState,
    OpenRun,
    StepProgress,
    TaskProgress,
)
from kingcuptrack.state.jobs.progress_parts import (
    encode_head,
    is_divided,
    restore_progress,
)
from kingcuptrack.state.jobs.records import (
    decode_progress,
    decode_submission,
    encode_record,
)
from kingcuptrack.state.jobs.steps import Submission, find_step_problems

from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .simulated_policy import HOST, KEY
from .support import check, function_tests

load_tests = function_tests(__name__)

JOB_ID = "00000000000000{:02x}".format
PLAY_SEEDS = (1, 2)
JOBS_COUNT = 16
EXAMPLES_COUNT = 400
# Most of them are accepted; those above 2**63 - 1 are not.
INTEGERS = st.one_of(st.integers(0, 3), st.integers(0, 2**63 + 1))
NUMBERS = st.one_of(
    st.integers(-(10**30), 10**30), st.floats(allow_nan=False, allow_infinity=False)
)
TEXTS = st.text(max_size=40)
WIRE_STEPS = st.fixed_dictionaries(
    {"count": st.integers(1, 1025)},
    optional={
        "cpu": INTEGERS,
        "mem_mb": INTEGERS,
        "gpu": INTEGERS,
        "estimate_ms": NUMBERS,
        "after": st.lists(st.integers(0, 1), max_size=3),
        "checkpointing": st.booleans(),
        "gang": st.booleans(),
        "requirements": TEXTS,
        "data_rack": TEXTS,
        "anti_affinity": INTEGERS,
        "speculative": st.booleans(),
        "long_running": st.booleans(),
        "image": TEXTS,
        "may_miss": INTEGERS,
    },
)
WIRE_JOBS = st.fixed_dictionaries(
    {"steps": st.lists(WIRE_STEPS, min_size=1, max_size=4)},
    optional={
        "spec": TEXTS,
        "times": st.integers(0, 1001),
        "start_at_ms": NUMBERS,
        "interval_ms": NUMBERS,
        "long_running": st.booleans(),
    },
)
COUNTS = st.integers(0, 2**40)
TASKS = st.builds(
    TaskProgress,
    last_run=COUNTS,
    failures_count=COUNTS,
    is_done=st.booleans(),
    worker_id=TEXTS,
    checkpoint=TEXTS,
    crashed_worker_ids=st.lists(TEXTS, max_size=3),
    doubtful_crashes_count=COUNTS,
)
PROGRESS = st.builds(
    JobProgress,
    state=st.sampled_from(JobState),
    occurrences=st.dictionaries(
        st.integers(0, 999),
        st.lists(
            st.builds(
                StepProgress,
                tasks=st.lists(TASKS, max_size=4),
                failed_runs=st.sets(COUNTS, max_size=3),
            ),
            max_size=3,
        ),
        max_size=3,
    ),
    done_occurrences=st.sets(st.integers(0, 999), max_size=20),
    failure_reason=TEXTS,
)
OPEN_RUNS = st.lists(
    st.builds(
        OpenRun,
        occurrence=COUNTS,
        step=COUNTS,
        index=COUNTS,
        number=COUNTS,
        worker_id=TEXTS,
    ),
    max_size=4,
)


def make_submission(request):
    """Return the `Submission` of a `JobRequest` on a queue without special values."""
    return Submission(
        job_id=JOB_ID(1),
        queue="batch",
        organisation="acme",
        service="studio",
        priority=2,
        attempts_limit=4,
        stretch=3.0,
        target_latency_seconds=1.0,
        accepted_at_seconds=1.7e9,
        **attrs.asdict(request, recurse=False),
    )


@settings(max_examples=EXAMPLES_COUNT, deadline=None, derandomize=True, database=None)
@given(WIRE_JOBS)
def test_every_accepted_job_has_a_readable_row(wire_job):
    """Guards against a job that is stored and whose state can never be read."""
    try:
        request = decode_job(json.dumps(wire_job).encode())
    except ValueError:
        return
    if find_step_problems(request.steps, occurrences_count=request.occurrences_count):
        return
    submission = make_submission(request)
    check.assertEqual(decode_submission(encode_record(submission)), submission)


@settings(max_examples=EXAMPLES_COUNT, deadline=None, derandomize=True, database=None)
@given(PROGRESS, OPEN_RUNS, st.booleans())
def test_the_state_of_every_progress_can_be_read(progress, open_runs, is_wide):
    """Guards against progress that is stored in a row which callers cannot read."""
    for run in open_runs:
        progress.add_open_run(run)
    body = json.dumps({"steps": [{"count": 64 if is_wide else 1}]}).encode()
    submission = make_submission(decode_job(body))
    check.assertEqual(is_divided(submission), is_wide)
    for limit_bytes in (StoreLimits().row_bytes, 10):
        data = encode_head(progress, submission, limit_bytes=limit_bytes)
        check.assertEqual(decode_progress(data).state, progress.state)
        check.assertIsNotNone(restore_progress(submission, {"": data})[0])


def make_body(rng):
    """Return the body of a random job: small, wide, timed, in gangs or lasting."""
    steps = [
        {
            "count": rng.choice([1, 2, 8, 33, 70]),
            "cpu": rng.choice([0, 500, 2800]),
            "mem_mb": 64,
            "estimate_ms": rng.choice([0, 400, 1500.5]),
            "after": list(range(number)) if rng.random() < 0.7 else [],
            "checkpointing": rng.random() < 0.3,
            "image": rng.choice(["", "böx"]),
        }
        for number in range(rng.randint(1, 3))
    ]
    if rng.random() < 0.3:
        steps = [{**steps[0], "count": 4, "gang": True}]
    body = {"spec": rng.choice(["", "\0\U0001f600"]), "steps": steps}
    if rng.random() < 0.25:
        body |= {"times": rng.choice([1, 3, 5]), "interval_ms": 200.0}
    elif rng.random() < 0.1:
        body["long_running"] = True
    return json.dumps(body).encode()


def find_unread_states(seed):
    """Play random jobs; returns the outcomes of reads that are no state."""
    rng = random.Random(seed)
    unread = []
    states = {}

    async def use_job(cluster, job_id):
        await anyio.sleep(rng.uniform(0, 5))
        request = decode_job(make_body(rng))
        seconds, failing_runs = rng.uniform(0.2, 1.5), rng.choice([0, 0, 1, 5])
        cluster.fleet.jobs[job_id] = request.steps, seconds, failing_runs
        if rng.random() < 0.1:
            cluster.fleet.crashing_tasks[job_id] = {(0, 0)}
        service = cluster.members[0].instance.admissions
        path = f"/{rng.choice(['urgent', 'patient', 'batch'])}/{job_id}"
        caller = service.authorise(host=HOST, path=path, key=KEY).value
        outcome = await service.submit(caller, job_id, request, timeout_seconds=2.0)
        if not isinstance(outcome, Done):
            return
        is_cancelled = rng.random() < 0.25
        for _ in range(60):
            outcome = await service.read_state(caller, job_id)
            if isinstance(outcome, Done):
                states.setdefault(job_id, set()).add(outcome.value)
            else:
                unread.append((job_id, outcome))
            await anyio.sleep(0.25)
            if is_cancelled and rng.random() < 0.1:
                await service.cancel(caller, job_id, timeout_seconds=2.0)

    async def run(cluster):
        async with anyio.create_task_group() as tasks:
            for number in range(JOBS_COUNT):
                tasks.start_soon(use_job, cluster, JOB_ID(number))

    play_cluster(run, rng=rng, workers_count=24)
    return unread, states


def test_the_state_of_every_job_can_be_read_at_any_time():
    """Guards against progress of wide, timed or failed jobs that answers nobody."""
    seen = set()
    for seed in PLAY_SEEDS:
        unread, states = find_unread_states(seed)
        check.assertEqual(unread, [], f"seed {seed}")
        check.assertGreater(len(states), JOBS_COUNT // 2)
        seen.update(*states.values())
    check.assertEqual(seen, set(JobState))


def test_unreadable_rows_are_logged_and_counted():
    """Guards against jobs without a state whose cause nobody can find."""
    keys = [
        progress_key(Shard(), JOB_ID(1)),
        pending_key(Shard()),
        job_key(Shard(), JOB_ID(1)),
    ]
    lines = []

    async def run(cluster):
        member = cluster.members[0]
        step = make_step(tasks=1, seconds=1.0)
        caller = await submit_job(member, cluster, JOB_ID(1), step, run_seconds=1.0)
        await anyio.sleep(4.0)
        service, metrics = member.instance.admissions, mock.Mock()
        with (
            mock.patch.object(service, "_metrics", metrics),
            mock.patch.object(
                admissions,
                "log_event",
                lambda event, **fields: lines.append((event, fields)),
            ),
        ):
            for key in keys:
                cluster.store.put(key, b"\xc1")
                outcome = await (
                    service.count_pending(caller)
                    if key == pending_key(Shard())
                    else service.read_state(caller, JOB_ID(1))
                )
                check.assertIsInstance(outcome, Unknown)
                check.assertNotIsInstance(outcome, Refused)
        return [call.args for call in metrics.count_unreadable_row.call_args_list]

    counted = play_cluster(run)
    check.assertEqual(counted, [(key.table,) for key in keys])
    check.assertEqual(
        [(event, fields["outcome"], fields["row"]) for event, fields in lines],
        [("row", "unreadable", str(key)) for key in keys],
    )
    check.assertTrue(all(fields["reason"] for _, fields in lines))
