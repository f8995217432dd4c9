"""Expected run times, learned by queue.

Estimates of callers are wrong by a factor of several, which differs between queues. For
each queue there are two predictors: the estimate times a learned ratio, and the average
run time of the queue. The one with the smaller average error is used.
"""

import math

import attrs

# Weight of the newest run in the moving averages.
LEARNING_WEIGHT = 0.2
# Lower bound of run times, since the logarithm of 0 does not exist.
SHORTEST_SECONDS = 0.001


@attrs.define(kw_only=True, eq=False)
class _LogAverage:
    """Moving averages of the logarithm of a quantity and of its absolute error."""

    mean_log: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def learn(self, value):
        log = math.log(value)
        if self.count:
            error = abs(log - self.mean_log)
            weight = max(LEARNING_WEIGHT, 1.0 / (self.count + 1))
            self.deviation += weight * (error - self.deviation)
            self.mean_log += weight * (log - self.mean_log)
        else:
            self.mean_log = log
        self.count += 1


@attrs.define(kw_only=True, eq=False)
class _QueueTimes:
    ratio: _LogAverage = attrs.field(factory=_LogAverage)
    seconds: _LogAverage = attrs.field(factory=_LogAverage)


@attrs.define(kw_only=True, eq=False)
class RunTimes:
    """Expected run times by queue, learned from finished runs."""

    _queues: dict = attrs.field(factory=dict, init=False)

    def learn(self, queue, *, estimate_seconds, actual_seconds):
        """Update the predictors of a queue with a finished run."""
        times = self._queues.setdefault(queue, _QueueTimes())
        actual_seconds = max(actual_seconds, SHORTEST_SECONDS)
        times.seconds.learn(actual_seconds)
        if estimate_seconds > 0:
            times.ratio.learn(actual_seconds / estimate_seconds)

    def expect_seconds(self, queue, estimate_seconds):
        """Return the expected run time of a task; its estimate for an unknown queue."""
        if queue not in self._queues:
            return estimate_seconds
        seconds, ratio = self.prediction(queue)
        if ratio and estimate_seconds > 0:
            return estimate_seconds * ratio
        return seconds

    def prediction(self, queue):
        """Return (seconds, ratio) by which run times of a known queue are expected.

        ``ratio`` multiplies the estimate of a task; 0 means that the average
        ``seconds`` of the queue is the better prediction. Tasks without an estimate
        are expected to take ``seconds``.
        """
        times = self._queues[queue]
        seconds = math.exp(times.seconds.mean_log)
        if times.seconds.deviation < times.ratio.deviation:
            return seconds, 0.0
        return seconds, math.exp(times.ratio.mean_log)

    def known_queues(self):
        """Return the queues with a finished run."""
        return set(self._queues)
