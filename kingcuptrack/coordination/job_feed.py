"""Takes the stored jobs over into the shard state, and follows new ones and cancels."""

import anyio

from ..errors import log_error
from ..logs import log_event
from ..outcomes import Done, Refused
from ..state.jobs.progress_parts import restore_progress
from ..state.jobs.records import RecordError, decode_submission
from .feed_position import FeedPosition
from .hedging import hedge
from .ports import HISTORY_LOST
from .rows import (
    JOBS_TABLE,
    PROGRESS_TABLE,
    parse_job_key,
    parse_progress_key,
    read_table,
)

# Timeout of reads of whole tables, which can have some megabytes.
READ_TIMEOUT_SECONDS = 2.0
# Interval between commits that renew the leadership while a table arrives; several must
# fit into `leadership.TAKEOVER_SECONDS`.
RENEWAL_INTERVAL_SECONDS = 0.4
# Pause after a read without an answer, so that an outage causes only a few reads per
# second.
RETRY_SECONDS = 0.15
# Longest wait of one request to the change feed, which is then repeated.
FEED_WAIT_SECONDS = 1.0
# Time after which a request without an answer is repeated beside the first one: its
# connection may be silent. The margin is above `platform.store.SUSPICION_SECONDS`, so
# that the repetition gets a new connection. New jobs and cancels are not known
# meanwhile, so that it must stay well below the 3 s after which all bounds hold again.
FEED_HEDGE_DELAY_SECONDS = FEED_WAIT_SECONDS + 0.85
# Time after which requests without an answer are given up.
FEED_LIMIT_SECONDS = 6.5


