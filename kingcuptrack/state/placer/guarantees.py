"""Packing of guaranteed gangs, which shows whether the guarantees fit the workers.

Each guaranteed gang of this data centre's shares has a slot with a footprint: a
worker for each of its tasks, adjacent, among the workers that accept tasks.
Footprints never overlap, and a guaranteed gang runs inside the footprint of one
slot. Any other gang on a footprint is borrowed and can be reclaimed. Hence all
unused slots can be used at the same time, and a gang that ends leaves its slot at
full size, even if the gang was smaller than what the plan guarantees.
"""

from collections import Counter
from itertools import groupby

import attrs

from ...findings import Finding, Place
from .cluster import (
    ACCELERATORS,
    Ledger,
    allocate,
    capacity_amounts,
    fit_count,
    release,
    set_worker_capacity,
    task_needs,
)
from .placement import (
    AdjacencyLevel,
    adjacency_domains,
    assign_in_order,
    best_fit_by_rack,
    tightest_level,
)
from .plans import PLANS_FILE
from .shares import data_centre_shares


@attrs.frozen(kw_only=True)
class GangKind:
    """Number of tasks of a guaranteed gang, and what each task needs.

    ``needs`` are pairs of resource index and amount.
    """

    tasks_count: int
    needs: tuple

    @property
    def accelerators_count(self):
        """Accelerators of the whole gang."""
        return self.tasks_count * dict(self.needs).get(ACCELERATORS, 0)


@attrs.define(kw_only=True)
class GuaranteeSlot:
    """Capacity for one guaranteed gang of an organisation.

    ``worker_ids`` is the footprint; it is empty if the gang fits nowhere.
    ``is_partial`` marks the slot of a running gang whose footprint covers only the
    tasks of that gang. ``is_surplus`` marks a slot beyond the organisation's share,
    which is kept because its gang cannot be reclaimed. Both kinds of slots are packed
    again when their gang ends.
    """

    slot_id: str
    organisation: str
    kind: GangKind
    worker_ids: tuple[str, ...] = ()
    job_id: str = ""
    is_partial: bool = False
    is_surplus: bool = False


@attrs.frozen(kw_only=True)
class Shortfall:
    """Guaranteed gangs of an organisation that fit nowhere in this data centre."""

    organisation: str
    gangs_count: int
    accelerators_count: int


@attrs.define(kw_only=True)
class GuaranteePacking:
    """Slots of one data centre, by organisation and by the job that uses them.

    ``uncovered`` holds the amounts of each worker that no footprint covers.
    """

    uncovered: Ledger = attrs.field(factory=Ledger)
    slots: dict[str, list[GuaranteeSlot]] = attrs.field(factory=dict)
    slot_by_job: dict[str, GuaranteeSlot] = attrs.field(factory=dict)
    sequence: int = 0


def guaranteed_gang_kind(plan):
    """Return tasks and needs of a guaranteed gang of a plan."""
    return GangKind(
        tasks_count=plan.guaranteed_tasks_count, needs=task_needs(plan.guaranteed_shape)
    )


def is_within_guarantee(plan, spec):
    """Return whether a gang is no larger than a guaranteed one in any respect."""
    limit = dict(task_needs(plan.guaranteed_shape))
    return (
        plan.guaranteed_gangs_count > 0
        and spec.tasks_count <= plan.guaranteed_tasks_count
        and all(
            amount <= limit.get(index, 0) for index, amount in task_needs(spec.shape)
        )
    )


def unused_slots(packing, organisation):
    """Return the slots of an organisation that have a footprint and no gang."""
    return [
        slot
        for slot in packing.slots.get(organisation, ())
        if slot.worker_ids and not slot.job_id
    ]


def bind_slot(packing, slot, job_id):
    """Assign a slot to the gang of a job."""
    slot.job_id = job_id
    packing.slot_by_job[job_id] = slot


def unbind_slot(packing, job_id):
    """Free the slot of a gang for its organisation; return the slot, or None."""
    slot = packing.slot_by_job.pop(job_id, None)
    if slot is not None:
        slot.job_id = ""
    return slot


