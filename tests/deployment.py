"""A deployment of real processes on loopback ports, for integration tests.

``with start_deployment(...) as deployment`` runs one platform, one worker process per
data centre and the entry daemons. Platform and workers are emulated. With
``is_proxied`` every link runs through the proxy and is named by its ends:

- ``DC>platform``: entries of a data centre to the platform,
- ``DC>workers``: entries of a data centre to its workers,
- ``DC>INSTANCE_ID``: entries of a data centre to one entry.

An entry advertises a single proxy port. The proxy selects the route by the process
that connects, so that faults of a route apply no matter how a peer learned the address.
"""

import configparser
import contextlib
import itertools
import shutil
import sys
import tempfile
from pathlib import Path

import attrs

from kingcuptrack.settings import parse_settings

from .caught_errors import find_logged_errors
from .proxy import ProxyControl
from .support import (
    PortPool,
    RunningProcess,
    check,
    request_json,
    start_process,
    wait_until,
)

ENTRY_MODULE = "kingcuptrack.tools.entry"
DATA_CENTRES = ("kumasi", "obuasi", "mampong")
# One-way delay between data centres, from the design page.
REMOTE_DELAY_SECONDS = 0.0015
START_TIMEOUT_SECONDS = 20.0
LOG_TAIL_CHARACTERS = 4000


@attrs.define(kw_only=True)
class Service:
    """A started process that serves HTTP at ``url``."""

    process: RunningProcess
    url: str

    def request(self, method, path, body=None, **kwargs):
        """Send one request; see `support.request_json`."""
        return request_json(method, self.url + path, body, **kwargs)

    def control(self, method, path, body=None):
        """Send one control request and return the answer; fails unless it is 200."""
        status, answer = self.request(method, f"/control/{path}", body)
        assert status == 200, (status, answer)
        return answer


@attrs.define(kw_only=True)
class Entry(Service):
    """An entry daemon."""

    instance_id: str
    data_centre: str
    http_port: int
    peer_port: int

    def is_ready(self):
        """Return whether the daemon reports that it is ready."""
        status, _ = self.request("GET", "/health", timeout_seconds=2.0)
        return status == 200