class JobFeed:
    """Jobs and cancels of a shard, as read from the store.

    Parameters
    ----------
    store : Store
    clocks : Clocks
    shard : Shard
    chain : CommitChain
    shard_state : ShardState
    note_changes : callable
        Called after rows were applied.
    metrics : PrometheusMetrics
        Gets the time that each answer of the feed took.
    """

    def __init__(
        self, *, store, clocks, shard, chain, shard_state, note_changes, metrics
    ):
        self._store = store
        self._clocks = clocks
        self._shard = shard
        self._chain = chain
        self._shard_state = shard_state
        self._note_changes = note_changes
        self._metrics = metrics
        self._is_answered = True
        self._position = FeedPosition()
        # Jobs whose rows were applied. A read of the whole table repeats them without
        # their progress, and they may have been forgotten since.
        self._seen_ids = set()

    async def load(self):
        """Load the jobs and the progress that the previous scheduler stored."""
        jobs = await self._read_until_done(JOBS_TABLE)
        # Progress is read after the jobs, so that the job of every progress row is
        # known. Only the leader writes progress, so that it cannot change meanwhile.
        progress = await self._read_until_done(PROGRESS_TABLE)
        self._position.note_changes(jobs.version)
        self._apply_rows(jobs.rows, group_progress(progress.rows))
        log_event(
            "takeover",
            outcome="loaded",
            epoch=self._chain.epoch,
            jobs_count=len(self._shard_state.jobs),
            finished_count=len(self._shard_state.finished_jobs),
            version=jobs.version,
        )

    async def follow(self):
        """Apply new jobs and cancels until cancelled."""
        while True:
            begun_at_seconds = self._clocks.steady()
            outcome = await hedge(
                self._ask_feed,
                delay_seconds=FEED_HEDGE_DELAY_SECONDS,
                limit_seconds=FEED_LIMIT_SECONDS,
            )
            is_lost = isinstance(outcome, Refused) and outcome.code == HISTORY_LOST
            if is_lost:
                log_event(
                    "feed", outcome="history_lost", version=self._position.version
                )
                outcome = await self._read(JOBS_TABLE)
            if isinstance(outcome, Done):
                self._apply_read(
                    outcome.value, is_whole=is_lost, begun_at_seconds=begun_at_seconds
                )
            self._note_outcome(outcome, begun_at_seconds)
            if is_lost or not isinstance(outcome, Done):
                await anyio.sleep(RETRY_SECONDS)

    async def _ask_feed(self, *, timeout_seconds, note_begun):
        """Ask for changes; the timeout counts from the start of the request."""
        return await self._store.follow(
            table=JOBS_TABLE,
            after_version=self._position.version,
            wait_seconds=FEED_WAIT_SECONDS,
            timeout_seconds=max(0.0, timeout_seconds - FEED_WAIT_SECONDS),
            note_begun=note_begun,
        )

    def _note_outcome(self, outcome, begun_at_seconds):
        """Measure an answer; log when there are none, or again some."""
        is_answered = isinstance(outcome, Done)
        seconds = self._clocks.steady() - begun_at_seconds
        if is_answered:
            self._metrics.observe("job_feed", seconds)
        if is_answered != self._is_answered:
            self._is_answered = is_answered
            log_event(
                "feed",
                outcome="answered" if is_answered else "no_answer",
                reason="" if is_answered else outcome.message,
                seconds=round(seconds, 3),
            )

    def _apply_read(self, read, *, is_whole, begun_at_seconds):
        if is_whole or read.rows:
            self._position.note_changes(read.version)
        else:
            self._position.note_no_changes(
                read.version,
                begun_at_seconds=begun_at_seconds,
                ended_at_seconds=self._clocks.steady(),
            )
        if read.rows:
            self._apply_rows(read.rows, {})

    async def _read(self, table):
        return await read_table(
            self._store,
            table,
            self._shard.part,
            timeout_seconds=READ_TIMEOUT_SECONDS,
        )

    async def _read_until_done(self, table):
        while True:
            outcome = await self._read_and_renew(table)
            if isinstance(outcome, Done):
                return outcome.value
            await self._renew()
            await anyio.sleep(RETRY_SECONDS)

    async def _read_and_renew(self, table):
        """Return the outcome of a read; renews the leadership until it has ended."""
        outcome, is_done = None, anyio.Event()

        async def read():
            nonlocal outcome
            outcome = await self._read(table)
            is_done.set()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(read)
            while not is_done.is_set():
                with anyio.move_on_after(RENEWAL_INTERVAL_SECONDS):
                    await is_done.wait()
                if not is_done.is_set():
                    await self._renew()
        return outcome

    async def _renew(self):
        await self._chain.commit(expect={}, puts={})

    def _apply_rows(self, rows, progress_rows):
        """Add the jobs of rows, and their progress from its rows by job."""
        cancelled_ids = {
            job_id
            for job_id, is_cancel in (
                parse_job_key(row.key.key) for row in rows if not row.is_removed
            )
            if is_cancel
        }
        for row in rows:
            job_id, is_cancel = parse_job_key(row.key.key)
            if is_cancel or row.key.part != self._shard.part:
                continue
            if row.is_removed:
                self._seen_ids.discard(job_id)
                continue
            if job_id in self._seen_ids:
                continue
            self._seen_ids.add(job_id)
            try:
                self._add_job(
                    decode_submission(row.value),
                    progress_rows.get(job_id, {}),
                    is_cancelled=job_id in cancelled_ids,
                )
            except RecordError as error:
                log_event("row", outcome="unreadable", row=str(row.key), reason=error)
            except Exception as error:  # rows that contradict each other
                log_error("row", outcome="unusable", error=error, row=str(row.key))
        for job_id in sorted(cancelled_ids):
            if self._shard_state.cancel_job(job_id):
                log_event("cancel", outcome="noted", job_id=job_id)
        self._note_changes()

    def _add_job(self, submission, progress_rows, *, is_cancelled):
        """Add a job with its stored progress; raises `RecordError`.

        Without all of its progress, tasks that are done would run again.
        """
        progress, stored_rows = restore_progress(submission, progress_rows)
        self._shard_state.add_job(
            submission,
            now_seconds=self._clocks.steady(),
            progress=progress,
            stored_rows=stored_rows,
            is_cancelled=is_cancelled,
        )


def group_progress(rows):
    """Return the values of progress rows by job id and by name in the job."""
    grouped = {}
    for row in rows:
        job_id, name = parse_progress_key(row.key.key)
        grouped.setdefault(job_id, {})[name] = row.value
    return grouped
