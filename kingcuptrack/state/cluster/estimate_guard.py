"""Keeps errors of estimates apart from the changes that they accompany.

Estimates decide what is best, never what is true: a change of jobs, runs and workers
has to be the same whether they succeed or not.
"""

import attrs

from ...errors import describe_error


@attrs.frozen(kw_only=True)
class EstimateFailure:
    """An estimate that failed ``count`` times; ``reason`` is the latest error."""

    name: str
    reason: str
    count: int


class EstimateGuard:
    """Calls estimates, and keeps their errors until they are taken."""

    def __init__(self):
        self._failures = {}

    def call(self, function, *arguments, default=None, **keywords):
        """Call a function that only estimates; returns ``default`` if it fails."""
        try:
            return function(*arguments, **keywords)
        except Exception as error:
            name = getattr(function, "__name__", repr(function))
            earlier = self._failures.get(name)
            self._failures[name] = EstimateFailure(
                name=name,
                reason=describe_error(error),
                count=1 + (earlier.count if earlier else 0),
            )
            return default

    def take_failures(self):
        """Return the `EstimateFailure` of each estimate that failed, once each."""
        failures, self._failures = self._failures, {}
        return list(failures.values())
