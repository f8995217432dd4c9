"""Jobs that a placer holds, and the events that end their attempts."""

import anyio
import attrs

from ...protocol.messages import JobAnswer
from ...state.placer.jobs import JobRow, JobSpec
from .gangs import GangRun


@attrs.define(kw_only=True)
class OpenJob:
    """A job that a placer holds.

    ``row_version`` is 0 while the job is held in memory only; ``may_have_row`` is set
    if a row may exist nevertheless. ``queued_seconds`` is the time at which the job was
    first queued in any data centre, ``received_seconds`` the time at which this placer
    received it. ``token`` is the newest fencing token used, which may exceed the
    attempt in the row; ``is_token_unrecorded`` is set then if this placer used it.
    ``may_have_run`` covers all attempts. ``is_superseded`` is set when the row is found
    to belong to another attempt. ``status`` is queued, starting, running, stopping,
    delayed (to be queued again), moving, ending (the outcome is being recorded) or
    final.
    """

    job_id: str
    spec: JobSpec
    queued_seconds: float
    received_seconds: float = 0.0
    row_version: int = 0
    may_have_row: bool = False
    is_claimed: bool = False
    token: int = 0
    is_token_unrecorded: bool = False
    status: str = "queued"
    run: GangRun | None = None
    may_have_run: bool = False
    is_cancelled: bool = False
    is_superseded: bool = False
    answer: JobAnswer | None = None
    final_seconds: float = 0.0
    final: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.frozen(kw_only=True)
class GangEnded:
    """Event: an attempt ended without an outcome and holds no worker.

    Workers in ``failed_worker_ids`` failed or did not answer, those in
    ``refused_worker_ids`` refused the attempt. ``is_refused_by_data_centre`` is set if
    the data centre may not start the gang at present.
    """

    run: GangRun
    reason: str
    failed_worker_ids: tuple[str, ...] = ()
    refused_worker_ids: tuple[str, ...] = ()
    is_task_failed: bool = False
    is_refused_by_data_centre: bool = False


@attrs.frozen(kw_only=True)
class JobDropped:
    """Event: the row of a job belongs to another attempt or data centre."""

    job_id: str
    reason: str


@attrs.frozen(kw_only=True)
class JobEnded:
    """Event: a job has its final outcome."""

    job_id: str
    answer: JobAnswer
    succeeded: bool = False
    failed_worker_ids: tuple[str, ...] = ()
    is_task_failed: bool = False


def make_row(job, *, phase, data_centre, run=None, reason="", results=()):
    """Return the table row of a job in its present state.

    Parameters
    ----------
    job : OpenJob
    phase : Phase
    data_centre : str
    run : GangRun, optional
        Attempt that the row is about.
    reason : str
    results : tuple of TaskResult
    """
    return JobRow(
        job_id=job.job_id,
        spec=job.spec,
        phase=phase,
        data_centre=data_centre,
        attempt=run.key.token if run is not None else job.token,
        owner_id=run.key.holder if run is not None else "",
        worker_ids=tuple(run.gang.worker_ids) if run is not None else (),
        reason=reason,
        results=results,
    )


def make_answer(row, *, is_recorded):
    """Return the answer to callers for a final row."""
    return JobAnswer(
        is_known=True,
        job_id=row.job_id,
        phase=row.phase,
        attempt=row.attempt,
        reason=row.reason,
        results=row.results,
        is_recorded=is_recorded,
    )
