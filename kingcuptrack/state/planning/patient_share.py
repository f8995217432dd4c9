"""The share of the accelerators that work without urgency may occupy.

The rest stays free for urgent work, which comes in bursts.
"""

import attrs


@attrs.define(kw_only=True, eq=False)
class PatientShare:
    """Accelerators that work without urgency uses during a planning pass.

    Parameters
    ----------
    usable_gpus_count : int
        Accelerators of all workers that may get new work.
    used_gpus_count : int
        Accelerators that work without urgency uses, with what the pass placed.
    """

    usable_gpus_count: int
    used_gpus_count: int

    def limit(self, unit, chosen, *, share, held_gpus_count):
        """Return the slots that a unit may use; a gang gets all of its slots or none.

        Parameters
        ----------
        unit : SchedulingUnit
        chosen : list of Slot
        share : float
            Fraction of the accelerators that work without urgency may use now.
        held_gpus_count : callable
            Returns the accelerators to keep for a gang that waits.
        """
        gpus_count = unit.step.resources.gpus_count
        if not gpus_count or not chosen:
            return chosen
        left_count = int(share * self.usable_gpus_count) - self.used_gpus_count
        room_count = max(0, left_count) // gpus_count
        if unit.step.is_gang and room_count < len(chosen):
            # A gang larger than the share may start only when no other work without
            # urgency runs; otherwise it would never start.
            if not self.used_gpus_count:
                return chosen
            self.used_gpus_count += held_gpus_count(unit)
            return []
        return chosen[:room_count]

    def add(self, unit, tasks_count):
        """Count placed tasks of a unit."""
        self.used_gpus_count += unit.step.resources.gpus_count * tasks_count


def make_patient_share(shard_state, slots):
    """Return the `PatientShare` of a planning pass."""
    return PatientShare(
        usable_gpus_count=sum(
            shard_state.workers[slot.worker_id].entry.capacity.gpus_count
            for slot in slots
        ),
        used_gpus_count=shard_state.other_gpus_count,
    )
