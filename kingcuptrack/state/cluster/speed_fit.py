"""Joint estimate of the speed of workers and of the run times of steps.

The logarithm of the run time of a task is taken as the sum of the run time of its step
on an average worker, an effect of its worker, and noise of the task. Both are estimated
together by a Kalman filter: an observation changes that more which is less certain. The
effect of a worker has a lasting part and one that decays. Of the covariances, only
those between a step and the lasting parts of its workers are kept, as correlations:
given the run time of their step, workers are taken as independent of each other.
"""

import math

import attrs

# Variances of logarithms, from runs of a deployment whose workers differ by a factor of
# 3: 0.45 is the standard deviation of all runs, 0.32 that within a worker.
LEVEL_PRIOR_VARIANCE = 0.45**2 - 0.32**2
# Tasks of one step differ by 15 to 30 percent.
TASK_VARIANCE = 0.2**2
# Error of the expected run time of a step before any was observed: estimates are off by
# 20 to 90 percent. Learned for each queue.
STEP_PRIOR_VARIANCE = 0.5**2
# Variance of a step of which nothing is known.
UNKNOWN_STEP_VARIANCE = 4.0
LEARNING_WEIGHT = 0.2
# A temporary change of speed decays with this time constant and has this variance
# without observations.
TEMPORARY_SECONDS = 20.0
TEMPORARY_VARIANCE = 0.02
# Growth of the variance of the lasting part, which returns to its prior in five
# minutes, so that changes are noticed.
LEVEL_VARIANCE_PER_SECOND = LEVEL_PRIOR_VARIANCE / 300.0
# A worker is known if its lasting part is about as certain as after two runs.
KNOWN_VARIANCE = 0.6 * LEVEL_PRIOR_VARIANCE
# Innovations are limited to this many standard deviations, against outliers.
INNOVATION_LIMIT = 2.0
# Standard deviations by which a member of a gang must be estimated slower than the gang
# before the gang's pace counts as a bound.
BOUND_TOLERANCE = 0.5
# Limits of the logarithm of a factor; deployments differ by a factor of 3.
LOG_LIMIT = math.log(4.0)
# Weaker correlations are dropped, so that the ends of wide steps cost little.
NEGLIGIBLE_CORRELATION = 0.05


@attrs.define(kw_only=True, eq=False)
class WorkerEstimate:
    """Speed of a worker in its current life, as logarithms.

    ``correlation_log`` is the logarithm of the factor by which all changes of
    ``level_variance`` so far have weakened correlations with the lasting part.
    """

    service: str
    kind: tuple
    life: int
    level: float = 0.0
    level_variance: float = LEVEL_PRIOR_VARIANCE
    correlation_log: float = 0.0
    temporary: float = 0.0
    temporary_variance: float = TEMPORARY_VARIANCE
    updated_at_seconds: float = 0.0
    observations_count: int = 0
    is_progress_trusted: bool = True
    cold_until_seconds: float = float("-inf")

    @property
    def log(self):
        return self.level + self.temporary

    @property
    def variance(self):
        return self.level_variance + self.temporary_variance

    @property
    def is_known(self):
        return self.level_variance <= KNOWN_VARIANCE

    def advance(self, now_seconds):
        """Let the temporary part decay and the variances grow."""
        passed_seconds = max(0.0, now_seconds - self.updated_at_seconds)
        kept = math.exp(-passed_seconds / TEMPORARY_SECONDS)
        self.temporary *= kept
        self.temporary_variance += (1 - kept * kept) * (
            TEMPORARY_VARIANCE - self.temporary_variance
        )
        self._set_level_variance(
            min(
                LEVEL_PRIOR_VARIANCE,
                self.level_variance + passed_seconds * LEVEL_VARIANCE_PER_SECOND,
            )
        )
        self.updated_at_seconds = max(self.updated_at_seconds, now_seconds)

    def make_unobserved(self, level):
        """Return the estimate of the same worker without its observations."""
        return WorkerEstimate(
            service=self.service,
            kind=self.kind,
            life=self.life,
            level=level,
            updated_at_seconds=self.updated_at_seconds,
            is_progress_trusted=self.is_progress_trusted,
            cold_until_seconds=self.cold_until_seconds,
        )

    def move_level(self, change, variance):
        """Change the lasting part by new evidence, which leaves a variance."""
        self.level = max(-LOG_LIMIT, min(LOG_LIMIT, self.level + change))
        self._set_level_variance(variance)

    def observe_temporary(self, innovation, total_variance, weight=1.0):
        """Apply an innovation to the temporary part."""
        gain = weight * self.temporary_variance / total_variance
        self.temporary += gain * innovation
        self.temporary_variance *= 1 - gain

    def _set_level_variance(self, variance):
        """Set the variance, and weaken the correlations accordingly.

        Evidence from elsewhere keeps the regression of a step on the lasting part, and
        drift keeps their covariance.
        """
        self.correlation_log -= 0.5 * abs(math.log(variance / self.level_variance))
        self.level_variance = variance

    def observe_member(self, innovation, other_variance, share):
        """Apply the worker's part of the innovation of a gang.

        ``share`` is the probability that the observation is about this worker and not
        about a slower one of its gang; if it is slower than the observation allows, it
        is corrected all the same.
        """
        total_variance = self.variance + other_variance
        excess = -innovation / math.sqrt(total_variance) - BOUND_TOLERANCE
        weight = max(share, min(1.0, excess))
        innovation = limited(innovation, total_variance)
        self.observations_count += 1
        gain = weight * self.level_variance / total_variance
        self.move_level(gain * innovation, (1 - gain) * self.level_variance)
        self.observe_temporary(innovation, total_variance, weight)


