"""Operators' orders, load, and a test oracle for configuration and take-outs.

The oracle compares the journals of the emulated workers and platform with the answers
to operators.
"""

import contextlib
import itertools
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import attrs

from .deployment import start_deployment
from .entry_requests import apply_lists, wait_placers
from .shared_deployment import make_unique_job
from .support import NO_ANSWER_ERRORS, check

# Upper bounds from the design page.
TAKE_OUT_BOUND_SECONDS = 3.0
CONFIGURATION_BOUND_SECONDS = 5.0

SETTINGS = {
    "workers": {
        "lease_seconds": 6.0,
        "lease_margin_seconds": 0.3,
        "renewal_interval_seconds": 1.0,
        "drain_timeout_seconds": 2.0,
    },
}
TEXT_NUMBERS = itertools.count()


@attrs.frozen(kw_only=True)
class Order:
    """A take-out or return of a data centre, and its answer.

    ``reachable_seconds`` is the time at which the data centre became reachable, 0 if
    it was reachable when the order was sent.
    """

    kind: str
    name: str
    sent_seconds: float
    received_seconds: float
    status: int
    answer: dict | None
    reachable_seconds: float = 0.0


@attrs.define(kw_only=True)
class OperatorOracle:
    """Sends operators' orders to a deployment and checks their effect."""

    deployment: object
    orders: list = attrs.field(factory=list)
    threads: ThreadPoolExecutor = attrs.field(factory=lambda: ThreadPoolExecutor(32))

    def send_order(self, kind, name, entry, *, timeout_seconds=20.0):
        """Take a data centre ``out`` or bring it back ``in``; return the order."""
        sent_seconds = time.monotonic()
        try:
            status, answer = entry.request(
                "POST",
                f"/v1/data-centres/{name}/{kind}",
                timeout_seconds=timeout_seconds,
            )
        except NO_ANSWER_ERRORS:
            status, answer = 0, None
        order = Order(
            kind=kind,
            name=name,
            sent_seconds=sent_seconds,
            received_seconds=time.monotonic(),
            status=status,
            answer=answer,
        )
        self.orders.append(order)
        return order

    def record_reachable(self, order):
        """Record that the data centre of an order is reachable from now on."""
        self.orders.remove(order)
        order = attrs.evolve(order, reachable_seconds=time.monotonic())
        self.orders.append(order)
        return order

    def start_times(self, name, since_seconds=0.0):
        """Return the times of task starts in a data centre."""
        return [
            event["time_seconds"]
            for event in self.deployment.worker_journal()
            if event["event"] == "task_start"
            and event["data_centre"] == name
            and event["time_seconds"] >= since_seconds
        ]

    def wait_starts(self, name, since_seconds, *, timeout_seconds=5.0):
        """Wait until tasks start in a data centre."""
        return self.deployment.wait(
            lambda: self.start_times(name, since_seconds),
            f"tasks start in {name}",
            timeout_seconds=timeout_seconds,
        )

    def wait_past_bound(self, order):
        """Wait until 0.5 s after the bound of a take-out, TAKE_OUT_BOUND_SECONDS."""
        end_seconds = max(order.sent_seconds, order.reachable_seconds) + 3.5
        self.deployment.wait(
            lambda: time.monotonic() > end_seconds, "the take-out bound has passed"
        )

    def written_configurations(self):
        """Return the configurations written to the table, in order of writing."""
        return [
            event["value"]
            for event in self.deployment.platform_journal()
            if (event["operation"], event["key"]) == ("PUT", "current")
        ]

    def wait_recorded(self, name, is_out, *, timeout_seconds=5.0):
        """Wait until the stored row has a data centre as out, or as in service."""
        self.deployment.wait(
            lambda: (
                (name in self.written_configurations()[-1]["data_centres_out"])
                == is_out
            ),
            f"{name} recorded as {'out' if is_out else 'in'}",
            timeout_seconds=timeout_seconds,
        )

    def check_take_outs(self):
        """Assert that no task started in a data centre after its take-out took effect.

        A take-out must take effect TAKE_OUT_BOUND_SECONDS after it was sent, or after
        the data centre became reachable. If the answer has ``is_in_force`` set, the
        take-out must be in effect when the answer arrives.
        """
        found = []
        for order in self.orders:
            if order.kind == "out" and order.status in (200, 202):
                found += self._find_violations(order)
        check.assertEqual(found, [])

    def _find_violations(self, order):
        end_seconds = min(
            (
                other.sent_seconds
                for other in self.orders
                if (other.kind, other.name) == ("in", order.name)
                and other.received_seconds > order.sent_seconds
            ),
            default=float("inf"),
        )
        bound_seconds = max(order.sent_seconds, order.reachable_seconds)
        limit_seconds = bound_seconds + TAKE_OUT_BOUND_SECONDS
        if order.answer["is_in_force"]:
            limit_seconds = min(limit_seconds, order.received_seconds)
        for start_seconds in self.start_times(order.name, limit_seconds):
            if start_seconds < end_seconds:
                late_seconds = start_seconds - order.sent_seconds
                yield f"{order.name}: task start {late_seconds:.2f} s after {order}"


