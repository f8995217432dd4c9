"""Stand-in of a worker: one process is one life of the worker.

    python3 worker.py SETTINGS

SETTINGS is JSON with ``id``, ``address``, ``service``, ``zone``, ``labels``,
``capacity``, ``store``, ``record`` and ``heartbeat_ms``. The worker first writes its
entry to the store and then begins to serve. ``spec`` of a job is JSON with ``seconds``,
the time that a task works, or null if it works until it is stopped, and optionally
``fails``, the number of its first runs that end as failed. ``lives`` are the times
after which the runs of a task without an end fail, one for each run. There are no
gangs.
"""

import asyncio
import contextlib
import json
import sys
import time

from record import note
from wire import call, serve

LONGEST_LEASE_MS = 6000
STOP_SECONDS = 0.1
LONGEST_WAIT_MS = 2000
ENDS_COUNT = 500
TICK_SECONDS = 0.02


class Worker:
    """State of one life of the worker."""

    def __init__(self, settings):
        self.settings = settings
        self.born = round(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.ended = []
        self.ends_count = 0
        self.highest = {}

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.began) * 1000)

    def note(self, text):
        """Append a line to the record."""
        note(self.settings["record"], self.settings["id"], text)

    def entry(self, sequence):
        """Return what the worker says of itself."""
        settings = self.settings
        return {
            "service": settings["service"],
            "address": settings["address"],
            "zone": settings["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": settings["capacity"],
            "labels": settings["labels"],
            "born": self.born,
            "sequence": sequence,
        }

    async def register(self, sequence):
        """Write the entry to the store."""
        row = {"table": "servers", "key": self.settings["id"]}
        row |= {"value": self.entry(sequence), "is_noted": sequence == 1}
        await call(self.settings["store"], "POST", "/stand-in/put", row)

    async def heartbeat(self):
        """Write the entry again at the usual interval."""
        sequence = 1
        while True:
            await asyncio.sleep(self.settings["heartbeat_ms"] / 1000)
            sequence += 1
            with contextlib.suppress(OSError, TimeoutError):
                await self.register(sequence)

    async def advance(self):
        """End the runs that are due, and all runs when the lease has lapsed."""
        while True:
            now = time.monotonic()
            for key, run in list(self.running.items()):
                if self.clock_ms() >= self.deadline_ms:
                    self.end(key, "lapsed")
                elif run["stop_at"] is not None and now >= run["stop_at"]:
                    self.end(key, "stopped")
                elif run["end_at"] is not None and now >= run["end_at"]:
                    self.end(key, run["how"])
            await asyncio.sleep(TICK_SECONDS)

    def end(self, key, how):
        """End a run and list its end."""
        del self.running[key]
        task, run = key
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ends_count += 1
        self.ended.append([self.ends_count, task, run, how, ""])
        self.note(f"end of {task} run {run}: {how}")

    def take_deadline(self, body):
        """Extend the lease; it never shortens, and a longer one is cut."""
        if "deadline_ms" in body:
            latest_ms = self.clock_ms() + LONGEST_LEASE_MS
            deadline_ms = min(body["deadline_ms"], latest_ms)
            self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def start(self, body):
        """Handle an order to start a run."""
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self.refuse("late")
        self.take_deadline(body)
        if (task, number) in self.running:
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.highest.get(task, 0):
            return self.refuse("old")
        work = json.loads(body["spec"])
        now = time.monotonic()
        seconds = life = work["seconds"]
        has_failure = number <= work.get("fails", 0)
        if number <= len(work.get("lives", ())):
            life, has_failure = work["lives"][number - 1], True
        self.running[task, number] = {
            "began": now,
            "end_at": None if life is None else now + life,
            "how": "failed" if has_failure else "done",
            "seconds": seconds,
            "stop_at": None,
        }
        labels = ",".join(self.settings["labels"])
        self.note(f"start of {task} run {number} on labels {labels}")
        return 200, {"clock_ms": self.clock_ms()}

    def refuse(self, reason):
        """Return a refusal."""
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def stop(self, body):
        """Handle an order to stop a run."""
        task, number = body["task"], body["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get((task, number))
        if run is not None and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + STOP_SECONDS
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        """Handle a renewal of the lease, which may wait for an end."""
        self.take_deadline(body)
        self.ended = [end for end in self.ended if end[0] > body["last_seen"]]
        wait_ms = min(body.get("wait_ms", 0), LONGEST_WAIT_MS)
        until = time.monotonic() + wait_ms / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(TICK_SECONDS)
        running = [
            [task, number, "", self.percent(run)]
            for (task, number), run in self.running.items()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:ENDS_COUNT],
        }

    def percent(self, run):
        """Return the share of the work that is done; 100 if it has no end."""
        if run["seconds"] is None:
            return 100
        share = (time.monotonic() - run["began"]) / max(run["seconds"], 0.001)
        return min(99, int(100 * share))

    async def handle(self, method, path, query, headers, body):
        """Handle a request."""
        if headers.get("target-instance", self.settings["id"]) != self.settings["id"]:
            return 421, {}
        if path not in ("/-/run-start", "/-/run-stop", "/-/hold"):
            return 404, {}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.refuse("fence")
        self.token = token
        if path == "/-/run-start":
            return self.start(body)
        if path == "/-/run-stop":
            return self.stop(body)
        return await self.hold(body)


async def main(settings):
    """Register, then serve until the process is ended."""
    worker = Worker(settings)
    await worker.register(1)
    ip, _, port = settings["address"].rpartition(":")
    worker.note(f"a new life, born {worker.born}, labels {settings['labels']}")
    await asyncio.gather(
        serve(ip, int(port), worker.handle), worker.heartbeat(), worker.advance()
    )


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
