"""Jobs: their specification, their rows in the table, phases and results."""

import hashlib
import json
from enum import StrEnum

import attrs
import cattrs

from .shapes import Shape

GANG_TASKS_LIMIT_COUNT = 256


class Urgency(StrEnum):
    """Urgency class of a job; each class has its own queue."""

    URGENT = "urgent"
    PATIENT = "patient"


class Phase(StrEnum):
    """Phase of a job row."""

    QUEUED = "queued"
    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    CANCELLED = "cancelled"


FINAL_PHASES = frozenset(
    {Phase.DONE, Phase.FAILED, Phase.UNKNOWN, Phase.REFUSED, Phase.CANCELLED}
)


@attrs.frozen(kw_only=True)
class JobSpec:
    """A job as submitted.

    ``declared_run_seconds`` is an estimate, on which nothing may depend for safety.
    """

    organisation: str
    tasks_count: int
    shape: Shape
    urgency: Urgency = Urgency.PATIENT
    is_repeatable: bool = True
    is_checkpointable: bool = False
    idempotency_key: str = ""
    declared_run_seconds: float = 60.0
    payload: str = ""


@attrs.frozen(kw_only=True)
class TaskResult:
    """Result of one task: a text, its length in bytes and its SHA-256 digest."""

    task_index: int
    body: str
    length_bytes: int
    sha256: str


@attrs.frozen(kw_only=True)
class JobRow:
    """State of a job in the table.

    ``attempt`` is the fencing token of the newest claim. ``worker_ids`` are the
    workers of that attempt: no other worker can run tasks of it.
    """

    job_id: str
    spec: JobSpec
    phase: Phase
    data_centre: str
    attempt: int = 0
    owner_id: str = ""
    worker_ids: tuple[str, ...] = ()
    reason: str = ""
    results: tuple[TaskResult, ...] = ()
    results_key: str = ""
    write_token: str = ""


def make_job_id(organisation, idempotency_key):
    """Return the id of a job, which is the same at every instance."""
    digest = hashlib.sha256(f"{organisation}\0{idempotency_key}".encode())
    return digest.hexdigest()[:32]


def spec_digest(spec):
    """Return a digest that is equal for equal submissions."""
    text = json.dumps(cattrs.unstructure(spec), sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def verify_result(result):
    """Return whether the length and digest of a task result match its text."""
    body = result.body.encode()
    return (
        len(body) == result.length_bytes
        and hashlib.sha256(body).hexdigest() == result.sha256
    )
