"""What the core needs from its environment, as typed functions.

`kingcuptrack.platform` provides them over HTTP, `emulator.cluster` in memory.
"""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class Shard:
    """A part of the cluster with a scheduler of its own.

    ``part`` is the part of the store that holds its rows, so that one transaction
    can cover any of them.
    """

    number: int = 0

    @property
    def part(self):
        """Part of the store."""
        return f"shard-{self.number}"


@attrs.frozen(kw_only=True)
class RowKey:
    """Address of a row."""

    table: str
    part: str
    key: str


@attrs.frozen(kw_only=True)
class Row:
    """A stored row; ``is_removed`` marks the removal of one in a feed."""

    key: RowKey
    value: bytes
    version: int
    is_removed: bool = False


@attrs.frozen(kw_only=True)
class RowsRead:
    """Rows as of one moment, and the newest version of the store then."""

    rows: tuple[Row, ...]
    version: int


@attrs.frozen(kw_only=True)
class Transaction:
    """Changes that apply together if all conditions hold.

    ``expect`` maps a `RowKey` to the version that it must have; 0 for no row.
    """

    expect: dict = attrs.field(factory=dict)
    puts: dict = attrs.field(factory=dict)
    removes: tuple[RowKey, ...] = ()


# Codes of `Refused` outcomes of the store.
CONFLICT = "conflict"  # a condition failed; detail holds the current rows
BUSY = "busy"  # nothing was done; try again later
HISTORY_LOST = "history_lost"  # the feed cannot be continued; read afresh


@attrs.frozen(kw_only=True)
class Store:
    """Calls to the store; each is awaited and returns an outcome.

    ``read(table, part, first, last, timeout_seconds)`` returns `RowsRead` with
    keys from ``first`` up to, without, ``last`` (empty: no bound).
    ``transact(transaction, timeout_seconds)`` returns the new version.
    ``follow(table, after_version, wait_seconds)`` returns `RowsRead` with the
    changes since a version.
    """

    read: Callable
    transact: Callable
    follow: Callable


@attrs.frozen(kw_only=True)
class StartOrder:
    """Order to start a run; ``deadline_seconds`` is on the worker's clock."""

    ref: object
    run: int
    spec: str
    checkpoint: str
    deadline_seconds: float
    token: int


@attrs.frozen(kw_only=True)
class PollRequest:
    """Request for a report, which extends the lease if it carries a deadline.

    Ends up to ``acknowledged_end`` are forgotten by the worker.
    """

    token: int
    acknowledged_end: int
    deadline_seconds: float | None
    wait_seconds: float


# Codes of `Refused` outcomes of workers. In all of them the worker did nothing.
FENCED = "fenced"  # the worker has seen a higher token
TOO_LATE = "too_late"  # the deadline of the order has passed
WORKER_BUSY = "worker_busy"  # the worker is not healthy
REJECTED = "rejected"  # any other refusal


@attrs.frozen(kw_only=True)
class Workers:
    """Calls to workers; each is awaited and returns an outcome.

    ``poll(entry, request, timeout_seconds)`` returns a `WorkerReport`;
    ``start(entry, order, timeout_seconds)`` and
    ``stop(entry, ref, run, token, timeout_seconds)`` the worker's clock in seconds.
    ``list(timeout_seconds)`` returns the listed `WorkerEntry` objects.
    """

    poll: Callable
    start: Callable
    stop: Callable
    list: Callable


@attrs.frozen(kw_only=True)
class PolicyRead:
    """The configuration and the data centres out of service, as read.

    ``closure_keys`` maps a data centre to the row whose existence closes it.
    """

    policy: object
    closed_data_centres: frozenset[str]


@attrs.frozen(kw_only=True)
class Operators:
    """What operators have stored.

    ``read(timeout_seconds)`` is awaited and returns a `PolicyRead`.
    ``policy_key`` is the row of the configuration; ``decode_policy(row)`` decodes
    it; ``closure_key(data_centre)`` is the row whose existence takes a data centre
    out of service.
    """

    read: Callable
    policy_key: RowKey
    decode_policy: Callable
    closure_key: Callable


@attrs.frozen(kw_only=True)
class Clocks:
    """Clocks of this process, in seconds.

    ``steady`` stands still while the instance is suspended, ``boottime`` does not,
    and ``wall`` is the time of day, which may jump.
    """

    steady: Callable
    boottime: Callable
    wall: Callable


@attrs.frozen(kw_only=True)
class Environment:
    """All ports of an instance."""

    store: Store
    workers: Workers
    operators: Operators
    clocks: Clocks
