"""Choice of the runs that are stopped so that urgent work can start.

Designed for urgent gangs that arrive while long gangs and wide batches fill the
workers. A gang without one of its members ends, so all members are one victim.
"""

import attrs

from .packing import allocate, count_fitting, is_eligible

# Cores that an accelerator counts as in lost work; the weight that the users give to
# wasted work.
CORES_PER_GPU = 8
MILLICORES_PER_CORE = 1000
# Time that a stopped run with checkpoints loses by its restart.
RESTART_LOSS_SECONDS = 0.5
# Cost factor of urgent work beyond its guarantee: other victims are preferred until
# they lose this many times as much work, since its organisation needs it as urgently.
BORROWED_URGENT_COST_FACTOR = 20.0


@attrs.frozen(kw_only=True, eq=False)
class Victim:
    """Runs that can only be stopped together, and the work lost by stopping them.

    ``cost`` is in core-seconds, weighted by a factor for each run.
    """

    runs: tuple
    cost: float


@attrs.frozen(kw_only=True)
class Reclaim:
    """Runs to stop, the slots that waiting tasks then use, and the cost of stopping."""

    runs: list
    slots: list
    cost: float


def lost_core_seconds(run, now_seconds):
    """Return the work that is lost if a run is stopped now, in core-seconds.

    0 for a run that is being stopped already.
    """
    if run.is_stopping:
        return 0.0
    elapsed_seconds = max(0.0, now_seconds - run.claimed_at_seconds)
    if run.has_checkpoints:
        elapsed_seconds = min(elapsed_seconds, RESTART_LOSS_SECONDS)
    return weighted_cores(run.resources) * elapsed_seconds


def weighted_cores(resources):
    """Return the number of cores that resources count as in lost work."""
    cores = resources.cpu_millicores / MILLICORES_PER_CORE
    return cores + CORES_PER_GPU * resources.gpus_count


def find_victims(shard_state, cost_factor_of, now_seconds):
    """Return the victims by worker id.

    Parameters
    ----------
    shard_state : ShardState
    cost_factor_of : callable
        Returns the cost factor of stopping a run of a job, or 0 if the run must not be
        stopped.
    now_seconds : float
    """
    by_worker = {}
    for job in shard_state.jobs.values():
        groups = {}
        for run in job.runs.values():
            factor = 1.0 if run.is_stopping else cost_factor_of(job, run)
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


def choose_reclaim(slots, victims_by_worker, requirements, tasks_count, *, same_rack):
    """Choose cheap victims whose end makes room for all tasks, or return None.

    Parameters
    ----------
    slots : list of Slot
        Free capacity now; not changed.
    victims_by_worker : dict of str to list of Victim
    requirements : TaskRequirements
    tasks_count : int
    same_rack : bool
        Whether all tasks have to be in one rack.

    Returns
    -------
    Reclaim or None
        None if no victims were found that make enough room.
    """
    if not same_rack:
        return _reclaim_among(slots, victims_by_worker, requirements, tasks_count)
    racks = {}
    for slot in slots:
        racks.setdefault(slot.rack, []).append(slot)
    found = [
        _reclaim_among(racks[rack], victims_by_worker, requirements, tasks_count)
        for rack in sorted(racks)
    ]
    found = [reclaim for reclaim in found if reclaim is not None]
    return min(found, key=lambda reclaim: reclaim.cost, default=None)


def _reclaim_among(slots, victims_by_worker, requirements, tasks_count):
    """Choose victims greedily: each task goes to the worker where it costs least."""
    eligible = [slot for slot in slots if is_eligible(slot, requirements)]
    trial = {slot.worker_id: slot.copy() for slot in eligible}
    chosen, stopped, cost = [], [], 0.0
    while len(chosen) < tasks_count:
        best = None
        for slot in trial.values():
            victims = _victims_for_one(
                slot, victims_by_worker.get(slot.worker_id, ()), stopped, requirements
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
        allocate([slot], requirements)
        chosen.append(slot.worker_id)
    by_id = {slot.worker_id: slot for slot in eligible}
    return Reclaim(
        runs=[run for victim in stopped for run in victim.runs],
        slots=[by_id[worker_id] for worker_id in chosen],
        cost=cost,
    )


def _victims_for_one(slot, victims, stopped, requirements):
    """Return cheap victims that make room for one task on a worker, or None."""
    if count_fitting(slot, requirements, 1):
        return []
    trial = slot.copy()
    chosen = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if victim in stopped:
            continue
        chosen.append(victim)
        trial.free = trial.free.plus(_resources_at(victim, slot.worker_id))
        if count_fitting(trial, requirements, 1):
            return _drop_unneeded(trial, chosen, requirements)
    return None


def _drop_unneeded(trial, chosen, requirements):
    """Remove victims that the task does not need, checking the most costly first."""
    for victim in sorted(chosen, key=lambda victim: -victim.cost):
        freed = _resources_at(victim, trial.worker_id)
        trial.free = trial.free.minus(freed)
        if count_fitting(trial, requirements, 1):
            chosen.remove(victim)
        else:
            trial.free = trial.free.plus(freed)
    return chosen


def _resources_at(victim, worker_id):
    total = None
    for run in victim.runs:
        if run.worker_id == worker_id:
            total = run.resources if total is None else total.plus(run.resources)
    return total
