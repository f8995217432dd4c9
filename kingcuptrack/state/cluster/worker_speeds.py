"""Speed of workers, learned from the run times and the progress of their runs.

`speed_fit` describes the estimate. Factors are relative to the average of the workers
of a service, so that a change that hits all of them changes none.
"""

import math

import attrs
import msgspec

from ..jobs.records import RecordError, decode_record
from .speed_fit import (
    LOG_LIMIT,
    TASK_VARIANCE,
    QueueTime,
    WorkerEstimate,
    limited,
    slowest_shares,
)

# A run beyond this factor of its peers is a straggler and tells nothing of its worker;
# as `stragglers.SLOW_FACTOR`.
STRAGGLER_LOG = math.log(2.5)
# Variance of the run time of a step below which its peers are known well enough.
PEERS_VARIANCE = TASK_VARIANCE
# A projection of the run time from progress needs this much progress and time.
PROJECTION_PERCENT = 20
PROJECTION_SECONDS = 0.4
# Members of a gang run at their own pace, and not at that of the slowest, if their
# projected run times differ by this factor. Reports in whole percent make them differ
# by less.
OWN_PACE_RATIO = 1.15
# Progress of a worker is not used any more after its projection was wrong by this
# factor at the end of the run.
FALSE_PROGRESS_LOG = math.log(1.6)
# Factor of a worker that has just started and is not warm; its extent is not reported.
COLD_FACTOR = 2.0
# Bound from which a worker is shown as slow.
SLOW_WORKER_FACTOR = 1.25
# Bound below which it is not shown any more, so that noise gives no log lines.
USUAL_WORKER_FACTOR = 1.15
# Least observations of a kind of workers that count as much as its prior.
KIND_PRIOR_COUNT = 2
# Lower bound of run times, since the logarithm of 0 does not exist.
SHORTEST_SECONDS = 0.001
STEPS_LIMIT_COUNT = 2000
PROJECTIONS_LIMIT_COUNT = 10_000
ROW_WORKERS_LIMIT_COUNT = 1000
# Lives are stored modulo this number, to keep rows short.
LIFE_MODULUS = 1 << 16
# Time between two computations of the factors; a plan may use factors of this age.
REFRESH_INTERVAL_SECONDS = 0.25


@attrs.frozen(kw_only=True)
class SpeedView:
    """Factors of all workers at one time.

    ``factors`` maps the worker id to the run time relative to an average worker.
    ``unknown_worker_ids`` have too few observations.
    """

    factors: dict
    unknown_worker_ids: frozenset


EMPTY_VIEW = SpeedView(factors={}, unknown_worker_ids=frozenset())


class _SpeedRow(msgspec.Struct, array_like=True):
    worker_id: str
    life: int
    level_thousandths: int
    variance_ten_thousandths: int
    observations_count: int


