"""Result of a planning pass, and where a unit may be placed."""

import attrs

from ..jobs.steps import TaskRef


@attrs.frozen(kw_only=True)
class Placement:
    """A task, the worker chosen for it, and the reason for the choice.

    ``slowdown`` is the run time expected there, relative to average workers.
    """

    ref: object
    worker_id: str
    run_number: int
    is_remote: bool
    reason: str
    slowdown: float = 1.0


@attrs.frozen(kw_only=True)
class Plan:
    """Result of a planning pass.

    ``groups`` holds lists of placements that are claimed together. ``stops`` holds
    (run, reason) of runs to stop for urgent work, ``moves`` those of runs to stop so
    that a starving unit fits, ``holds`` (worker ids, unit key) of the workers that are
    then held for it, ``waits`` (unit, reason) of units that were not placed, or only in
    part. ``errors`` are (unit, error) of units whose planning raised an error.
    """

    groups: list
    stops: list
    waits: list
    moves: list = attrs.field(factory=list)
    holds: list = attrs.field(factory=list)
    errors: list = attrs.field(factory=list)


def list_searches(unit, pool, is_near_only):
    """Return the searches for room, as (slots, same_rack, is_remote)."""
    searches = []
    if unit.step.data_rack:
        near = pool.by_rack.get(unit.step.data_rack, [])
        searches.append((near, False, False))
    if unit.step.same_rack:
        searches.append((pool.slots, True, False))
    if not searches:
        searches.append((pool.slots, False, False))
    elif not is_near_only:
        searches.append((pool.slots, False, True))
    return searches


def make_group(unit, chosen, slowdowns):
    """Return the placements of a unit; the members of a gang share a run number."""
    steps = unit.job.progress.occurrences[unit.occurrence]
    tasks = steps[unit.step_number].tasks
    gang_number = 1 + max(task.last_run for task in tasks)
    racks = {slot.rack for slot in chosen}
    group = []
    for index, slot, slowdown in zip(unit.indexes, chosen, slowdowns, strict=False):
        run_number = gang_number if unit.step.is_gang else tasks[index].last_run + 1
        is_off_data_rack = (
            bool(unit.step.data_rack) and slot.rack != unit.step.data_rack
        )
        is_across_racks = unit.step.same_rack and len(racks) > 1
        ref = TaskRef(
            job_id=unit.job.submission.job_id,
            occurrence=unit.occurrence,
            step=unit.step_number,
            index=index,
        )
        group.append(
            Placement(
                ref=ref,
                worker_id=slot.worker_id,
                run_number=run_number,
                is_remote=is_off_data_rack or is_across_racks,
                reason=f"free accelerators {slot.free.gpus_count}, rack {slot.rack}",
                slowdown=slowdown,
            )
        )
    return group
