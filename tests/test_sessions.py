"""Polls of workers by the scheduler."""

from unittest import mock

import anyio

from emulator.platform_service import NullObserver
from emulator.virtual_clock import run_virtual
from kingcuptrack.coordination.leases import LeaseTracker
from kingcuptrack.coordination.ports import WORKER_BUSY, Clocks
from kingcuptrack.coordination.sessions import ORDER_AGE_LIMIT_SECONDS, Session
from kingcuptrack.outcomes import Done, Refused, Unknown
from kingcuptrack.state.cluster.shard_entities import Run, RunPhase
from kingcuptrack.state.cluster.shard_state import ShardState
from kingcuptrack.state.jobs.progress import JobState

from .caught_errors import no_caught_errors
from .cluster_plays import play_cluster, submit_job
from .shard_states import make_ref, make_report, make_step
from .support import check, function_tests

load_tests = function_tests(__name__)

TASKS_COUNT = 12
OUTAGE_SECONDS = 6.0
WORKERS_COUNT = 4


def test_sessions_of_dropped_workers_keep_running():
    """Guards against processor time that grows with each worker that has gone."""
    lookups_count = 0
    look_up = Session._worker

    def count_lookup(session):
        nonlocal lookups_count
        lookups_count += session.worker_id == "w00"
        return look_up(session)

    async def run(cluster):
        nonlocal lookups_count
        cluster.fleet.workers["w00"].crash()
        await anyio.sleep(3.0)
        with mock.patch.object(Session, "_worker", count_lookup):
            await anyio.sleep(10.0)
            gone_count, lookups_count = lookups_count, 0
            worker = cluster.fleet.workers["w00"]
            worker.begin_life(worker.life + 1)
            await anyio.sleep(3.0)
        scheduler = cluster.leader().instance.candidate.scheduler
        return gone_count, scheduler.shard_state.workers["w00"].life

    gone_count, life = play_cluster(run, workers_count=WORKERS_COUNT)
    check.assertEqual(gone_count, 0)
    check.assertGreater(life, 0)


class _AcknowledgementRecorder(NullObserver):
    """Records when workers list ends, and when these are acknowledged."""

    def __init__(self):
        self.ended_at_seconds = []
        self.acknowledged_at_seconds = []
        self._newest_by_worker = {}

    def note_end(self, worker, run, end):
        self.ended_at_seconds.append(anyio.current_time())

    def note_acknowledged(self, worker, number, now):
        if number > self._newest_by_worker.get(id(worker), 0):
            self._newest_by_worker[id(worker)] = number
            self.acknowledged_at_seconds.append(anyio.current_time())


def play_batch(*, is_store_down):
    """Run a batch that ends while the store is down, or not.

    Returns
    -------
    polls_count : int
        Polls from the first end until all ends are acknowledged, or the store is back.
    recorder : _AcknowledgementRecorder
    """
    recorder = _AcknowledgementRecorder()
    polls_at_seconds = []
    poll = Session.poll

    async def count_poll(session, **keywords):
        polls_at_seconds.append(anyio.current_time())
        return await poll(session, **keywords)

    async def run(cluster):
        # Work that lasts keeps the workers busy while short tasks end.
        for number, seconds in enumerate((30.0, 1.0)):
            await submit_job(
                cluster.members[0],
                cluster,
                f"{number:016x}",
                make_step(tasks=TASKS_COUNT, seconds=seconds),
                run_seconds=seconds,
            )
        await anyio.sleep(0.5)
        if is_store_down:
            cluster.store.faults.down = "busy"
            await anyio.sleep(OUTAGE_SECONDS)
            cluster.store.faults.down = ""
        await anyio.sleep(3.0)

    with mock.patch.object(Session, "poll", count_poll):
        play_cluster(
            run, observer=recorder, workers_count=WORKERS_COUNT, instances_count=1
        )
    first_end_seconds = min(recorder.ended_at_seconds)
    until_seconds = first_end_seconds + OUTAGE_SECONDS / 2
    polls_count = sum(
        first_end_seconds < at_seconds < until_seconds
        for at_seconds in polls_at_seconds
    )
    return polls_count, recorder


def test_an_outage_of_the_store_causes_no_flood_of_polls():
    """Guards against polls without pause while ends cannot be acknowledged.

    A worker repeats ends that are not acknowledged, and answers such polls at once.
    """
    polls_count, recorder = play_batch(is_store_down=True)
    check.assertEqual(len(recorder.ended_at_seconds), TASKS_COUNT)
    # Twice the polls of busy workers: one every 0.7 s each.
    check.assertLess(polls_count, 2 * WORKERS_COUNT * OUTAGE_SECONDS / 2 / 0.7)


