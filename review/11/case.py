"""The leading instance is restarted after a job of short tasks without estimates."""

import asyncio
import signal
import time
from pathlib import Path

from review.stand_ins_3.deployment import find_leader, run_case

TASKS_COUNT = 24
TASK_MS = 300
# Many times the run time of all tasks.
SETTLE_SECONDS = 8.0
GRACE_SECONDS = 6.0
WATCH_SECONDS = 15.0


async def play(deployment, has_trouble):
    """Hand in a job and restart the leader; return which tasks were started again."""
    await deployment.start(workers=4, instances=2)
    steps = [{"count": TASKS_COUNT, "cpu": 1000, "mem_mb": 500}]
    job_id = await deployment.submit("urgent", steps, {"ms": TASK_MS})
    await asyncio.sleep(SETTLE_SECONDS)
    state = await deployment.read_state("urgent", job_id)
    events = [e for e in deployment.events() if e.get("task", "")[:16] == job_id]
    done = {e["task"]: e for e in events if e["event"] == "end" and e["how"] == "done"}
    deployment.note(f"{len(done)} of {TASKS_COUNT} tasks have ended done; {state}")
    for name in deployment.instances:
        for line in deployment.log_lines(name, "task: failed"):
            reason = line.partition('"reason": "')[2].partition(", /")[0]
            deployment.note(f"{name} has logged a failed task: {reason}")
    if has_trouble:
        leader = find_leader(deployment)
        other = next(name for name in deployment.instances if name != leader)
        deployment.note(f"the leading instance, {leader}, gets SIGTERM")
        deployment.kill(leader, signal.SIGTERM)
        end = time.monotonic() + GRACE_SECONDS
        process = deployment.processes[leader]
        while time.monotonic() < end and process.poll() is None:
            await asyncio.sleep(0.1)
        if process.poll() is None:
            deployment.kill(leader)
        deployment.note(f"{leader} has ended and is started again")
        deployment.start_instance(leader)
    else:
        other = "edge-1"
    await asyncio.sleep(WATCH_SECONDS)
    await deployment.read_state("urgent", job_id, instance=other)
    acknowledged = {}
    for event in deployment.events():
        if event["event"] == "taken_note_of":
            acknowledged[event["worker"]] = event["number"]
    again = sorted(
        event["task"]
        for event in deployment.starts_of(job_id)
        if event["task"] in done
        and event["at"] > done[event["task"]]["at"]
        and acknowledged.get(done[event["task"]]["worker"], 0)
        >= done[event["task"]]["number"]
    )
    if again:
        return (
            f"started again after an end `done` that was taken note of: "
            f"{', '.join(again)}"
        )
    return ""


if __name__ == "__main__":
    run_case(play, Path(__file__).with_name("record.txt"))
