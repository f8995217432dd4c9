"""Open connections to the store go silent; a job is cancelled in the calm after it."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_2"))

from deployment import (  # noqa: E402
    BOUNDS,
    IP,
    CannotRunError,
    free_ports,
    make_configuration,
    run_case,
    wait_until,
)

WORKERS_COUNT = 4
CANCELLED = "00000000000000c1"
OTHER = "00000000000000c2"
# Handed in right after the connections went silent, and in the calm after that.
EARLY = [f"00000000000000d{number}" for number in range(3)]
URGENT = "00000000000000e0"
STABLE_SECONDS = BOUNDS["stable_window_ms"] / 1000
STOP_SECONDS = (BOUNDS["cancel_ms"] + BOUNDS["stop_timeout_ms"]) / 1000
RECLAIM_SECONDS = BOUNDS["reclaim_ms"] / 1000
PENDING_SECONDS = BOUNDS["visible_ms"] / 1000 + 2.0
# Granted beyond each bound for the time that a stand-in takes.
MARGIN_SECONDS = 0.1
STEP = {"count": 1, "gpu": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 30000}


def make_job(seconds):
    """Return a job of one task."""
    return {"spec": json.dumps({"seconds": seconds}), "steps": [STEP]}


async def start_all(deployment):
    """Start the stand-ins and two instances, each with a proxy before the store."""
    await deployment.start_store()
    await deployment.configure(make_configuration(2, priority=0))
    for number in range(WORKERS_COUNT):
        deployment.start_worker(f"w{number}")
    proxies = []
    for number, port in enumerate(free_ports(2)):
        words = (IP, str(port), deployment.store)
        proxies.append(deployment.spawn_stand_in("proxy.py", *words))
        await deployment.start_instance(number, store=f"{IP}:{port}")
    await deployment.wait_ready()
    return proxies


async def ask_pending(deployment, accepted_at, until):
    """Ask both instances for the count of waiting jobs; returns what is wrong."""
    broken = []
    while time.time() < until:
        await asyncio.sleep(0.1)
        for number in range(2):
            asked_at = time.time()
            status, answer = await deployment.request("GET", "", number=number)
            begun = {name for name in accepted_at if deployment.starts(name)}
            waiting_count = sum(
                asked_at - at > PENDING_SECONDS + MARGIN_SECONDS
                for name, at in accepted_at.items()
                if name not in begun
            )
            if status == 200 and answer["pending"] < waiting_count / 2:
                broken.append(
                    f"MIXED: pending is {answer['pending']}; {waiting_count} jobs were "
                    f"accepted over {PENDING_SECONDS} s before and have not begun"
                )
    return broken


async def wait_for(deployment, find, name):
    """Wait for a line of the record; returns its time."""

    async def is_found():
        return find(name)

    return (await wait_until(is_found, f"{find.__name__} of {name}", seconds=20))[0][0]


async def case(deployment, has_trouble):
    """Run the case; returns what was broken."""
    proxies = await start_all(deployment)
    await asyncio.sleep(4.0)
    await deployment.submit(CANCELLED, make_job(60.0))
    await wait_for(deployment, deployment.starts, CANCELLED)
    await asyncio.sleep(1.0)
    await deployment.submit(OTHER, make_job(60.0))
    await asyncio.sleep(0.05)
    silent_at = time.time()
    if has_trouble:
        for proxy in proxies:
            proxy.send_signal(signal.SIGUSR1)
        deployment.note("case", "the open connections to the store are silent")
    accepted_at = {}
    for name in EARLY:
        status, _ = await deployment.request("POST", name, make_job(1.0))
        if status == 200:
            accepted_at[name] = time.time()
    # From here on, machines are in touch and no disruption is near.
    await asyncio.sleep(silent_at + STABLE_SECONDS + 0.05 - time.time())
    deployment.note("case", "3 s without a disruption have passed")
    status, _ = await deployment.request("DELETE", CANCELLED)
    cancelled_at = time.time()
    if status != 200:
        raise CannotRunError(f"the cancel was answered with {status}")
    await deployment.submit(URGENT, make_job(1.0))
    urgent_at = time.time()
    broken = await ask_pending(deployment, accepted_at, silent_at + 8.0)
    stop_seconds = await wait_for(deployment, deployment.ends, CANCELLED) - cancelled_at
    start_seconds = await wait_for(deployment, deployment.starts, URGENT) - urgent_at
    deployment.note("case", f"{CANCELLED} ended {stop_seconds:.2f} s after its cancel")
    deployment.note("case", f"{URGENT} began {start_seconds:.2f} s after its answer")
    if stop_seconds > STOP_SECONDS + MARGIN_SECONDS:
        broken.append(
            f"UNASKED: a task ran on for {stop_seconds:.2f} s after the cancel of its "
            f"job; {STOP_SECONDS} s are allowed"
        )
    if start_seconds > RECLAIM_SECONDS + MARGIN_SECONDS:
        broken.append(
            f"RECLAIM: a job within the guarantee began after {start_seconds:.2f} s; "
            f"{RECLAIM_SECONDS} s are allowed"
        )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
