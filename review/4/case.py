"""A job that is cancelled before a late write of the store makes it exist."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import BOUNDS, is_trouble, make_job, run_case  # noqa: E402

JOBS_COUNT = 12
# Every fourth job's writes are late, and nothing else: below the share of 0.35.
LATE_EVERY_COUNT = 4
# The store does these writes 1 to 6 s later, without an answer.
LATE_SECONDS = 5.9
LOSS_SECONDS = 4.5
TASK_SECONDS = 40.0
CANCEL_SECONDS = BOUNDS["cancel_ms"] / 1000
STOP_SECONDS = BOUNDS["stop_timeout_ms"] / 1000
STABLE_SECONDS = BOUNDS["stable_window_ms"] / 1000


class LateWrites:
    """Makes the writes of some jobs late while it is on, and counts all writes."""

    def __init__(self, late_ids, recorder):
        self._late_ids = late_ids
        self._recorder = recorder
        self.is_on = False
        self.writes_count = 0
        self.late_count = 0

    def choose(self, transaction):
        """Return the delay of a transaction, None if it is done at once."""
        if not self.is_on:
            return None
        self.writes_count += 1
        job_ids = [
            item["key"].partition("/")[0]
            for item in transaction["puts"]
            if item["table"] == "jobs"
        ]
        if not set(job_ids) & self._late_ids:
            return None
        self.late_count += 1
        self._recorder.note("late_write", jobs=job_ids, seconds=LATE_SECONDS)
        return LATE_SECONDS


async def submit_and_cancel(deployment, job_id, cancelled):
    """Submit a job; its caller cancels it, whatever the answer was."""
    step = {"count": 2, "cpu": 1000, "mem_mb": 512, "gpu": 1, "seconds": TASK_SECONDS}
    body = make_job(step)
    path = f"/urgent/{job_id}"
    number = int(job_id, 16)
    await deployment.send("POST", path, body, instance=number % 3)
    status, _ = await deployment.send("DELETE", path, instance=(number + 1) % 3)
    if status in (200, 410):
        cancelled[job_id] = deployment.recorder.now(), status


async def run(deployment):
    """Submit and cancel jobs while the store does some writes late."""
    recorder = deployment.recorder
    job_ids = [f"{number:016x}" for number in range(1, JOBS_COUNT + 1)]
    late_ids = set(job_ids[::LATE_EVERY_COUNT]) if is_trouble() else set()
    late_writes = LateWrites(late_ids, recorder)
    deployment.store.choose_fault = late_writes.choose
    await asyncio.sleep(4.0)
    late_writes.is_on = True
    began_at_seconds = recorder.note("loss_begins")
    cancelled = {}
    async with asyncio.TaskGroup() as tasks:
        for job_id in job_ids:
            tasks.create_task(submit_and_cancel(deployment, job_id, cancelled))
    await asyncio.sleep(began_at_seconds + LOSS_SECONDS - recorder.now())
    late_writes.is_on = False
    recorder.note(
        "loss_ends", writes=late_writes.writes_count, late=late_writes.late_count
    )
    # The last late write is done, and the time of steady state has passed.
    calm_at_seconds = recorder.now() + LATE_SECONDS + STABLE_SECONDS
    judged_at_seconds = calm_at_seconds + CANCEL_SECONDS + STOP_SECONDS + 1.0
    await asyncio.sleep(judged_at_seconds - recorder.now())
    findings = []
    for job_id, (seconds, status) in sorted(cancelled.items()):
        starts = [
            start_seconds
            for start_seconds, _, task_run in deployment.starts
            if task_run.task.startswith(job_id)
        ]
        late = [start for start in starts if start > seconds + CANCEL_SECONDS]
        is_running = deployment.is_running(job_id)
        _, answer = await deployment.send("GET", f"/urgent/{job_id}")
        recorder.note(
            "judged",
            job=job_id,
            cancelled_at=round(seconds, 3),
            cancel_status=status,
            starts=[round(start, 3) for start in starts],
            is_running=is_running,
            answer=answer,
        )
        if late or is_running:
            findings.append(
                f"UNASKED: the cancelling of {job_id} was acknowledged with {status} "
                f"at {seconds:.1f} s; its tasks started at "
                f"{', '.join(f'{start:.1f} s' for start in starts)}, and "
                f"{'run' if is_running else 'do not run'} on at {recorder.now():.1f} s"
            )
    return findings


if __name__ == "__main__":
    run_case(run, FOLDER)
