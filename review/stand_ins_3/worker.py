"""Stand-in of one worker.

    python3 -m review.stand_ins_3.worker OPTIONS

OPTIONS is a JSON object: ``id``, ``address``, ``store``, ``events`` (a file to which
events are appended as JSON lines), and optionally ``capacity``, ``service``, ``zone``,
``kind``, ``rack``, ``lease_ms``. The ``spec`` of a job is a JSON object whose ``ms`` is
the run time of its tasks; without it they last until they are stopped. Run N of a task
fails after the N-th item of ``fails_ms``, if there is one. Steps of gangs are not known
here, so that jobs must not have any. With ``PUT /stand-in/slow``, what begins from then
on takes ``x`` times as long.
"""

import asyncio
import json
import signal
import sys
import time

from .http import send, serve

HEARTBEAT_SECONDS = 1.5
STOP_SECONDS = 0.05
TICK_SECONDS = 0.02
ENDS_LIMIT_COUNT = 500
WAIT_LIMIT_SECONDS = 2.0
# Time from the start of a task until it is at work.
STARTUP_SECONDS = 0.3


class Worker:
    """State of a worker; its clock starts with the process."""

    def __init__(self, options):
        self.options = options
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.number = 0
        self.state = "ready"
        self.slow_factor = 1.0
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return the steady clock."""
        return int((time.monotonic() - self.started_at) * 1000)

    def note(self, event, **fields):
        """Append an event to the file of events."""
        item = {"at": time.monotonic(), "worker": self.options["id"], "event": event}
        with open(self.options["events"], "a", encoding="utf-8") as file:
            file.write(json.dumps(item | fields) + "\n")

    def end(self, task, how):
        """End a run and list its end."""
        item = self.running.pop(task)
        run = item["run"]
        self.number += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended.append([self.number, task, run, how, item["saved"]])
        self.note("end", task=task, run=run, how=how, number=self.number)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline_ms):
        """Take over a deadline, shortened to the longest lease."""
        longest_ms = self.clock_ms() + self.options.get("lease_ms", 6000)
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def start(self, body):
        """Answer a start order."""
        task, run = body["task"], body["run"]
        if body["fencing_token"] < self.token:
            return self.refuse("fence")
        self.token = body["fencing_token"]
        if body["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        self.extend(body["deadline_ms"])
        running = self.running.get(task)
        if running is not None and running["run"] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if running is not None or run <= self.highest.get(task, 0):
            return self.refuse("old")
        spec = json.loads(body["spec"])
        fails_ms = spec.get("fails_ms", [])
        is_failing = run <= len(fails_ms)
        ms = fails_ms[run - 1] if is_failing else spec.get("ms")
        self.running[task] = {
            "run": run,
            "saved": body.get("checkpoint", ""),
            "at": time.monotonic(),
            "seconds": None if ms is None else self.slow_factor * ms / 1000,
            "lasts": "ms" not in spec,
            "stop_at": None,
            "how": "failed" if is_failing else "done",
        }
        self.note("start", task=task, run=run, token=self.token)
        return 200, {"clock_ms": self.clock_ms()}

    def refuse(self, reason):
        """Return a refusal."""
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def stop(self, body):
        """Answer a stop order."""
        task, run = body["task"], body["run"]
        if body["fencing_token"] < self.token:
            return self.refuse("fence")
        self.token = body["fencing_token"]
        running = self.running.get(task)
        if running is not None and running["run"] == run:
            running["stop_at"] = running["stop_at"] or time.monotonic() + STOP_SECONDS
        else:
            self.highest[task] = max(run, self.highest.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        """Answer a poll, after an end if it waits for one."""
        if body["fencing_token"] < self.token:
            return self.refuse("fence")
        self.token = body["fencing_token"]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        seen = body["last_seen"]
        if seen and self.ended and self.ended[0][0] <= seen:
            self.note("taken_note_of", number=seen)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait_seconds = min(body.get("wait_ms", 0) / 1000, WAIT_LIMIT_SECONDS)
        if wait_seconds and not self.ended:
            try:
                async with asyncio.timeout(wait_seconds):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [
                [task, item["run"], item["saved"], self.percent(item)]
                for task, item in self.running.items()
            ],
            "ended": self.ended[:ENDS_LIMIT_COUNT],
        }

    def percent(self, item):
        """Return how far a run is; a task that lasts is at work with 100."""
        elapsed_seconds = time.monotonic() - item["at"]
        if item["lasts"]:
            return 100 if elapsed_seconds > STARTUP_SECONDS else 0
        return min(99, int(100 * elapsed_seconds / item["seconds"]))

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        if path == "/stand-in/slow":
            self.slow_factor = body["x"]
            return 200, {}
        if headers.get("target-instance") != self.options["id"]:
            return 421, {"clock_ms": self.clock_ms()}
        self.advance()
        if path == "/-/run-start":
            return self.start(body)
        if path == "/-/run-stop":
            return self.stop(body)
        if path == "/-/hold":
            return await self.hold(body)
        return 404, {"clock_ms": self.clock_ms()}

    def advance(self):
        """End what has lapsed, was stopped or is done."""
        now = time.monotonic()
        if self.running and self.clock_ms() > self.lease_ms:
            self.note("lapse")
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, item in list(self.running.items()):
            if item["stop_at"] is not None and now >= item["stop_at"]:
                self.end(task, "stopped")
            elif item["seconds"] is not None and now >= item["at"] + item["seconds"]:
                self.end(task, item["how"])

    async def tick(self):
        """Let time pass."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.advance()

    async def register(self):
        """Write the entry of this worker at the interval of the heartbeat."""
        options, sequence = self.options, 0
        while True:
            sequence += 1
            entry = {
                "service": options.get("service", "studio"),
                "address": options["address"],
                "zone": options.get("zone", "kumasi-a"),
                "version": "1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": self.born,
                "capacity": options.get(
                    "capacity", {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
                ),
                "labels": [options.get("kind", "a"), options.get("rack", "r1-1")],
            }
            path = f"/stand-in/servers/{options['id']}"
            await send("PUT", options["store"], path, entry, timeout_seconds=1.0)
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def _main(options):
    worker = Worker(options)
    worker.note("up", born=worker.born, kind=options.get("kind", "a"))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, sys.exit, 0)
    ip, port = options["address"].split(":")
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(worker.tick())
        tasks.create_task(worker.register())
        tasks.create_task(serve(worker.handle, ip, int(port)))


if __name__ == "__main__":
    asyncio.run(_main(json.loads(sys.argv[1])))
