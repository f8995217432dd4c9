"""Table of job rows: insertions, claims and outcomes are written by compare-and-set.

The row decides which placer may run an attempt and which outcome is final. The table
``open-jobs`` lists the open jobs of each data centre, so that a takeover does not read
the rows of finished jobs. An entry is written before the job's row and deleted after
the row became final; hence an entry may be stale, but every open row has one.
"""

import dataclasses
import uuid

import anyio
import attrs

from ...outcomes import Done, Refused, Unknown
from ...protocol.codecs import json_converter
from ...state.placer.jobs import FINAL_PHASES, JobRow, Phase, TaskResult

# Outcomes which guarantee that the job never runs.
NOT_RUN_PHASES = frozenset({Phase.CANCELLED, Phase.REFUSED})

JOBS_TABLE = "jobs"
OPEN_JOBS_TABLE = "open-jobs"

# Results above this size go to the object store, since takeovers read whole rows.
INLINE_RESULTS_LIMIT_BYTES = 32 * 1024

WRITE_RETRIES_COUNT = 2

# Limit of concurrent row reads of one listing.
CONCURRENT_READS_COUNT = 16


@attrs.frozen(kw_only=True)
class VersionedJob:
    """A job row with the version of its table row."""

    row: JobRow
    version: int


class JobTable:
    """Client of the job rows in the table service and results in the object store."""

    def __init__(self, *, table, objects):
        self._table = table
        self._objects = objects

    async def read(self, job_id):
        """Return Done with a `VersionedJob`, or with None if there is no row."""
        outcome = await self._table.read(JOBS_TABLE, job_id)
        if not isinstance(outcome, Done):
            return outcome
        return _parse(outcome.value)

    async def insert(self, row):
        """Insert the row of a new job.

        Returns
        -------
        Done, Refused or Unknown
            Refused with code ``conflict`` holds the existing `VersionedJob`.
        """
        entry = {"job_id": row.job_id}
        outcome = await self._table.write(
            OPEN_JOBS_TABLE,
            f"{row.data_centre}/{row.job_id}",
            entry,
            expected_version=0,
        )
        is_listed = isinstance(outcome, Done) or (
            isinstance(outcome, Refused) and outcome.code == "conflict"
        )
        if not is_listed:
            # If the entry was written all the same, it has no effect without a row.
            return Refused(code="unavailable", message="the table is unavailable")
        return await self.write(row, expected_version=0)

    async def write(self, row, *, expected_version, retries_count=WRITE_RETRIES_COUNT):
        """Write a row by compare-and-set; Done holds the new `VersionedJob`."""
        row = attrs.evolve(row, write_token=str(uuid.uuid4()))
        outcome = await self._table.write_with_retries(
            JOBS_TABLE,
            row.job_id,
            json_converter.unstructure(row),
            expected_version=expected_version,
            retries_count=retries_count,
        )
        if isinstance(outcome, Done):
            return Done(value=VersionedJob(row=row, version=outcome.value))
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            current = _parse(outcome.detail)
            if isinstance(current, Unknown):
                return current
            return Refused(code="conflict", message=row.job_id, detail=current.value)
        return outcome

    async def finish(self, row, *, expected_version):
        """Make a row final, storing large results first.

        Returns
        -------
        Done, Refused or Unknown
            Refused with code ``conflict`` holds the final row stored before, with code
            ``superseded`` the open row of another attempt or data centre.
        """
        row = await self._store_results(row)
        if row is None:
            return Unknown(message="the object store is unavailable")
        # Without retries, since callers repeat the whole call until it succeeds.
        outcome = await self.write(
            row, expected_version=expected_version, retries_count=0
        )
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            current = outcome.detail
            if current is None:
                return Unknown(message="the job row disappeared")
            if current.row.phase not in FINAL_PHASES:
                if not _may_finish(row, current.row):
                    return dataclasses.replace(outcome, code="superseded")
                outcome = await self.write(row, expected_version=current.version)
                if not isinstance(outcome, Done):
                    return Unknown(message="the job row changed again")
        if isinstance(outcome, Done):
            await self.remove_from_open_jobs(row)
        return outcome

    async def remove_from_open_jobs(self, row):
        """Remove a final job from the list of open jobs of its data centre."""
        key = f"{row.data_centre}/{row.job_id}"
        await self._table.delete(OPEN_JOBS_TABLE, key)

    async def move(self, current, data_centre, *, attempt=0):
        """Assign a job that holds no worker to another data centre.

        ``attempt`` is the newest fencing token used, claimed or not.
        """
        row = attrs.evolve(
            current.row,
            data_centre=data_centre,
            phase=Phase.QUEUED,
            attempt=max(attempt, current.row.attempt),
        )
        entry = {"job_id": row.job_id}
        key = f"{data_centre}/{row.job_id}"
        outcome = await self._table.write(
            OPEN_JOBS_TABLE, key, entry, expected_version=0
        )
        if isinstance(outcome, Unknown) or (
            isinstance(outcome, Refused) and outcome.code != "conflict"
        ):
            return outcome
        outcome = await self.write(row, expected_version=current.version)
        if isinstance(outcome, Done):
            await self.remove_from_open_jobs(current.row)
        return outcome

    async def list_open(self, data_centre, *, known_job_ids=frozenset()):
        """Return Done with the list of open `VersionedJob` of a data centre.

        Rows of jobs in ``known_job_ids`` are neither read nor returned.
        """
        prefix = f"{data_centre}/"
        after = ""
        jobs = []
        while True:
            outcome = await self._table.list_rows(
                OPEN_JOBS_TABLE, prefix=prefix, after=after
            )
            if not isinstance(outcome, Done):
                return outcome
            if not outcome.value:
                return Done(value=jobs)
            after = outcome.value[-1].key
            job_ids = [entry.key.removeprefix(prefix) for entry in outcome.value]
            reads = await self._read_all(set(job_ids) - known_job_ids)
            for read in reads:
                if not isinstance(read, Done):
                    return read
                if read.value is None:
                    continue
                row = read.value.row
                if row.phase in FINAL_PHASES:
                    await self.remove_from_open_jobs(row)
                elif row.data_centre == data_centre:
                    jobs.append(read.value)

    async def _read_all(self, job_ids):
        reads = []

        async def read_job(job_id):
            async with limiter:
                # One failed read fails the whole listing, so that the remaining reads
                # are skipped.
                if all(isinstance(read, Done) for read in reads):
                    reads.append(await self.read(job_id))

        limiter = anyio.CapacityLimiter(CONCURRENT_READS_COUNT)
        async with anyio.create_task_group() as task_group:
            for job_id in sorted(job_ids):
                task_group.start_soon(read_job, job_id)
        return reads

    async def read_results(self, row):
        """Return Done with the results of a row, from the object store if large."""
        if not row.results_key:
            return Done(value=row.results)
        outcome = await self._objects.get(row.results_key)
        if not isinstance(outcome, Done):
            return outcome
        return Done(value=json_converter.loads(outcome.value, tuple[TaskResult, ...]))

    async def _store_results(self, row):
        size_bytes = sum(result.length_bytes for result in row.results)
        if size_bytes <= INLINE_RESULTS_LIMIT_BYTES:
            return row
        key = f"results/{row.job_id}/{row.attempt}"
        content = json_converter.dumps(row.results).encode()
        outcome = await self._objects.put(key, content)
        if not isinstance(outcome, Done):
            return None
        return attrs.evolve(row, results=(), results_key=key)


def _may_finish(row, current):
    """Return whether a final row may replace an open one of an unexpected version.

    A row that was claimed with the same fencing token may be replaced only by the
    owner of the claim. Otherwise, an outcome of a job that never ran may replace only
    a queued row of the same data centre, and any other outcome a row whose attempt is
    not newer.
    """
    if current.phase == Phase.CLAIMED and current.attempt == row.attempt:
        return current.owner_id == row.owner_id
    if row.phase in NOT_RUN_PHASES:
        return current.phase == Phase.QUEUED and current.data_centre == row.data_centre
    return current.attempt <= row.attempt


def _parse(table_row):
    if table_row.value is None:
        return Done(value=None)
    try:
        row = json_converter.structure(table_row.value, JobRow)
    except Exception as error:  # cattrs raises exception groups of many types
        return Unknown(message=f"malformed job row {table_row.key}: {error!r}")
    return Done(value=VersionedJob(row=row, version=table_row.version))
