"""Slow and simple computations that planning must agree with.

Each decides from all runs and slots anew, without kept or shared figures.
"""

import math
import statistics
import weakref

import attrs

from kingcuptrack.coordination.sessions import POLL_WAIT_SECONDS
from kingcuptrack.state.cluster.recent_usage import DECAY_SECONDS
from kingcuptrack.state.cluster.run_observations import kind_of
from kingcuptrack.state.cluster.speed_fit import LOG_LIMIT
from kingcuptrack.state.cluster.worker_speeds import COLD_FACTOR
from kingcuptrack.state.jobs.steps import GUARANTEED_PRIORITY, NO_RESOURCES
from kingcuptrack.state.planning.packing import Slot, is_eligible
from kingcuptrack.state.planning.scheduling_units import find_ready_units
from kingcuptrack.state.planning.stragglers import (
    HANG_FRACTION,
    HANG_SECONDS,
    PEERS_MINIMUM_COUNT,
    REPORT_AGE_LIMIT_SECONDS,
    RESTART_GAIN_FACTOR,
    SLOW_FACTOR,
    projected_seconds,
)
from kingcuptrack.state.planning.victims import Reclaim


def count_fitting(slot, requirements, limit_count):
    """Return how many tasks fit on a worker, at most the limit."""
    if not is_eligible(slot, requirements):
        return 0
    if any(free < 0 for free in attrs.astuple(slot.free)):
        return 0
    counts = [limit_count]
    if requirements.tasks_per_worker_limit:
        taken_count = slot.step_counts.get(requirements.step_key, 0)
        counts.append(requirements.tasks_per_worker_limit - taken_count)
    for free, needed in zip(
        attrs.astuple(slot.free), attrs.astuple(requirements.demand), strict=True
    ):
        if needed > 0:
            counts.append(free // needed)
    return max(0, min(counts))


def choose_reclaim(slots, victims_by_worker, requirements, tasks_count, *, same_rack):
    """Choose victims as `victims.choose_reclaim` does, looking at all slots each time.

    Each task goes to the worker where it costs least.
    """
    if not same_rack:
        return _reclaim_among(slots, victims_by_worker, requirements, tasks_count)
    found = []
    for rack in sorted({slot.rack for slot in slots}):
        members = [slot for slot in slots if slot.rack == rack]
        reclaim = _reclaim_among(members, victims_by_worker, requirements, tasks_count)
        if reclaim is not None:
            found.append(reclaim)
    return min(found, key=lambda reclaim: reclaim.cost, default=None)


def _reclaim_among(slots, victims_by_worker, requirements, tasks_count):
    eligible = [slot for slot in slots if is_eligible(slot, requirements)]
    trial = {slot.worker_id: _copy(slot) for slot in eligible}
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
        slot.free = slot.free.minus(requirements.demand)
        key = requirements.step_key
        slot.step_counts[key] = slot.step_counts.get(key, 0) + 1
        chosen.append(slot.worker_id)
    by_id = {slot.worker_id: slot for slot in eligible}
    return Reclaim(
        runs=[run for victim in stopped for run in victim.runs],
        slots=[by_id[worker_id] for worker_id in chosen],
        cost=cost,
    )


def _victims_for_one(slot, victims, stopped, requirements):
    if count_fitting(slot, requirements, 1):
        return []
    trial = _copy(slot)
    chosen = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if victim in stopped:
            continue
        chosen.append(victim)
        trial.free = trial.free.plus(_resources_at(victim, slot.worker_id))
        if count_fitting(trial, requirements, 1):
            break
    else:
        return None
    for victim in sorted(chosen, key=lambda victim: -victim.cost):
        freed = _resources_at(victim, trial.worker_id)
        trial.free = trial.free.minus(freed)
        if count_fitting(trial, requirements, 1):
            chosen.remove(victim)
        else:
            trial.free = trial.free.plus(freed)
    return chosen


def _resources_at(victim, worker_id):
    total = NO_RESOURCES
    for run in victim.runs:
        if run.worker_id == worker_id:
            total = total.plus(run.resources)
    return total


def _copy(slot):
    return Slot(
        **{
            **{field.name: getattr(slot, field.name) for field in attrs.fields(Slot)},
            "step_counts": dict(slot.step_counts),
            "planned_tasks": list(slot.planned_tasks),
        }
    )


def find_straggler_reasons(shard_state, now_seconds):
    """Return the reasons of the runs that hang or are slow, by key of the run."""
    reasons = {}
    for worker in shard_state.workers.values():
        report_age_seconds = now_seconds - worker.answered_at_seconds
        if report_age_seconds > POLL_WAIT_SECONDS + REPORT_AGE_LIMIT_SECONDS:
            continue
        for run in worker.runs.values():
            if run.is_stopping or not run.is_progress_known or run.percent >= 100:
                continue
            reason = _find_straggler_reason(shard_state, run, worker)
            if reason:
                reasons[run.key] = reason
    return reasons


def _find_straggler_reason(shard_state, run, worker):
    ref = run.ref
    job = shard_state.jobs[ref.job_id]
    is_gang = job.submission.steps[ref.step].is_gang
    key = (ref.occurrence, ref.step) if is_gang else ref
    own_restarts_count = len(job.restarted_runs.get(key, ()))
    expected_seconds = shard_state.expected_seconds(run)
    hang_seconds = max(HANG_SECONDS, HANG_FRACTION * expected_seconds)
    idle_seconds = worker.answered_at_seconds - run.percent_changed_at_seconds
    if idle_seconds > hang_seconds * 2**own_restarts_count:
        return f"no progress for {idle_seconds:.1f} s at {run.percent}%"
    total_seconds = projected_seconds(run)
    if job.restarts.get((ref.occurrence, ref.step)) or total_seconds is None:
        return ""
    peers_seconds = [
        projected_seconds(other)
        for other in job.step_runs(ref.occurrence, ref.step)
        if other is not run and other.is_remote == run.is_remote
    ]
    peers_seconds = [seconds for seconds in peers_seconds if seconds is not None]
    if len(peers_seconds) < PEERS_MINIMUM_COUNT:
        return ""
    median_seconds = statistics.median(peers_seconds)
    rest_seconds = total_seconds * (100 - run.percent) / 100.0
    is_slow = total_seconds >= SLOW_FACTOR * median_seconds
    if not is_slow or rest_seconds < RESTART_GAIN_FACTOR * median_seconds:
        return ""
    return (
        f"projected run time {total_seconds:.1f} s; "
        f"median of other runs of the step {median_seconds:.1f} s"
    )


# Accelerators in use by organisation at each plan, as (time, usage), by shard state.
_usage_histories = weakref.WeakKeyDictionary()


def check_recent_usage(shard_state, *, now_seconds):
    """Check the decayed usage against the integral over all plans so far.

    Raises
    ------
    AssertionError
        A change of the usage between two plans was not averaged.
    """
    history = _usage_histories.setdefault(shard_state, [])
    used = shard_state.used_by_organisation.items()
    history.append((now_seconds, {name: item.gpus_count for name, item in used}))
    first_seconds, averages = history[0]
    kept = math.exp((first_seconds - now_seconds) / DECAY_SECONDS)
    averages = {name: kept * count for name, count in averages.items()}
    for (begin, counts), (end, _) in zip(history, history[1:], strict=False):
        weight = math.exp((end - now_seconds) / DECAY_SECONDS)
        weight -= math.exp((begin - now_seconds) / DECAY_SECONDS)
        for name, count in counts.items():
            averages[name] = averages.get(name, 0.0) + weight * count
    for name, average in averages.items():
        kept_average = shard_state.recent_usage.amounts(name).gpus_count
        assert abs(kept_average - average) < 1e-6, (name, kept_average, average)


def check_kept_figures(shard_state, *, wall_seconds, now_seconds):
    """Check the figures that `ShardState` keeps against a count of all jobs and runs.

    Raises
    ------
    AssertionError
        A kept figure differs, as after a change without its update.
    """
    used, step_counts, urgent_gpus, other_gpus = {}, {}, {}, 0
    used_by_organisation = {}
    for job in shard_state.jobs.values():
        for run in job.runs.values():
            worker_id = run.worker_id
            organisation = job.submission.organisation
            used_by_organisation[organisation] = used_by_organisation.get(
                organisation, NO_RESOURCES
            ).plus(run.resources)
            used[worker_id] = used.get(worker_id, NO_RESOURCES).plus(run.resources)
            counts = step_counts.setdefault(worker_id, {})
            key = run.ref.job_id, run.ref.occurrence, run.ref.step
            counts[key] = counts.get(key, 0) + 1
            gpus_count = run.resources.gpus_count
            if run.priority > GUARANTEED_PRIORITY:
                other_gpus += gpus_count
            elif gpus_count:
                urgent_gpus[organisation] = urgent_gpus.get(organisation, 0)
                urgent_gpus[organisation] += gpus_count
    for worker_id, worker in shard_state.workers.items():
        assert worker.used == used.get(worker_id, NO_RESOURCES), worker_id
        assert worker.step_counts == step_counts.get(worker_id, {}), worker_id
    kept_gpus = {
        name: count for name, count in shard_state.urgent_gpus.items() if count
    }
    assert kept_gpus == urgent_gpus, (kept_gpus, urgent_gpus)
    kept_used = {
        name: total
        for name, total in shard_state.used_by_organisation.items()
        if total != NO_RESOURCES
    }
    used_by_organisation = {
        name: total
        for name, total in used_by_organisation.items()
        if total != NO_RESOURCES
    }
    assert kept_used == used_by_organisation, (kept_used, used_by_organisation)
    assert shard_state.other_gpus_count == other_gpus
    assert shard_state.busy_workers_count == len(used)
    check_holders(shard_state)
    check_neighbours(shard_state)
    check_speeds(shard_state.worker_speeds, now_seconds)
    kept_units = find_ready_units(shard_state, wall_seconds=wall_seconds)
    for job in shard_state.jobs.values():
        job.ready_units = None
    units = find_ready_units(shard_state, wall_seconds=wall_seconds)
    assert _unit_keys(kept_units) == _unit_keys(units)


def check_holders(shard_state):
    """Check that each task that a worker holds has a run, and the other way round.

    Raises
    ------
    AssertionError
        A task is held without a run, or a run is known to its job or worker alone.
    """
    runs = {}
    for job in shard_state.jobs.values():
        held = {
            item.key(job.submission.job_id): item.worker_id
            for item in job.progress.list_held_runs()
        }
        missing = held.keys() - job.runs.keys()
        assert not missing, f"held without a run: {missing}"
        for key, run in job.runs.items():
            holder = held.get(key)
            assert holder in (None, run.worker_id), (key, holder, run.worker_id)
            task = job.progress.task(run.ref)
            is_newest = task is not None and task.last_run == run.number
            assert holder or not is_newest or task.is_done, f"not held: {key}"
            runs[run.worker_id, key] = run
    at_workers = {
        (worker_id, key): run
        for worker_id, worker in shard_state.workers.items()
        for key, run in worker.runs.items()
    }
    assert runs == at_workers, runs.keys() ^ at_workers.keys()


def check_neighbours(shard_state):
    """Check the kept kinds of the runs of each worker against a count of all runs.

    Raises
    ------
    AssertionError
        A kept count differs.
    """
    if shard_state.neighbours is None:
        return
    counts = {}
    for job in shard_state.jobs.values():
        for run in job.runs.values():
            step = job.submission.steps[run.ref.step]
            kind = kind_of(job.submission.queue, step)
            kinds = counts.setdefault(run.worker_id, {})
            kinds[kind] = kinds.get(kind, 0) + 1
    assert shard_state.neighbours.worker_ids() == set(counts)
    for worker_id, kinds in counts.items():
        assert shard_state.neighbours.counts(worker_id) == kinds, worker_id


def share_beside(spans, index, kind):
    """Return the fraction of a run's time with another run of a kind beside it.

    ``spans`` lists (kind, begin, end) of the runs of one worker; times are compared in
    thousandths of their unit.
    """
    _, begin, end = spans[index]
    ticks = range(round(1000 * begin), round(1000 * end))
    others = [
        (round(1000 * other_begin), round(1000 * other_end))
        for number, (other_kind, other_begin, other_end) in enumerate(spans)
        if number != index and other_kind == kind
    ]
    beside = sum(any(first <= tick < last for first, last in others) for tick in ticks)
    return beside / len(ticks)


def check_speeds(speeds, now_seconds):
    """Check the factors against a computation from all estimates.

    Raises
    ------
    AssertionError
        A factor is not relative to the mean of the observed workers of its service.
    """
    if not speeds.is_on:
        return
    view = speeds.compute_view(now_seconds)
    levels = {}
    for estimate in speeds.estimates.values():
        if estimate.observations_count:
            levels.setdefault(estimate.service, []).append(math.exp(estimate.level))
    for worker_id, estimate in speeds.estimates.items():
        mean = statistics.fmean(levels.get(estimate.service, [1.0]))
        factor = math.exp(estimate.log) / mean
        factor = max(math.exp(-LOG_LIMIT), min(math.exp(LOG_LIMIT), factor))
        is_cold = now_seconds < estimate.cold_until_seconds
        factor = max(factor, COLD_FACTOR) if is_cold else factor
        is_unknown = not is_cold and not estimate.is_known
        assert math.isclose(view.factors[worker_id], factor, rel_tol=1e-6), worker_id
        assert (worker_id in view.unknown_worker_ids) == is_unknown, worker_id
    assert set(view.factors) == set(speeds.estimates)


def _unit_keys(units):
    return [
        (unit.job.submission.job_id, unit.occurrence, unit.step_number, unit.indexes)
        for unit in units
    ]