class WorkerSpeeds:
    """Factors of the workers of a shard; pure, all times are passed in.

    With ``is_on`` false nothing is learned and every factor is 1.
    """

    def __init__(self, *, is_on=False):
        self.is_on = is_on
        self.estimates = {}
        # Run times of the steps seen last, by step key, and of queues.
        self._steps = {}
        self._queues = {}
        # Logarithms of the projected run times of runs that are not over, by key.
        self._projections = {}
        # Rows of workers that have not answered since they were restored.
        self._restored = {}
        # Workers that count as slow since the latest `take_changed_workers`.
        self.slow_worker_ids = frozenset()
        # Logarithm of the mean factor by service, as of the latest view.
        self._centres = {}
        self._view = EMPTY_VIEW
        self._viewed_at_seconds = float("-inf")

    def note_life(self, entry, life, *, now_seconds):
        """Start a worker's estimate in a new life; known lives are kept.

        ``life`` is the incarnation that the worker itself reports.
        """
        life %= LIFE_MODULUS
        worker_id = entry.worker_id
        known = self.estimates.get(worker_id)
        if not self.is_on or (known is not None and known.life == life):
            return
        kind = tuple(sorted(entry.labels - {entry.rack}))
        estimate = WorkerEstimate(
            service=entry.service,
            kind=kind,
            life=life,
            level=self._kind_level(entry.service, kind),
            updated_at_seconds=now_seconds,
        )
        if known is not None:
            estimate.cold_until_seconds = known.cold_until_seconds
        elif entry.cold_remaining_seconds:
            estimate.cold_until_seconds = now_seconds + entry.cold_remaining_seconds
        row = self._restored.pop(worker_id, None)
        if row is not None and row.life == life:
            estimate.level = row.level_thousandths / 1e3
            estimate.level_variance = row.variance_ten_thousandths / 1e4
            estimate.observations_count = row.observations_count
        self.estimates[worker_id] = estimate

    def note_entry(self, entry, *, now_seconds):
        """Record for how much longer a worker is slow after its start."""
        estimate = self.estimates.get(entry.worker_id)
        if estimate is not None and entry.cold_remaining_seconds > 0:
            until_seconds = now_seconds + entry.cold_remaining_seconds
            estimate.cold_until_seconds = until_seconds

    def forget_worker(self, worker_id):
        """Keep only the row of a worker that is gone, since it may return."""
        estimate = self.estimates.pop(worker_id, None)
        if estimate is not None and estimate.observations_count:
            _limit(self._restored, ROW_WORKERS_LIMIT_COUNT)
            self._restored[worker_id] = self._make_row(worker_id, estimate)

    def known_factor(self, worker_id):
        """Return the factor of the latest view."""
        return self._view.factors.get(worker_id, 1.0)

    def gang_factor(self, worker_ids, *, now_seconds):
        """Return the run time of a gang relative to one on average workers."""
        factors = self.view(now_seconds=now_seconds).factors
        return max((factors.get(name, 1.0) for name in worker_ids), default=1.0)

    def view(self, *, now_seconds):
        """Return the `SpeedView`; it may be `REFRESH_INTERVAL_SECONDS` old."""
        age_seconds = now_seconds - self._viewed_at_seconds
        if self.is_on and age_seconds >= REFRESH_INTERVAL_SECONDS:
            self._view = self.compute_view(now_seconds)
            self._viewed_at_seconds = now_seconds
        return self._view

    def compute_view(self, now_seconds):
        """Return the `SpeedView` of this time."""
        self._centres = self._find_centres()
        factors, unknown = {}, set()
        for worker_id, estimate in self.estimates.items():
            estimate.advance(now_seconds)
            log = estimate.log - self._centres[estimate.service]
            factor = math.exp(max(-LOG_LIMIT, min(LOG_LIMIT, log)))
            if now_seconds < estimate.cold_until_seconds:
                factor = max(factor, COLD_FACTOR)
            elif not estimate.is_known:
                unknown.add(worker_id)
            factors[worker_id] = factor
        return SpeedView(factors=factors, unknown_worker_ids=frozenset(unknown))

    def _find_centres(self):
        """Return the logarithm of the mean factor by service."""
        totals = {}
        for estimate in self.estimates.values():
            total = totals.setdefault(estimate.service, [0.0, 0])
            if estimate.observations_count:
                total[0] += math.exp(estimate.level)
                total[1] += 1
        return {
            service: math.log(total / count) if count else 0.0
            for service, (total, count) in totals.items()
        }

    def _kind_level(self, service, kind):
        """Return the prior of a worker: the mean of its kind, shrunk to that of all."""
        centre = self._centres.get(service, 0.0)
        levels = [
            estimate.level - centre
            for estimate in self.estimates.values()
            if estimate.is_known
            and (estimate.service, estimate.kind) == (service, kind)
        ]
        return centre + sum(levels) / (len(levels) + KIND_PRIOR_COUNT)

    def learn(self, observation, *, now_seconds):
        """Learn from the end of a run; of a gang, only the first end counts."""
        if not self.is_on:
            return
        if observation.is_gang and observation.step_key in self._steps:
            return
        projection = self._projections.pop(observation.run_key, None)
        log = math.log(max(observation.actual_seconds, SHORTEST_SECONDS))
        if projection is not None:
            self._check_projection(observation, projection, log)
        # The projection and the end are made by the same task, so that each of them
        # gets half of the information.
        noise = TASK_VARIANCE if projection is None else 2 * TASK_VARIANCE
        self._observe(observation, log, noise, now_seconds)

    def learn_progress(self, observation, *, now_seconds):
        """Learn from a running task, whose run time is a projection; once for a run."""
        estimate = self.estimates.get(observation.worker_id)
        is_usable = estimate is not None and estimate.is_progress_trusted
        if not is_usable or observation.is_gang:
            return
        if observation.run_key in self._projections:
            return
        log = math.log(max(observation.actual_seconds, SHORTEST_SECONDS))
        self._observe(observation, log, 2 * TASK_VARIANCE, now_seconds)
        _limit(self._projections, PROJECTIONS_LIMIT_COUNT)
        self._projections[observation.run_key] = log

    def _check_projection(self, observation, projected_log, log):
        """Restart the estimate of a worker whose progress its end has disproved.

        Other projections of it are as false, and have changed the run time of the step.
        """
        estimate = self.estimates.get(observation.worker_id)
        if estimate is None or not estimate.is_progress_trusted:
            return
        if abs(log - projected_log) <= FALSE_PROGRESS_LOG:
            return
        level = self._kind_level(estimate.service, estimate.kind)
        unobserved = estimate.make_unobserved(level)
        unobserved.is_progress_trusted = False
        self.estimates[observation.worker_id] = unobserved
        self._steps.pop(observation.step_key, None)

    def _observe(self, observation, log, noise, now_seconds):
        """Divide a run time between the step and the workers.

        A gang runs at the pace of its slowest member: a member is at most as slow as
        the gang, and is as slow with a probability by which it takes part.
        """
        worker_ids = observation.gang_worker_ids or (observation.worker_id,)
        estimates = [
            self.estimates[worker_id]
            for worker_id in dict.fromkeys(worker_ids)
            if worker_id in self.estimates
        ]
        began_at_seconds = now_seconds - observation.actual_seconds
        if not estimates or any(
            began_at_seconds < estimate.cold_until_seconds for estimate in estimates
        ):
            return
        for estimate in estimates:
            estimate.advance(now_seconds)
        queue, step = self._find_step(observation, log)
        target = log - step.mean + self._centres.get(observation.service, 0.0)
        if _is_straggler(observation, step, target - estimates[0].log):
            return
        before, step_variance = step.mean, step.variance
        if len(estimates) == 1:
            innovation = target - estimates[0].log
            total_variance = step.observe(estimates[0], innovation, noise)
        else:
            innovation, total_variance = _observe_gang(step, estimates, target, noise)
        queue.learn(
            step,
            before=before,
            innovation=innovation,
            other_variance=total_variance - step_variance,
        )

    def _find_step(self, observation, log):
        queue = self._queues.setdefault(observation.queue, QueueTime())
        step = self._steps.get(observation.step_key)
        if step is None:
            _limit(self._steps, STEPS_LIMIT_COUNT)
            step = queue.begin_step(observation.estimate_seconds, log)
            self._steps[observation.step_key] = step
        return queue, step

    def take_changed_workers(self, *, now_seconds):
        """Return (worker id, factor, is slow) of workers that crossed the bound.

        Each crossing of `SLOW_WORKER_FACTOR` is returned once. A worker crosses it
        downwards only at `USUAL_WORKER_FACTOR`.
        """
        factors = self.view(now_seconds=now_seconds).factors
        slow = frozenset(
            worker_id
            for worker_id, factor in factors.items()
            if factor > SLOW_WORKER_FACTOR
            or (factor > USUAL_WORKER_FACTOR and worker_id in self.slow_worker_ids)
        )
        changed = sorted(slow ^ self.slow_worker_ids)
        self.slow_worker_ids = slow
        return [
            (worker_id, factors.get(worker_id, 1.0), worker_id in slow)
            for worker_id in changed
        ]

    def encode(self):
        """Return the row with the lasting part of the best known workers."""
        known = [
            (worker_id, estimate)
            for worker_id, estimate in self.estimates.items()
            if estimate.observations_count
        ]
        known.sort(key=lambda item: (item[1].level_variance, item[0]))
        rows = [self._make_row(worker_id, estimate) for worker_id, estimate in known]
        rows += [
            row
            for worker_id, row in sorted(self._restored.items())
            if worker_id not in self.estimates
        ]
        del rows[ROW_WORKERS_LIMIT_COUNT:]
        return msgspec.msgpack.encode(sorted(rows, key=lambda row: row.worker_id))

    def _make_row(self, worker_id, estimate):
        level = estimate.level - self._centres.get(estimate.service, 0.0)
        return _SpeedRow(
            worker_id=worker_id,
            life=estimate.life,
            level_thousandths=round(1e3 * level),
            variance_ten_thousandths=max(1, round(1e4 * estimate.level_variance)),
            observations_count=min(estimate.observations_count, 100),
        )

    def restore(self, data):
        """Take up a row; applied to each worker when it answers in the same life."""
        self._restored = {row.worker_id: row for row in _decode_row(data)}


