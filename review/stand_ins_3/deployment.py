"""A small deployment on loopback addresses, for the scripts of the cases."""

import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .http import send

ROOT = Path(__file__).resolve().parents[2]
HOST = "studio.example"
KEY = "key-1"
IP = "127.0.0.1"
# Below the ephemeral range of Linux, so that no outgoing connection takes a port.
PORT_RANGE = range(12000, 32000)
READY_SECONDS = 20.0
BOUNDS = {
    "stable_window_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "evacuate_ms": 5000,
    "max_hold_ms": 6000,
    "stop_timeout_ms": 200,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 3,
}


_reservations = []


class CannotRunError(Exception):
    """The case could not be run."""


def make_configuration(version=1, *, attempts=4):
    """Return a configuration with an urgent queue and one for work that can wait."""

    def route(name, priority):
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "service": "studio",
            "type": "non_idempotent",
            "priority": priority,
            "attempts": attempts,
            "stretch": 3.0,
            "target_latency_ms": 1000,
            "public": False,
        }

    return {
        "version": version,
        "routes": [route("urgent", 0), route("batch", 2)],
        "services": [{"name": "studio", "enforces_capacity": False}],
        "limits": {"max_body_bytes": 262144},
        "tenants": [{"name": "acme", "api_keys": [KEY], "guaranteed_gpus": 16}],
    }


