"""Registry entries of workers, and their reports on runs."""

import attrs

from ..jobs.progress import EndKind
from ..jobs.steps import Resources, TaskRef


@attrs.frozen(kw_only=True)
class WorkerEntry:
    """A worker as listed by the platform.

    ``remaining_service_seconds`` is the least time that a draining worker still serves.
    A worker that has just started is slow for ``cold_remaining_seconds`` more.
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
    cold_remaining_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class RunningRun:
    """A run that a worker reports as running.

    ``run`` is the number of the run, ``percent`` its progress.
    """

    ref: TaskRef
    run: int
    checkpoint: str
    percent: int


@attrs.frozen(kw_only=True)
class EndedRun:
    """The end of a run.

    ``number`` counts the ends of one incarnation of the worker, ``run`` is the number
    of the run, ``how`` the kind of its end.
    """

    number: int
    ref: TaskRef
    run: int
    how: EndKind
    checkpoint: str


@attrs.frozen(kw_only=True)
class WorkerReport:
    """Answer of a worker to a poll.

    ``life`` identifies the worker's incarnation. The session replaces it by a number
    that grows with each restart that it sees, and keeps it as ``reported_life``.
    ``clock_seconds`` is the worker's monotonic clock when it answered. ``token`` is
    the fencing token of the call and ``received_at_seconds`` the time of the answer on
    the caller's monotonic clock. ``is_complete`` means that no ends were cut off by
    the limit of their number.
    """

    life: int
    clock_seconds: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    token: int
    received_at_seconds: float
    is_complete: bool = True
    reported_life: int | None = None
