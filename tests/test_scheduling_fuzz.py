"""Stateful fuzzing of the scheduler against a slow oracle.

The machine plays the placer. KINGCUPTRACK_FUZZ_STEPS_COUNT raises the steps.
"""

import copy
import os
import random
from collections import Counter

import attrs
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bench.workloads import make_configuration, make_job, make_plan, make_worker
from kingcuptrack.state.jobs import Urgency
from kingcuptrack.state.scheduling import (
    ReclaimGang,
    Scheduler,
    StartGang,
    add_job,
    adopt_gang,
    capacity_summary,
    decide,
    failure_verdict,
    forget_job,
    gang_ended,
    guarantee_shortfalls,
    quarantined_worker_ids,
    remove_job,
    remove_worker,
    set_configuration,
    set_data_centres,
    set_worker,
    waiting_reason,
)
from kingcuptrack.state.shares import data_centre_shares

from .support import function_tests

load_tests = function_tests(__name__)

STEPS_COUNT = int(os.environ.get("KINGCUPTRACK_FUZZ_STEPS_COUNT", "3000"))
STEPS_PER_EXAMPLE_COUNT = 60
WORKERS = [make_worker(index, accelerators_count=4, rack_size=3) for index in range(6)]
# Guarantees of one worker, of one rack, and of half workers.
PLAN_SETS = [
    {
        "render": make_plan(1, 3, 4, quota=18),
        "checks": make_plan(2, 1, 2, quota=8),
        "sales": make_plan(1, 2, 2, quota=12, weight=2.0),
    },
    {
        "render": make_plan(2, 1, 4, quota=16),
        "checks": make_plan(1, 4, 1, quota=6),
        "sales": make_plan(1, 1, 4, quota=24),
    },
    {"render": make_plan(1, 5, 3, quota=24), "sales": make_plan(0, 1, 4, quota=9)},
]


def amounts_of(shape):
    """Return the needs of one task as plain numbers, its slot included."""
    return (*attrs.astuple(shape), 1)


def can_pack(free, rack_of, gangs):
    """Return whether all gangs fit; exhaustive search.

    ``gangs`` are ``(level, needs, tasks_count)``; ``free`` amounts by worker.
    """
    if not gangs:
        return True
    level, needs, tasks_count = gangs[0]
    for placed in placements(free, rack_of, level, needs, tasks_count):
        left = dict(free)
        for worker_id, count in placed.items():
            left[worker_id] = tuple(
                a - count * b for a, b in zip(left[worker_id], needs, strict=True)
            )
        if can_pack(left, rack_of, gangs[1:]):
            return True
    return False


def placements(free, rack_of, level, needs, tasks_count):
    """Yield every distribution of the tasks over adjacent workers."""
    if level == "worker":
        groups = [[worker_id] for worker_id in free]
    elif level == "rack":
        racks = sorted(set(rack_of.values()))
        groups = [[item for item in free if rack_of[item] == rack] for rack in racks]
    else:
        groups = [list(free)]
    for group in groups:
        yield from distribute(free, group, needs, tasks_count)


