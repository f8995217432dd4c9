"""A machine that is being stopped gets a SIGHUP while it still answers requests."""

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
    HOST,
    KEY,
    QUEUE,
    CannotRunError,
    make_configuration,
    run_case,
)

# Configurations come as on the users' sheet: one each 0.06 s for 1.5 s.
STORM_GAP_SECONDS = 0.06
STORM_SECONDS = 1.5
TERM_AFTER_SECONDS = 0.05
HANGUP_AFTER_SECONDS = 0.45
# Time within which a request has to be answered; clients wait for 3 s.
DEADLINE_SECONDS = 3.0
# Clients hand jobs in one after the other while the configurations come.
CLIENTS_COUNT = 6
CLIENT_GAP_SECONDS = 0.03
INSTANCES_COUNT = 4
# When the clients begin after a configuration was sent, one for each round. How long a
# submission is tried again depends on it.
PHASES_SECONDS = (0.04, 0.03, 0.05, 0.02, 0.045, 0.035, 0.025)
SLACK_SECONDS = BOUNDS["loss_slack_ms"] / 1000
STEP = {"count": 1, "gpu": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 1000}


async def send_configurations(deployment, first_version):
    """Write one configuration after the other, each a little different."""
    end = time.monotonic() + STORM_SECONDS
    version = first_version
    while time.monotonic() < end:
        sent_at = time.monotonic()
        configuration = make_configuration(version)
        configuration["routes"][0]["target_latency_ms"] = 1000 + version
        await deployment.configure(configuration)
        version += 1
        await asyncio.sleep(max(0.0, sent_at + STORM_GAP_SECONDS - time.monotonic()))


async def hand_in(deployment, name, address):
    """Send a submission on a connection of its own.

    Returns (seconds from its last byte to the end, status or None).
    """
    ip, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError as error:
        deployment.note("client", f"POST {QUEUE}{name}: {error!r}, nothing was sent")
        return 0.0, None
    body = json.dumps({"spec": json.dumps({"seconds": 0.5}), "steps": [STEP]})
    head = (
        f"POST {QUEUE}{name} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
        f"Deadline-Ms: {round(DEADLINE_SECONDS * 1000)}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write((head + body).encode())
    await writer.drain()
    sent_at = time.monotonic()
    status = None
    try:
        line = await asyncio.wait_for(reader.readline(), DEADLINE_SECONDS)
        status = int(line.split()[1]) if line else None
    except OSError as error:
        deployment.note("client", f"POST {QUEUE}{name}: {error!r}")
    except TimeoutError:
        status = 0
    seconds = time.monotonic() - sent_at
    writer.close()
    text = {None: "the connection ended without an answer", 0: "no answer yet"}
    result = text.get(status, f"answered with {status}")
    deployment.note("client", f"POST {QUEUE}{name}: {result} after {seconds:.3f} s")
    return seconds, status


async def play_round(deployment, number, has_trouble):
    """Stop one instance while configurations come; returns what was broken."""
    instance = deployment.instances[number % INSTANCES_COUNT]
    name = instance["front"]
    storm = asyncio.create_task(send_configurations(deployment, 2 + 100 * number))
    requests = []

    async def begin_requests():
        await asyncio.sleep(2 * STORM_GAP_SECONDS + PHASES_SECONDS[number])
        for client in range(CLIENTS_COUNT):
            job_id = f"00000000000{number:02x}1{client:02x}"
            task = hand_in(deployment, job_id, instance["front"])
            requests.append(asyncio.create_task(task))
            await asyncio.sleep(CLIENT_GAP_SECONDS)

    clients = asyncio.create_task(begin_requests())
    await asyncio.sleep(2 * STORM_GAP_SECONDS + TERM_AFTER_SECONDS)
    instance["process"].send_signal(signal.SIGTERM)
    deployment.note("platform", f"SIGTERM to {name}")
    await asyncio.sleep(HANGUP_AFTER_SECONDS - TERM_AFTER_SECONDS)
    if has_trouble:
        instance["settings"].write_text(instance["settings"].read_text() + "\n")
        instance["process"].send_signal(signal.SIGHUP)
        deployment.note("platform", f"SIGHUP to {name}")
    await clients
    results = await asyncio.gather(*requests)
    await storm
    end = time.monotonic() + BOUNDS["grace_s"]
    while instance["process"].poll() is None:
        if time.monotonic() > end:
            raise CannotRunError("the process has not ended within grace_s")
        await asyncio.sleep(0.05)
    status = instance["process"].poll()
    deployment.note("platform", f"the process of {name} ended with {status}")
    return [
        f"LOST: a request that was read had no answer when its connection ended "
        f"{seconds:.2f} s after its last byte; the process ended with {status}"
        for seconds, answer in results
        if answer is None and seconds > SLACK_SECONDS
    ]


async def case(deployment, has_trouble):
    """Run the case; returns what was broken."""
    await deployment.start_store()
    for number in range(2):
        deployment.start_worker(f"w{number}")
    for number in range(INSTANCES_COUNT):
        await deployment.start_instance(number)
    await deployment.wait_ready()
    await asyncio.sleep(4.0)
    for number in range(len(PHASES_SECONDS)):
        broken = await play_round(deployment, number, has_trouble)
        if broken:
            return broken
        deployment.begin_process(deployment.instances[number % INSTANCES_COUNT])
        await deployment.wait_ready()
        # The pages' excuses reach 1 s beyond grace_s.
        await asyncio.sleep(4.0)
    return []


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
