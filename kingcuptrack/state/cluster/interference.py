"""Which kinds of work slow each other down on one worker, learned from finished runs.

For each kind, a linear model of the logarithm of the slowdown has a constant and a
coefficient for each kind of neighbour, with a normal prior around no effect.
`docs/design/interference.md` gives the reasons.
"""

import math
from collections import OrderedDict

import attrs

from .interference_rows import decode_models, encode_models
from .linear_fit import LinearFit

# Time in which an observation loses half of its weight. Kinds that are kept apart are
# not observed together, so that a pair has to be forgotten to be tried again.
HALF_LIFE_SECONDS = 600.0
# A smaller factor is not worth another placement, and the dependence of neighbour
# shares on the length of a run can look like one.
SMALLEST_FACTOR = 1.1
# Standard deviations by which a factor must be above `SMALLEST_FACTOR` to be learned,
# and below which it is dropped. At most 1 in 100 pairs may be learned by chance, though
# a pair is judged after each of some hundred runs. 2.5 left a quarter of the pairs of
# gangs with a factor of 1.5 undetected after 60 runs.
LEARN_DEVIATIONS = 2.2
DROP_DEVIATIONS = 1.0
# Residuals beyond this many standard deviations are cut (Huber's estimator), since 3 in
# 100 tasks run several times as long as usual without any neighbour; and the variance
# of a normal distribution that is cut there, relative to the whole one.
RESIDUAL_LIMIT_DEVIATIONS = 1.5
CUT_VARIANCE = 0.7785
# Prior variance of the logarithm of the run time, the number of observations that it
# is worth, and the number over which the variance is averaged.
PRIOR_VARIANCE = 0.35**2
PRIOR_COUNT = 10
VARIANCE_COUNT = 200
# A fit is renewed after each of the first observations of a kind, later at most once in
# this time; fits without observations are renewed after the longer time.
FIRST_OBSERVATIONS_COUNT = 30
FIT_INTERVAL_SECONDS = 1.0
IDLE_FIT_INTERVAL_SECONDS = 30.0
# Kinds that are kept; more of them would exceed the limit of a learned row. The kind
# with the fewest observations gives way to a new one.
KINDS_LIMIT_COUNT = 32
# Steps and gangs under way that are kept; the oldest are forgotten.
GROUPS_LIMIT_COUNT = 2000


@attrs.frozen(kw_only=True)
class Pair:
    """Work of ``kind`` takes ``factor`` times as long beside work of ``neighbour``.

    The factor is above `SMALLEST_FACTOR` by ``deviations`` standard deviations.
    """

    kind: str
    neighbour: str
    factor: float
    deviations: float


@attrs.frozen(kw_only=True)
class PairFinding:
    """A pair that was learned (``is_learned``) or dropped."""

    pair: Pair
    is_learned: bool


