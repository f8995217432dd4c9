"""Choice of the runs that are stopped so that urgent work can start.

Designed for urgent gangs that arrive while long gangs and wide batches fill the
workers. A gang without one of its members ends, so all members are one victim.
"""

import attrs

from ..jobs.steps import NO_RESOURCES
from .packing import count_tasks, is_eligible

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

    ``cost`` is in core-seconds, weighted by a factor for each run. ``freed`` maps the
    workers of the runs to the resources that are freed there.
    """

    runs: tuple
    cost: float
    freed: dict


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
    """Return the victims by worker id, those with the lowest cost first.

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
            victim = _make_victim(members, now_seconds)
            for worker_id in victim.freed:
                by_worker.setdefault(worker_id, []).append(victim)
    for victims in by_worker.values():
        victims.sort(key=lambda victim: victim.cost)
    return by_worker


def _make_victim(members, now_seconds):
    runs = tuple(run for run, _ in members)
    return Victim(
        runs=runs,
        cost=sum(
            factor * lost_core_seconds(run, now_seconds) for run, factor in members
        ),
        freed=sum_freed(runs),
    )


def sum_freed(runs):
    """Return the resources that the ends of runs free, by worker id."""
    freed = {}
    for run in runs:
        worker_id = run.worker_id
        freed[worker_id] = freed.get(worker_id, NO_RESOURCES).plus(run.resources)
    return freed


def choose_reclaim(
    slots, victims_by_worker, requirements, tasks_count, *, same_rack, offers=None
):
    """Choose cheap victims whose end makes room for all tasks, or return None.

    Parameters
    ----------
    slots : list of Slot
        Free capacity now; not changed.
    victims_by_worker : dict of str to list of Victim
        Sorted by cost.
    requirements : TaskRequirements
    tasks_count : int
    same_rack : bool
        Whether all tasks have to be in one rack.
    offers : dict, optional
        Shared by searches with the same requirements between which neither the slots
        nor the victims change, so that each worker is examined once.

    Returns
    -------
    Reclaim or None
        None if no victims were found that make enough room.
    """
    offers = {} if offers is None else offers
    if not same_rack:
        return _ReclaimSearch(slots, victims_by_worker, requirements, offers).find(
            tasks_count
        )
    racks = {}
    for slot in slots:
        racks.setdefault(slot.rack, []).append(slot)
    best = None
    for rack in sorted(racks):
        search = _ReclaimSearch(racks[rack], victims_by_worker, requirements, offers)
        reclaim = search.find(tasks_count, cost_limit=best.cost if best else None)
        if reclaim is not None:
            best = reclaim
    return best


@attrs.frozen(kw_only=True)
class _Offer:
    """Victims that make room for one more task on a worker, and their cost."""

    cost: float
    victims: tuple


class _ReclaimSearch:
    """Greedy choice of victims: each task goes to the worker where it costs least.

    After each choice only the offers of the workers that it changed are renewed.
    """

    def __init__(self, slots, victims_by_worker, requirements, offers):
        self._slots = {
            slot.worker_id: slot for slot in slots if is_eligible(slot, requirements)
        }
        self._victims_by_worker = victims_by_worker
        self._requirements = requirements
        self._free = {worker_id: slot.free for worker_id, slot in self._slots.items()}
        self._placed_counts = {}
        self._stopped = set()
        for worker_id in self._slots:
            if worker_id not in offers:
                offers[worker_id] = self._make_offer(worker_id)
        self._offers = {
            worker_id: offers[worker_id]
            for worker_id in self._slots
            if offers[worker_id] is not None
        }

    def find(self, tasks_count, *, cost_limit=None):
        """Return the `Reclaim` for all tasks, or None.

        A reclaim that costs at least ``cost_limit`` is not returned.
        """
        chosen, runs, cost = [], [], 0.0
        for _ in range(tasks_count):
            if not self._offers:
                return None
            worker_id = min(self._offers, key=self._offer_key)
            offer = self._offers[worker_id]
            cost += offer.cost
            if cost_limit is not None and cost >= cost_limit:
                return None
            chosen.append(self._slots[worker_id])
            for victim in offer.victims:
                runs += victim.runs
            self._place(worker_id, offer)
        return Reclaim(runs=runs, slots=chosen, cost=cost)

    def _offer_key(self, worker_id):
        cost = self._offers[worker_id].cost
        return cost, self._free[worker_id].gpus_count, worker_id

    def _place(self, worker_id, offer):
        """Stop the victims of an offer and place a task, then renew the offers."""
        changed = {worker_id}
        for victim in offer.victims:
            self._stopped.add(victim)
            for other_id, resources in victim.freed.items():
                if other_id in self._free:
                    self._free[other_id] = self._free[other_id].plus(resources)
                    changed.add(other_id)
        demand = self._requirements.demand
        self._free[worker_id] = self._free[worker_id].minus(demand)
        self._placed_counts[worker_id] = self._placed_counts.get(worker_id, 0) + 1
        for changed_id in changed:
            offer = self._make_offer(changed_id)
            if offer is None:
                self._offers.pop(changed_id, None)
            else:
                self._offers[changed_id] = offer

    def _make_offer(self, worker_id):
        """Return the offer of a worker, or None if it cannot make room."""
        requirements = self._requirements
        limit_count = requirements.tasks_per_worker_limit
        if limit_count:
            taken_count = self._slots[worker_id].step_counts.get(
                requirements.step_key, 0
            )
            if taken_count + self._placed_counts.get(worker_id, 0) >= limit_count:
                return None
        free = self._free[worker_id]
        demand = requirements.demand
        if count_tasks(free, demand, 1):
            return _Offer(cost=0, victims=())
        chosen = []
        for victim in self._victims_by_worker.get(worker_id, ()):
            if victim in self._stopped:
                continue
            chosen.append(victim)
            free = free.plus(victim.freed[worker_id])
            if count_tasks(free, demand, 1):
                needed = _drop_unneeded(chosen, free, demand, worker_id)
                return _Offer(
                    cost=sum(victim.cost for victim in needed), victims=tuple(needed)
                )
        return None


def _drop_unneeded(victims, free, demand, worker_id):
    """Return the victims that a task needs, checking the most costly first."""
    needed = list(victims)
    for victim in sorted(victims, key=lambda victim: -victim.cost):
        rest = free.minus(victim.freed[worker_id])
        if count_tasks(rest, demand, 1):
            free = rest
            needed.remove(victim)
    return needed
