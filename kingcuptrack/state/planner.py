"""One planning pass: what starts where, and what is stopped for it.

Answers this load: short urgent jobs with a guarantee, that must begin at once, beside
long gangs and wide batches that fill the workers.
"""

import attrs

from .backfill import may_use, reserve
from .ordering import GUARANTEED_PRIORITY, order_key, slack_seconds
from .packing import choose_rack, choose_slots, take
from .scheduling_units import (
    PlanningPolicy,
    find_ready_units,
    is_usable,
    make_slots,
    make_want,
)
from .steps import TaskRef
from .victims import URGENT_COST_FACTOR, choose_reclaim, core_weight, find_victims


@attrs.frozen(kw_only=True)
class PlanRules:
    """Weights and limits of planning; experiments compare others with the defaults."""

    # Sort key of waiting units; see `ordering.order_key`.
    order: object = order_key
    # Part of the expected run time that a task waits for a worker near its data, since
    # it takes several times as long elsewhere.
    near_wait_factor: float = 1.0
    # Longest such wait of guaranteed work; well inside the bound for its start.
    guaranteed_near_wait_seconds: float = 1.5
    # Longest time that guaranteed work waits for room to become free by itself; leaves
    # time to stop other work within the bound for its start.
    guaranteed_room_wait_seconds: float = 1.2
    # Gangs that room is kept for at a time; each keeps others from running.
    reservations_count: int = 2
    # Urgent work beyond its guarantee may destroy at most this part of its own work.
    borrowed_loss_factor: float = 1.0
    # Work that an urgent job may destroy, as a part of its own, rather than wait.
    cheap_loss_factor: float = 0.1
    # Parts of the accelerators that work without urgency may occupy: while it can still
    # wait, and when it cannot. Urgent work is worth several times as much for its size,
    # and comes in bursts.
    patient_share: float = 0.65
    hurried_share: float = 0.85
    # Work that has to start within this part of its expected time cannot wait any more.
    hurry_factor: float = 1.0
    # Whether other work is stopped for urgent work. Baselines that ignore urgency must
    # not: the room would go to older work, and be reclaimed again without end.
    is_reclaiming: bool = True


DEFAULT_RULES = PlanRules()


@attrs.frozen(kw_only=True)
class Placement:
    """A task and the worker that takes it, with the inputs that decided."""

    ref: object
    worker_id: str
    run_number: int
    is_remote: bool
    reason: str


@attrs.frozen(kw_only=True)
class Plan:
    """Groups of placements to be claimed together, and what follows.

    ``stops`` holds (run, reason), ``waits`` (unit, reason) of what was not placed.
    """

    groups: list
    stops: list
    waits: list


def make_plan(shard_state, policy, *, now_seconds, wall_seconds, rules=DEFAULT_RULES):
    """Plan starts and stops.

    Parameters
    ----------
    shard_state : ShardState
    policy : PlanningPolicy
    now_seconds : float
        Steady time.
    wall_seconds : float
        Time of day, for jobs with a schedule.
    rules : PlanRules

    Returns
    -------
    Plan
    """
    units = find_ready_units(shard_state, wall_seconds=wall_seconds)
    if not units:
        return Plan(groups=[], stops=[], waits=[])
    planning = _Planning(
        shard_state=shard_state,
        policy=policy,
        rules=rules,
        now_seconds=now_seconds,
        wall_seconds=wall_seconds,
        slots=make_slots(shard_state, policy, now_seconds=now_seconds),
    )
    guaranteed = planning.find_guaranteed(units)
    units.sort(
        key=lambda unit: rules.order(
            unit,
            is_guaranteed=unit in guaranteed,
            wall_seconds=wall_seconds,
            expect=planning.expect_of(unit),
        )
    )
    for unit in units:
        planning.add(unit, is_guaranteed=unit in guaranteed)
    return Plan(groups=planning.groups, stops=planning.stops, waits=planning.waits)


