"""One planning pass: which tasks start on which workers, and which runs are stopped.

Designed for short urgent jobs with a guarantee, which must start at once, on workers
that are filled by long gangs and wide batches.
"""

import attrs

from ..jobs.steps import GUARANTEED_PRIORITY
from .backfill import ends_before_reservation, reserve_slots
from .expectations import Expectations
from .packing import SlotPool
from .patient_share import PatientShare, make_patient_share
from .placements import Plan, list_searches, make_group
from .plan_rules import DEFAULT_RULES, PlanRules
from .quotas import Quotas, make_quotas
from .scheduling_units import (
    PlanningPolicy,
    find_guaranteed,
    find_ready_units,
    make_requirements,
    make_slots,
)
from .separate_starts import SeparateStarts, make_separate_starts
from .shares import Shares, make_shares
from .starvation_relief import StarvationRelief
from .victims import (
    BORROWED_URGENT_COST_FACTOR,
    choose_reclaim,
    find_victims,
    weighted_cores,
)
from .worker_choice import (
    NO_CHOICE,
    WorkerChoice,
    make_interference_term,
    make_worker_choice,
    unit_slowdowns,
    with_fast_searches,
)

# Reason of the stops that make room for a starving unit.
MOVE_REASON = "moved to make room for a job that starves"