def move_slot(packing, slot, worker_ids):
    """Replace the footprint of a slot; empty worker ids remove it."""
    release(packing.uncovered, slot.slot_id)
    slot.worker_ids = worker_ids
    if worker_ids:
        allocate(packing.uncovered, slot.slot_id, slot.kind.needs, worker_ids)


def swap_slots(packing, slot, other):
    """Exchange the footprints of two slots of the same kind."""
    footprint, other_footprint = slot.worker_ids, other.worker_ids
    move_slot(packing, slot, ())
    move_slot(packing, other, footprint)
    move_slot(packing, slot, other_footprint)


def shortfalls(packing):
    """Return a `Shortfall` for each organisation with slots that fit nowhere."""
    found = []
    for organisation, slots in sorted(packing.slots.items()):
        missing = [slot for slot in slots if not slot.worker_ids]
        if missing:
            found.append(
                Shortfall(
                    organisation=organisation,
                    gangs_count=len(missing),
                    accelerators_count=sum(
                        slot.kind.accelerators_count for slot in missing
                    ),
                )
            )
    return found


def repack(packing, racks, capacities, shares, kinds, level_of, gangs):
    """Adapt the slots to changed workers, shares or plans.

    Footprints that are still valid stay where they are. The others are placed by
    best fit, largest first; if one fits nowhere, all unused slots are placed again
    from scratch.

    Parameters
    ----------
    racks : dict of str to list of str
        Workers that accept tasks.
    capacities : dict of str to list of int
        Capacity of each worker, by resource.
    shares : dict of str to int
        Count of guaranteed gangs by organisation.
    kinds : dict of str to GangKind
    level_of : callable
        Adjacency level that a `GangKind` needs.
    gangs : dict of str to tuple
        ``(organisation, needs, worker ids, is irreclaimable, is running)`` of each
        guaranteed gang and hold, by job id.

    Returns
    -------
    list of str
        Jobs that are no longer guaranteed: gangs and holds beyond the shares, and
        holds with a footprint that is no longer fully valid.
    """
    previous_slots = {}
    for slots in packing.slots.values():
        for slot in slots:
            previous_slots.setdefault((slot.organisation, slot.kind), []).append(slot)
    previous_slot_by_job = dict(packing.slot_by_job)
    packing.slots = {organisation: [] for organisation in shares}
    packing.slot_by_job = {}
    packing.uncovered = Ledger()
    for worker_ids in racks.values():
        for worker_id in worker_ids:
            set_worker_capacity(packing.uncovered, worker_id, capacities[worker_id])
    rack_of = {worker_id: rack for rack, ids in racks.items() for worker_id in ids}

    def is_adjacent(slot):
        level = level_of(slot.kind)
        workers = set(slot.worker_ids)
        if level == AdjacencyLevel.WORKER:
            return len(workers) == 1
        return (
            level > AdjacencyLevel.RACK
            or len({rack_of.get(item) for item in workers}) == 1
        )

    demoted = []
    for job_id, gang in gangs.items():
        previous = previous_slot_by_job.get(job_id)
        if previous is not None and (previous.is_partial or not is_adjacent(previous)):
            previous = None
        if not _bind_gang(packing, previous, shares, kinds, job_id, gang):
            demoted.append(job_id)
    for slot in packing.slot_by_job.values():
        if slot.is_partial and slot.organisation in kinds:
            _widen_slot(packing, racks, level_of, kinds[slot.organisation], slot)
    unplaced = []
    for organisation, share in shares.items():
        kind = kinds[organisation]
        footprints = [
            slot.worker_ids
            for slot in previous_slots.get((organisation, kind), ())
            if not slot.is_partial and slot.worker_ids and is_adjacent(slot)
        ]
        for _ in range(share - len(packing.slots[organisation])):
            slot = _add_slot(packing, organisation, kind)
            while footprints and not slot.worker_ids:
                _try_footprint(packing, slot, footprints.pop())
            if not slot.worker_ids:
                unplaced.append(slot)
    if not _place_slots(packing, racks, level_of, unplaced):
        _repack_unused_slots(packing, racks, level_of)
    return demoted


