"""Interfaces of an instance to its environment, as classes of functions.

`kingcuptrack.platform` implements them over HTTP, `emulator.cluster` in memory.
"""

from collections.abc import Callable

import attrs


@attrs.frozen(kw_only=True)
class Shard:
    """A partition of the cluster with its own scheduler.

    All its rows are in one partition of the store, so that a transaction can include
    any of them.
    """

    number: int = 0

    @property
    def part(self):
        """Name of the partition of the store."""
        return f"shard-{self.number}"


@attrs.frozen(kw_only=True)
class RowKey:
    """Table, partition of the store and key of a row."""

    table: str
    part: str
    key: str


@attrs.frozen(kw_only=True)
class Row:
    """A stored row; in a change feed, ``is_removed`` marks a removed one."""

    key: RowKey
    value: bytes
    version: int
    is_removed: bool = False


@attrs.frozen(kw_only=True)
class RowsRead:
    """Rows of a consistent read, and the version of the store that was read."""

    rows: tuple[Row, ...]
    version: int


@attrs.frozen(kw_only=True)
class Transaction:
    """Changes that are applied atomically if all conditions hold.

    ``expect`` maps a `RowKey` to the version that the row must have; 0 means that there
    must be no row. ``puts`` maps a `RowKey` to the new value.
    """

    expect: dict = attrs.field(factory=dict)
    puts: dict = attrs.field(factory=dict)
    removes: tuple[RowKey, ...] = ()


# Codes of `Refused` outcomes of the store.
CONFLICT = "conflict"  # a condition failed; detail holds the current rows
BUSY = "busy"  # nothing was done; try again later
HISTORY_LOST = "history_lost"  # the feed cannot be continued; read the table again
DENIED = "denied"  # nothing was done, and the same call will never be accepted


@attrs.frozen(kw_only=True)
class StoreLimits:
    """Limits of the store; the defaults are those of the users' platform.

    ``row_bytes`` is the largest value of a row. A transaction has at most
    ``transaction_bytes`` in all values, and ``transaction_rows_count`` conditions,
    changed rows and removed rows together.
    """

    row_bytes: int = 49_152
    transaction_bytes: int = 700_000
    transaction_rows_count: int = 100


@attrs.frozen(kw_only=True)
class Store:
    """Calls to the store; each is awaited and returns an outcome.

    ``read(table, part, first, last, timeout_seconds, note_begun=None)`` returns
    `RowsRead` with the keys from ``first``, inclusive, to ``last``, exclusive; an empty
    key is no bound. ``timeout_seconds`` is the longest time in which nothing of the
    answer arrives; the transfer of a large answer may take longer. ``note_begun()`` is
    called when the answer begins to arrive.
    ``transact(transaction, timeout_seconds)`` returns the new version; its timeout is a
    silence as well.
    ``follow(table, after_version, wait_seconds, timeout_seconds=None,
    note_begun=None)`` returns `RowsRead` with the changes of the feed after a version;
    its timeout counts beyond the wait. ``limits`` are the `StoreLimits`.
    """

    read: Callable
    transact: Callable
    follow: Callable
    limits: StoreLimits = StoreLimits()


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
    """Request for the report of a worker, which may extend the leases of its runs.

    ``deadline_seconds`` is the new deadline on the worker's clock, or None for no
    extension. ``wait_seconds`` is the longest time that the worker waits for an end to
    report. The worker deletes the ends up to ``acknowledged_end``.
    """

    token: int
    acknowledged_end: int
    deadline_seconds: float | None
    wait_seconds: float


# Codes of `Refused` outcomes of workers; the worker has changed nothing.
FENCED = "fenced"  # the worker has seen a higher token
TOO_LATE = "too_late"  # the deadline of the order has passed
WORKER_BUSY = "worker_busy"  # the worker is not healthy
REPLACED = "replaced"  # another worker answers at its address, so it has ended
REJECTED = "rejected"  # any other refusal


@attrs.frozen(kw_only=True)
class Workers:
    """Calls to workers; each is awaited and returns an outcome.

    ``poll(entry, request, timeout_seconds)`` returns a `WorkerReport`;
    ``start(entry, order, timeout_seconds)`` and
    ``stop(entry, ref, run, token, timeout_seconds)`` the worker's clock in seconds.
    ``list(timeout_seconds, note_begun=None)`` returns the listed `WorkerEntry` objects;
    ``note_begun()`` is called when the answer begins to arrive.
    """

    poll: Callable
    start: Callable
    stop: Callable
    list: Callable


@attrs.frozen(kw_only=True)
class PolicyRead:
    """The configuration and the data centres that are out of service, as read.

    ``policy`` is None if it was not read or cannot be used. ``is_changed`` is False if
    the feed told no changes. ``store_version`` is the
    version of the store that was read, ``size_bytes`` the size of the configuration, 0
    if it was not read.
    """

    policy: object
    closed_data_centres: frozenset[str]
    store_version: int = 0
    size_bytes: int = 0
    is_changed: bool = True


@attrs.frozen(kw_only=True)
class Operators:
    """Access to the rows that operators write.

    ``read(timeout_seconds, note_begun=None)`` is awaited and returns a `PolicyRead`.
    ``follow(after_version, closed_data_centres, timeout_seconds, note_begun=None)``
    returns one with the changes after a version of the store, when the given data
    centres were closed. A feed may tell no changes for a second before it is refused,
    so that it confirms what was in force that long ago.
    ``policy_key`` is the key of the configuration row, which ``decode_policy(row)``
    decodes. ``closure_key(data_centre)`` returns the key of the row whose existence
    takes a data centre out of service.
    """

    read: Callable
    follow: Callable
    policy_key: RowKey
    decode_policy: Callable
    closure_key: Callable


@attrs.frozen(kw_only=True)
class Clocks:
    """Clocks of this process, in seconds.

    ``steady`` does not count the time for which the instance is suspended, ``boottime``
    does. ``wall`` is the time of day, which may jump.
    """

    steady: Callable
    boottime: Callable
    wall: Callable


@attrs.frozen(kw_only=True)
class Environment:
    """All interfaces of an instance to its environment."""

    store: Store
    workers: Workers
    operators: Operators
    clocks: Clocks