def make_plan(shard_state, policy, *, now_seconds, wall_seconds, rules=DEFAULT_RULES):
    """Plan starts and stops.

    Parameters
    ----------
    shard_state : ShardState
    policy : PlanningPolicy
    now_seconds : float
        Time of the monotonic clock.
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
    shard_state.room_holds.drop_expired(now_seconds=now_seconds)
    pool = SlotPool(make_slots(shard_state, policy, now_seconds=now_seconds))
    expectations = Expectations(
        shard_state=shard_state, now_seconds=now_seconds, wall_seconds=wall_seconds
    )
    planning_pass = _PlanningPass(
        shard_state=shard_state,
        policy=policy,
        rules=rules,
        now_seconds=now_seconds,
        wall_seconds=wall_seconds,
        expectations=expectations,
        pool=pool,
        urgent_gpus=dict(shard_state.urgent_gpus),
        patient_share=make_patient_share(shard_state, pool.slots),
        separate_starts=make_separate_starts(shard_state, now_seconds=now_seconds),
        quotas=make_quotas(shard_state, policy),
        worker_choice=make_worker_choice(
            shard_state, rules.features, now_seconds=now_seconds
        ),
        shares=make_shares(shard_state, policy, rules.share_rank),
        relief=StarvationRelief(
            shard_state=shard_state,
            pool=pool,
            rules=rules,
            expectations=expectations,
            now_seconds=now_seconds,
            wall_seconds=wall_seconds,
        ),
    )
    planning_pass.plan_units(units)
    return Plan(
        groups=planning_pass.groups,
        stops=planning_pass.stops,
        moves=planning_pass.moves,
        holds=planning_pass.holds,
        waits=planning_pass.waits,
        errors=planning_pass.errors,
    )


@attrs.define(kw_only=True, eq=False)
class _PlanningPass:
    """State of one planning pass; discarded when the pass ends."""

    shard_state: object
    policy: PlanningPolicy
    rules: PlanRules
    now_seconds: float
    wall_seconds: float
    expectations: Expectations
    pool: SlotPool
    # Accelerators that runs of urgent jobs use, by organisation; runs that this pass
    # stops are deducted.
    urgent_gpus: dict
    patient_share: PatientShare
    separate_starts: SeparateStarts
    quotas: Quotas
    shares: Shares
    relief: StarvationRelief
    worker_choice: WorkerChoice = NO_CHOICE
    groups: list = attrs.field(factory=list)
    stops: list = attrs.field(factory=list)
    moves: list = attrs.field(factory=list)
    holds: list = attrs.field(factory=list)
    waits: list = attrs.field(factory=list)
    errors: list = attrs.field(factory=list)
    _planned_stops: set = attrs.field(factory=set, init=False)
    _reservations_count: int = attrs.field(default=0, init=False)
    # Victims by whether guaranteed work needs them; cleared when runs are stopped.
    _victims: dict = attrs.field(factory=dict, init=False)

    def plan_units(self, units):
        """Plan units in their order; an error affects only the unit that causes it."""
        guaranteed = find_guaranteed(
            units, self.urgent_gpus, self.policy.guarantee_gpus
        )
        keyed_units = []
        for unit in units:
            try:
                key = self.rules.order(
                    unit,
                    is_guaranteed=unit in guaranteed,
                    wall_seconds=self.wall_seconds,
                    expect=self.expectations.run_time_estimator(unit),
                )
            except Exception as error:
                self._note_error(unit, error, "cannot be ordered")
            else:
                keyed_units.append((key, unit))
        keyed_units.sort(key=lambda item: item[0])
        for unit in self.shares.draw(keyed_units, guaranteed):
            try:
                self._plan_within_maximum(unit, is_guaranteed=unit in guaranteed)
            except Exception as error:
                self._note_error(unit, error, "cannot be planned")

    def _note_error(self, unit, error, description):
        self.errors.append((unit, error))
        self.waits.append((unit, f"{description}: {error!r}"))

    def _plan_within_maximum(self, unit, *, is_guaranteed):
        """Plan the part of a unit that the maximum of its organisation allows."""
        waits_count = len(self.waits)
        allowed = self.quotas.limit(unit)
        if allowed is None and self.relief.is_starving(unit):
            allowed = self.quotas.limit_starving(unit)
        if allowed is not None:
            self.plan_unit(allowed, is_guaranteed=is_guaranteed)
        if allowed is not unit and len(self.waits) == waits_count:
            self.waits.append((unit, self.quotas.describe(unit)))

    def plan_unit(self, unit, *, is_guaranteed):
        """Place a unit, make room for it, or record why it waits."""
        groups_count = len(self.groups)
        waits_count, stops_count = len(self.waits), len(self.stops)
        self._plan_within_limits(unit, is_guaranteed=is_guaranteed)
        is_waiting = len(self.groups) == groups_count and len(self.stops) == stops_count
        if is_waiting and self.relief.is_starving(unit) and self._place_starving(unit):
            del self.waits[waits_count:]

    def _place_starving(self, unit):
        """Place a gang, or one task of another unit, whatever is kept for others.

        Makes room if there is enough in pieces that are too small. Returns whether
        anything was placed.
        """
        if not unit.step.is_gang:
            unit = attrs.evolve(unit, indexes=unit.indexes[:1])
        requirements = make_requirements(unit)
        if not self.relief.may_search(unit, requirements):
            return False
        chosen = self._choose_starving_slots(unit, requirements)
        if len(chosen) < len(unit.indexes):
            self._move_work_aside(unit, requirements)
            return False
        self._place(unit, requirements, chosen)
        if unit.is_suspect:
            self.pool.remove(chosen)
        return True

    def _choose_starving_slots(self, unit, requirements):
        """Return slots whatever is reserved; a suspect gets quiet workers if it can."""
        job_id = unit.job.submission.job_id

        def is_quiet(slot):
            return self.separate_starts.is_quiet(slot, job_id)

        chosen = []
        for is_allowed in (is_quiet, None) if unit.is_suspect else (None,):
            chosen = self._choose_unit_slots(
                unit,
                requirements,
                is_near_only=False,
                is_allowed=is_allowed,
                respects_reservations=False,
            )
            if len(chosen) == len(unit.indexes):
                break
        return chosen

    def _move_work_aside(self, unit, requirements):
        """Stop smaller runs so that a starving unit fits, and hold their workers."""
        reclaim = self.relief.find_room(unit, requirements)
        if reclaim is None:
            return
        self._stop_victims(reclaim, requirements, self.moves, MOVE_REASON)
        worker_ids = [slot.worker_id for slot in reclaim.slots]
        self.holds.append((worker_ids, unit.key))

    def _plan_within_limits(self, unit, *, is_guaranteed):
        requirements = make_requirements(unit)
        is_near_only = self._is_limited_to_near_workers(unit, is_guaranteed)
        if self.separate_starts.is_needed(unit, is_guaranteed=is_guaranteed):
            self._plan_separate_start(unit, requirements, is_near_only)
            return
        tasks_count = len(unit.indexes)
        most_count = self.pool.most_fitting(unit.step.resources.gpus_count, tasks_count)
        if most_count == 0 or (unit.step.is_gang and most_count < tasks_count):
            # Not even the accelerators suffice, so that no search is needed.
            chosen, fitting_count = [], most_count
        else:
            chosen = self._choose_unit_slots(unit, requirements, is_near_only)
            fitting_count = len(chosen)
        is_complete = fitting_count == tasks_count
        if unit.priority == GUARANTEED_PRIORITY:
            if not is_complete and self._make_room(
                unit, requirements, is_guaranteed, is_near_only
            ):
                self.waits.append((unit, "room is being made"))
                return
        else:
            chosen = self._limit_non_urgent(unit, chosen)
        is_whole = len(chosen) == tasks_count
        if is_whole or not unit.step.is_gang:
            self._place(unit, requirements, chosen)
        if not is_whole:
            self._record_wait(unit, fitting_count, is_complete, is_near_only)
        if unit.step.is_gang and not is_complete:
            self._reserve(unit, requirements)

    def _plan_separate_start(self, unit, requirements, is_near_only):
        """Place a suspected unit apart from other work, or record that it waits."""
        job_id = unit.job.submission.job_id
        chosen = self._choose_unit_slots(
            unit,
            requirements,
            is_near_only,
            is_allowed=lambda slot: self.separate_starts.is_quiet(slot, job_id),
        )
        if unit.priority != GUARANTEED_PRIORITY:
            chosen = self._limit_non_urgent(unit, chosen)
        is_whole = len(chosen) == len(unit.indexes)
        if chosen and (is_whole or not unit.step.is_gang):
            self._place(unit, requirements, chosen)
            self.pool.remove(chosen)
        if not is_whole:
            placed = f"{len(chosen)} of {len(unit.indexes)} tasks fit"
            self.waits.append((unit, f"no worker for a start by itself, {placed}"))

    def _place(self, unit, requirements, chosen):
        if not chosen:
            return
        self.relief.note_placed()
        slowdowns = unit_slowdowns(unit, chosen, self.worker_choice)
        for slot, slowdown in zip(chosen, slowdowns, strict=True):
            end_seconds = self.now_seconds + slowdown * self.expectations.run_seconds(
                unit
            )
            self.pool.allocate([slot], requirements, end_seconds=end_seconds)
        self.groups.append(make_group(unit, chosen, slowdowns))
        self.quotas.add(unit, len(chosen))
        self.shares.add(unit, len(chosen))
        if unit.priority != GUARANTEED_PRIORITY:
            self.patient_share.add(unit, len(chosen))

    def _record_wait(self, unit, fitting_count, is_complete, is_near_only):
        if is_complete:
            reason = "work without urgency occupies its share"
        elif is_near_only and (unit.step.same_rack or unit.step.data_rack):
            reason = "no room in its rack yet"
        else:
            reason = "no room"
        placed = f"{fitting_count} of {len(unit.indexes)} tasks fit"
        self.waits.append((unit, f"{reason}, {placed}"))

    def _limit_non_urgent(self, unit, chosen):
        """Return the slots that work without urgency may use within its share."""
        if not chosen:
            return chosen
        expected_seconds, left_seconds = self.expectations.times_seconds(unit)
        slowdown = self.worker_choice.gang_slowdown(chosen)
        slack = left_seconds - slowdown * expected_seconds
        is_hurried = slack < self.rules.hurry_factor * expected_seconds
        return self.patient_share.limit(
            unit,
            chosen,
            share=self.rules.hurried_share if is_hurried else self.rules.patient_share,
            held_gpus_count=self.shares.held_gpus_count,
        )

    def _choose_unit_slots(
        self,
        unit,
        requirements,
        is_near_only,
        *,
        is_allowed=None,
        respects_reservations=True,
    ):
        """Return slots for as many tasks as fit without delaying a reserved gang.

        Only slots for which ``is_allowed`` is true are used, if it is given.
        """
        expected_seconds, left_seconds = self.expectations.times_seconds(unit)
        choose = self.worker_choice.make_chooser(
            unit,
            expected_seconds=expected_seconds,
            left_seconds=left_seconds,
            interference=make_interference_term(unit, self.shard_state),
        )
        searches = list_searches(unit, self.pool, is_near_only)
        chosen = []
        for slots, same_rack, _ in searches:
            slots = self.relief.exclude_held_slots(unit, slots)
            if self._reservations_count and respects_reservations:
                slots = [
                    slot
                    for slot in slots
                    if ends_before_reservation(
                        slot,
                        end_seconds=self.now_seconds
                        + expected_seconds
                        * self.worker_choice.slowdown(slot.worker_id),
                    )
                ]
            if is_allowed is not None:
                slots = [slot for slot in slots if is_allowed(slot)]
            chosen = choose(slots, requirements, same_rack=same_rack)
            is_limited = is_near_only and unit.step.data_rack
            if len(chosen) == len(unit.indexes) or is_limited:
                break
        return chosen

    def _is_limited_to_near_workers(self, unit, is_guaranteed):
        """Return whether a unit with a preferred rack may be placed only there yet."""
        waited_seconds = self.now_seconds - unit.job.ready_since_seconds
        limit_seconds = self.rules.near_wait_factor * self.expectations.run_seconds(
            unit
        )
        if is_guaranteed:
            limit_seconds = min(limit_seconds, self.rules.guaranteed_near_wait_seconds)
        return waited_seconds < limit_seconds

    def _reserve(self, unit, requirements):
        """Reserve workers for a unit; returns when it is expected to start, or None."""
        if self._reservations_count >= self.rules.reservations_count:
            return None
        begin_seconds = reserve_slots(
            unit,
            requirements,
            self.pool.slots,
            self.expectations.ends,
            now_seconds=self.now_seconds,
            slowdown_seconds=self.worker_choice.make_delay(
                self.expectations.run_seconds(unit)
            ),
        )
        if begin_seconds is not None:
            self._reservations_count += 1
        return begin_seconds

    def _make_room(self, unit, requirements, is_guaranteed, is_near_only):
        """Make room for an urgent unit, by stopping runs or waiting for ends.

        Returns whether room is being made.
        """
        may_reclaim = is_guaranteed or self.shares.may_reclaim(unit)
        if not self.rules.is_reclaiming or not may_reclaim:
            return False
        victims = self._find_victims(is_guaranteed)
        own_core_seconds = weighted_cores(unit.step.resources) * len(unit.indexes)
        own_core_seconds *= self.expectations.run_seconds(unit)
        reclaim = self._cheapest_reclaim(
            unit, requirements, victims, own_core_seconds, is_near_only
        )
        if reclaim is None:
            return False
        if (
            not is_guaranteed
            and reclaim.cost > self.rules.borrowed_loss_factor * own_core_seconds
        ):
            return False
        is_cheap = reclaim.cost <= self.rules.cheap_loss_factor * own_core_seconds
        if not is_cheap and self._reserve_freed_room(unit, requirements, is_guaranteed):
            return True
        reason = f"reclaimed for urgent job {unit.job.submission.job_id}"
        self._stop_victims(reclaim, requirements, self.stops, reason)
        return True

    def _find_victims(self, is_guaranteed):
        if is_guaranteed not in self._victims:
            self._victims[is_guaranteed] = find_victims(
                self.shard_state,
                lambda job, run: self._stop_cost_factor(job, run, is_guaranteed),
                self.now_seconds,
            )
        return self._victims[is_guaranteed]

    def _cheapest_reclaim(
        self, unit, requirements, victims, own_core_seconds, is_near_only
    ):
        best, best_cost = None, 0.0
        offers = {}
        is_late = self.worker_choice.make_late_test(
            *self.expectations.times_seconds(unit)
        )
        for slots, same_rack, is_remote in with_fast_searches(
            list_searches(unit, self.pool, is_near_only), is_late
        ):
            reclaim = choose_reclaim(
                slots,
                victims,
                requirements,
                len(unit.indexes),
                same_rack=same_rack,
                offers=offers,
            )
            if reclaim is None:
                continue
            cost = reclaim.cost
            if is_late and any(map(is_late, reclaim.slots)):
                cost += own_core_seconds
            if is_remote:
                cost += (self.shard_state.remote_factor - 1) * own_core_seconds
            if best is None or cost < best_cost:
                best, best_cost = reclaim, cost
        return best

    def _reserve_freed_room(self, unit, requirements, is_guaranteed):
        """Reserve room that running work frees; returns whether it is free in time."""
        wait_seconds = self.expectations.slack_seconds(unit)
        if is_guaranteed:
            waited_seconds = self.now_seconds - unit.job.ready_since_seconds
            limit_seconds = self.rules.guaranteed_room_wait_seconds - waited_seconds
            wait_seconds = min(wait_seconds, limit_seconds)
        if wait_seconds <= 0:
            return False
        begin_seconds = self._reserve(unit, requirements)
        if begin_seconds is None:
            return False
        return begin_seconds - self.now_seconds <= wait_seconds

    def _stop_cost_factor(self, job, run, is_guaranteed):
        """Return the cost factor of stopping a run; 0 if it must not be stopped."""
        if run in self._planned_stops:
            # Its cost is already counted. The factor is not 0, since 0 means that the
            # run must not be stopped.
            return 1e-9
        if run.priority > GUARANTEED_PRIORITY:
            return 1.0
        organisation = job.submission.organisation
        limit = self.policy.guarantee_gpus.get(organisation, 0)
        is_borrowed = self.urgent_gpus.get(organisation, 0) > limit
        return BORROWED_URGENT_COST_FACTOR if is_guaranteed and is_borrowed else 0.0

    def _stop_victims(self, reclaim, requirements, stops, reason):
        """Add the runs of a reclaim to ``stops`` and keep the room that they leave."""
        self._victims.clear()
        for run in reclaim.runs:
            if run in self._planned_stops:
                continue
            self._planned_stops.add(run)
            if run.priority == GUARANTEED_PRIORITY and not run.is_stopping:
                job = self.shard_state.jobs[run.ref.job_id]
                organisation = job.submission.organisation
                self.urgent_gpus[organisation] -= run.resources.gpus_count
            if not run.is_stopping:
                stops.append((run, reason))
        # Other units must not be placed in this room while the stopped runs end.
        self.pool.allocate(reclaim.slots, requirements)