@attrs.frozen(kw_only=True)
class _Correlation:
    """Correlation at the time when its worker had a ``correlation_log``."""

    value: float
    correlation_log: float


@attrs.define(kw_only=True, eq=False)
class StepTime:
    """Logarithm of the run time of a step's tasks on an average worker, in seconds.

    ``weight`` is the share of its changes that its queue takes over, ``log_estimate``
    the logarithm of the estimate, None without one.
    """

    mean: float
    variance: float
    weight: float
    log_estimate: float | None
    is_observed: bool = False
    # Correlations with the lasting parts of the workers of its runs, by their estimate.
    _correlations: dict = attrs.field(factory=dict, init=False)

    def correlation(self, estimate):
        """Return the correlation with the lasting part of a worker, from -1 to 1."""
        kept = self._correlations.get(estimate)
        if kept is None:
            return 0.0
        return kept.value * math.exp(estimate.correlation_log - kept.correlation_log)

    def correct(self, change, variance):
        """Change the mean by new evidence, which leaves a variance.

        Earlier runs of the step are judged anew: if it takes longer than it seemed,
        their workers are not as slow as it seemed. They do not become better known,
        since correlations between workers, which other steps would need, are not kept.
        """
        kept_deviation = math.sqrt(variance / self.variance)
        for estimate in list(self._correlations):
            correlation = self.correlation(estimate)
            slope = correlation * math.sqrt(estimate.level_variance / self.variance)
            estimate.move_level(slope * change, estimate.level_variance)
            self._keep_correlation(estimate, correlation * kept_deviation)
        self.mean += change
        self.variance = variance

    def observe(self, estimate, innovation, noise):
        """Divide an innovation between the step and one worker.

        Parameters
        ----------
        estimate : WorkerEstimate
        innovation : float
            Observed logarithm of the run time, less the expected one.
        noise : float
            Variance of the observation.

        Returns
        -------
        float
            Variance of the innovation.
        """
        step_variance, level_variance = self.variance, estimate.level_variance
        correlation = self.correlation(estimate)
        self._correlations.pop(estimate, None)
        covariance = correlation * math.sqrt(step_variance * level_variance)
        other_variance = estimate.temporary_variance + noise
        total_variance = step_variance + level_variance + 2 * covariance
        total_variance = max(0.0, total_variance) + other_variance
        # The variances that are left are sums of terms that are not negative, unlike
        # in the usual form of the filter.
        determinant = (1 - correlation * correlation) * step_variance * level_variance
        step_rest = determinant + step_variance * other_variance
        level_rest = determinant + level_variance * other_variance
        innovation = limited(innovation, total_variance)
        self.correct(
            (step_variance + covariance) / total_variance * innovation,
            step_rest / total_variance,
        )
        estimate.observations_count += 1
        estimate.move_level(
            (level_variance + covariance) / total_variance * innovation,
            level_rest / total_variance,
        )
        estimate.observe_temporary(innovation, total_variance)
        rest = covariance * other_variance - determinant
        self._keep_correlation(estimate, rest / math.sqrt(step_rest * level_rest))
        return total_variance

    def _keep_correlation(self, estimate, value):
        if abs(value) < NEGLIGIBLE_CORRELATION:
            self._correlations.pop(estimate, None)
            return
        self._correlations[estimate] = _Correlation(
            # Rounding may exceed the range.
            value=max(-1.0, min(1.0, value)),
            correlation_log=estimate.correlation_log,
        )


