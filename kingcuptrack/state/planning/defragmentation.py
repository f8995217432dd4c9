"""Room for a starving unit where free capacity is in pieces too small for its tasks.

Designed for small tasks on nearly all workers, which leave none with enough room for
a large task, beside much capacity that is free.
"""

from ..jobs.steps import GUARANTEED_PRIORITY
from .victims import choose_reclaim, find_victims, weighted_cores


def find_room(
    unit,
    requirements,
    slots,
    shard_state,
    *,
    now_seconds,
    expected_seconds,
    loss_factor,
):
    """Choose runs whose end makes room for all tasks of a unit, or return None.

    Only runs without urgency with smaller tasks are chosen, so that two units cannot
    stop each other in turn, none twice, and none that last. Their loss is at most
    ``loss_factor`` times the expected work of the unit.

    Parameters
    ----------
    unit : SchedulingUnit
    requirements : TaskRequirements
    slots : list of Slot
        Free capacity now; not changed.
    shard_state : ShardState
    now_seconds : float
    expected_seconds : float
        Expected run time of the unit's tasks.
    loss_factor : float

    Returns
    -------
    Reclaim or None
    """
    limit_cores = weighted_cores(unit.step.resources)

    def cost_factor(job, run):
        is_movable = (
            run.priority > GUARANTEED_PRIORITY
            and _size(run.resources) < _size(unit.step.resources)
            and not job.submission.steps[run.ref.step].is_long_running
            and not shard_state.was_moved_for_room(run)
        )
        return 1.0 if is_movable else 0.0

    victims = find_victims(shard_state, cost_factor, now_seconds)
    reclaim = choose_reclaim(
        slots, victims, requirements, len(unit.indexes), same_rack=False
    )
    own_core_seconds = limit_cores * len(unit.indexes) * expected_seconds
    if reclaim is None or reclaim.cost > loss_factor * own_core_seconds:
        return None
    return reclaim


def _size(resources):
    return weighted_cores(resources), resources.memory_mb
