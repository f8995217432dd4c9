"""Slow answers, narrow links and silent feeds of the simulated store."""

import random

import anyio

from emulator.rows import ANSWER_DELAY_SECONDS, RowStore
from emulator.virtual_clock import run_virtual
from kingcuptrack.coordination.ports import HISTORY_LOST, RowKey, Transaction
from kingcuptrack.outcomes import Done, Refused, Unknown

from .cluster_plays import play_cluster
from .support import check, function_tests

load_tests = function_tests(__name__)

TABLE = "jobs"
KEY = RowKey(table=TABLE, part="", key="job")
LINK_BYTES_PER_SECOND = 10_000.0
LARGE_VALUE = bytes(20_000)
# Longest answer time of a store that is not slow.
USUAL_SECONDS = 1.5 * ANSWER_DELAY_SECONDS


def _play_store(function):
    """Call an async function with a store of one row; returns its result."""

    async def run():
        async with anyio.create_task_group() as tasks:
            store = RowStore(rng=random.Random(1), spawn=tasks.start_soon)
            store.put(KEY, LARGE_VALUE)
            result = await function(store)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


async def _time(call, **arguments):
    """Return the outcome of a call of the store, and the time that it takes."""
    began_at_seconds = anyio.current_time()
    outcome = await call(**arguments)
    return outcome, anyio.current_time() - began_at_seconds


async def _read(port, *, timeout_seconds=1.0, **options):
    return await _time(
        port.read,
        table=TABLE,
        part="",
        first="",
        last="",
        timeout_seconds=timeout_seconds,
        **options,
    )


async def _put(port, *, version, timeout_seconds=1.0):
    transaction = Transaction(expect={KEY: version}, puts={KEY: b"new"})
    return await _time(
        port.transact, transaction=transaction, timeout_seconds=timeout_seconds
    )


async def _follow(port, *, after_version, wait_seconds, **options):
    return await _time(
        port.follow,
        table=TABLE,
        after_version=after_version,
        wait_seconds=wait_seconds,
        **options,
    )


def test_a_read_slower_than_its_timeout_has_no_answer():
    """Guards against a slow store that answers within every timeout."""

    async def play(store):
        port = store.port("i0")
        # The answer takes from 1 to 3 s.
        store.faults.slow_factor = 2.0 / ANSWER_DELAY_SECONDS
        begun = []
        early = await _read(
            port, timeout_seconds=0.5, note_begun=lambda: begun.append(True)
        )
        check.assertEqual(begun, [])
        late = await _read(
            port, timeout_seconds=3.5, note_begun=lambda: begun.append(True)
        )
        check.assertEqual(begun, [True])
        return early, late

    (early, early_seconds), (late, late_seconds) = _play_store(play)
    check.assertIsInstance(early, Unknown)
    check.assertAlmostEqual(early_seconds, 0.5)
    check.assertIsInstance(late, Done)
    check.assertGreaterEqual(late_seconds, 1.0)


def test_a_transaction_without_an_answer_is_applied_later():
    """Guards against slow transactions that are lost, or applied before their time."""

    async def play(store):
        store.faults.slow_factor = 2.0 / ANSWER_DELAY_SECONDS
        outcome, seconds = await _put(store.port("i0"), version=1, timeout_seconds=0.5)
        check.assertIsInstance(outcome, Unknown)
        check.assertAlmostEqual(seconds, 0.5)
        check.assertEqual(store.rows[KEY].value, LARGE_VALUE)
        await anyio.sleep(0.4)
        check.assertEqual(store.rows[KEY].value, LARGE_VALUE)
        await anyio.sleep(2.2)
        check.assertEqual(store.rows[KEY].value, b"new")

    _play_store(play)


def test_a_late_transaction_has_to_meet_its_conditions():
    """Guards against conditions checked before the transaction is applied."""

    async def play(store):
        store.faults.slow_factor = 2.0 / ANSWER_DELAY_SECONDS
        await _put(store.port("i0"), version=1, timeout_seconds=0.5)
        store.put(KEY, b"other")
        await anyio.sleep(3.0)
        check.assertEqual(store.rows[KEY].value, b"other")

    _play_store(play)