@attrs.define(kw_only=True, eq=False)
class _Predictor:
    """Mean and variance of a quantity of the steps of a queue."""

    mean: float = 0.0
    variance: float = STEP_PRIOR_VARIANCE

    def learn_error(self, error, other_variance, weight):
        excess = max(TASK_VARIANCE / 4, error * error - other_variance)
        self.variance += weight * (excess - self.variance)


@attrs.define(kw_only=True, eq=False)
class QueueTime:
    """Expected run times of the steps of a queue, by two predictors.

    ``ratio`` is relative to the estimate and ``seconds`` the run time itself, both as
    logarithms; the more accurate one is used, since some estimates are wrong by a
    factor of several. Each step counts once, however many tasks it has.
    """

    ratio: _Predictor = attrs.field(factory=_Predictor)
    seconds: _Predictor = attrs.field(factory=_Predictor)
    steps_count: int = 0

    def begin_step(self, estimate_seconds, log_seconds):
        """Return the `StepTime` of a step of which a run took ``log_seconds``."""
        log_estimate = math.log(estimate_seconds) if estimate_seconds > 0 else None
        mean, variance = log_seconds, UNKNOWN_STEP_VARIANCE
        if self.steps_count:
            mean, variance = self.seconds.mean, self.seconds.variance
        is_ratio_better = not self.steps_count or self.ratio.variance <= variance
        if log_estimate is not None and is_ratio_better:
            mean, variance = log_estimate + self.ratio.mean, self.ratio.variance
        weight = max(LEARNING_WEIGHT, 1.0 / (self.steps_count + 1))
        if not self.steps_count:
            self.seconds.mean = mean
        self.steps_count += 1
        return StepTime(
            mean=mean, variance=variance, weight=weight, log_estimate=log_estimate
        )

    def learn(self, step, *, before, innovation, other_variance):
        """Take over the change of a step by a run.

        Parameters
        ----------
        step : StepTime
            The step, already corrected.
        before : float
            Its mean before.
        innovation : float
        other_variance : float
            Variance of the innovation without that of the step.
        """
        observed = before + innovation
        for predictor, offset in (
            (self.seconds, 0.0),
            (self.ratio, step.log_estimate),
        ):
            if offset is None:
                continue
            if step.is_observed:
                predictor.mean += step.weight * (step.mean - before)
            else:
                error = observed - offset - predictor.mean
                predictor.learn_error(error, other_variance, step.weight / 2)
                predictor.mean += step.weight * (step.mean - offset - predictor.mean)
        step.is_observed = True


def slowest_shares(estimates, target, other_variance):
    """Return the probability of each member of a gang to be the slowest one.

    Parameters
    ----------
    estimates : list
        Objects with ``log`` and ``variance``.
    target : float
        Observed logarithm of the slowest member's factor.
    other_variance : float
        Variance of the observation.
    """
    if len(estimates) == 1:
        return [1.0]
    logs = []
    for estimate in estimates:
        variance = estimate.variance + other_variance
        innovation = target - estimate.log
        below = 0.5 * math.erfc(-innovation / math.sqrt(2 * variance))
        logs.append(
            -0.5 * innovation * innovation / variance
            - 0.5 * math.log(variance)
            - math.log(max(below, 1e-12))
        )
    largest = max(logs)
    weights = [math.exp(log - largest) for log in logs]
    total = sum(weights)
    return [weight / total for weight in weights]


def limited(innovation, variance):
    limit = INNOVATION_LIMIT * math.sqrt(variance)
    return max(-limit, min(limit, innovation))