@contextlib.contextmanager
def running_load(deployment, *, interval_seconds=0.1, **fields):
    """Submit short jobs at every running entry while the context is open.

    Half of the jobs are not repeatable. Yields the list of (body, answer), to which
    each completed request is appended; the answer is None if none arrived.
    """
    is_over = threading.Event()
    sent = []

    def run(entry, number):
        while not is_over.wait(interval_seconds):
            body = make_unique_job(
                "load",
                tasks_count=1,
                run_seconds=0.05,
                is_repeatable=(len(sent) + number) % 2 == 0,
                shape={
                    "accelerators_count": 1,
                    "cores_count": 1,
                    "memory_bytes": 1000,
                },
                **fields,
            )
            if not entry.process.is_running:
                return
            try:
                answer = entry.request("POST", "/v1/jobs", body, timeout_seconds=10.0)
            except NO_ANSWER_ERRORS:
                answer = None
            sent.append((body, answer))

    threads = [
        threading.Thread(target=run, args=(entry, number))
        for number, entry in enumerate(deployment.running_entries())
    ]
    for thread in threads:
        thread.start()
    try:
        yield sent
    finally:
        is_over.set()
        for thread in threads:
            thread.join()


@contextlib.contextmanager
def start_operator_oracle(*, settings=None, **options):
    """Run a deployment behind the proxy and yield its `OperatorOracle`.

    The organisations and plans of `entry_requests` are in force.
    """
    sections = {**SETTINGS, **(settings or {})}
    with start_deployment(
        settings=sections, is_proxied=True, workers_count=4, **options
    ) as deployment:
        apply_lists(deployment)
        wait_placers(deployment)
        oracle = OperatorOracle(deployment=deployment)
        with oracle.threads:
            yield oracle


def entry_in(deployment, name, index=0):
    """Return a running entry of a data centre; the one at index 0 is the placer."""
    entries = deployment.running_entries(name)
    return sorted(entries, key=lambda entry: entry.instance_id)[index]


def put_lists(entry, version, *, timeout_seconds=20.0):
    """Record lists of organisations and plans with a unique text.

    Returns
    -------
    text : str
        The list of organisations.
    status : int
        0 if no answer arrived.
    answer : dict or None
    """
    from .entry_requests import ORGANISATIONS, PLANS

    text = f"{ORGANISATIONS}# {next(TEXT_NUMBERS)}\n"
    body = {"organisations": text, "plans": PLANS, "expected_version": version}
    try:
        status, answer = entry.request(
            "PUT", "/v1/configuration", body, timeout_seconds=timeout_seconds
        )
    except NO_ANSWER_ERRORS:
        status, answer = 0, None
    return text, status, answer


def read_version(entry):
    """Return the version of the configuration at an entry, and the whole answer."""
    answer = entry.request("GET", "/v1/configuration")[1]
    return answer["version"], answer


def overwrite_configuration(deployment, value):
    """Overwrite the stored configuration, as the restore of a backup does."""
    path = "/v1/tables/configuration/rows/current"
    _, row = deployment.platform.request("GET", path)
    body = {"expected_version": row["version"], "value": value}
    status, answer = deployment.platform.request("PUT", path, body)
    assert status == 200, (status, answer)


def format_json(value):
    """Return indented JSON for the messages of failed checks."""
    return json.dumps(value, indent=1, default=str)
