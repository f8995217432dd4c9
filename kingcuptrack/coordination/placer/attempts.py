"""Attempts: one gang from its reservations to its outcome.

An attempt reserves capacity at every worker, claims the job row, and then starts the
tasks. It ends with the outcome of the job, or without one once no worker holds it.
"""

import random
import time

import anyio
import attrs
from loguru import logger

from ...outcomes import Done, Refused
from ...state.placer.jobs import FINAL_PHASES, Phase, Urgency
from .gangs import gang_progress
from .job_table import NOT_RUN_PHASES
from .open_jobs import GangEnded, JobDropped, JobEnded, make_answer, make_row

# Delays between writes of a final row. While the table does not answer, the poll of
# the configuration tests it for all jobs, so that an outage causes no write per job.
RECORD_RETRY_MINIMUM_SECONDS = 0.5
RECORD_RETRY_MAXIMUM_SECONDS = 4.0
TABLE_CHECK_INTERVAL_SECONDS = 0.5


async def run_attempt(context, watch, job, run):
    """Run an attempt and post the event that ends it to the placer's mailbox."""
    try:
        ended = await _execute(context, watch, job, run)
    except Exception:  # an error in one attempt must not stop the others
        logger.exception("attempt {} of job {} failed", run.key.token, job.job_id)
        run.request_stop("internal error")
        ended = await _stop(context, job, run, failed_worker_ids=())
    finally:
        watch.remove_run(run)
    context.mailbox.post(ended)


async def record_final(context, job, row):
    """Write a final row.

    Returns
    -------
    answer : JobAnswer or None
        Taken from the stored row, if it was final before this write. None if the row
        belongs to another attempt.
    is_written : bool
        Whether the row in the table is final and the answer agrees with it.
    """
    outcome = await context.job_table.finish(row, expected_version=job.row_version)
    if isinstance(outcome, Done):
        job.row_version = outcome.value.version
        return make_answer(row, is_recorded=True), True
    if isinstance(outcome, Refused) and outcome.code == "conflict":
        current = outcome.detail
        results = await context.job_table.read_results(current.row)
        if isinstance(results, Done):
            final_row = attrs.evolve(current.row, results=results.value)
            return make_answer(final_row, is_recorded=True), True
    if isinstance(outcome, Refused) and outcome.code == "superseded":
        return None, False
    return make_answer(row, is_recorded=False), False


async def record_until_written(context, job, row):
    """Write a final row, repeating until the table accepts it.

    Returns the answer, or None if the row belongs to another attempt.
    """
    delay_seconds = RECORD_RETRY_MINIMUM_SECONDS
    while True:
        answer, is_written = await record_final(context, job, row)
        if is_written or answer is None:
            return answer
        # Jitter spreads the writes of jobs that ended during the same outage.
        await anyio.sleep(delay_seconds * random.uniform(0.5, 1.0))
        while context.configuration.is_table_silent():
            await anyio.sleep(TABLE_CHECK_INTERVAL_SECONDS * random.uniform(0.5, 1.0))
        delay_seconds = min(2 * delay_seconds, RECORD_RETRY_MAXIMUM_SECONDS)


async def finish_waiting_job(context, job, *, phase, reason):
    """Record the outcome of a job that holds no worker, and post the event."""
    row = make_row(job, phase=phase, data_centre=context.data_centre, reason=reason)
    answer, is_written = await record_final(context, job, row)
    if not is_written and answer is not None:
        if not job.row_version and not job.may_have_row:
            context.mailbox.post(_job_ended(job, answer))
        answer = await record_until_written(context, job, row)
    context.mailbox.post(_job_ended(job, answer))


def not_run_phase(job, phase):
    """Return ``phase``, or unknown if the job may have run.

    A job without a row may have been accepted and run by another data centre.
    """
    return Phase.UNKNOWN if job.may_have_run or not job.row_version else phase


def _job_ended(job, answer, **fields):
    if answer is None:
        reason = "the row belongs to another attempt"
        return JobDropped(job_id=job.job_id, reason=reason)
    return JobEnded(job_id=job.job_id, answer=answer, **fields)