def test_a_cut_caller_waits_for_its_timeout_only():
    """Guards against a delay that adds to the timeout when the store is also slow."""

    async def play(store):
        store.faults.slow_factor = 0.5 / ANSWER_DELAY_SECONDS
        store.faults.cut_callers.add("i0")
        return await _read(store.port("i0"), timeout_seconds=1.0)

    outcome, seconds = _play_store(play)
    check.assertIsInstance(outcome, Unknown)
    check.assertAlmostEqual(seconds, 1.0, delta=USUAL_SECONDS)


def test_a_feed_answer_is_late_by_the_delay_of_the_store():
    """Guards against a slow store whose feed tells changes at once, or never."""

    async def play(store):
        port = store.port("i0")
        store.faults.slow_factor = 2.0 / ANSWER_DELAY_SECONDS
        answered = await _follow(
            port, after_version=0, wait_seconds=1.0, timeout_seconds=3.0
        )
        unanswered = await _follow(
            port, after_version=1, wait_seconds=1.0, timeout_seconds=0.5
        )
        return answered, unanswered

    (answered, answered_seconds), (unanswered, unanswered_seconds) = _play_store(play)
    check.assertEqual([row.key for row in answered.value.rows], [KEY])
    check.assertTrue(1.0 <= answered_seconds <= 3.0, answered_seconds)
    check.assertIsInstance(unanswered, Unknown)
    check.assertAlmostEqual(unanswered_seconds, 1.5)


def test_a_feed_without_an_answer_ends_at_its_timeout():
    """Guards against a silent feed that ends after another time than a real one."""

    async def play(store):
        port = store.port("i0")
        store.faults.silent_calls.add("follow")
        by_default = await _follow(port, after_version=1, wait_seconds=2.0)
        given = await _follow(
            port, after_version=1, wait_seconds=2.0, timeout_seconds=0.4
        )
        return by_default, given

    (by_default, default_seconds), (given, given_seconds) = _play_store(play)
    check.assertIsInstance(by_default, Unknown)
    check.assertAlmostEqual(default_seconds, 3.5)
    check.assertIsInstance(given, Unknown)
    check.assertAlmostEqual(given_seconds, 2.4)


def test_a_large_answer_takes_its_size_over_the_rate_of_the_link():
    """Guards against timeouts that end a transfer, and links without a limit."""

    async def play(store):
        port = store.port("i0", link_bytes_per_second=LINK_BYTES_PER_SECOND)
        begun_at_seconds = []
        read = await _read(
            port,
            timeout_seconds=0.5,
            note_begun=lambda: begun_at_seconds.append(anyio.current_time()),
        )
        return read, begun_at_seconds

    (outcome, seconds), begun_at_seconds = _play_store(play)
    check.assertEqual(outcome.value.rows[0].value, LARGE_VALUE)
    check.assertAlmostEqual(seconds, 2.0, delta=USUAL_SECONDS)
    check.assertEqual(len(begun_at_seconds), 1)
    check.assertLessEqual(begun_at_seconds[0], USUAL_SECONDS)


def test_answers_of_one_caller_share_its_link():
    """Guards against parallel reads that each have the whole link."""

    async def play(store):
        ports = {
            name: store.port(name, link_bytes_per_second=LINK_BYTES_PER_SECOND)
            for name in ("i0", "i1")
        }
        seconds = {name: [] for name in ports}

        async def read(name):
            outcome, read_seconds = await _read(ports[name], timeout_seconds=3.0)
            check.assertIsInstance(outcome, Done)
            seconds[name].append(read_seconds)

        async with anyio.create_task_group() as tasks:
            for name in ("i0", "i0", "i1"):
                tasks.start_soon(read, name)
        return seconds

    seconds = _play_store(play)
    check.assertAlmostEqual(seconds["i0"][0], 2.0, delta=USUAL_SECONDS)
    check.assertAlmostEqual(seconds["i0"][1], 4.0, delta=USUAL_SECONDS)
    check.assertAlmostEqual(seconds["i1"][0], 2.0, delta=USUAL_SECONDS)


def test_a_read_that_waits_for_the_link_beyond_its_timeout_has_no_answer():
    """Guards against timeouts that do not count the answers before."""

    async def play(store):
        # Each port of a caller uses the same link.
        first, second = (
            store.port("i0", link_bytes_per_second=LINK_BYTES_PER_SECOND)
            for _ in range(2)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_read, first)
            await anyio.sleep(0.1)
            return await _read(second, timeout_seconds=1.0)

    outcome, seconds = _play_store(play)
    check.assertIsInstance(outcome, Unknown)
    check.assertAlmostEqual(seconds, 1.0)


