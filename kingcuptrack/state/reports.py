"""What a worker says of itself and of its runs."""

import attrs

from .progress import EndKind
from .steps import Resources, TaskRef


@attrs.frozen(kw_only=True)
class WorkerEntry:
    """A worker as listed by the platform.

    ``remaining_service_seconds`` is the least time that a draining worker still serves.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    is_draining: bool = False
    remaining_service_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class RunningRun:
    """A run that a worker reports as running; ``percent`` is its progress."""

    ref: TaskRef
    run: int
    checkpoint: str
    percent: int


@attrs.frozen(kw_only=True)
class EndedRun:
    """The end of a run; ``number`` counts the ends of one life of the worker."""

    number: int
    ref: TaskRef
    run: int
    how: EndKind
    checkpoint: str


@attrs.frozen(kw_only=True)
class WorkerReport:
    """Answer of a worker to a hold.

    ``life`` identifies the incarnation and grows with each. ``clock_seconds`` is
    the worker's own steady clock when it answered. ``token`` is the fencing token
    of the call and ``received_at_seconds`` when the answer arrived, on the caller's
    steady clock. The list of ends can be cut off by a limit; ``is_complete`` tells
    that it was not.
    """

    life: int
    clock_seconds: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    token: int
    received_at_seconds: float
    is_complete: bool = True
