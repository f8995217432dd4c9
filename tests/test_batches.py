"""Contents of a commit of the scheduler."""

import attrs

from kingcuptrack.coordination.batches import (
    FINISHED_JOB_RETENTION_SECONDS,
    JOBS_PER_COMMIT,
    make_batch,
)
from kingcuptrack.coordination.ports import RowKey, Shard
from kingcuptrack.coordination.rows import cancel_key, progress_key

from .shard_states import add_job, make_ref, make_shard_state, make_step
from .support import check, function_tests

load_tests = function_tests(__name__)

SHARD = Shard()


@attrs.define(eq=False)
class _Session:
    received_end: int = 5
    life: int = 1


def _closure_key(data_centre):
    return RowKey(table="closed", part="", key=data_centre)


def _make(shard_state, claims=(), *, session=None, now_seconds=0.0):
    return make_batch(
        shard_state,
        list(claims),
        shard=SHARD,
        closure_key=_closure_key,
        sessions=[session or _Session()],
        stored_counts=None,
        now_seconds=now_seconds,
    )


def test_a_claim_expects_no_cancel_and_an_open_data_centre():
    """Guards against starts after an acknowledged cancel or take-out."""
    shard_state = make_shard_state({"r0": ["w0"]})
    add_job(shard_state, "job", make_step())
    run = shard_state.claim(make_ref("job"), "w0", number=1, now_seconds=0.0)
    batch = _make(shard_state, [run])
    check.assertEqual(batch.expect[cancel_key(SHARD, "job")], 0)
    check.assertEqual(batch.expect[_closure_key("dc0")], 0)
    check.assertIn(progress_key(SHARD, "job"), batch.puts)


def test_ends_wait_until_every_changed_job_is_stored():
    """Guards against an end that is acknowledged before its progress is stored."""
    shard_state = make_shard_state({"r0": ["w0"]})
    for number in range(JOBS_PER_COMMIT + 5):
        add_job(shard_state, f"job-{number:03d}", make_step())
        shard_state.cancel_job(f"job-{number:03d}")
    session = _Session()
    first = _make(shard_state, session=session)
    check.assertEqual(len(first.job_ids), JOBS_PER_COMMIT)
    check.assertEqual(first.ends, {})
    second = _make(shard_state, session=session)
    check.assertEqual(len(second.job_ids), 5)
    check.assertEqual(second.ends, {session: (5, 1)})


def test_rows_of_finished_jobs_are_kept_for_their_retention():
    """Guards against a repeated submission that runs again, and growing tables."""
    shard_state = make_shard_state({"r0": ["w0"]})
    add_job(shard_state, "job", make_step())
    shard_state.cancel_job("job")
    _make(shard_state)
    shard_state.move_finished_jobs(now_seconds=10.0)
    check.assertEqual(
        _make(shard_state, now_seconds=10.0 + FINISHED_JOB_RETENTION_SECONDS).removes,
        (),
    )
    removes = _make(
        shard_state, now_seconds=11.0 + FINISHED_JOB_RETENTION_SECONDS
    ).removes
    check.assertEqual(len(removes), 3)
