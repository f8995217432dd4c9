"""Tables and keys of the rows of a shard."""

import hashlib

from ..state.jobs.progress_parts import format_part
from .ports import RowKey

JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
LEADERSHIP_TABLE = "leadership"
PENDING_TABLE = "pending"
LOAD_TABLE = "load"
WITHDRAWALS_TABLE = "withdrawals"

_JOB_SUFFIX = "/job"
_CANCEL_SUFFIX = "/cancel"


def job_key(shard, job_id):
    """Return the key of the submission of a job."""
    return RowKey(table=JOBS_TABLE, part=shard.part, key=job_id + _JOB_SUFFIX)


def cancel_key(shard, job_id):
    """Return the key of the cancel mark of a job."""
    return RowKey(table=JOBS_TABLE, part=shard.part, key=job_id + _CANCEL_SUFFIX)


def withdrawal_key(shard, job_id, organisation_name):
    """Return the key of the mark that a job without a row was cancelled or refused.

    Each organisation has marks of its own, so that it affects its own jobs only. The
    name can have any length, and a key cannot.
    """
    digest = hashlib.sha256(organisation_name.encode()).hexdigest()[:16]
    return RowKey(table=WITHDRAWALS_TABLE, part=shard.part, key=f"{job_id}/{digest}")


def job_range(job_id):
    """Return the bounds of the keys of one job in the jobs table.

    The upper bound is exclusive; ``0`` is the character after ``/``.
    """
    return job_id + "/", job_id + "0"


def parse_job_key(key):
    """Return the job id of a row key, and whether it is a cancel mark."""
    job_id, _, suffix = key.partition("/")
    return job_id, f"/{suffix}" == _CANCEL_SUFFIX


def progress_key(shard, job_id, part=None):
    """Return the key of the progress of a job, or of a part of it."""
    key = job_id if part is None else f"{job_id}/{format_part(part)}"
    return RowKey(table=PROGRESS_TABLE, part=shard.part, key=key)


def parse_progress_key(key):
    """Return the job id of a row key, and the name of the part, empty for the head."""
    job_id, _, name = key.partition("/")
    return job_id, name


def leadership_key(shard):
    """Return the key of the leadership row."""
    return RowKey(table=LEADERSHIP_TABLE, part=shard.part, key="leader")


def pending_key(shard):
    """Return the key of the counts of waiting jobs."""
    return RowKey(table=PENDING_TABLE, part=shard.part, key="counts")


def load_view_key(shard):
    """Return the key of the load by service, class and organisation."""
    return RowKey(table=LOAD_TABLE, part=shard.part, key="view")


async def read_table(store, table, part, *, timeout_seconds):
    """Read all rows of a table in one partition; see `ports.Store.read`."""
    return await store.read(
        table=table, part=part, first="", last="", timeout_seconds=timeout_seconds
    )
