"""Configuration by operators: queues, organisations and their guarantees."""

import attrs

from ..jobs.steps import NO_RESOURCES, Resources


@attrs.frozen(kw_only=True)
class Queue:
    """A queue of jobs and the service whose workers run them.

    A request belongs to the queue of its host with the longest ``path_prefix`` that
    the request's path starts with. A job is on time if it ends within ``stretch``
    times its critical path plus ``target_latency_seconds``.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    attempts_limit: int
    stretch: float
    target_latency_seconds: float
    is_public: bool = False


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation, its keys and the number of its guaranteed accelerators.

    ``weight`` is its share under contention, 0 if none is given. ``maximum`` limits
    what it has running at a time; resources of 0 are not limited.
    """

    name: str
    keys: frozenset[str]
    guarantee_gpus: int = 0
    weight: float = 0.0
    maximum: Resources = NO_RESOURCES


@attrs.frozen(kw_only=True)
class ClusterPolicy:
    """One version of the configuration.

    ``version`` is the version that operators assign, ``row_version`` that of the
    stored row, which conditions of transactions refer to.
    """

    version: int
    row_version: int
    queues: tuple[Queue, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    body_limit_bytes: int = 262144

    def find_queue(self, host, path):
        """Return the queue of a request, or None."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(matching, key=lambda queue: len(queue.path_prefix), default=None)

    def find_organisation(self, key):
        """Return the organisation that a key belongs to, or None."""
        for organisation in self.organisations:
            if key and key in organisation.keys:
                return organisation
        return None
