"""Choice of the `GuaranteeSlot` and the workers of a guaranteed gang.

The footprint of a slot is the tuple of workers that it covers, one per task.
"""

import attrs

from .cluster import fit_count
from .guarantees import GuaranteeSlot, move_slot, swap_slots
from .placement import adjacency_domains, assign_in_order
from .reclaim import PlacementTarget, record_runner_up, target_in_domain

# Footprints of slots that are compared for one gang. Bounds the time of a decision.
COMPARED_SLOTS_LIMIT_COUNT = 16


@attrs.frozen(kw_only=True)
class SlotChoice:
    """A slot for a gang, and how its footprint changes before the gang starts.

    The slot exchanges footprints with ``exchanged_slot`` if that is set; otherwise
    ``worker_ids``, if not empty, become its footprint.
    """

    slot: GuaranteeSlot
    target: PlacementTarget
    exchanged_slot: GuaranteeSlot | None = None
    worker_ids: tuple[str, ...] = ()


def choose_slot(packing, cluster, slots, needs, tasks_count, cost_of, level, excluded):
    """Return the cheapest way to run a gang in one of its unused slots, or None.

    Three kinds of footprints are compared: those of these slots; those of unused
    slots of the same kind of other organisations, which can be exchanged; and new
    ones in capacity that no slot covers.
    """
    own = slots[:COMPARED_SLOTS_LIMIT_COUNT]
    slot = own[0]
    best = None
    for candidate in own + _exchangeable_slots(
        packing, slot, COMPARED_SLOTS_LIMIT_COUNT - len(own)
    ):
        is_own = candidate.organisation == slot.organisation
        target = _find_cheaper_target(
            cluster, candidate.worker_ids, needs, tasks_count, cost_of, excluded, best
        )
        if target is not None:
            best = SlotChoice(
                slot=candidate if is_own else slot,
                exchanged_slot=None if is_own else candidate,
                target=record_runner_up(target, best and best.target),
            )
            if target.is_ready:
                return best
    footprint = slot.worker_ids
    move_slot(packing, slot, ())
    for worker_ids in _new_footprints(packing, cluster, slot.kind, level):
        target = _find_cheaper_target(
            cluster, worker_ids, needs, tasks_count, cost_of, excluded, best
        )
        if target is not None:
            target = record_runner_up(target, best and best.target)
            best = SlotChoice(slot=slot, worker_ids=worker_ids, target=target)
            if target.is_ready:
                break
    move_slot(packing, slot, footprint)
    return best


def apply_slot_choice(packing, choice):
    """Exchange or replace the footprint of the chosen slot as the choice says."""
    if choice.exchanged_slot is not None:
        swap_slots(packing, choice.slot, choice.exchanged_slot)
    elif choice.worker_ids:
        move_slot(packing, choice.slot, choice.worker_ids)


def _find_cheaper_target(
    cluster, footprint, needs, tasks_count, cost_of, excluded, best
):
    limits = {}
    for worker_id in footprint:
        if worker_id not in excluded:
            limits[worker_id] = limits.get(worker_id, 0) + 1
    target = target_in_domain(
        cluster, list(limits), needs, tasks_count, cost_of, limits=limits
    )
    if target is None or best is None:
        return target
    key = (not target.is_ready, target.cost)
    return target if key < (not best.target.is_ready, best.target.cost) else None


def _exchangeable_slots(packing, slot, limit_count):
    exchangeable = []
    for organisation, slots in packing.slots.items():
        if organisation == slot.organisation:
            continue
        for other in slots:
            if len(exchangeable) >= limit_count:
                return exchangeable
            if other.worker_ids and not other.job_id and other.kind == slot.kind:
                exchangeable.append(other)
    return exchangeable


def _new_footprints(packing, cluster, kind, level):
    uncovered = packing.uncovered.free
    for worker_ids in adjacency_domains(cluster.racks, level):
        counts = [(item, fit_count(uncovered[item], kind.needs)) for item in worker_ids]
        if sum(count for _, count in counts) < kind.tasks_count:
            continue
        # Workers with the most planned free capacity come first, since fewer gangs have
        # to be stopped there.
        counts = [
            (fit_count(cluster.planned.free[item], kind.needs), item, count)
            for item, count in counts
            if count
        ]
        counts.sort(key=lambda entry: -entry[0])
        yield assign_in_order(
            [(item, count) for _, item, count in counts], kind.tasks_count
        )