def decode_factors(data):
    """Return {worker id: factor} of a row; raises `RecordError`."""
    return {
        row.worker_id: math.exp(row.level_thousandths / 1e3)
        for row in _decode_row(data)
    }


def _decode_row(data):
    rows = decode_record(data, list[_SpeedRow])
    for row in rows:
        is_plausible = (
            abs(row.level_thousandths) <= 2e3 * LOG_LIMIT
            and 0 < row.variance_ten_thousandths <= 1e4
        )
        if not is_plausible:
            raise RecordError(f"implausible factor of {row.worker_id!r}")
    return rows


def _observe_gang(step, estimates, target, noise):
    """Divide a run time between a step and the members of a gang.

    Returns the innovation of the step and its variance.
    """
    shares = slowest_shares(estimates, target, step.variance + noise)
    innovation = variance = 0.0
    for share, estimate in zip(shares, estimates, strict=True):
        own = target - estimate.log
        innovation += share * own
        variance += share * estimate.variance
        estimate.observe_member(own, step.variance + noise, share)
    total_variance = variance + step.variance + noise
    gain = step.variance / total_variance
    step.correct(gain * limited(innovation, total_variance), (1 - gain) * step.variance)
    return innovation, total_variance


def _is_straggler(observation, step, innovation):
    """Return whether a run is far slower than its worker and its peers explain."""
    return (
        not observation.is_gang
        and step.variance <= PEERS_VARIANCE
        and innovation > STRAGGLER_LOG
    )


def _limit(items, limit_count):
    """Drop the oldest entry of a dictionary that is full."""
    if len(items) >= limit_count:
        del items[next(iter(items))]


def project_seconds(run):
    """Return the time of a whole run at its pace so far, None if it is too early."""
    gained_percent = run.percent - run.first_percent
    elapsed_seconds = run.percent_changed_at_seconds - run.progress_since_seconds
    if gained_percent < PROJECTION_PERCENT or elapsed_seconds < PROJECTION_SECONDS:
        return None
    return 100.0 * elapsed_seconds / gained_percent
