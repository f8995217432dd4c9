"""Job rows: insertion, claims and outcomes, each by compare-and-set.

The row decides who may run an attempt and which outcome is final. The table
``open-jobs`` lists the open jobs of each data centre, so that a takeover does not
read finished jobs: an entry is written before its row and deleted after the row
became final, hence an entry may be stale but no open row lacks one.
"""

import uuid

import attrs

from ..outcomes import Done, Refused, Unknown
from ..protocol.codecs import json_converter
from ..state.jobs import FINAL_PHASES, JobRow, Phase, TaskResult

JOBS_TABLE = "jobs"
OPEN_JOBS_TABLE = "open-jobs"

# Inline results are kept small, since takeovers read whole rows.
INLINE_RESULTS_LIMIT_BYTES = 32 * 1024

WRITE_RETRIES_COUNT = 2


@attrs.frozen(kw_only=True)
class VersionedJob:
    """A job row with the version of its table row."""

    row: JobRow
    version: int


class JobTable:
    """Job rows in the table service, results in the object store."""

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
            # Without its row, a stray entry of the list has no effect.
            return Refused(code="unavailable", message="the table is unavailable")
        return await self.write(row, expected_version=0)

    async def write(self, row, *, expected_version, retries_count=WRITE_RETRIES_COUNT):
        """Compare and set a row; Done holds the new `VersionedJob`."""
        row = attrs.evolve(row, write_token=str(uuid.uuid4()))
        outcome = await self._table.write_surely(
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

        A conflict with a row that is not final is resolved in favour of this
        outcome only if the attempt is the same or the row was never claimed.
        """
        row = await self._store_results(row)
        if row is None:
            return Unknown(message="the object store is unavailable")
        # The caller of this function repeats it until it succeeds.
        outcome = await self.write(
            row, expected_version=expected_version, retries_count=0
        )
        if isinstance(outcome, Refused) and outcome.code == "conflict":
            current = outcome.detail
            is_same = current is not None and (
                current.row.phase not in FINAL_PHASES
                and current.row.attempt <= row.attempt
            )
            if is_same:
                outcome = await self.write(row, expected_version=current.version)
        if isinstance(outcome, Done):
            await self.close_entry(row)
        return outcome

    async def close_entry(self, row):
        """Remove a final job from the list of open jobs of its data centre."""
        key = f"{row.data_centre}/{row.job_id}"
        await self._table.delete(OPEN_JOBS_TABLE, key)

    async def move(self, current, data_centre):
        """Assign a job that is not claimed to another data centre."""
        row = attrs.evolve(current.row, data_centre=data_centre, phase=Phase.QUEUED)
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
            await self.close_entry(current.row)
        return outcome

    async def list_open(self, data_centre, *, known_job_ids=frozenset()):
        """Return Done with the open `VersionedJob` list of a data centre.

        Rows of known jobs are not read and not returned.
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
            for entry in outcome.value:
                after = entry.key
                job_id = entry.key.removeprefix(prefix)
                if job_id in known_job_ids:
                    continue
                read = await self.read(job_id)
                if not isinstance(read, Done):
                    return read
                if read.value is None:
                    continue
                row = read.value.row
                if row.phase in FINAL_PHASES:
                    await self.close_entry(row)
                elif row.data_centre == data_centre:
                    jobs.append(read.value)

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


def _parse(table_row):
    if table_row.value is None:
        return Done(value=None)
    try:
        row = json_converter.structure(table_row.value, JobRow)
    except Exception as error:  # cattrs raises exception groups of many types
        return Unknown(message=f"malformed job row {table_row.key}: {error!r}")
    return Done(value=VersionedJob(row=row, version=table_row.version))