@attrs.define(kw_only=True, eq=False)
class _Planning:
    """Scratch state of one planning pass."""

    shard_state: object
    policy: PlanningPolicy
    rules: PlanRules
    now_seconds: float
    wall_seconds: float
    slots: list
    groups: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)
    waits: list = attrs.field(factory=list)
    _planned_stops: set = attrs.field(factory=set, init=False)
    _reservations_count: int = attrs.field(default=0, init=False)
    _used_gpus: dict = attrs.field(factory=dict, init=False)
    _patient_gpus: int | None = attrs.field(default=None, init=False)

    def find_guaranteed(self, units):
        """Return the urgent units that fit the guarantees, oldest first."""
        for job in self.shard_state.jobs.values():
            if job.submission.priority == GUARANTEED_PRIORITY:
                gpus_count = sum(run.resources.gpus_count for run in job.runs.values())
                self._count_used(job.submission.organisation, gpus_count)
        promised = dict(self._used_gpus)
        guaranteed = set()
        urgent = [unit for unit in units if unit.priority == GUARANTEED_PRIORITY]
        urgent.sort(key=lambda unit: unit.job.submission.accepted_at_seconds)
        for unit in urgent:
            organisation = unit.job.submission.organisation
            total = promised.get(organisation, 0) + unit.gpus_count
            if total <= self.policy.guarantee_gpus.get(organisation, 0):
                promised[organisation] = total
                guaranteed.add(unit)
        return guaranteed

    def add(self, unit, *, is_guaranteed):
        """Place a unit, or make room for it, or let it wait."""
        want = make_want(unit)
        is_patient = self._waits_for_near_place(unit, is_guaranteed)
        slots = self._usable_slots(unit)
        chosen = _place(unit, slots, want, is_patient=is_patient)
        is_complete = len(chosen) == len(unit.indexes)
        if unit.priority == GUARANTEED_PRIORITY:
            if not is_complete and self._reclaim(unit, want, is_guaranteed, is_patient):
                self.waits.append((unit, "room is being made"))
                return
        else:
            chosen = self._within_patient_share(unit, chosen)
        if unit.step.is_gang and len(chosen) < len(unit.indexes):
            self._note_wait(unit, chosen, is_complete, is_patient)
            if not is_complete:
                self._reserve(unit, want)
            return
        if chosen:
            take(
                chosen,
                want,
                end_seconds=self.now_seconds + self._expected_seconds(unit),
            )
            self.groups.append(_make_group(unit, chosen))
            if unit.priority != GUARANTEED_PRIORITY:
                gpus_count = unit.step.resources.gpus_count
                self._patient_gpus = self._count_patient() + gpus_count * len(chosen)
        if len(chosen) < len(unit.indexes):
            self._note_wait(unit, chosen, is_complete, is_patient)

    def _note_wait(self, unit, chosen, is_complete, is_patient):
        if is_complete:
            reason = "work without urgency occupies its share"
        elif is_patient and (unit.step.same_rack or unit.step.data_rack):
            reason = "no room in its rack yet"
        else:
            reason = "no room"
        placed = f"{len(chosen)} of {len(unit.indexes)} tasks fit"
        self.waits.append((unit, f"{reason}, {placed}"))

    def _within_patient_share(self, unit, chosen):
        """Return what may start of work without urgency; a gang whole or not at all."""
        gpus_count = unit.step.resources.gpus_count
        if not gpus_count:
            return chosen
        expected_seconds = self._expected_seconds(unit)
        slack = slack_seconds(unit, self.wall_seconds, self.expect_of(unit))
        is_hurried = slack < self.rules.hurry_factor * expected_seconds
        share = self.rules.hurried_share if is_hurried else self.rules.patient_share
        room_count = max(0, self._patient_gpus_left(share)) // gpus_count
        if unit.step.is_gang and room_count < len(chosen):
            # A gang larger than the share has to run alone.
            return chosen if not self._count_patient() else []
        return chosen[:room_count]

    def _patient_gpus_left(self, share):
        total_gpus = sum(
            worker.entry.capacity.gpus_count
            for worker in self.shard_state.workers.values()
            if is_usable(worker, self.policy, now_seconds=self.now_seconds)
        )
        return int(share * total_gpus) - self._count_patient()

    def _count_patient(self):
        if self._patient_gpus is None:
            self._patient_gpus = sum(
                run.resources.gpus_count
                for worker in self.shard_state.workers.values()
                for run in worker.runs.values()
                if run.priority > GUARANTEED_PRIORITY
            )
        return self._patient_gpus

    def expect_of(self, unit):
        """Return a function from a step of the unit's job to its expected time."""
        queue = unit.job.submission.queue
        run_times = self.shard_state.run_times
        return lambda step: run_times.expect_seconds(queue, step.estimate_seconds)

    def _expected_seconds(self, unit):
        return self.expect_of(unit)(unit.step)

    def _usable_slots(self, unit):
        """Return the slots without those reserved for a gang that comes first."""
        end_seconds = self.now_seconds + self._expected_seconds(unit)
        return [slot for slot in self.slots if may_use(slot, end_seconds=end_seconds)]

    def _waits_for_near_place(self, unit, is_guaranteed):
        waited_seconds = self.now_seconds - unit.job.ready_since_seconds
        limit_seconds = self.rules.near_wait_factor * self._expected_seconds(unit)
        if is_guaranteed:
            limit_seconds = min(limit_seconds, self.rules.guaranteed_near_wait_seconds)
        return waited_seconds < limit_seconds

    def _reserve(self, unit, want):
        """Keep room for a gang; returns when it is expected to begin, or None."""
        if self._reservations_count >= self.rules.reservations_count:
            return None
        begin_seconds = reserve(
            unit, want, self.slots, self.shard_state, now_seconds=self.now_seconds
        )
        if begin_seconds is not None:
            self._reservations_count += 1
        return begin_seconds

    def _reclaim(self, unit, want, is_guaranteed, is_patient):
        """Stop other work for an urgent unit; returns whether that makes room."""
        if not self.rules.is_reclaiming:
            return False
        victims = find_victims(
            self.shard_state,
            lambda job, run: self._stop_factor(job, run, is_guaranteed),
            self.now_seconds,
        )
        own_work = core_weight(unit.step.resources) * len(unit.indexes)
        own_work *= self._expected_seconds(unit)
        reclaim = self._cheapest_reclaim(unit, want, victims, own_work, is_patient)
        if reclaim is None:
            return False
        if (
            not is_guaranteed
            and reclaim.cost > self.rules.borrowed_loss_factor * own_work
        ):
            return False
        is_cheap = reclaim.cost <= self.rules.cheap_loss_factor * own_work
        if not is_cheap and self._has_room_soon(unit, want, is_guaranteed):
            return True
        self._stop_victims(unit, reclaim, want)
        return True

    def _cheapest_reclaim(self, unit, want, victims, own_work, is_patient):
        best, best_cost = None, 0.0
        for slots, same_rack, is_remote in _near_searches(unit, self.slots, is_patient):
            reclaim = choose_reclaim(
                slots, victims, want, len(unit.indexes), same_rack=same_rack
            )
            if reclaim is None:
                continue
            cost = reclaim.cost
            if is_remote:
                cost += (self.shard_state.remote_factor - 1) * own_work
            if best is None or cost < best_cost:
                best, best_cost = reclaim, cost
        return best

    def _has_room_soon(self, unit, want, is_guaranteed):
        """Return whether to wait for room that becomes free by itself."""
        wait_seconds = slack_seconds(unit, self.wall_seconds, self.expect_of(unit))
        if is_guaranteed:
            waited_seconds = self.now_seconds - unit.job.ready_since_seconds
            limit_seconds = self.rules.guaranteed_room_wait_seconds - waited_seconds
            wait_seconds = min(wait_seconds, limit_seconds)
        if wait_seconds <= 0:
            return False
        begin_seconds = self._reserve(unit, want)
        if begin_seconds is None:
            return False
        return begin_seconds - self.now_seconds <= wait_seconds

    def _stop_factor(self, job, run, is_guaranteed):
        """Return the cost factor of stopping a run; 0 if it must go on."""
        if run in self._planned_stops:
            # Its room is spoken for, and what is left of it is free of charge.
            return 1e-9
        if run.priority > GUARANTEED_PRIORITY:
            return 1.0
        organisation = job.submission.organisation
        limit = self.policy.guarantee_gpus.get(organisation, 0)
        is_borrowed = self._used_gpus.get(organisation, 0) > limit
        return URGENT_COST_FACTOR if is_guaranteed and is_borrowed else 0.0

    def _stop_victims(self, unit, reclaim, want):
        for run in reclaim.victims:
            if run in self._planned_stops:
                continue
            self._planned_stops.add(run)
            if run.priority == GUARANTEED_PRIORITY and not run.is_stopping:
                job = self.shard_state.jobs[run.ref.job_id]
                gpus_count = run.resources.gpus_count
                self._count_used(job.submission.organisation, -gpus_count)
            if not run.is_stopping:
                reason = f"reclaimed for urgent job {unit.job.submission.job_id}"
                self.stops.append((run, reason))
        # Keeps the room for these tasks until the stopped runs have ended.
        take(reclaim.slots, want)

    def _count_used(self, organisation, gpus_count):
        self._used_gpus[organisation] = (
            self._used_gpus.get(organisation, 0) + gpus_count
        )