def test_a_cancelled_transfer_frees_the_link():
    """Guards against attempts that were given up and still delay the next answer."""

    async def play(store):
        port = store.port("i0", link_bytes_per_second=LINK_BYTES_PER_SECOND)
        with anyio.move_on_after(0.5):
            await _read(port)
        return await _read(port)

    outcome, seconds = _play_store(play)
    check.assertIsInstance(outcome, Done)
    check.assertAlmostEqual(seconds, 2.0, delta=USUAL_SECONDS)


def test_a_transaction_is_answered_within_its_timeout_or_not_at_all():
    """Guards against large answers to transactions that arrive after their timeout."""

    async def play(store):
        port = store.port("i0", link_bytes_per_second=LINK_BYTES_PER_SECOND)
        conflict = await _put(port, version=7, timeout_seconds=1.0)
        applied = await _put(port, version=1, timeout_seconds=1.0)
        return conflict, applied

    (conflict, conflict_seconds), (applied, applied_seconds) = _play_store(play)
    # The answer to a conflict has the current rows.
    check.assertIsInstance(conflict, Unknown)
    check.assertAlmostEqual(conflict_seconds, 1.0)
    check.assertIsInstance(applied, Done)
    check.assertLessEqual(applied_seconds, USUAL_SECONDS)


def test_a_feed_request_without_a_wait_is_answered_at_once():
    """Guards against feed requests that wait though they ask for no wait."""

    async def play(store):
        port = store.port("i0")
        changes = await _follow(port, after_version=0, wait_seconds=0.0)
        nothing = await _follow(port, after_version=1, wait_seconds=0.0)
        return changes, nothing

    (changes, changes_seconds), (nothing, nothing_seconds) = _play_store(play)
    check.assertEqual([row.key for row in changes.value.rows], [KEY])
    check.assertEqual(nothing.value.rows, ())
    check.assertLessEqual(max(changes_seconds, nothing_seconds), USUAL_SECONDS)


def test_a_silent_feed_tells_no_changes_until_its_history_is_lost():
    """Guards against plays in which a follower notices lost history at once."""

    async def play(store):
        port = store.port("i0")
        store.faults.silent_feed_tables.add(TABLE)
        store.put(KEY, b"new")
        silent, seconds = await _follow(port, after_version=1, wait_seconds=1.0)
        check.assertEqual(silent.value.rows, ())
        # A later version would make the follower skip the change.
        check.assertEqual(silent.value.version, 1)
        check.assertGreaterEqual(seconds, 1.0)
        store.forget_history()
        lost, _ = await _follow(port, after_version=1, wait_seconds=1.0)
        check.assertIsInstance(lost, Refused)
        check.assertEqual(lost.code, HISTORY_LOST)

    _play_store(play)


def test_a_feed_that_is_no_longer_silent_tells_all_changes():
    """Guards against changes that are lost without an error."""

    async def play(store):
        port = store.port("i0")
        store.faults.silent_feed_tables.add(TABLE)
        store.put(KEY, b"new")
        silent, _ = await _follow(port, after_version=1, wait_seconds=1.0)
        store.faults.silent_feed_tables.clear()
        changes, _ = await _follow(
            port, after_version=silent.value.version, wait_seconds=1.0
        )
        return changes

    changes = _play_store(play)
    check.assertEqual([row.value for row in changes.value.rows], [b"new"])


def test_instances_have_the_link_of_their_cluster():
    """Guards against simulations of narrow links in which no link is narrow."""

    async def run(cluster):
        cluster.store.put(KEY, LARGE_VALUE)
        seconds = []
        for member in cluster.members:
            port = cluster.make_environment(member).store
            seconds.append((await _read(port, timeout_seconds=1.0))[1])
        return seconds

    slow = play_cluster(run, instances_count=1, link_bytes_per_second=20_000.0)
    fast = play_cluster(run, instances_count=1)
    check.assertGreaterEqual(slow[0], 1.0)
    check.assertLessEqual(fast[0], USUAL_SECONDS)
