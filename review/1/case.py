"""A large job whose stored progress exceeds a row of the store, beside other jobs."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import OTHER_KEY, is_trouble, make_job, run_case  # noqa: E402

# The large job: steps that run one after the other, and the tasks of each. The program
# accepts up to 64 steps of up to 1,024 tasks.
STEPS_COUNT = 48
STEP_TASKS_COUNT = 240
USUAL_STEP_TASKS_COUNT = 24
LARGE_ID = "00000000000000aa"
# Time between the large job and the first small one.
LARGE_SECONDS = 3.0
SMALL_JOBS_COUNT = 8
SMALL_INTERVAL_SECONDS = 1.0
FINISH_SECONDS = 14.0


def make_large_job():
    """Return a chain of steps; the tasks of one step take a third of the capacity."""
    count = STEP_TASKS_COUNT if is_trouble() else USUAL_STEP_TASKS_COUNT
    step = {"count": count, "cpu": 1000, "mem_mb": 64, "seconds": 0.5}
    chain = [{**step, "after": [number]} for number in range(STEPS_COUNT - 1)]
    return make_job(step, *chain)


async def run(deployment):
    """Submit the large job, then small urgent jobs of another tenant."""
    await asyncio.sleep(4.0)
    status, _ = await deployment.send("POST", f"/batch/{LARGE_ID}", make_large_job())
    deployment.recorder.note("large_job", status=status)
    await asyncio.sleep(LARGE_SECONDS)
    job_ids = [f"{number:016x}" for number in range(1, SMALL_JOBS_COUNT + 1)]
    large = [f"/batch/{LARGE_ID}"] if status == 200 else []
    small = []
    for job_id in job_ids:
        body = make_job(
            {"count": 2, "cpu": 1000, "mem_mb": 512, "gpu": 1, "seconds": 1.0}
        )
        path = f"/urgent/{job_id}"
        status, _ = await deployment.send("POST", path, body, instance=1, key=OTHER_KEY)
        if status == 200:
            small.append(path)
        await asyncio.sleep(SMALL_INTERVAL_SECONDS)
    await asyncio.sleep(FINISH_SECONDS)
    findings = await deployment.find_lost(small, key=OTHER_KEY)
    findings += await deployment.find_lost(large)
    deployment.recorder.note(
        "store_refused",
        count=len(deployment.store.refused),
        last=deployment.store.refused[-1:],
    )
    return findings


if __name__ == "__main__":
    run_case(run, FOLDER)
