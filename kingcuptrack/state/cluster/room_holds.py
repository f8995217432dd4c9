"""Workers whose room has been made for a waiting unit."""

import attrs

# Time in which stopped runs end and the unit is placed.
HOLD_SECONDS = 1.5


@attrs.frozen(kw_only=True)
class _Hold:
    unit_key: tuple
    until_seconds: float


@attrs.define(kw_only=True, eq=False)
class RoomHolds:
    """Workers held for units, by the unit's job id, occurrence and step."""

    _by_worker: dict = attrs.field(factory=dict, init=False)

    @property
    def is_empty(self):
        """Return whether no worker is held."""
        return not self._by_worker

    def hold(self, worker_ids, unit_key, *, now_seconds):
        """Hold workers for a unit, for `HOLD_SECONDS`."""
        hold = _Hold(unit_key=unit_key, until_seconds=now_seconds + HOLD_SECONDS)
        for worker_id in worker_ids:
            self._by_worker[worker_id] = hold

    def drop_expired(self, *, now_seconds):
        """Forget the holds whose time is over."""
        self._by_worker = {
            worker_id: hold
            for worker_id, hold in self._by_worker.items()
            if now_seconds < hold.until_seconds
        }

    def is_held_for_other(self, worker_id, unit_key):
        """Return whether a worker is held for another unit."""
        hold = self._by_worker.get(worker_id)
        return hold is not None and hold.unit_key != unit_key