@attrs.define(kw_only=True)
class Deployment:
    """Processes of a deployment.

    ``entries`` holds every entry ever started, by instance id, and ``workers`` the
    worker processes by data centre. ``settings`` overrides entry settings by section
    and key; ``entry_arguments`` are arguments of ``entry_module`` besides the settings.
    """

    directory: Path
    data_centres: tuple
    settings: dict
    ports: PortPool
    remote_delay_seconds: float
    entry_module: str = ENTRY_MODULE
    entry_arguments: tuple = ()
    platform: Service | None = None
    workers: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    proxy: ProxyControl | None = None
    processes: list = attrs.field(factory=list)
    entry_numbers: object = attrs.field(factory=lambda: itertools.count(1))

    def start(self, *, workers_count, is_proxied, lag_seconds, workers_options):
        """Start the proxy, the platform and the workers, but no entries."""
        if is_proxied:
            self._start_proxy()
        port = self.ports.reserve()
        self.platform = Service(
            process=self._start_process(
                "platform",
                "emulator.platform",
                *("--port", port, "--lag-seconds", lag_seconds),
            ),
            url=f"http://127.0.0.1:{port}",
        )
        if is_proxied:
            for name in self.data_centres:
                self._add_route(f"{name}>platform", port)
        for name in self.data_centres:
            port = self.ports.reserve()
            url = f"http://127.0.0.1:{port}"
            advertised_url = url
            if is_proxied:
                advertised_url = self._add_route(f"{name}>workers", port)
            arguments = {
                "port": port,
                "data-centre": name,
                "count": workers_count,
                "platform-url": self.platform.url,
                "advertised-url": advertised_url,
                **workers_options,
            }
            options = [(f"--{key}", value) for key, value in arguments.items()]
            process = self._start_process(
                f"workers-{name}", "emulator.workers", *itertools.chain(*options)
            )
            self.workers[name] = Service(process=process, url=url)
        self.wait(
            lambda: len(self.instances("worker")) == workers_count * len(self.workers),
            "all workers are listed",
            timeout_seconds=START_TIMEOUT_SECONDS,
        )

    def _start_proxy(self):
        port = self.ports.reserve()
        self._start_process("proxy", "tests.proxy", "--control-port", port)

        def connect():
            try:
                return ProxyControl(port)
            except OSError:
                return None

        self.proxy = self.wait(connect, "the proxy listens")

    def _add_route(self, name, port):
        """Add a route to a port and return its base URL."""
        answer = self.proxy.send("add", route=name, target=f"127.0.0.1:{port}")
        return f"http://127.0.0.1:{answer['listen_port']}"

    def _start_process(self, name, module, *arguments):
        process = start_process(name, module, *arguments, log_directory=self.directory)
        self.processes.append(process)
        return process

    def start_entry(self, data_centre):
        """Start an entry with a new instance id and new ports.

        Does not wait until the entry is ready.
        """
        instance_id = f"{data_centre}-entry-{next(self.entry_numbers):03d}"
        http_port, peer_port = self.ports.reserve(), self.ports.reserve()
        platform_url, peer_address = self.platform.url, ""
        if self.proxy is not None:
            platform_url, peer_address = self._route_entry(
                data_centre, instance_id, peer_port
            )
        path = self.directory / f"{instance_id}.ini"
        sections = {
            "instance": {
                "instance_id": instance_id,
                "data_centre": data_centre,
                "http_port": http_port,
                "peer_port": peer_port,
                "advertised_peer_address": peer_address,
            },
            "platform": {
                "table_url": platform_url,
                "objects_url": platform_url,
                "instances_url": platform_url,
            },
        }
        write_settings(path, sections, self.settings)
        entry = Entry(
            process=self._start_process(
                instance_id,
                self.entry_module,
                *self.entry_arguments,
                *("--settings", path),
            ),
            url=f"http://127.0.0.1:{http_port}",
            instance_id=instance_id,
            data_centre=data_centre,
            http_port=http_port,
            peer_port=peer_port,
        )
        self.entries[instance_id] = entry
        if self.proxy is not None:
            pid = entry.process.popen.pid
            self.proxy.send("source", pid=pid, source=data_centre)
        return entry

    def _route_entry(self, data_centre, instance_id, peer_port):
        """Add the routes of a new entry; return its platform URL and peer address."""
        answer = self.proxy.send(
            "add",
            route=instance_id,
            target=f"127.0.0.1:{peer_port}",
            sources=self.data_centres,
        )
        for source in self.data_centres:
            if source != data_centre:
                self.proxy.send(
                    "set",
                    route=f"{source}>{instance_id}",
                    delay_seconds=self.remote_delay_seconds,
                )
        routes = self.proxy.send("statistics")
        platform_port = routes[f"{data_centre}>platform"]["listen_port"]
        peer_address = f"127.0.0.1:{answer['listen_port']}"
        return f"http://127.0.0.1:{platform_port}", peer_address

    def restart(self, entry, *, is_listed=False):
        """Replace an entry and wait until the new one is ready.

        The old entry is killed if it still runs, and removed from the platform's
        instance list unless ``is_listed``.
        """
        if entry.process.is_running:
            entry.process.kill()
        if not is_listed:
            self.remove_from_list(entry)
        replacement = self.start_entry(entry.data_centre)
        self.wait_ready([replacement])
        return replacement

    def remove_from_list(self, entry):
        """Remove an entry from the platform's instance list, after the list lag."""
        self.platform.control("DELETE", f"instances/{entry.instance_id}")

    def wait_ready(self, entries=None):
        """Wait until entries (default: all running entries) are ready."""
        for entry in entries or self.running_entries():
            self.wait(
                entry.is_ready,
                f"{entry.instance_id} is ready",
                timeout_seconds=START_TIMEOUT_SECONDS,
                processes=[entry.process],
            )

    def running_entries(self, data_centre=None):
        """Return the running entries, of one data centre if given."""
        return [
            entry
            for entry in self.entries.values()
            if entry.process.is_running and data_centre in (None, entry.data_centre)
        ]

    def wait(self, condition, description, *, timeout_seconds=10.0, processes=None):
        """Wait like `support.wait_until`; fails at once if a process has ended.

        ``processes`` defaults to the emulators and the proxy. The message of a failure
        contains the end of their logs.
        """
        if processes is None:
            processes = [
                process
                for process in self.processes
                if process.name not in self.entries
            ]

        def check_condition():
            ended = [process.name for process in processes if not process.is_running]
            assert not ended, f"processes ended while waiting: {ended}"
            return condition()

        try:
            return wait_until(
                check_condition, description, timeout_seconds=timeout_seconds
            )
        except AssertionError as error:
            logs = [
                f"--- {process.name}\n{process.log_text()[-LOG_TAIL_CHARACTERS:]}"
                for process in processes
            ]
            raise AssertionError("\n".join([str(error), *logs])) from None

    def instances(self, kind=None):
        """Return the platform's instance list, optionally of one kind only.

        The request names no data centre, so that faults of one do not affect it.
        """
        entries = self.platform.request("GET", "/v1/instances")[1]["instances"]
        return [entry for entry in entries if kind in (None, entry["kind"])]

    def set_platform_fault(self, mode, **fields):
        """Set a fault of the emulated platform."""
        body = {"service": "all", "mode": mode, **fields}
        self.platform.control("POST", "faults", body)

    def set_worker_fault(self, data_centre, mode, *, worker_id="*", **fields):
        """Set a fault of the emulated workers of a data centre."""
        body = {"worker_id": worker_id, "mode": mode, **fields}
        self.workers[data_centre].control("POST", "faults", body)

    def clear_faults(self):
        """Remove all faults of the platform, the workers and the proxy routes.

        The delays of the routes stay.
        """
        for service in (self.platform, *self.workers.values()):
            service.control("POST", "clear")
        if self.proxy is not None:
            self.proxy.send("set", route="*", mode="pass")
            self.proxy.send("refuse", route="*", refuses=False)

    def worker_journal(self):
        """Return the events of all workers, sorted by time."""
        events = []
        for service in self.workers.values():
            events += service.control("GET", "journal")["events"]
        return sorted(events, key=lambda event: event["time_seconds"])

    def platform_journal(self):
        """Return the writes that the platform applied."""
        return self.platform.control("GET", "journal")["events"]

    def links(self, first, second):
        """Return the names of the routes between two ends, in either direction.

        An end is a data centre, ``platform`` or ``workers``.
        """

        def matches(source, target, name):
            left, _, right = name.partition(">")
            entry = self.entries.get(right)
            end = entry.data_centre if entry else right
            return (left, end) == (source, target)

        return [
            name
            for name in self.proxy.send("statistics")
            if matches(first, second, name) or matches(second, first, name)
        ]

    def set_links(self, first, second, **fields):
        """Apply the proxy command ``set`` to all routes between two ends."""
        for name in self.links(first, second):
            self.proxy.send("set", route=name, **fields)

    def isolate(self, data_centre, mode="drop"):
        """Partition a data centre from the platform and the other data centres.

        Mode ``pass`` ends the partition. Routes of entries started later are not
        affected.
        """
        for other in ("platform", *self.data_centres):
            if other != data_centre:
                self.set_links(data_centre, other, mode=mode)

    def close(self):
        """End every process that this deployment started."""
        if self.proxy is not None:
            self.proxy.close()
        for process in self.processes:
            if process.is_running and process.is_paused:
                process.kill()
            elif process.is_running:
                process.terminate()
        for process in self.processes:
            process.close()