def distribute(free, group, needs, tasks_count):
    """Yield counts by worker that add up to the tasks."""
    if tasks_count == 0:
        yield {}
    elif group:
        first, *rest = group
        most = min(
            tasks_count,
            *(a // b for a, b in zip(free[first], needs, strict=True) if b),
        )
        for count in range(max(0, most), -1, -1):
            for others in distribute(free, rest, needs, tasks_count - count):
                yield {**others, first: count} if count else others


def tightest_level(workers, needs, tasks_count):
    """Return the tightest level at which the gang fits the empty workers."""
    free = {worker.worker_id: attrs.astuple(worker.capacity) for worker in workers}
    rack_of = {worker.worker_id: worker.rack for worker in workers}
    for level in ("worker", "rack"):
        if any(placements(free, rack_of, level, needs, tasks_count)):
            return level
    return "data centre"


class Machine(RuleBasedStateMachine):
    """The placer, the workers and the callers of one data centre."""

    def __init__(self):
        super().__init__()
        self.now_seconds = 0.0
        self.next_id = 0
        self.workers = {worker.worker_id: worker for worker in WORKERS}
        self.configuration = make_configuration(**PLAN_SETS[0])
        self.data_centres = ("kumasi",)
        self.waiting = {}
        self.running = {}
        self.reclaiming = {}
        self.scheduler = self.make_scheduler()

    def make_scheduler(self):
        scheduler = Scheduler(
            data_centre="kumasi",
            reservation_after_seconds=20.0,
            random_source=random.Random(7),
        )
        set_data_centres(scheduler, self.data_centres)
        set_configuration(scheduler, self.configuration)
        for worker in self.workers.values():
            set_worker(scheduler, worker)
        return scheduler

    @rule(
        organisation=st.sampled_from(["render", "checks", "sales"]),
        tasks_count=st.integers(1, 6),
        accelerators_count=st.integers(0, 4),
        urgent=st.booleans(),
        is_repeatable=st.booleans(),
        is_checkpointable=st.booleans(),
        jobs_count=st.integers(1, 3),
    )
    def submit(self, jobs_count, **values):
        for _ in range(jobs_count):
            self.next_id += 1
            job = make_job(
                f"job-{self.next_id}", queued_seconds=self.now_seconds, **values
            )
            if add_job(self.scheduler, job, now_seconds=self.now_seconds) is None:
                self.waiting[job.job_id] = job

    @rule(
        seconds=st.sampled_from([0.1, 1.0, 15.0, 100.0]),
        is_isolated=st.sampled_from([False, False, False, True]),
    )
    def decide(self, seconds, is_isolated):
        self.now_seconds += seconds
        for decision in decide(
            self.scheduler, now_seconds=self.now_seconds, is_isolated=is_isolated
        ):
            if isinstance(decision, StartGang):
                spec = decision.gang.job.spec
                assert spec.is_repeatable or not is_isolated
                if not decision.gang.is_guaranteed and is_isolated:
                    assert spec.urgency == Urgency.URGENT
                self.record_start(decision.gang)
            else:
                self.record_reclaim(decision)

    def record_start(self, gang):
        spec = gang.job.spec
        assert self.waiting.pop(gang.job.job_id) == gang.job
        assert len(gang.worker_ids) == spec.tasks_count
        assert "kumasi" not in self.configuration.data_centres_out
        for worker_id in gang.worker_ids:
            assert not self.workers[worker_id].is_leaving
            if worker_id in quarantined_worker_ids(self.scheduler):
                assert spec.tasks_count == 1 and spec.is_repeatable
                on_worker = [
                    other
                    for other in self.running.values()
                    if worker_id in other.worker_ids
                    and other.placed_seconds == self.now_seconds
                ]
                assert not on_worker, "two probes at once"
        assert gang.is_guaranteed or spec.is_repeatable or spec.is_checkpointable
        self.running[gang.job.job_id] = gang
        plan = self.configuration.plans[spec.organisation]
        used_count = self.used_by(spec.organisation, self.running.values())
        assert used_count <= plan.quota_accelerators_count, used_count
        if gang.is_guaranteed:
            level = self.level_of(plan)[0]
            racks = {self.workers[worker_id].rack for worker_id in gang.worker_ids}
            assert level != "rack" or len(racks) == 1, gang
            assert level != "worker" or len(set(gang.worker_ids)) == 1, gang

    def used_by(self, organisation, gangs):
        """Return the accelerators that gangs of an organisation use."""
        return sum(
            gang.job.spec.tasks_count * gang.job.spec.shape.accelerators_count
            for gang in gangs
            if gang.job.spec.organisation == organisation
        )

    def level_of(self, plan):
        """Return the adjacency, the needs and the tasks of a guaranteed gang."""
        needs = amounts_of(plan.guaranteed_shape)
        tasks_count = plan.guaranteed_tasks_count
        level = tightest_level(self.workers.values(), needs, tasks_count)
        return level, needs, tasks_count

    def record_reclaim(self, decision):
        assert isinstance(decision, ReclaimGang)
        assert decision.job_id not in self.reclaiming, "reclaimed twice"
        victim = self.scheduler.gangs[decision.job_id]
        requester = self.waiting[decision.for_job_id].spec
        hold = self.scheduler.holds.get(decision.for_job_id)
        assert not victim.is_guaranteed
        if hold is not None and not hold.is_guaranteed:
            assert victim.job.spec.urgency == Urgency.PATIENT
            assert requester.urgency == Urgency.URGENT or hold.reason.startswith(
                "advance reservation"
            )
        self.reclaiming[decision.job_id] = decision.for_job_id

    def end(self, job_id, *, requeue, **result):
        gang = self.running.pop(job_id)
        self.reclaiming.pop(job_id, None)
        gang_ended(self.scheduler, job_id, now_seconds=self.now_seconds, **result)
        if requeue and not failure_verdict(self.scheduler, job_id):
            refused = add_job(self.scheduler, gang.job, now_seconds=self.now_seconds)
            assert refused is None, refused
            self.waiting[job_id] = gang.job
        else:
            forget_job(self.scheduler, job_id)

    @precondition(lambda self: self.reclaiming)
    @rule(data=st.data())
    def finish_reclaim(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.reclaiming)))
        self.end(job_id, requeue=True)

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def succeed(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.running)))
        self.end(job_id, requeue=False, succeeded=True)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), tasks_failed=st.booleans(), is_refusal=st.booleans())
    def fail(self, data, tasks_failed, is_refusal):
        job_id = data.draw(st.sampled_from(sorted(self.running)))
        worker_id = data.draw(st.sampled_from(self.running[job_id].worker_ids))
        result = {"failed_worker_ids": (worker_id,), "tasks_failed": tasks_failed}
        if is_refusal:
            result = {"refused_worker_ids": (worker_id,)}
        self.end(job_id, requeue=True, **result)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.waiting)))
        assert remove_job(self.scheduler, job_id) == self.waiting.pop(job_id)
        assert remove_job(self.scheduler, job_id) is None

    @rule(worker=st.sampled_from(WORKERS), is_leaving=st.booleans())
    def set_worker(self, worker, is_leaving):
        worker = attrs.evolve(worker, is_leaving=is_leaving)
        self.workers[worker.worker_id] = worker
        set_worker(self.scheduler, worker)

    @rule(worker=st.sampled_from(WORKERS), is_late=st.booleans())
    def lose_worker(self, worker, is_late):
        worker_id = worker.worker_id
        self.workers.pop(worker_id, None)
        remove_worker(self.scheduler, worker_id)
        for job_id, gang in list(self.running.items()):
            if worker_id in gang.worker_ids and not is_late:
                self.end(job_id, requeue=True, failed_worker_ids=(worker_id,))

    @rule()
    def restore_workers(self):
        for worker in WORKERS:
            self.set_worker(worker, False)

    @rule(plans=st.sampled_from(PLAN_SETS), out=st.sampled_from([(), (), ("kumasi",)]))
    def configure(self, plans, out):
        version = self.configuration.version + 1
        self.configuration = make_configuration(version, out, **plans)
        set_configuration(self.scheduler, self.configuration)

    @rule(names=st.sampled_from([("kumasi",), ("kumasi", "accra"), ("kumasi", "lome")]))
    def change_data_centres(self, names):
        self.data_centres = names
        set_data_centres(self.scheduler, names)

    @rule()
    def take_over(self):
        gangs = dict(self.scheduler.gangs)
        self.scheduler = self.make_scheduler()
        self.reclaiming.clear()
        for gang in gangs.values():
            adopt_gang(self.scheduler, gang)
        for job in self.waiting.values():
            add_job(self.scheduler, job, now_seconds=self.now_seconds, is_requeue=True)

    @invariant()
    def capacity_is_not_overcommitted(self):
        for worker_id, worker in self.workers.items():
            left = self.left_on(worker, self.running.values())
            assert min(left) >= 0, (worker_id, left)
            assert tuple(self.scheduler.cluster.now.free[worker_id]) == left

    def left_on(self, worker, gangs):
        left = list(attrs.astuple(worker.capacity))
        for gang in gangs:
            count = Counter(gang.worker_ids)[worker.worker_id]
            for index, amount in enumerate(amounts_of(gang.job.spec.shape)):
                left[index] -= count * amount
        return tuple(left)

    @invariant()
    def jobs_are_not_lost(self):
        assert self.scheduler.gangs.keys() == self.running.keys()
        for job_id in self.waiting:
            assert waiting_reason(self.scheduler, job_id), job_id
        summary = capacity_summary(self.scheduler)
        assert summary.waiting_jobs_count == len(self.waiting)

    @invariant()
    def unused_guarantees_fit(self):
        missing = Counter()
        for item in guarantee_shortfalls(self.scheduler):
            missing[item.organisation] = item.gangs_count
        shares = data_centre_shares(self.configuration, self.data_centres, "kumasi")
        kept = [gang for gang in self.scheduler.gangs.values() if gang.is_guaranteed]
        used = Counter(gang.job.spec.organisation for gang in kept)
        closed = set(quarantined_worker_ids(self.scheduler))
        open_workers = [
            worker
            for worker_id, worker in self.workers.items()
            if not worker.is_leaving and worker_id not in closed
        ]
        free = {worker.worker_id: self.left_on(worker, kept) for worker in open_workers}
        rack_of = {worker.worker_id: worker.rack for worker in open_workers}
        gangs = []
        for organisation, share in shares.items():
            plan = self.configuration.plans[organisation]
            count = max(0, share - used[organisation] - missing[organisation])
            gangs += [self.level_of(plan)] * count
        gangs.sort(key=lambda gang: -gang[1][0] * gang[2])
        assert can_pack(free, rack_of, gangs), (gangs, free)

    @invariant()
    def unused_guarantee_can_be_reclaimed(self):
        if self.next_id % 3 or self.configuration.data_centres_out:
            return
        summary = capacity_summary(self.scheduler)
        unused = summary.unused_guaranteed_gangs_count_by_organisation
        for organisation, count in unused.items():
            plan = self.configuration.plans.get(organisation)
            kept = [
                gang for gang in self.scheduler.gangs.values() if gang.is_guaranteed
            ]
            used_count = self.used_by(organisation, kept)
            used_count += self.used_by(organisation, self.scheduler.holds.values())
            if (
                count
                and used_count
                + plan.guaranteed_tasks_count
                * (plan.guaranteed_shape.accelerators_count)
                <= plan.quota_accelerators_count
            ):
                self.reclaim_on_copy(organisation, plan)

    def reclaim_on_copy(self, organisation, plan):
        scheduler = copy.deepcopy(self.scheduler)
        for job_id in self.waiting.keys() - scheduler.holds.keys():
            remove_job(scheduler, job_id)
        job = make_job(
            "wanted",
            organisation,
            plan.guaranteed_tasks_count,
            plan.guaranteed_shape.accelerators_count,
            is_repeatable=False,
        )
        assert add_job(scheduler, job, now_seconds=self.now_seconds) is None
        for _ in range(4):
            decide(scheduler, now_seconds=self.now_seconds)
            if "wanted" in scheduler.gangs:
                assert scheduler.gangs["wanted"].is_guaranteed
                return
            for victim_id in list(scheduler.reclaiming):
                gang_ended(scheduler, victim_id, now_seconds=self.now_seconds)
        raise AssertionError((organisation, waiting_reason(scheduler, "wanted")))


class TestScheduling(Machine.TestCase):
    """Guards against broken invariants after any sequence of events."""

    settings = settings(
        max_examples=max(1, STEPS_COUNT // STEPS_PER_EXAMPLE_COUNT),
        stateful_step_count=STEPS_PER_EXAMPLE_COUNT,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
