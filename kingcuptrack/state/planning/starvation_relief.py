"""Which starving units are planned without limits, and where room is made for them.

Designed for plans with many starving units on many workers: a plan cannot be
interrupted, so that the searches of one plan are bounded.
"""

import attrs

from ..jobs.steps import GUARANTEED_PRIORITY, NO_RESOURCES
from .defragmentation import find_room
from .packing import is_eligible
from .starvation import ROOM_FACTOR, is_service_idle, starved_seconds

# Searches in vain after which the other starving units wait for the next plan. Searches
# for runs to stop look at all runs.
FAILED_SEARCHES_LIMIT_COUNT = 20
ROOM_SEARCHES_LIMIT_COUNT = 3


@attrs.define(kw_only=True, eq=False)
class StarvationRelief:
    """Starving units of one planning pass, and the searches made for them."""

    shard_state: object
    pool: object
    rules: object
    expectations: object
    now_seconds: float
    wall_seconds: float
    # Results until a unit is placed: whether services have idle capacity, and the sum
    # of what is free by service and label.
    _is_idle_by_service: dict = attrs.field(factory=dict, init=False)
    _free_by_kind: dict = attrs.field(factory=dict, init=False)
    # Shapes that did not fit; nothing is freed during a pass.
    _failed_shapes: set = attrs.field(factory=set, init=False)
    _room_searches_count: int = attrs.field(default=0, init=False)

    def is_starving(self, unit):
        """Return whether nothing of a job has run for long beside idle capacity.

        What is kept for other work is worth keeping while new jobs come, but not at the
        cost of tasks that last, which may not be away however busy their service is.
        """
        seconds = starved_seconds(
            unit,
            self.shard_state,
            now_seconds=self.now_seconds,
            wall_seconds=self.wall_seconds,
        )
        if seconds < self.rules.starvation_seconds:
            return False
        if unit.step.is_long_running:
            return True
        arrived_before_seconds = (
            self.wall_seconds - self.shard_state.last_accepted_at_seconds
        )
        if arrived_before_seconds < self.rules.arrival_pause_seconds:
            return False
        service = unit.job.submission.service
        if service not in self._is_idle_by_service:
            self._is_idle_by_service[service] = is_service_idle(
                service,
                self.pool.slots,
                self.shard_state,
                idle_share=self.rules.idle_share,
            )
        return self._is_idle_by_service[service]

    def may_search(self, unit, requirements):
        """Return whether a unit fits twice by sum and no search for it was in vain."""
        if len(self._failed_shapes) >= FAILED_SEARCHES_LIMIT_COUNT:
            return False
        if _shape(unit, requirements) in self._failed_shapes:
            return False
        kind = requirements.service, requirements.required_label
        if kind not in self._free_by_kind:
            self._free_by_kind[kind] = self._sum_free(requirements)
        needed = unit.step.resources.times(ROOM_FACTOR * len(unit.indexes))
        return needed.fits_in(self._free_by_kind[kind])

    def find_room(self, unit, requirements):
        """Return the runs to stop for a unit that did not fit, or None.

        Room is made for one unit of a pass.
        """
        self._failed_shapes.add(_shape(unit, requirements))
        if self._room_searches_count >= ROOM_SEARCHES_LIMIT_COUNT:
            return None
        self._room_searches_count += 1
        slots = self.exclude_held_slots(unit, self.pool.slots)
        reclaim = find_room(
            unit,
            requirements,
            slots,
            self.shard_state,
            now_seconds=self.now_seconds,
            expected_seconds=self.expectations.run_seconds(unit),
            loss_factor=self.rules.borrowed_loss_factor,
        )
        if reclaim is not None:
            self._room_searches_count = ROOM_SEARCHES_LIMIT_COUNT
        return reclaim

    def exclude_held_slots(self, unit, slots):
        """Return the slots that are not held for another unit."""
        holds = self.shard_state.room_holds
        if holds.is_empty or unit.priority == GUARANTEED_PRIORITY:
            return slots
        return [
            slot
            for slot in slots
            if not holds.is_held_for_other(slot.worker_id, unit.key)
        ]

    def note_placed(self):
        """Forget what depends on the free capacity."""
        self._is_idle_by_service.clear()
        self._free_by_kind.clear()

    def _sum_free(self, requirements):
        free = NO_RESOURCES
        for slot in self.pool.slots:
            if is_eligible(slot, requirements):
                free = free.plus(slot.free)
        return free


def _shape(unit, requirements):
    return (
        requirements.service,
        requirements.required_label,
        requirements.tasks_per_worker_limit,
        requirements.demand,
        len(unit.indexes),
    )