async def _execute(context, watch, job, run):
    if not run.is_started and not run.stop_reason:
        ended = await _start(context, watch, job, run)
        if ended is not None:
            return ended
        watch.reschedule_polls(run)
    while not run.stop_reason:
        now_seconds = time.monotonic()
        progress = gang_progress(run, now_seconds=now_seconds)
        if progress == "finished":
            return await _finish(context, job, run)
        if progress != "running":
            run.request_stop(f"gang {progress}")
            failed_worker_ids = _failed_worker_ids(run)
            return await _stop(
                context,
                job,
                run,
                failed_worker_ids=failed_worker_ids,
                is_task_failed=progress == "failed",
            )
        changed = run.changed
        with anyio.move_on_after(run.lease_end_seconds() - now_seconds):
            await changed.wait()
    return await _stop(context, job, run, failed_worker_ids=())


async def _start(context, watch, job, run):
    """Reserve, claim and start; return the event if that ends the attempt."""
    calls = context.gang_calls
    reason = await _record_earlier_token(context, job, run)
    if reason:
        # Without stop requests, which would end the gang of another placer.
        if job.is_superseded:
            return JobDropped(job_id=job.job_id, reason=reason)
        return GangEnded(run=run, reason=reason)
    job.is_token_unrecorded = True
    outcomes = await calls.reserve(run, row_version=job.row_version)
    unreserved_ids = _unsuccessful_worker_ids(outcomes)
    if unreserved_ids:
        refused_ids = _refusing_worker_ids(outcomes)
        watch.mark_leaving_workers(outcomes)
        return await _end_unstarted_attempt(
            context,
            job,
            run,
            reason=f"not reserved at {', '.join(unreserved_ids)}",
            excluded_worker_ids=refused_ids,
            failed_worker_ids=tuple(sorted(set(unreserved_ids) - set(refused_ids))),
            refused_worker_ids=refused_ids,
        )
    reason = await _claim(context, job, run)
    if not reason and not calls.leases_outlast_start(run):
        reason = "leases about to lapse"
    reason = reason or run.stop_reason
    if reason:
        return await _end_unstarted_attempt(context, job, run, reason=reason)
    # Checked as late as possible, since the data centre may have been taken out of
    # service after the placement decision.
    reason = _start_refusal_reason(context, run)
    if reason:
        return await _end_unstarted_attempt(
            context, job, run, reason=reason, is_refused_by_data_centre=True
        )
    leaving_ids = context.membership.select_leaving(run.members)
    if leaving_ids:
        return await _end_unstarted_attempt(
            context,
            job,
            run,
            reason=f"workers are leaving: {', '.join(leaving_ids)}",
            refused_worker_ids=leaving_ids,
        )
    # A take-out is acknowledged only once no start that was decided before it is in
    # progress. A start without an answer counts as in progress until its worker has
    # acknowledged the stop.
    with context.configuration.hold_acknowledgements():
        outcomes = await calls.start(run)
        failed_ids = _unsuccessful_worker_ids(outcomes)
        if failed_ids:
            await calls.stop(run)
    if failed_ids:
        run.request_stop(f"not started at {', '.join(failed_ids)}")
        return await _stop(context, job, run, failed_worker_ids=failed_ids)
    run.mark_started(time.monotonic())
    job.status = "running"
    waited_seconds = time.monotonic() - job.queued_seconds
    context.metrics.timing(f"start.{job.spec.urgency}", 1000.0 * waited_seconds)
    return None


async def _end_unstarted_attempt(
    context, job, run, *, reason, excluded_worker_ids=(), **fields
):
    """End an attempt that no worker has started.

    Workers in ``excluded_worker_ids`` hold no reservation of the attempt.
    """
    await context.gang_calls.stop(run, excluded_worker_ids=excluded_worker_ids)
    if job.is_superseded:
        return JobDropped(job_id=job.job_id, reason=reason)
    await _withdraw_claim(context, job)
    return GangEnded(run=run, reason=reason, **fields)