def test_ends_are_acknowledged_soon_after_their_commit():
    """Guards against ends that a worker keeps until its next idle poll."""
    _, recorder = play_batch(is_store_down=False)
    check.assertEqual(len(recorder.ended_at_seconds), TASKS_COUNT)
    last_end_seconds = max(recorder.ended_at_seconds)
    check.assertLess(max(recorder.acknowledged_at_seconds), last_end_seconds + 0.5)


class _Scheduler:
    """Scheduler of one session; records the reports that the session applies."""

    def __init__(self):
        self.reports = []
        self.clocks = mock.Mock(steady=anyio.current_time)
        self.own_delay = mock.Mock(extend=lambda seconds: seconds)
        self.shard_state = mock.Mock(workers={})
        self.workers = mock.Mock(start=self._accept)
        self.record_latency = mock.Mock()
        self.confirm_start = mock.Mock()

    async def _accept(self, *, entry, order, timeout_seconds):
        return Done(value=0.05)

    def apply_report(self, session, report):
        self.reports.append(report)
        return []


def _make_run():
    return Run(
        ref=make_ref("job"),
        number=1,
        worker_id="w0",
        resources=make_step().resources,
        priority=0,
        estimate_seconds=1.0,
    )


def _apply_answers(*answers):
    """Apply answers to polls, as (sent at, received at, life, clock).

    Returns
    -------
    reports : list of WorkerReport
        The reports that were not discarded.
    session : Session
    """
    scheduler = _Scheduler()
    leases = LeaseTracker(longest_lease_seconds=6.0, lapse_at_seconds=0.0)
    session = Session(worker_id="w0", scheduler=scheduler, token=1, leases=leases)
    with no_caught_errors():
        for sent_at, received_at, life, clock in answers:
            report = make_report(
                now_seconds=received_at, life=life, clock_seconds=clock
            )
            session._apply_report(report, sent_at)
    return scheduler.reports, session


def test_a_lower_life_number_is_accepted_after_a_restart():
    """Guards against a restarted worker whose reports are all ignored."""
    reports, _ = _apply_answers((1.0, 1.1, 900, 50.0), (2.0, 2.1, 400, 0.2))
    check.assertEqual([report.clock_seconds for report in reports], [50.0, 0.2])
    # Runs of the earlier life are known to have ended.
    check.assertGreater(reports[1].life, reports[0].life)


def test_an_overtaken_answer_of_an_earlier_life_is_discarded():
    """Guards against the end of new runs by an answer from before a restart."""
    for earlier_life in (400, 1300):
        reports, _ = _apply_answers(
            (1.0, 1.1, earlier_life, 50.0),
            (2.1, 2.2, 900, 0.2),
            (2.0, 2.3, earlier_life, 50.9),
            (2.4, 2.5, 900, 0.5),
        )
        clocks_seconds = [report.clock_seconds for report in reports]
        check.assertEqual(clocks_seconds, [50.0, 0.2, 0.5])


def test_a_new_life_gets_a_higher_token():
    """Guards against late polls of before a restart that extend leases after it.

    They could also delete ends of the new life, whose numbers start anew.
    """
    _, session = _apply_answers((1.0, 1.1, 900, 50.0))
    first_token = session.token
    _, session = _apply_answers((1.0, 1.1, 900, 50.0), (2.0, 2.1, 950, 0.2))
    check.assertGreater(session.token, first_token)


def test_the_first_poll_after_a_silence_deletes_ends_of_a_new_life():
    """Guards against a task that is done and runs again after a restart."""

    async def play():
        _, session = _apply_answers((-2.0, -1.9, 1, 50.0))
        requests = []
        outcomes = [Unknown(), Done(value=make_report(now_seconds=0.2, life=2))]

        async def poll(*, entry, request, timeout_seconds):
            requests.append(request)
            return outcomes[len(requests) - 1]

        scheduler = session.scheduler
        scheduler.workers.poll = poll
        scheduler.shard_state.workers["w0"] = mock.Mock(runs={})
        scheduler.may_extend_leases = lambda: True
        scheduler.note_worker_lost = lambda worker_id: None
        session.acknowledge(7, session.life)
        for _ in range(2):
            await session.poll(wait_seconds=0.0)
        return [request.acknowledged_end for request in requests]

    check.assertEqual(run_virtual(play), [7, 0])


