"""Which of the workers with room a unit gets, by their expected slowdown.

Designed for workers that differ in speed by a factor of up to 3: urgent work gets the
fast ones, and work with slack the slowest on which it still ends within its objective.
Workers are compared in classes, so that among workers that are nearly alike the best
fit decides and whole workers stay free for large tasks.
"""

import math

import attrs

from ..cluster.run_observations import kind_of
from ..cluster.worker_speeds import EMPTY_VIEW, SpeedView
from ..jobs.steps import GUARANTEED_PRIORITY
from .packing import choose_rack, choose_slots

# Width of a class as a logarithm: workers from 0.82 to 1.22 are of the class of average
# ones. About the error of a factor that was learned from a few runs.
CLASS_WIDTH = 0.4
# Share of its time left for which the run of a unit with slack is planned: tasks of one
# step differ by 15 to 30 percent.
END_MARGIN_FACTOR = 1.25
# Slowdown that is assumed of a worker without observations when work is sent there to
# observe it.
UNKNOWN_SLOWDOWN = 2.0
# Most tasks of a unit that explore one worker: one of two may be a straggler, and more
# would use room of whole workers.
EXPLORING_TASKS_COUNT = 2
# Lower bound of run times, against division by 0.
SHORTEST_SECONDS = 0.001
# Ranks of workers where work with slack would end too late begin here; far above the
# number of classes.
LATE_RANK = 1000


@attrs.define(kw_only=True, eq=False)
class WorkerChoice:
    """Expected slowdowns and classes of the workers in one planning pass.

    ``busy_worker_ids`` have runs. If all known workers are alike, ``is_needed`` is
    false and units are placed as without speeds.
    """

    view: SpeedView
    busy_worker_ids: frozenset = frozenset()
    is_needed: bool = False
    classes: dict = attrs.field(factory=dict)

    def slowdown(self, worker_id):
        """Return the expected run time on a worker relative to an average one."""
        return self.view.factors.get(worker_id, 1.0) if self.is_needed else 1.0

    def is_unexplored(self, slot):
        """Return whether a worker has neither observations nor runs."""
        worker_id = slot.worker_id
        return (
            worker_id in self.view.unknown_worker_ids
            and worker_id not in self.busy_worker_ids
            and not slot.planned_tasks
        )

    def make_delay(self, expected_seconds):
        """Return a function from a slot to how much longer a task takes there.

        It is None if all workers are alike.
        """
        if not self.is_needed:
            return None
        return lambda slot: (self.slowdown(slot.worker_id) - 1) * expected_seconds

    def make_late_test(self, expected_seconds, left_seconds):
        """Return whether a task of a unit would end late on a slot, as a function.

        It is None if all workers are alike, or if the unit is late on any worker.
        """
        limit = left_seconds / max(expected_seconds, SHORTEST_SECONDS)
        if not self.is_needed or limit < min(self.view.factors.values()):
            return None
        return lambda slot: self.slowdown(slot.worker_id) > limit

    def make_chooser(self, unit, *, expected_seconds, left_seconds, interference=None):
        """Return a function that chooses slots for the tasks of a unit.

        It is called with slots, requirements and ``same_rack``, and returns the slots
        chosen; see `packing.choose_slots`. ``expected_seconds`` is the run time of a
        task on an average worker and ``left_seconds`` the time left for it;
        ``interference`` is a result of `make_interference_term`.
        """
        times = {"expected_seconds": expected_seconds, "left_seconds": left_seconds}
        rank = make_rank(unit, self, interference=interference, **times)
        explores = can_explore(unit, self, **times)

        def choose(slots, requirements, *, same_rack):
            tasks_count = len(unit.indexes)
            explored = []
            if explores:
                explored, slots = _explore(self, slots, requirements, tasks_count)
            choose_some = choose_rack if same_rack else choose_slots
            return explored + _choose_set(
                unit,
                lambda rank: choose_some(
                    slots, requirements, tasks_count - len(explored), rank=rank
                ),
                rank,
            )

        return choose

    def gang_slowdown(self, slots):
        """Return the expected slowdown of a gang on some slots."""
        return max((self.slowdown(slot.worker_id) for slot in slots), default=1.0)


NO_CHOICE = WorkerChoice(view=EMPTY_VIEW)


def make_worker_choice(shard_state, features, *, now_seconds):
    """Return the `WorkerChoice` of a planning pass."""
    if not features.speeds:
        return NO_CHOICE
    view = shard_state.speed_view(now_seconds)
    classes = {
        worker_id: speed_class(factor)
        for worker_id, factor in view.factors.items()
        if worker_id not in view.unknown_worker_ids
    }
    if not any(classes.values()):
        return NO_CHOICE
    return WorkerChoice(
        view=view,
        busy_worker_ids=frozenset(
            worker_id
            for worker_id in view.unknown_worker_ids
            if worker_id in shard_state.workers and shard_state.workers[worker_id].runs
        ),
        is_needed=True,
        classes=classes,
    )


def speed_class(factor):
    """Return the class of a factor; 0 is the class of average workers."""
    return round(math.log(factor) / CLASS_WIDTH)


