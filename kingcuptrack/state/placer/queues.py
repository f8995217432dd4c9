"""Queues of waiting jobs: one per organisation, urgency and access."""

import heapq
from enum import StrEnum

import attrs


class Access(StrEnum):
    """Capacity that a job may use.

    Each access has queues of its own, so that a job that may only use guaranteed
    capacity does not block one that may borrow, or the reverse.
    """

    GUARANTEED_ONLY = "guaranteed_only"
    EITHER = "either"
    BORROWED_ONLY = "borrowed_only"


GUARANTEED_ACCESSES = (Access.GUARANTEED_ONLY, Access.EITHER)
BORROWED_ACCESSES = (Access.EITHER, Access.BORROWED_ONLY)


@attrs.define(kw_only=True)
class AgeQueue:
    """Jobs in order of age.

    The heap holds ``(queued seconds, sequence number, job id)``. The entry of a
    removed job stays there until it is popped or the heap is rebuilt. ``jobs`` holds
    ``(sequence number, job)`` by job id.
    """

    heap: list = attrs.field(factory=list)
    jobs: dict = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Queues:
    """All waiting jobs of one data centre.

    An organisation is refused when all queues together hold ``limit_count`` jobs
    and its own queues hold at least an equal part of the limit. A burst of one
    organisation thus cannot keep others from queuing, and memory holds fewer than
    twice ``limit_count`` jobs. ``by_organisation`` is keyed by organisation, then by
    ``(urgency, access)``; ``counts`` holds the waiting jobs of each organisation.
    """

    limit_count: int
    by_organisation: dict = attrs.field(factory=dict)
    queue_by_job: dict = attrs.field(factory=dict)
    counts: dict[str, int] = attrs.field(factory=dict)
    sequence: int = 0


def has_room(queues, organisation, organisations_count):
    """Return whether the organisation may queue one more job."""
    if len(queues.queue_by_job) < queues.limit_count:
        return True
    equal_part_count = queues.limit_count // max(1, organisations_count)
    return queues.counts.get(organisation, 0) < equal_part_count


def push_job(queues, job, access):
    """Queue a job by its age, in time logarithmic in the length of its queue."""
    organisation = job.spec.organisation
    queue_by_class = queues.by_organisation.setdefault(organisation, {})
    queue = queue_by_class.setdefault((job.spec.urgency, access), AgeQueue())
    queues.sequence += 1
    queue.jobs[job.job_id] = (queues.sequence, job)
    heapq.heappush(queue.heap, (job.queued_seconds, queues.sequence, job.job_id))
    queues.queue_by_job[job.job_id] = queue
    queues.counts[organisation] = queues.counts.get(organisation, 0) + 1


def drop_job(queues, job_id):
    """Remove a job in constant amortised time; return it, or None if unknown."""
    queue = queues.queue_by_job.pop(job_id, None)
    if queue is None:
        return None
    _, job = queue.jobs.pop(job_id)
    queues.counts[job.spec.organisation] -= 1
    if len(queue.heap) > 2 * len(queue.jobs) + 16:
        queue.heap = [entry for entry in queue.heap if _is_queued(queue, entry)]
        heapq.heapify(queue.heap)
    return job


def find_job(queues, job_id):
    """Return a waiting job, or None."""
    queue = queues.queue_by_job.get(job_id)
    return None if queue is None else queue.jobs[job_id][1]


def all_jobs(queues):
    """Return every waiting job, in no particular order."""
    return [queue.jobs[job_id][1] for job_id, queue in queues.queue_by_job.items()]


def first_jobs(queues, organisation, urgency, accesses, count):
    """Return the oldest ``count`` jobs of one organisation and urgency."""
    queue_by_class = queues.by_organisation.get(organisation, {})
    entries = []
    for access in accesses:
        queue = queue_by_class.get((urgency, access))
        if queue is not None and queue.jobs:
            entries += _first_entries(queue, count)
    entries.sort(key=lambda entry: entry[:2])
    return [entry[2] for entry in entries[:count]]


def fair_share_heap(queues, urgency, accesses, share_of):
    """Return a heap of the organisations with waiting jobs, the next to serve first.

    Entries are ``(share, queued seconds of the oldest job, organisation)``.
    ``share_of`` returns the dominant share of an organisation divided by its weight;
    the lowest share comes first, and among equal shares the oldest job.
    """
    heap = []
    for organisation in queues.by_organisation:
        if not queues.counts.get(organisation):
            continue
        oldest = first_jobs(queues, organisation, urgency, accesses, 1)
        if oldest:
            heap.append(
                (share_of(organisation), oldest[0].queued_seconds, organisation)
            )
    heapq.heapify(heap)
    return heap


def _first_entries(queue, count):
    entries = []
    while queue.heap and len(entries) < count:
        entry = heapq.heappop(queue.heap)
        if _is_queued(queue, entry):
            entries.append(entry)
    for entry in entries:
        heapq.heappush(queue.heap, entry)
    return [
        (seconds, sequence, queue.jobs[job_id][1])
        for seconds, sequence, job_id in entries
    ]


def _is_queued(queue, entry):
    _, sequence, job_id = entry
    return queue.jobs.get(job_id, (0, None))[0] == sequence