def packing_findings(configuration, workers, data_centres):
    """Check that the guarantees fit the workers.

    Returns
    -------
    list of Finding
        An error if they do not fit with all data centres in service, a warning
        for each data centre without which they would not.
    """
    findings = []
    out = configuration.data_centres_out
    for also_out in (None, *sorted(set(data_centres) - out)):
        changed = attrs.evolve(
            configuration, data_centres_out=out | ({also_out} if also_out else set())
        )
        for shortfall, data_centre in _shortfalls_in(changed, workers, data_centres):
            name = configuration.plan_by_organisation[shortfall.organisation]
            message = (
                f"{shortfall.gangs_count} guaranteed gangs of organisation "
                f"{shortfall.organisation} do not fit data centre {data_centre}"
            )
            if also_out:
                message += f" while {also_out} is out of service"
            place = Place(
                file=PLANS_FILE,
                section=f"plan {name}",
                key="guaranteed_gangs_count",
            )
            findings.append(
                Finding(place=place, message=message, is_warning=bool(also_out))
            )
        if findings and not also_out:
            break
    return findings


def _shortfalls_in(configuration, workers, data_centres):
    """Yield ``(shortfall, data centre)`` for empty workers in all data centres."""
    kinds = {
        organisation: guaranteed_gang_kind(configuration.plans[name])
        for organisation, name in configuration.plan_by_organisation.items()
    }
    for data_centre in sorted(set(data_centres) - configuration.data_centres_out):
        shares = data_centre_shares(configuration, data_centres, data_centre)
        local = [worker for worker in workers if worker.data_centre == data_centre]
        capacities = {
            worker.worker_id: capacity_amounts(worker.capacity) for worker in local
        }
        racks = {}
        for worker in local:
            racks.setdefault(worker.rack, []).append(worker.worker_id)

        def level_of(kind, local=local, capacities=capacities):
            return tightest_level(local, capacities, kind.needs, kind.tasks_count)

        packing = GuaranteePacking()
        repack(packing, racks, capacities, shares, kinds, level_of, {})
        for shortfall in shortfalls(packing):
            yield shortfall, data_centre


def _add_slot(packing, organisation, kind):
    packing.sequence += 1
    slot = GuaranteeSlot(
        slot_id=f"slot-{packing.sequence}",
        organisation=organisation,
        kind=kind,
    )
    packing.slots.setdefault(organisation, []).append(slot)
    return slot


def _bind_gang(packing, previous, shares, kinds, job_id, gang):
    """Assign a slot to a guaranteed gang or hold; return whether it stays guaranteed.

    The slot gets the footprint of the previous one if that is still valid.
    """
    organisation, needs, worker_ids, is_irreclaimable, is_running = gang
    is_in_share = len(packing.slots.get(organisation, ())) < shares.get(organisation, 0)
    if not is_in_share and not (is_irreclaimable and is_running):
        return False
    kind = kinds.get(organisation)
    slot = _add_slot(packing, organisation, kind)
    bind_slot(packing, slot, job_id)
    is_whole = is_in_share and previous is not None and previous.kind == kind
    if is_whole and _try_footprint(packing, slot, previous.worker_ids):
        return True
    if not is_running:
        packing.slots[organisation].remove(slot)
        unbind_slot(packing, job_id)
        return False
    # The gang keeps its workers; the rest of the slot has no valid footprint now.
    slot.kind = GangKind(tasks_count=len(worker_ids), needs=needs)
    slot.is_partial = True
    slot.is_surplus = not is_in_share
    move_slot(packing, slot, worker_ids)
    return True


