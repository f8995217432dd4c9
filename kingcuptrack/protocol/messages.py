"""Messages between entry instances."""

import attrs

from ..state.placer.jobs import JobSpec, TaskResult
from ..state.placer.plans import Configuration
from ..state.placer.scheduling import CapacitySummary
from ..state.placer.shapes import Capacity


@attrs.frozen(kw_only=True)
class TakeOutNotice:
    """Order to take a data centre out of service, possibly not yet in the table."""

    notice_id: str
    data_centre: str


@attrs.frozen(kw_only=True)
class InstanceInfo:
    """State of an entry instance, sent in every heartbeat.

    ``sequence`` orders the infos of one instance, so that a delayed or reordered
    message never replaces a newer one. ``configuration_version`` and ``notice_ids``
    are in force for every start that the instance makes or has in progress;
    ``data_centres_out`` belongs to the newest configuration that it knows.
    """

    instance_id: str
    data_centre: str
    peer_address: str
    sequence: int
    is_ready: bool = False
    is_leaving: bool = False
    configuration_version: int = 0
    notice_ids: tuple[str, ...] = ()
    data_centres_out: tuple[str, ...] = ()
    summary: CapacitySummary | None = None


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Heartbeat, and also the answer to one."""

    info: InstanceInfo
    notices: tuple[TakeOutNotice, ...] = ()


@attrs.frozen(kw_only=True)
class SubmitJob:
    """Request to queue a job at the placer; idempotent by job id.

    ``row_version`` is the version of the job row, 0 if it is not known to exist;
    ``may_have_row`` is true if its insertion may still take effect. ``attempt`` is
    the newest fencing token used; a job that had one may have run in part.
    ``waited_seconds`` is the time that the job has waited at other instances; it
    counts towards the job's age in the queue.
    """

    job_id: str
    spec: JobSpec
    row_version: int
    may_have_row: bool = False
    attempt: int = 0
    waited_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class SubmitAnswer:
    """Whether the placer holds the job; a placer that refused it has never run it."""

    is_accepted: bool
    code: str = ""
    message: str = ""
    retry_after_seconds: float = 0.0


@attrs.frozen(kw_only=True)
class AwaitJob:
    """Request to answer when the job is final, or after ``wait_seconds``."""

    job_id: str
    wait_seconds: float


@attrs.frozen(kw_only=True)
class CancelJob:
    """Request to cancel a job that waits or runs."""

    job_id: str


@attrs.frozen(kw_only=True)
class JobAnswer:
    """State of a job; ``is_known`` is false if the placer does not hold the job."""

    is_known: bool
    job_id: str = ""
    phase: str = ""
    attempt: int = 0
    reason: str = ""
    results: tuple[TaskResult, ...] = ()
    is_recorded: bool = False


@attrs.frozen(kw_only=True)
class DescribeDataCentre:
    """Request for the state of a data centre, answered by its placer."""


@attrs.frozen(kw_only=True)
class WorkerDescription:
    """One worker in a data centre description."""

    worker_id: str
    rack: str
    is_leaving: bool
    capacity: Capacity
    accelerators_count: int
    free_accelerators_count: int
    tasks_count: int
    health: str = ""


@attrs.frozen(kw_only=True)
class JobDescription:
    """One open job in a data centre description."""

    job_id: str
    organisation: str
    urgency: str
    status: str
    attempt: int
    tasks_count: int
    accelerators_count: int
    is_guaranteed: bool
    reason: str = ""


@attrs.frozen(kw_only=True)
class DataCentreDescription:
    """State of a data centre."""

    data_centre: str
    placer_id: str
    workers: tuple[WorkerDescription, ...] = ()
    jobs: tuple[JobDescription, ...] = ()


@attrs.frozen(kw_only=True)
class GetConfiguration:
    """Request for the newest configuration that the peer knows."""


@attrs.frozen(kw_only=True)
class PushConfiguration:
    """A configuration that the sender knows to be recorded."""

    configuration: Configuration


@attrs.frozen(kw_only=True)
class Acknowledged:
    """Answer without content."""


@attrs.frozen(kw_only=True)
class Failed:
    """Answer of a peer that could not handle a request."""

    message: str


MESSAGE_KINDS = {
    kind.__name__: kind
    for kind in (
        Heartbeat,
        SubmitJob,
        SubmitAnswer,
        AwaitJob,
        CancelJob,
        JobAnswer,
        DescribeDataCentre,
        DataCentreDescription,
        GetConfiguration,
        PushConfiguration,
        Acknowledged,
        Failed,
    )
}


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with its kind; a response repeats the id of its request."""

    request_id: int
    is_response: bool
    kind: str
    body: dict
