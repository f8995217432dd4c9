"""Runs on leaving workers."""

from kingcuptrack.state.planning.departures import find_runs_past_departure

from .shard_states import (
    add_job,
    make_entry,
    make_shard_state,
    make_step,
    start_run,
)
from .support import check, function_tests

load_tests = function_tests(__name__)


def _start_on_leaving_worker(*, has_checkpoints, remaining_seconds):
    """Return a shard state whose worker leaves, and its run of 20 s."""
    shard_state = make_shard_state({"r0": ["w0"]})
    step = make_step(seconds=20.0, has_checkpoints=has_checkpoints)
    add_job(shard_state, "job", step)
    run = start_run(shard_state, "job", "w0")
    entry = make_entry(
        "w0", is_draining=True, remaining_service_seconds=remaining_seconds
    )
    shard_state.set_worker_entries([entry], now_seconds=0.0)
    return shard_state, run


def test_runs_that_cannot_end_in_time_move_at_once():
    """Guards against runs that are lost with their worker."""
    shard_state, run = _start_on_leaving_worker(
        has_checkpoints=False, remaining_seconds=8.0
    )
    check.assertEqual(find_runs_past_departure(shard_state, now_seconds=0.1), [run])


def test_runs_that_end_in_time_stay():
    """Guards against the move of runs that end before their worker leaves."""
    shard_state, _ = _start_on_leaving_worker(
        has_checkpoints=True, remaining_seconds=30.0
    )
    check.assertEqual(find_runs_past_departure(shard_state, now_seconds=0.1), [])