@attrs.define(kw_only=True, eq=False)
class KindModel:
    """What is known about one kind.

    ``variances`` and ``counts`` are those of the residuals of runs that are compared
    with the kind, and of runs that are compared with others of their step.
    ``certain`` holds the neighbours that slow it down for certain.
    """

    fit: LinearFit = attrs.field(factory=LinearFit)
    variances: list = attrs.field(factory=lambda: [PRIOR_VARIANCE, PRIOR_VARIANCE])
    counts: list = attrs.field(factory=lambda: [0, 0])
    certain: set = attrs.field(factory=set)
    fitted_at_seconds: float | None = None

    def learn(self, value, shares, *, constant):
        """Add an observation; returns its value with the residual cut."""
        sort = 0 if constant else 1
        predicted = self.fit.predict(shares, constant=constant)
        limit = RESIDUAL_LIMIT_DEVIATIONS * math.sqrt(self.variances[sort])
        residual = min(limit, max(-limit, value - predicted))
        self.fit.add(
            predicted + residual,
            shares,
            constant=constant,
            weight=1.0 / self.variances[sort],
        )
        self.counts[sort] += 1
        count = min(self.counts[sort] + PRIOR_COUNT, VARIANCE_COUNT)
        change = residual**2 / CUT_VARIANCE - self.variances[sort]
        self.variances[sort] += change / count
        return predicted + residual

    def is_fit_due(self, now_seconds):
        """Return whether the fit lacks recent observations."""
        return (
            self.fitted_at_seconds is None
            or sum(self.counts) <= FIRST_OBSERVATIONS_COUNT
            or now_seconds - self.fitted_at_seconds >= FIT_INTERVAL_SECONDS
        )

    def renew_fit(self, now_seconds):
        """Forget with the time since the latest fit, and fit anew."""
        if self.fitted_at_seconds is not None:
            elapsed_seconds = max(0.0, now_seconds - self.fitted_at_seconds)
            self.fit.scale(0.5 ** (elapsed_seconds / HALF_LIFE_SECONDS))
        self.fitted_at_seconds = now_seconds
        self.fit.solve()

    def deviations(self, neighbour):
        """Return by how many standard deviations a factor is above the smallest."""
        mean, deviation = self.fit.coefficient(neighbour)
        return (mean - math.log(SMALLEST_FACTOR)) / deviation

    def pair(self, kind, neighbour):
        """Return the `Pair` with a neighbour."""
        mean, _ = self.fit.coefficient(neighbour)
        return Pair(
            kind=kind,
            neighbour=neighbour,
            factor=math.exp(mean),
            deviations=self.deviations(neighbour),
        )


@attrs.define(kw_only=True, eq=False)
class _Step:
    """Average of the observed runs of a step, and their number."""

    count: int = 0
    value: float = 0.0
    shares: dict = attrs.field(factory=dict)

    def add(self, value, shares):
        self.count += 1
        self.value += (value - self.value) / self.count
        for kind in {*self.shares, *shares}:
            mean = self.shares.get(kind, 0.0)
            self.shares[kind] = mean + (shares.get(kind, 0.0) - mean) / self.count