def test_the_age_of_a_queued_start_includes_a_suspension():
    """Guards against starts of claims from before the instance was suspended."""
    now_seconds, suspended_seconds = 10.0, 0.0
    scheduler = _Scheduler()
    scheduler.clocks = Clocks(
        steady=lambda: now_seconds - suspended_seconds,
        boottime=lambda: now_seconds,
        wall=lambda: now_seconds,
    )
    scheduler.may_start = lambda worker_id: True
    scheduler.find_capacity_obstacle = lambda worker_id: ""
    scheduler.find_maximum_obstacle = lambda run: ""
    leases = LeaseTracker(longest_lease_seconds=6.0, lapse_at_seconds=0.0)
    session = Session(worker_id="w0", scheduler=scheduler, token=1, leases=leases)
    run = _make_run()
    session.queue_start(run, "")
    _, _, queued_at_seconds = session._starts[0]
    check.assertEqual(session._find_start_obstacle(run, queued_at_seconds), "")
    suspended_seconds = ORDER_AGE_LIMIT_SECONDS + 0.5
    now_seconds += suspended_seconds
    check.assertNotEqual(session._find_start_obstacle(run, queued_at_seconds), "")


def test_a_start_accepted_by_an_earlier_life_is_not_confirmed():
    """Guards against a run that ended with an earlier life and is never started again.

    The answer to the start is overtaken by the first report of the next life.
    """

    async def play():
        _, session = _apply_answers((-2.0, -1.9, 1, 50.0))
        accept = session.scheduler.workers.start

        async def accept_before_a_restart(**order):
            outcome = await accept(**order)
            report = make_report(now_seconds=0.2, life=2, clock_seconds=0.1)
            session._apply_report(report, 0.1)
            return outcome

        session.scheduler.workers.start = accept_before_a_restart
        run = _make_run()
        await session._send_start(run, "")
        session.scheduler.confirm_start.assert_not_called()
        check.assertEqual(run.phase, RunPhase.UNSETTLED)
        check.assertLess(run.token, session.token)

    with no_caught_errors():
        run_virtual(play)


def test_a_poll_after_a_restart_acknowledges_no_ends_of_the_new_life():
    """Guards against the loss of an end whose number an earlier life has used."""
    requests = []

    async def poll(*, request, **call):
        requests.append(request)
        return Refused(code=WORKER_BUSY)

    async def play():
        _, session = _apply_answers((-2.0, -1.9, 1, 50.0))
        session.acknowledged_end = session.received_end = 5
        scheduler = session.scheduler
        scheduler.shard_state.workers["w0"] = mock.Mock(runs={})
        scheduler.may_extend_leases = lambda: True
        scheduler.workers.poll = poll
        # The worker has restarted: its clock is at 0.05 s.
        await session._send_start(_make_run(), "")
        await session.poll(wait_seconds=0.0)
        check.assertEqual([request.acknowledged_end for request in requests], [0])

    with no_caught_errors():
        run_virtual(play)


def test_an_answer_from_before_a_start_does_not_show_the_runs_of_a_new_life():
    """Guards against the withdrawal of a run that a restarted worker has accepted.

    The answer to a poll is overtaken by the answer to a start that was sent later.
    """

    async def play():
        reports, session = _apply_answers((-2.0, -1.9, 1, 50.0))
        await anyio.sleep(0.1)
        await session._send_start(_make_run(), "")
        polled = make_report(now_seconds=0.2, life=2, clock_seconds=0.1)
        session._apply_report(polled, 0.05)
        check.assertEqual(len(reports), 1)
        polled = make_report(now_seconds=0.4, life=2, clock_seconds=0.3)
        session._apply_report(polled, 0.3)
        check.assertEqual(len(reports), 2)

    with no_caught_errors():
        run_virtual(play)


def test_a_report_of_a_new_life_counts_when_it_comes_again():
    """Guards against a restart that is half noted after an error in its report."""
    noted = []
    apply_report = ShardState.apply_report

    def fail_once(shard_state, worker_id, report):
        if report.life > 1 and not noted:
            noted.append(worker_id)
            raise ValueError("injected")
        return apply_report(shard_state, worker_id, report)

    async def run(cluster):
        member = cluster.members[0]
        step = make_step(tasks=TASKS_COUNT, seconds=2.0)
        job_id = f"{1:016x}"
        caller = await submit_job(member, cluster, job_id, step, run_seconds=2.0)
        await anyio.sleep(1.0)
        worker = next(item for item in cluster.fleet.workers.values() if item.runs)
        worker.crash()
        worker.begin_life(worker.life + 1)
        await anyio.sleep(12.0)
        check.assertEqual(noted, [worker.entry.worker_id])
        shard_state = cluster.leader().instance.candidate.scheduler.shard_state
        check.assertEqual(shard_state.workers[worker.entry.worker_id].life, 2)
        return (await member.instance.admissions.read_state(caller, job_id)).value

    with mock.patch.object(ShardState, "apply_report", fail_once):
        state = play_cluster(run, instances_count=2, allowed_errors=("task",))
    check.assertEqual(state, JobState.COMPLETED)