def _near_searches(unit, slots, is_patient):
    """Return (slots, same rack, is remote) to search for room."""
    searches = []
    if unit.step.data_rack:
        near = [slot for slot in slots if slot.rack == unit.step.data_rack]
        searches.append((near, False, False))
    if unit.step.same_rack:
        searches.append((slots, True, False))
    if not searches:
        searches.append((slots, False, False))
    elif not is_patient:
        searches.append((slots, False, True))
    return searches


def _place(unit, slots, want, *, is_patient):
    """Return the slots chosen for a unit, possibly too few."""
    tasks_count = len(unit.indexes)
    step = unit.step
    if step.data_rack:
        near = [slot for slot in slots if slot.rack == step.data_rack]
        chosen = choose_slots(near, want, tasks_count)
        if len(chosen) == tasks_count or is_patient:
            return chosen
    if step.same_rack:
        chosen = choose_rack(slots, want, tasks_count)
        if chosen or is_patient:
            return chosen
    return choose_slots(slots, want, tasks_count)


def _make_group(unit, chosen):
    """Return the placements of a unit; members of a gang share the run number."""
    steps = unit.job.progress.occurrences[unit.occurrence]
    tasks = steps[unit.step_number].tasks
    gang_number = 1 + max(task.last_run for task in tasks)
    racks = {slot.rack for slot in chosen}
    group = []
    for index, slot in zip(unit.indexes, chosen, strict=False):
        run_number = gang_number if unit.step.is_gang else tasks[index].last_run + 1
        is_away = bool(unit.step.data_rack) and slot.rack != unit.step.data_rack
        is_split = unit.step.same_rack and len(racks) > 1
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
                is_remote=is_away or is_split,
                reason=f"free accelerators {slot.free.gpus_count}, rack {slot.rack}",
            )
        )
    return group
