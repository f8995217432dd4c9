"""Moves of runs that slow urgent work down on their worker.

Designed for tasks with slack and checkpoints beside urgent work that came later, when
there was no other room: right after a checkpoint, a move wastes little more than the
time to restore it.
"""

from ..jobs.steps import GUARANTEED_PRIORITY
from .packing import count_fitting
from .scheduling_units import make_slots, step_requirements
from .wasted_work import RESTORE_SECONDS

# A checkpoint older than this is too old for a move; the run is moved at its next one.
# Must exceed the interval between searches, `scheduler.RUN_CHECK_INTERVAL_SECONDS`.
CHECKPOINT_AGE_LIMIT_SECONDS = 0.5
# Moves of the tasks of one step, so that none moves to and fro, and the time between
# two moves in the shard, in which their effect can be seen.
MOVES_LIMIT_COUNT = 2
MOVES_INTERVAL_SECONDS = 1.0


def find_move(shard_state, policy, *, now_seconds):
    """Return (run, reason) of a run to stop, so that it continues elsewhere, or None.

    Members of gangs stay: a move would stop the whole gang.

    Parameters
    ----------
    shard_state : ShardState
    policy : PlanningPolicy
    now_seconds : float
        Time of the monotonic clock.
    """
    interference = shard_state.interference
    if interference is None or not interference.has_pairs():
        return None
    if now_seconds - shard_state.moved_at_seconds < MOVES_INTERVAL_SECONDS:
        return None
    slots = None
    for worker in shard_state.workers.values():
        for run in worker.runs.values():
            if not _may_move(shard_state, run, now_seconds):
                continue
            slowed = _find_slowed(shard_state, run, worker, now_seconds)
            if slowed is None:
                continue
            if slots is None:
                slots = make_slots(shard_state, policy, now_seconds=now_seconds)
            if _has_quiet_room(shard_state, run, slots):
                return run, f"moved: it slows down urgent {slowed.ref}"
    return None


def _may_move(shard_state, run, now_seconds):
    """Return whether a run has slack, and a checkpoint that it has just written."""
    if run.checkpoint_at_seconds is None:
        return False
    checkpoint_age_seconds = now_seconds - run.checkpoint_at_seconds
    return (
        run.priority > GUARANTEED_PRIORITY
        and run.has_checkpoints
        and not run.is_stopping
        and checkpoint_age_seconds <= CHECKPOINT_AGE_LIMIT_SECONDS
        and shard_state.count_moves(run) < MOVES_LIMIT_COUNT
        and not shard_state.jobs[run.ref.job_id].submission.steps[run.ref.step].is_gang
    )


def _find_slowed(shard_state, run, worker, now_seconds):
    """Return an urgent run that a move of another run would help, or None."""
    for other in worker.runs.values():
        if other.priority != GUARANTEED_PRIORITY or other.is_stopping:
            continue
        factor = shard_state.interference.factor(other.kind, (run.kind,))
        end_seconds = shard_state.expected_end_seconds(other, now_seconds)
        # The move must save the urgent run more than the restore takes.
        if (end_seconds - now_seconds) * (1.0 - 1.0 / factor) > RESTORE_SECONDS:
            return other
    return None


def _has_quiet_room(shard_state, run, slots):
    """Return whether the run fits on another worker where it slows nothing down."""
    job = shard_state.jobs[run.ref.job_id]
    step = job.submission.steps[run.ref.step]
    requirements = step_requirements(job, run.ref.occurrence, run.ref.step)
    for slot in slots:
        if slot.worker_id == run.worker_id or not count_fitting(slot, requirements, 1):
            continue
        if step.data_rack and slot.rack != step.data_rack:
            continue
        kinds = shard_state.neighbours.counts(slot.worker_id)
        factors = [
            shard_state.interference.factor(run.kind, kinds),
            *(shard_state.interference.factor(kind, (run.kind,)) for kind in kinds),
        ]
        if max(factors) == 1.0:
            return True
    return False