def find_port():
    """Return a free port, reserved against other scripts until this process ends.

    The reservation is a UDP socket at the same number, since the TCP port stays free.
    """
    while True:
        port = random.choice(PORT_RANGE)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((IP, port))
            with socket.socket() as probe:
                probe.bind((IP, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port


class Deployment:
    """Processes of the project's program and of the stand-ins.

    ``record`` collects lines for the record of the case.
    """

    def __init__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.events_path = self.folder / "events.jsonl"
        self.events_path.touch()
        self.begun_at = time.monotonic()
        self.record = []
        self.processes = {}
        self.store = f"{IP}:{find_port()}"
        self.instances = {}
        self.workers = {}

    def note(self, text):
        """Add a line to the record."""
        seconds = time.monotonic() - self.begun_at
        self.record.append((time.monotonic(), f"{seconds:8.3f} {text}"))
        print(self.record[-1][1], flush=True)

    async def start(self, *, workers=4, instances=2, configuration=None, kinds=()):
        """Start everything, and wait until the instances are ready.

        ``kinds`` are those of the first workers; the others are of kind ``a``.
        """
        self.start_module("store", "review.stand_ins_3.store", self.store)
        await self.wait_for(self._is_store_up, "the store answers")
        await self.put("op/config", configuration or make_configuration())
        for number in range(workers):
            kind = kinds[number] if number < len(kinds) else "a"
            self.add_worker(f"w-{number}", kind=kind)
        for number in range(instances):
            self.add_instance(f"edge-{number}")
        for name in self.instances:
            await self.wait_for(lambda name=name: self.is_ready(name), f"{name} ready")
        # The list of workers is read every second, and each is polled at once.
        await asyncio.sleep(3.0)

    async def _is_store_up(self):
        status, _ = await send("GET", self.store, "/-/rows-get?table=op")
        return status == 200

    def add_worker(self, name, **options):
        """Add a worker and start it."""
        self.workers[name] = {
            "id": name,
            "address": f"{IP}:{find_port()}",
            "store": self.store,
            "events": str(self.events_path),
            **options,
        }
        self.start_worker(name)

    def start_worker(self, name):
        """Start the process of a worker, under its id and address."""
        options = json.dumps(self.workers[name])
        self.start_module(name, "review.stand_ins_3.worker", options)

    def add_instance(self, name, *, store=None, **limits):
        """Add an instance and start it."""
        address = f"{IP}:{{}}".format
        settings = {
            "node_name": name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": IP,
            "zone": "kumasi-a",
            "region": "ashanti",
            "zones": {"kumasi-a": "ashanti"},
            "listen": {
                "front": address(find_port()),
                "readiness": address(find_port()),
            },
            "port_range": [7000, 7015],
            "bounds": BOUNDS,
            "orders": "request",
            "entry": "vip",
            "discovery": "platform",
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                **limits,
            },
            "platform": {
                "address": store or self.store,
                "form": "table",
                "across": True,
                "history_s": 20,
                "row_bytes": 65536,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.instances[name] = {
            "front": settings["listen"]["front"],
            "readiness": settings["listen"]["readiness"],
            "path": path,
            "metrics": find_port(),
        }
        self.start_instance(name)

    def start_instance(self, name):
        """Start the process of an instance with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["instance"]
        instance = self.instances[name]
        environment = {
            **role.get("env", {}),
            "KINGCUPTRACK_BOOT": str(instance["path"]),
            # The port of the deploy file can be in use.
            "KINGCUPTRACK_METRICS_PORT": str(instance["metrics"]),
        }
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        self.start_process(name, words, environment)

    def start_module(self, name, module, *arguments):
        """Start a module of the stand-ins."""
        self.start_process(name, [sys.executable, "-m", module, *arguments], {})

    def start_process(self, name, words, environment):
        """Start a process whose output goes to a file."""
        paths = [str(ROOT), str(ROOT / "target/deps")]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                words,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": ":".join(paths), **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a process that this deployment has started."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def put(self, name, value):
        """Write a row of the operator, such as ``op/config``."""
        status, _ = await send("PUT", self.store, f"/stand-in/{name}", value)
        if status != 200:
            raise CannotRunError(f"the store answered {status} to the operator")

    async def remove(self, name):
        """Remove a row of the operator."""
        await send("DELETE", self.store, f"/stand-in/{name}")

    async def is_ready(self, name):
        """Return whether an instance says that it is ready."""
        address = self.instances[name]["readiness"]
        status, _ = await send("GET", address, "/-/readyz", timeout_seconds=1.0)
        return status == 200

    async def call(self, method, path, value=None, *, instance="edge-0", key=KEY):
        """Send a call of a client; returns (status, answer)."""
        sent_at = time.monotonic()
        status, answer = await send(
            method,
            self.instances[instance]["front"],
            path,
            value,
            headers={"host": HOST, "x-api-key": key, "deadline-ms": "3000"},
            timeout_seconds=3.0,
        )
        seconds = time.monotonic() - sent_at
        self.note(f"{instance} {method} {path} -> {status} {answer} ({seconds:.3f} s)")
        return status, answer

    async def submit(self, queue, steps, spec, *, instance="edge-0"):
        """Hand in a job, again while there is no answer; returns its id."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps}
        for _ in range(5):
            status, _ = await self.call(
                "POST", f"/{queue}/{job_id}", body, instance=instance
            )
            if status == 200:
                return job_id
            await asyncio.sleep(0.3)
        raise CannotRunError("the job was not accepted")

    async def read_state(self, queue, job_id, *, instance="edge-0"):
        """Return the state of a job, or the status if there is none."""
        status, answer = await self.call("GET", f"/{queue}/{job_id}", instance=instance)
        return answer["state"] if status == 200 else status

    def events(self):
        """Return the events of the workers so far."""
        lines = self.events_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]

    def starts_of(self, job_id):
        """Return the starts of the tasks of a job."""
        return [
            event
            for event in self.events()
            if event["event"] == "start" and event["task"].startswith(job_id)
        ]

    async def wait_for(self, is_met, what, *, limit_seconds=READY_SECONDS):
        """Wait until a condition is met; raises `CannotRunError`."""
        end_seconds = time.monotonic() + limit_seconds
        while time.monotonic() < end_seconds:
            met = is_met()
            if asyncio.iscoroutine(met):
                met = await met
            if met:
                return met
            await asyncio.sleep(0.02)
        raise CannotRunError(f"not within {limit_seconds} s: {what}")

    def log_lines(self, name, *words):
        """Return the log lines of a process that contain all words."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if all(w in line for w in words)]

    def close(self, record_path):
        """End all processes and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for event in self.events():
            seconds = event["at"] - self.begun_at
            fields = {k: v for k, v in event.items() if k not in ("at", "worker")}
            text = f"{seconds:8.3f} worker {event['worker']}: {json.dumps(fields)}"
            self.record.append((event["at"], text))
        self.record.sort(key=lambda item: item[0])
        lines = [text for _, text in self.record]
        record_path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder)


def find_leader(deployment):
    """Return the name of the instance that took the leadership last."""
    taken = [
        (line.partition('"time": "')[2], name)
        for name in deployment.instances
        for line in deployment.log_lines(name, "leadership: taken")
    ]
    if not taken:
        raise CannotRunError("no instance leads")
    return max(taken)[1]


def run_case(play, record_path):
    """Play a case and exit with its status: 1 if the rule was broken, 0 if it held.

    ``play(deployment, has_trouble)`` is a coroutine function that returns what broke
    the rule, or an empty string.
    """
    deployment = Deployment()
    status = 2
    try:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        deployment.note(f"disruption: {'on' if has_trouble else 'off'}")
        fault = asyncio.run(play(deployment, has_trouble))
        deployment.note(f"rule broken: {fault}" if fault else "the rule held")
        status = 1 if fault else 0
    except Exception as error:
        deployment.note(f"the case could not run: {error!r}")
    finally:
        deployment.close(record_path)
    sys.exit(status)
