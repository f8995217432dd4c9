"""An entry of another writer in the list of workers, beside the entries of workers."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import is_trouble, make_job, run_case  # noqa: E402

FOREIGN_ID = "i-not-a-worker"
# Nested arrays in the foreign entry, which has a few kilobytes.
NESTING_COUNT = 2000
JOBS_COUNT = 6
INTERVAL_SECONDS = 0.5
FINISH_SECONDS = 14.0


def make_foreign_entry():
    """Return the bytes of an entry that names no worker."""
    if is_trouble():
        nested = "[" * NESTING_COUNT + "]" * NESTING_COUNT
        return b'{"note":' + nested.encode() + b"}"
    # The same size, without the nesting: also an entry that can't be used.
    return json.dumps({"note": "x" * 2 * NESTING_COUNT}).encode()


async def submit(deployment, numbers):
    """Submit small urgent jobs; returns the paths of those that were accepted."""
    accepted = []
    for number in numbers:
        job_id = f"{number:016x}"
        step = {"count": 2, "cpu": 1000, "mem_mb": 512, "gpu": 1, "seconds": 1.0}
        path = f"/urgent/{job_id}"
        status, _ = await deployment.send("POST", path, make_job(step))
        if status == 200:
            accepted.append(path)
        await asyncio.sleep(INTERVAL_SECONDS)
    return accepted


async def run(deployment):
    """Submit jobs before and after the foreign entry appears."""
    await asyncio.sleep(4.0)
    paths = await submit(deployment, range(1, 1 + JOBS_COUNT))
    entry = make_foreign_entry()
    await deployment.store.put("servers", FOREIGN_ID, entry)
    deployment.recorder.note("foreign_entry", size_bytes=len(entry))
    await asyncio.sleep(3.0)
    paths += await submit(deployment, range(11, 11 + JOBS_COUNT))
    await asyncio.sleep(FINISH_SECONDS)
    return await deployment.find_lost(paths)


if __name__ == "__main__":
    run_case(run, FOLDER)