def _widen_slot(packing, racks, level_of, kind, slot):
    """Extend a running gang's footprint to a whole guaranteed gang, if that fits."""
    partial_ids, partial_kind = slot.worker_ids, slot.kind
    if len(partial_ids) > kind.tasks_count or slot.is_surplus:
        return
    move_slot(packing, slot, ())
    level = level_of(kind)
    for worker_ids in adjacency_domains(racks, level):
        if not set(partial_ids) <= set(worker_ids):
            continue
        tasks = Counter(partial_ids)
        counts = [
            (
                item,
                fit_count(packing.uncovered.free[item], kind.needs) - tasks[item],
            )
            for item in worker_ids
        ]
        if min(count for _, count in counts) < 0:
            continue
        counts.sort(key=lambda item: -item[1])
        extra_ids = assign_in_order(counts, kind.tasks_count - len(partial_ids))
        slot.kind = kind
        if len(partial_ids) + len(extra_ids) == kind.tasks_count and _try_footprint(
            packing, slot, partial_ids + extra_ids
        ):
            slot.is_partial = False
            return
    slot.kind = partial_kind
    move_slot(packing, slot, partial_ids)


def _try_footprint(packing, slot, worker_ids):
    """Give a slot this footprint if it fits; return whether it does."""
    uncovered = packing.uncovered
    if any(worker_id not in uncovered.free for worker_id in worker_ids):
        return False
    move_slot(packing, slot, worker_ids)
    if any(min(uncovered.free[worker_id]) < 0 for worker_id in Counter(worker_ids)):
        move_slot(packing, slot, ())
        return False
    return True


def _place_slots(packing, racks, level_of, slots):
    """Place slots, largest first; return whether all fit."""

    def sort_key(slot):
        kind = slot.kind
        size = kind.accelerators_count
        return (-level_of(kind), -size, kind.tasks_count, kind.needs)

    is_complete = True
    for kind, group in groupby(sorted(slots, key=sort_key), key=lambda slot: slot.kind):
        place = _make_kind_placement(
            packing.uncovered.free, racks, level_of(kind), kind
        )
        for slot in group:
            worker_ids = place()
            if worker_ids is None:
                is_complete = False
                break
            move_slot(packing, slot, worker_ids)
    return is_complete


def _make_kind_placement(free, racks, level, kind):
    """Return a function that chooses the workers of one slot of a kind by best fit.

    Many slots have the same kind, so the tightest fit of each rack is cached and
    computed again only for the rack used last.
    """
    if level == AdjacencyLevel.DATA_CENTRE:
        return lambda: best_fit_by_rack(
            racks, free, kind.needs, kind.tasks_count, (level,)
        )

    def tightest_fit(rack):
        counts = [fit_count(free[item], kind.needs) for item in racks[rack]]
        if level == AdjacencyLevel.RACK:
            counts = [sum(counts)]
        fitting = [count for count in counts if count >= kind.tasks_count]
        rest = sum(free[item][ACCELERATORS] for item in racks[rack])
        return (min(fitting), rest) if fitting else None

    fits = {rack: tightest_fit(rack) for rack in racks}
    stale = []

    def place():
        # Between two calls the caller subtracts the footprint from ``free``.
        for rack in stale:
            fits[rack] = tightest_fit(rack)
        stale.clear()
        candidates = [(fit, rack) for rack, fit in fits.items() if fit is not None]
        if not candidates:
            return None
        rack = min(candidates)[1]
        stale.append(rack)
        return best_fit_by_rack(
            {rack: racks[rack]}, free, kind.needs, kind.tasks_count, (level,)
        )

    return place


def _repack_unused_slots(packing, racks, level_of):
    """Place all unused slots again from scratch, if fewer accelerators are missing.

    Otherwise the footprints stay as they were.
    """
    slots = [
        slot for slots in packing.slots.values() for slot in slots if not slot.job_id
    ]
    previous_footprints = {slot.slot_id: slot.worker_ids for slot in slots}
    missing_count_before = sum(
        slot.kind.accelerators_count for slot in slots if not slot.worker_ids
    )
    for slot in slots:
        move_slot(packing, slot, ())
    _place_slots(packing, racks, level_of, slots)
    missing_count = sum(
        slot.kind.accelerators_count for slot in slots if not slot.worker_ids
    )
    if missing_count < missing_count_before:
        return
    for slot in slots:
        move_slot(packing, slot, ())
    for slot in slots:
        move_slot(packing, slot, previous_footprints[slot.slot_id])