def _start_refusal_reason(context, run):
    """Return why this data centre may not start the gang now, or ''."""
    if context.is_out_of_service():
        return "data centre is out of service"
    if not context.membership.is_placer():
        return "instance is no longer the placer"
    if context.configuration.is_isolated():
        spec = run.gang.job.spec
        is_allowed = spec.is_repeatable and (
            run.gang.is_guaranteed or spec.urgency == Urgency.URGENT
        )
        if context.settings.isolated_start_policy == "stop" or not is_allowed:
            return "data centre is isolated"
    return ""


async def _record_earlier_token(context, job, run):
    """Record the token of an attempt that no row shows; return a reason if that fails.

    Another placer may have claimed the job with an equal or older token, and a
    reservation with a newer one would end its tasks. After this write, it cannot claim
    the job with these tokens any more.
    """
    if not job.row_version or not job.is_token_unrecorded:
        return ""
    if job.spec.is_repeatable and context.configuration.is_table_silent():
        return ""
    phase = Phase.CLAIMED if job.is_claimed else Phase.QUEUED
    row = make_row(job, phase=phase, data_centre=context.data_centre, run=run)
    row = attrs.evolve(row, attempt=run.key.token - 1)
    outcome = await context.job_table.write(row, expected_version=job.row_version)
    if isinstance(outcome, Refused) and outcome.code == "conflict":
        return await _resolve_conflict(context, job, row, outcome.detail)
    if isinstance(outcome, Done):
        _store_row(job, outcome)
        return ""
    if job.spec.is_repeatable:
        return ""
    return f"earlier attempt not recorded: {outcome.message}"


async def _claim(context, job, run):
    """Record the attempt in the job row; return a reason if it may not start."""
    if job.spec.is_repeatable and context.configuration.is_table_silent():
        return ""
    row = make_row(job, phase=Phase.CLAIMED, data_centre=context.data_centre, run=run)
    if job.row_version:
        outcome = await context.job_table.write(row, expected_version=job.row_version)
    else:
        # Held in memory only so far. The insertion also adds the job to the list of
        # open jobs, without which no scan and no takeover would find its row.
        outcome = await context.job_table.insert(row)
    if isinstance(outcome, Refused) and outcome.code == "conflict":
        return await _resolve_conflict(context, job, row, outcome.detail)
    if isinstance(outcome, Done):
        _store_row(job, outcome)
        return ""
    if job.spec.is_repeatable:
        # While the table is unavailable, only the workers' records prevent a second
        # attempt. That suffices, since only this data centre may start a job whose row
        # is assigned to it.
        return ""
    return f"claim not recorded: {outcome.message}"


async def _resolve_conflict(context, job, row, current):
    if current is None:
        return "the job row disappeared"
    if current.row.phase in FINAL_PHASES:
        job.row_version = current.version
        results = await context.job_table.read_results(current.row)
        if isinstance(results, Done):
            final_row = attrs.evolve(current.row, results=results.value)
            answer = make_answer(final_row, is_recorded=True)
            context.mailbox.post(JobEnded(job_id=job.job_id, answer=answer))
        else:
            job.is_superseded = True
        return "the job is final already"
    is_waiting_here = (
        current.row.phase == Phase.QUEUED
        and current.row.data_centre == context.data_centre
        and current.row.attempt < row.attempt
    )
    if not is_waiting_here:
        # The claim may also be this placer's own, if all answers to it were lost.
        job.is_superseded = True
        return "the job is claimed or moved elsewhere"
    outcome = await context.job_table.write(row, expected_version=current.version)
    if isinstance(outcome, Done):
        _store_row(job, outcome)
        return ""
    return "the job row changed again"


def _store_row(job, outcome):
    job.row_version = outcome.value.version
    job.is_claimed = outcome.value.row.phase == Phase.CLAIMED
    job.is_token_unrecorded = False


