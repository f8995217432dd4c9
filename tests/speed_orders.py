"""Random orders of the ends and the progress of runs, for tests of learned speeds."""

import math
import random

import attrs

from kingcuptrack.state.cluster.run_observations import RunObservation
from kingcuptrack.state.cluster.worker_speeds import WorkerSpeeds

from .shard_states import make_entry

FACTORS = (0.6, 1.0, 1.6)


@attrs.frozen(kw_only=True)
class OrderShape:
    """Runs whose ends come in a random order.

    ``estimate_error`` is the largest factor by which estimates are off, 0 for jobs
    without estimates. ``progress_share`` of the runs are projected before they end, and
    ``false_progress_share`` of these wrongly. ``gang_share`` of the steps are gangs.
    ``change_share`` is how often a worker is replaced, removed or listed before an end.
    """

    workers_count: int
    steps_count: int = 12
    tasks_count: int = 8
    estimate_error: float = 1.9
    run_seconds: tuple = (0.3, 4.0)
    pause_seconds: float = 0.1
    progress_share: float = 0.0
    false_progress_share: float = 0.0
    gang_share: float = 0.0
    change_share: float = 0.0


SHAPES = {
    "one worker, no estimates": OrderShape(workers_count=1, estimate_error=0.0),
    "few workers, no estimates": OrderShape(workers_count=3, estimate_error=0.0),
    "one worker, exact estimates": OrderShape(workers_count=1, estimate_error=1.0),
    "one worker": OrderShape(workers_count=1),
    "eight workers": OrderShape(workers_count=8),
    "pauses": OrderShape(workers_count=3, pause_seconds=30.0),
    "wide steps": OrderShape(workers_count=40, steps_count=2, tasks_count=400),
    "progress": OrderShape(workers_count=3, progress_share=0.7),
    "false progress": OrderShape(
        workers_count=3, progress_share=0.7, false_progress_share=0.3
    ),
    "tasks of no time": OrderShape(workers_count=3, run_seconds=(0.0, 0.0)),
    "gangs": OrderShape(workers_count=6, gang_share=0.6, progress_share=0.3),
    "workers that come and go": OrderShape(
        workers_count=4, gang_share=0.2, progress_share=0.3, change_share=0.1
    ),
}


@attrs.define(kw_only=True, eq=False)
class OrderPlay:
    """A random order of the ends of some steps, applied to `WorkerSpeeds`.

    ``after_event`` is called without arguments after each change.
    """

    shape: OrderShape
    rng: random.Random
    after_event: object
    speeds: WorkerSpeeds = attrs.field(factory=lambda: WorkerSpeeds(is_on=True))
    now_seconds: float = 0.0
    factors: dict = attrs.field(init=False)
    _lives: dict = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self):
        names = [f"w{number}" for number in range(self.shape.workers_count)]
        self.factors = {
            name: FACTORS[number % len(FACTORS)] for number, name in enumerate(names)
        }
        for name in names:
            self._note_life(name, 1)

    def run(self):
        """Play all ends."""
        pending = []
        for number in range(self.shape.steps_count):
            pending += self._make_runs(number)
            self.rng.shuffle(pending)
            # Some of the runs outlast the start of the next step.
            kept_count = len(pending) // 3
            for observation, log in pending[kept_count:]:
                self._end(observation, log)
            del pending[kept_count:]
        for observation, log in pending:
            self._end(observation, log)

    def factor_errors(self):
        """Return the errors of the logarithms of the factors, less their mean."""
        factors = self.speeds.view(now_seconds=self.now_seconds + 1.0).factors
        logs = {
            name: math.log(factor) - math.log(self.factors[name])
            for name, factor in factors.items()
        }
        mean = sum(logs.values()) / max(1, len(logs))
        return [log - mean for log in logs.values()]

    def _make_runs(self, number):
        """Return (observation, logarithm of the time projected) of the runs of a step.

        The logarithm is None if a run reports no progress.
        """
        shape, rng = self.shape, self.rng
        seconds = rng.uniform(*shape.run_seconds)
        estimate = 0.0
        if shape.estimate_error:
            estimate = seconds * shape.estimate_error ** rng.uniform(-1, 1)
        names = list(self.factors)
        is_gang = rng.random() < shape.gang_share
        members = tuple(rng.choices(names, k=3)) if is_gang else ()
        runs = []
        for index, name in enumerate(
            members or rng.choices(names, k=shape.tasks_count)
        ):
            pace = max(self.factors[member] for member in members or (name,))
            actual_seconds = seconds * pace * rng.uniform(0.8, 1.2)
            observation = RunObservation(
                kind="kind",
                queue="queue",
                service="studio",
                worker_id=name,
                expected_seconds=estimate,
                actual_seconds=actual_seconds,
                gang_worker_ids=members,
                estimate_seconds=estimate,
                step_key=(f"job-{number}", 0, 0),
                run_key=(f"job-{number}", index),
            )
            projected_seconds = None
            if rng.random() < shape.progress_share:
                is_false = rng.random() < shape.false_progress_share
                projected_seconds = actual_seconds * (0.2 if is_false else 1.0)
            runs.append((observation, projected_seconds))
        return runs

    def _end(self, observation, projected_seconds):
        self.now_seconds += self.rng.uniform(0.0, 2 * self.shape.pause_seconds)
        if self.rng.random() < self.shape.change_share:
            self._change_worker(self.rng.choice(list(self.factors)))
        if projected_seconds is not None:
            projected = attrs.evolve(
                observation, actual_seconds=projected_seconds, gang_worker_ids=()
            )
            self.speeds.learn_progress(projected, now_seconds=self.now_seconds)
            self.after_event()
        self.speeds.learn(observation, now_seconds=self.now_seconds)
        self.after_event()

    def _change_worker(self, name):
        change = self.rng.choice(("new life", "gone", "back"))
        if change == "gone":
            self.speeds.forget_worker(name)
        else:
            life = self._lives[name] + (change == "new life")
            self._note_life(name, life)
        self.after_event()

    def _note_life(self, name, life):
        self._lives[name] = life
        self.speeds.note_life(make_entry(name), life, now_seconds=self.now_seconds)
