"""Which runs are stopped so that urgent work can begin.

Answers the load of urgent gangs that arrive while long gangs and wide batches fill the
workers. The members of a gang live and die together, so that they are one victim.
"""

import attrs

from .packing import count_fitting, is_eligible, take

# Cost of a core-second of lost work; an accelerator counts as this many cores, the
# weight that the users give to wasted work.
GPU_CORES = 8
MILLICORES = 1000
# A stopped run with checkpoints loses the time that its restart takes.
RESTART_SECONDS = 0.5
# Borrowed urgent work is stopped only if nothing else makes room: its owner waits for
# it as urgently.
URGENT_COST_FACTOR = 20.0


@attrs.frozen(kw_only=True, eq=False)
class Victim:
    """Runs that can only be stopped together, and the work that is lost."""

    runs: tuple
    cost: float


@attrs.frozen(kw_only=True)
class Reclaim:
    """Runs to stop, the slots that the waiting tasks then take, and the lost work."""

    victims: list
    slots: list
    cost: float


def lost_core_seconds(run, now_seconds):
    """Return the work that is lost if a run is stopped now.

    A run that is being stopped already costs nothing more.
    """
    if run.is_stopping:
        return 0.0
    elapsed_seconds = max(0.0, now_seconds - run.claimed_at_seconds)
    if run.has_checkpoints:
        elapsed_seconds = min(elapsed_seconds, RESTART_SECONDS)
    return core_weight(run.resources) * elapsed_seconds


def core_weight(resources):
    """Return the cores that resources count as."""
    cores = resources.cpu_millicores / MILLICORES
    return cores + GPU_CORES * resources.gpus_count


def find_victims(shard_state, may_stop, now_seconds):
    """Return the victims by worker id.

    Parameters
    ----------
    shard_state : ShardState
    may_stop : callable
        Returns the cost factor of stopping a run, or 0 if it must not be stopped.
    now_seconds : float
    """
    by_worker = {}
    for job in shard_state.jobs.values():
        groups = {}
        for run in job.runs.values():
            factor = 1.0 if run.is_stopping else may_stop(job, run)
            if not factor:
                continue
            is_gang = job.submission.steps[run.ref.step].is_gang
            key = (run.ref.occurrence, run.ref.step) if is_gang else run.key
            groups.setdefault(key, []).append((run, factor))
        for members in groups.values():
            victim = Victim(
                runs=tuple(run for run, _ in members),
                cost=sum(
                    factor * lost_core_seconds(run, now_seconds)
                    for run, factor in members
                ),
            )
            for worker_id in sorted({run.worker_id for run in victim.runs}):
                by_worker.setdefault(worker_id, []).append(victim)
    return by_worker


def choose_reclaim(slots, victims_by_worker, want, tasks_count, *, same_rack):
    """Find cheap victims whose end makes room for all tasks.

    Parameters
    ----------
    slots : list of Slot
        Free capacity now; not changed.
    victims_by_worker : dict of str to list of Victim
    want : Want
    tasks_count : int
    same_rack : bool
        Whether all tasks have to be in one rack.

    Returns
    -------
    Reclaim or None
        None if no choice of victims makes enough room.
    """
    if not same_rack:
        return _reclaim_among(slots, victims_by_worker, want, tasks_count)
    racks = {}
    for slot in slots:
        racks.setdefault(slot.rack, []).append(slot)
    found = [
        _reclaim_among(racks[rack], victims_by_worker, want, tasks_count)
        for rack in sorted(racks)
    ]
    found = [reclaim for reclaim in found if reclaim is not None]
    return min(found, key=lambda reclaim: reclaim.cost, default=None)


def _reclaim_among(slots, victims_by_worker, want, tasks_count):
    """Place the tasks one by one, each where it costs least."""
    eligible = [slot for slot in slots if is_eligible(slot, want)]
    trial = {slot.worker_id: slot.copy() for slot in eligible}
    chosen, stopped, cost = [], [], 0.0
    while len(chosen) < tasks_count:
        best = None
        for slot in trial.values():
            victims = _victims_for_one(
                slot, victims_by_worker.get(slot.worker_id, ()), stopped, want
            )
            if victims is None:
                continue
            added_cost = sum(victim.cost for victim in victims)
            key = added_cost, slot.free.gpus_count, slot.worker_id
            if best is None or key < best[0]:
                best = key, slot, victims
        if best is None:
            return None
        (added_cost, _, _), slot, victims = best
        cost += added_cost
        for victim in victims:
            stopped.append(victim)
            for run in victim.runs:
                if run.worker_id in trial:
                    other = trial[run.worker_id]
                    other.free = other.free.plus(run.resources)
        take([slot], want)
        chosen.append(slot.worker_id)
    by_id = {slot.worker_id: slot for slot in eligible}
    return Reclaim(
        victims=[run for victim in stopped for run in victim.runs],
        slots=[by_id[worker_id] for worker_id in chosen],
        cost=cost,
    )


def _victims_for_one(slot, victims, stopped, want):
    """Return cheap victims that make room for one more task, or None."""
    if count_fitting(slot, want, 1):
        return []
    widened = slot.copy()
    chosen = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if victim in stopped:
            continue
        chosen.append(victim)
        widened.free = widened.free.plus(_resources_at(victim, slot.worker_id))
        if count_fitting(widened, want, 1):
            return _without_needless(widened, chosen, want)
    return None


def _without_needless(widened, chosen, want):
    """Drop victims, the most costly first, without which the task still fits."""
    for victim in sorted(chosen, key=lambda victim: -victim.cost):
        freed = _resources_at(victim, widened.worker_id)
        widened.free = widened.free.minus(freed)
        if count_fitting(widened, want, 1):
            chosen.remove(victim)
        else:
            widened.free = widened.free.plus(freed)
    return chosen


def _resources_at(victim, worker_id):
    total = None
    for run in victim.runs:
        if run.worker_id == worker_id:
            total = run.resources if total is None else total.plus(run.resources)
    return total
