"""Polls of workers by the scheduler."""

from unittest import mock

import anyio

from emulator.platform_service import NullObserver
from kingcuptrack.coordination.sessions import Session

from .cluster_plays import play_cluster, submit_job
from .shard_states import make_step
from .support import check, function_tests

load_tests = function_tests(__name__)

TASKS_COUNT = 12
OUTAGE_SECONDS = 6.0
WORKERS_COUNT = 4


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