async def _withdraw_claim(context, job):
    """Set the row back to queued if the job certainly never ran.

    A takeover that finds a claimed row has to assume that the job may have run.
    """
    if job.is_claimed and not job.may_have_run and not job.spec.is_repeatable:
        row = make_row(job, phase=Phase.QUEUED, data_centre=context.data_centre)
        outcome = await context.job_table.write(row, expected_version=job.row_version)
        if isinstance(outcome, Done):
            job.row_version = outcome.value.version
            job.is_claimed = False


async def _finish(context, job, run):
    outcome = await context.gang_calls.collect_results(run)
    if not isinstance(outcome, Done):
        run.request_stop(f"results could not be read: {outcome.message}")
        return await _stop(context, job, run, failed_worker_ids=tuple(run.members))
    row = make_row(
        job,
        phase=Phase.DONE,
        data_centre=context.data_centre,
        run=run,
        results=outcome.value,
    )
    answer, is_written = await record_final(context, job, row)
    ended = _job_ended(job, answer, succeeded=True)
    if not is_written and answer is not None:
        # The answer is correct and complete, so that the caller need not wait for the
        # table. Workers keep the results until they are in the row.
        context.mailbox.post(ended)
        answer = await record_until_written(context, job, row)
        ended = _job_ended(job, answer, succeeded=True)
    await context.gang_calls.forget(run)
    return ended


async def _stop(context, job, run, *, failed_worker_ids, is_task_failed=False):
    """Stop every member; return the event for a new attempt or for an outcome."""
    is_checkpointed = False
    if run.is_checkpoint_wanted:
        is_checkpointed = await context.gang_calls.checkpoint(run)
    await context.gang_calls.stop(run)
    job.may_have_run = job.may_have_run or run.may_have_run
    may_rerun = (
        job.spec.is_repeatable
        or not job.may_have_run
        or (job.spec.is_checkpointable and is_checkpointed)
    )
    if may_rerun and not job.is_cancelled and not run.is_job_at_fault:
        await _withdraw_claim(context, job)
        return GangEnded(
            run=run,
            reason=run.stop_reason,
            failed_worker_ids=failed_worker_ids,
            is_task_failed=is_task_failed,
        )
    if job.is_cancelled:
        phase, reason = not_run_phase(job, Phase.CANCELLED), "cancelled"
    elif is_task_failed:
        phase, reason = Phase.FAILED, "a task reported an error"
    elif run.is_job_at_fault:
        phase, reason = Phase.FAILED, run.stop_reason
    else:
        phase, reason = Phase.UNKNOWN, run.stop_reason
    row = make_row(
        job, phase=phase, data_centre=context.data_centre, run=run, reason=reason
    )
    answer, is_written = await record_final(context, job, row)
    is_answered_after_write = phase in NOT_RUN_PHASES or job.is_cancelled
    if not is_written and answer is not None and is_answered_after_write:
        # Callers are answered only once the row is final: a later placer that found
        # the row open would run the job.
        answer = await record_until_written(context, job, row)
        is_written = True
    failures = {
        "failed_worker_ids": failed_worker_ids,
        "is_task_failed": is_task_failed,
    }
    ended = _job_ended(job, answer, **failures)
    if not is_written and answer is not None:
        context.mailbox.post(ended)
        answer = await record_until_written(context, job, row)
        ended = _job_ended(job, answer, **failures)
    return ended


def _unsuccessful_worker_ids(outcomes):
    return tuple(
        sorted(
            worker_id
            for worker_id, outcome in outcomes.items()
            if not isinstance(outcome, Done)
        )
    )


def _refusing_worker_ids(outcomes):
    """Return the ids of the workers that answered with a refusal."""
    return tuple(
        sorted(
            worker_id
            for worker_id, outcome in outcomes.items()
            if isinstance(outcome, Refused) and outcome.code != "unreachable"
        )
    )


def _failed_worker_ids(run):
    return tuple(
        member.worker_id
        for member in run.members.values()
        if member.phase not in ("running", "finished")
        or any(task.state == "failed" for task in member.tasks.values())
    )