def write_settings(path, sections, overrides):
    """Write the settings file of an entry; fails if the settings are invalid."""
    parser = configparser.ConfigParser(interpolation=None)
    for values in (sections, overrides):
        for section, items in values.items():
            if not parser.has_section(section):
                parser.add_section(section)
            for key, value in items.items():
                parser.set(section, key, str(value))
    with open(path, "w", encoding="utf-8") as file:
        parser.write(file)
    _, findings = parse_settings(path.read_text(encoding="utf-8"), file=path.name)
    assert not findings, "\n".join(map(str, findings))


@contextlib.contextmanager
def start_deployment(
    *,
    data_centres=DATA_CENTRES,
    workers_count=8,
    entries_count=2,
    is_proxied=False,
    lag_seconds=1.0,
    remote_delay_seconds=REMOTE_DELAY_SECONDS,
    settings=None,
    workers_options=None,
    entry_module=ENTRY_MODULE,
    entry_arguments=(),
):
    """Run a deployment and yield it once all entries are ready.

    ``workers_count`` and ``entries_count`` are per data centre. ``settings`` overrides
    entry settings by section and key, ``workers_options`` command line options of
    `emulator.workers` by name. Entries are started as ``entry_module`` with
    ``entry_arguments`` and their settings. The directory with settings and logs is
    removed at the end; if the body of the ``with`` statement fails, it is kept and its
    path is printed.
    """
    directory = Path(tempfile.mkdtemp(prefix="kingcuptrack-"))
    deployment = Deployment(
        directory=directory,
        data_centres=tuple(data_centres),
        settings=settings or {},
        ports=PortPool(),
        remote_delay_seconds=remote_delay_seconds,
        entry_module=entry_module,
        entry_arguments=tuple(entry_arguments),
    )
    try:
        deployment.start(
            workers_count=workers_count,
            is_proxied=is_proxied,
            lag_seconds=lag_seconds,
            workers_options=workers_options or {},
        )
        for _ in range(entries_count):
            for name in deployment.data_centres:
                deployment.start_entry(name)
        deployment.wait_ready()
        yield deployment
        check.assertEqual(find_logged_errors(directory), [])
    except BaseException:
        print(f"logs of the failed deployment: {directory}", file=sys.stderr)
        raise
    else:
        shutil.rmtree(directory, ignore_errors=True)
    finally:
        deployment.close()
        deployment.ports.close()
