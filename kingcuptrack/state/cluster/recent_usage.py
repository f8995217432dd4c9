"""What organisations have used over the last seconds.

Designed for fair shares: instantaneous usage would let an organisation whose runs have
just ended take all free capacity again, and a total would give an organisation that
was idle for an hour a claim on the next hour.
"""

import math

import attrs

from ..jobs.steps import NO_RESOURCES, Resources

# Time constant of the decay; about the run time of a patient task (6 to 11 s), so that
# usage counts for as long as the capacity that it took.
DECAY_SECONDS = 8.0
_NAMES = tuple(field.name for field in attrs.fields(Resources))
_NOTHING = (0.0,) * len(_NAMES)


@attrs.define(kw_only=True, eq=False)
class RecentUsage:
    """Exponentially decayed averages of the resources in use, by organisation.

    An organisation that uses the same amounts for long has these as its average.
    """

    # Amounts by organisation: averages until the latest time, and usage since then.
    _averages: dict = attrs.field(factory=dict, init=False)
    _used: dict = attrs.field(factory=dict, init=False)
    _at_seconds: float | None = attrs.field(default=None, init=False)

    def advance(self, used_by_organisation, *, now_seconds):
        """Average up to a time; ``used_by_organisation`` holds from then on."""
        if self._at_seconds is None:
            # What ran before a change of the leader counts as if it had run for long.
            self._used = dict(used_by_organisation)
            self._averages = {
                name: attrs.astuple(used) for name, used in self._used.items()
            }
        else:
            kept = math.exp(-(now_seconds - self._at_seconds) / DECAY_SECONDS)
            for name in self._averages.keys() | self._used.keys():
                used = attrs.astuple(self._used.get(name, NO_RESOURCES))
                average = self._averages.get(name, (0.0,) * len(used))
                self._averages[name] = tuple(
                    kept * before + (1 - kept) * amount
                    for before, amount in zip(average, used, strict=True)
                )
            self._used = dict(used_by_organisation)
        self._at_seconds = now_seconds

    def amounts(self, organisation):
        """Return the average amounts, as `Resources`."""
        return Resources(
            **dict(zip(_NAMES, self._averages.get(organisation, _NOTHING), strict=True))
        )
