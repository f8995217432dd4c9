"""Handover from a placer to the instance that becomes the placer after it."""

import functools

import anyio

from ...protocol.messages import JobAnswer, SubmitJob


async def hand_over(context, watch, jobs):
    """Send the jobs whose state is in no row to the new placer.

    The new placer may be active already. While this instance leaves, or if there is no
    new placer, running gangs get longer leases, so that they are still running when a
    replacement has started: an instance that leaves at the same time may still be
    listed as the new placer. The first renewal of a new placer replaces the lease.

    Parameters
    ----------
    context : PlacerContext
    watch : WorkerWatch
    jobs : list of OpenJob
    """
    settings = context.settings
    membership = context.membership
    placer = membership.placer_of(context.data_centre)
    call = functools.partial(
        membership.call, timeout_seconds=settings.peer_call_timeout_seconds
    )
    async with anyio.create_task_group() as task_group:
        if placer is None or membership.info.is_leaving:
            task_group.start_soon(watch.extend_leases, settings.handover_lease_seconds)
        if placer is not None:
            for submission in unclaimed_submissions(jobs):
                task_group.start_soon(call, placer, submission)
    for job in jobs:
        release_waiters(job)
    # Lets the tasks of waiting callers reply before they are cancelled.
    await anyio.sleep(0.01)


def unclaimed_submissions(jobs):
    """Return submissions of the open jobs whose newest attempt is in no row."""
    return [
        SubmitJob(
            job_id=job.job_id,
            spec=job.spec,
            row_version=job.row_version,
            may_have_row=job.may_have_row,
            attempt=job.token,
        )
        for job in jobs
        if not (job.is_claimed or job.is_cancelled or job.status == "ending")
        and (job.answer is None or not job.answer.is_recorded)
    ]


def release_waiters(job):
    """Answer the fronts that wait for a job, so that they ask for its new placer."""
    if job.answer is None:
        job.answer = JobAnswer(is_known=False)
    job.final.set()