class Interference:
    """Factors by which kinds of work slow each other down."""

    def __init__(self):
        self._models = {}
        # Steps with observed runs, and gangs of which some members have ended.
        self._steps = OrderedDict()
        self._gangs = OrderedDict()
        self._findings = []

    def learn(self, observation, *, worker_factor, now_seconds):
        """Learn from a run that has ended.

        ``worker_factor`` is the factor of its worker, for a gang that of the slowest.
        """
        if observation.is_gang:
            observation = self._complete_gang(observation)
            if observation is None:
                return
        value = math.log(max(observation.slowdown, 1e-3) / worker_factor)
        model = self._model(observation.kind)
        shares = observation.neighbour_shares
        step = _kept(self._steps, observation.step_key, _Step)
        if observation.is_gang or not step.count:
            value = model.learn(value, shares, constant=1.0)
        else:
            # Helmert contrast: what the runs of the step have in common cancels out.
            scale = math.sqrt(step.count / (step.count + 1))
            kinds = {*shares, *step.shares}
            contrast = {
                kind: scale * (shares.get(kind, 0.0) - step.shares.get(kind, 0.0))
                for kind in kinds
            }
            contrast_value = scale * (value - step.value)
            learned = model.learn(contrast_value, contrast, constant=0.0)
            value = step.value + learned / scale
        step.add(value, shares)
        self._renew_fits(observation.kind, now_seconds)

    def factor(self, kind, neighbour_kinds):
        """Return how many times as long work takes beside work of other kinds.

        Only pairs that are certain count.
        """
        model = self._models.get(kind)
        if model is None or not model.certain:
            return 1.0
        factor = 1.0
        for neighbour in model.certain.intersection(neighbour_kinds):
            factor *= math.exp(max(0.0, model.fit.coefficient(neighbour)[0]))
        return factor

    def slowdown(self, kind, neighbour_shares):
        """Return how many times as long a run took because of its neighbours.

        Only pairs that are certain count.
        """
        slowdown = 1.0
        for neighbour, share in neighbour_shares.items():
            slowdown *= self.factor(kind, (neighbour,)) ** share
        return slowdown

    def pairs(self):
        """Return the pairs that are certain, sorted by their kinds."""
        return [
            model.pair(kind, neighbour)
            for kind, model in sorted(self._models.items())
            for neighbour in sorted(model.certain)
        ]

    def is_paired(self, kind):
        """Return whether work of a kind is in any pair that is certain."""
        model = self._models.get(kind)
        if model is not None and model.certain:
            return True
        return any(kind in model.certain for model in self._models.values())

    def has_pairs(self):
        """Return whether any pair is certain."""
        return any(model.certain for model in self._models.values())

    def take_findings(self):
        """Return the `PairFinding` of pairs learned or dropped, once each."""
        findings, self._findings = self._findings, []
        return findings

    def encode(self):
        """Return the content of the row that outlives a change of the leader."""
        return encode_models(self._models)

    def restore(self, data):
        """Take over the content of a row; raises `RecordError`, then unchanged."""
        models = {}
        for kind, fit, variances, counts, certain in decode_models(data):
            models[kind] = KindModel(
                fit=fit, variances=variances, counts=counts, certain=certain
            )
        self._models = models

    def _model(self, kind):
        model = self._models.get(kind)
        if model is None:
            if len(self._models) >= KINDS_LIMIT_COUNT:
                rarest = min(
                    self._models, key=lambda name: sum(self._models[name].counts)
                )
                self._drop_pairs(rarest)
                del self._models[rarest]
            model = self._models[kind] = KindModel()
        return model

    def _drop_pairs(self, kind):
        model = self._models[kind]
        for neighbour in sorted(model.certain):
            pair = model.pair(kind, neighbour)
            self._findings.append(PairFinding(pair=pair, is_learned=False))

    def _complete_gang(self, observation):
        """Return one observation of a gang when its last member has ended, else None.

        The gang keeps to the pace of its slowest member, so that the largest share of
        any member counts.
        """
        key = observation.step_key
        members = _kept(self._gangs, key, list)
        members.append(observation)
        if len(members) < len(observation.gang_worker_ids):
            return None
        del self._gangs[key]
        shares = {}
        for member in members:
            for kind, share in member.neighbour_shares.items():
                shares[kind] = max(share, shares.get(kind, 0.0))
        seconds = max(member.actual_seconds for member in members)
        return attrs.evolve(
            observation, neighbour_shares=shares, actual_seconds=seconds
        )

    def _renew_fits(self, kind, now_seconds):
        """Renew the fit of a kind, and one that was not renewed for long."""
        model = self._models[kind]
        if model.is_fit_due(now_seconds):
            self._renew_fit(kind, now_seconds)
        for other, model in self._models.items():
            fitted_at_seconds = model.fitted_at_seconds
            if fitted_at_seconds is None or (
                now_seconds - fitted_at_seconds >= IDLE_FIT_INTERVAL_SECONDS
            ):
                self._renew_fit(other, now_seconds)
                break

    def _renew_fit(self, kind, now_seconds):
        model = self._models[kind]
        model.renew_fit(now_seconds)
        known = set(model.fit.names)
        for neighbour in sorted(known | model.certain):
            is_certain = neighbour in model.certain
            bound = DROP_DEVIATIONS if is_certain else LEARN_DEVIATIONS
            is_above = neighbour in known and model.deviations(neighbour) >= bound
            if is_above == is_certain:
                continue
            (model.certain.add if is_above else model.certain.discard)(neighbour)
            pair = model.pair(kind, neighbour)
            self._findings.append(PairFinding(pair=pair, is_learned=is_above))


def _kept(items, key, make):
    """Return the item of a key, made if it is new; the oldest are forgotten."""
    if key not in items:
        items[key] = make()
        if len(items) > GROUPS_LIMIT_COUNT:
            items.popitem(last=False)
    return items[key]