def make_rank(unit, choice, *, expected_seconds, left_seconds, interference=None):
    """Return the ``rank`` of `packing.choose_slots` for a unit, or None.

    The expected slowdown of the unit on a worker is the worker's factor times that of
    ``interference``, and ranks are logarithms of slowdowns. A worker where the unit
    would end too late comes last.

    Parameters
    ----------
    unit : SchedulingUnit
    choice : WorkerChoice
    expected_seconds : float
        Run time of a task of the unit on an average worker.
    left_seconds : float
        Time until the unit has to end to meet its objective.
    interference : callable, optional
        Returns the slowdown on a slot because of its neighbours.
    """
    speed_rank = _make_speed_rank(
        unit, choice, expected_seconds=expected_seconds, left_seconds=left_seconds
    )
    terms = [] if speed_rank is None else [speed_rank]
    if interference is not None:
        terms.append(lambda slot: math.log(interference(slot)) / CLASS_WIDTH)
    if not terms:
        return None
    return lambda slot: sum(term(slot) for term in terms)


def _make_speed_rank(unit, choice, *, expected_seconds, left_seconds):
    if not choice.is_needed:
        return None
    classes, view = choice.classes, choice.view
    if unit.priority == GUARANTEED_PRIORITY:
        # Unknown workers come after average ones: others explore them.
        return lambda slot: classes.get(slot.worker_id, 0.5)
    limit = left_seconds / max(expected_seconds * END_MARGIN_FACTOR, SHORTEST_SECONDS)

    def rank(slot):
        number = classes.get(slot.worker_id, 0)
        is_late = view.factors.get(slot.worker_id, 1.0) > limit
        return LATE_RANK + number if is_late else -number

    return rank


def make_interference_term(unit, shard_state):
    """Return the slowdown of a slot's neighbours, or None if no pair is known.

    The function returned takes a slot. Its result is the slowdown of the unit times
    those that the unit causes.
    """
    interference = shard_state.interference
    if interference is None:
        return None
    unit_kind = kind_of(unit.job.submission.queue, unit.step)
    if not interference.is_paired(unit_kind):
        return None
    factors = {}

    def find_factor(slot):
        # The steps here include those that were placed in the same planning pass.
        kinds = frozenset(_kind_of_step(shard_state, key) for key in slot.step_counts)
        if kinds not in factors:
            factor = interference.factor(unit_kind, kinds)
            for kind in sorted(kinds):
                factor *= interference.factor(kind, (unit_kind,))
            factors[kinds] = factor
        return factors[kinds]

    return find_factor


def _kind_of_step(shard_state, step_key):
    job_id, _, step_number = step_key
    submission = shard_state.jobs[job_id].submission
    return kind_of(submission.queue, submission.steps[step_number])


def can_explore(unit, choice, *, expected_seconds, left_seconds):
    """Return whether a unit may use workers of unknown speed.

    A gang would wait for a slow one among them, and urgent work needs fast ones.
    """
    return (
        choice.is_needed
        and unit.priority != GUARANTEED_PRIORITY
        and not unit.step.is_gang
        and left_seconds >= UNKNOWN_SLOWDOWN * END_MARGIN_FACTOR * expected_seconds
    )


def unit_slowdowns(unit, slots, choice):
    """Return the expected slowdown of each task of a unit on the slots chosen."""
    if unit.step.is_gang:
        return [choice.gang_slowdown(slots)] * len(slots)
    return [choice.slowdown(slot.worker_id) for slot in slots]


def _explore(choice, slots, requirements, tasks_count):
    """Return slots of unexplored workers for few tasks each, and the other slots."""
    limit_count = min(
        requirements.tasks_per_worker_limit or EXPLORING_TASKS_COUNT,
        EXPLORING_TASKS_COUNT,
    )
    explored = choose_slots(
        [slot for slot in slots if choice.is_unexplored(slot)],
        attrs.evolve(requirements, tasks_per_worker_limit=limit_count),
        tasks_count,
    )
    taken = {slot.worker_id for slot in explored}
    return explored, [slot for slot in slots if slot.worker_id not in taken]


def _choose_set(unit, choose, rank):
    """Choose slots of which, for an urgent unit, only the slowest counts.

    A job waits for its slowest task, so that no faster workers are needed beside it:
    among those of at most its rank, the best fit decides.
    """
    chosen = choose(rank)
    if rank is None or unit.priority != GUARANTEED_PRIORITY or not chosen:
        return chosen
    ranks = [rank(slot) for slot in chosen]
    if min(ranks) == max(ranks):
        return chosen
    return choose(lambda slot: max(rank(slot), max(ranks)))


def with_fast_searches(searches, is_late):
    """Return searches for room, first among workers where a unit ends in time.

    ``searches`` holds (slots, same_rack, is_remote); ``is_late`` is the result of
    `WorkerChoice.make_late_test`.
    """
    if is_late is None:
        return searches
    fast = [
        ([slot for slot in slots if not is_late(slot)], same_rack, is_remote)
        for slots, same_rack, is_remote in searches
    ]
    return fast + searches
