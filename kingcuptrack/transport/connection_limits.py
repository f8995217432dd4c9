"""Limits of what the clients of a process can make it hold."""

import resource

import attrs

# Descriptors of a process that are kept for files; small processes keep a quarter.
FILES_DESCRIPTORS_COUNT = 200
# Share of the other descriptors for accepted connections. The rest is for the store,
# the workers and connections that are accepted and then refused.
CONNECTIONS_FRACTION = 0.5
# Memory of an accepted connection without a request, and the share of the memory of the
# machine for such connections.
CONNECTION_BYTES = 12288
CONNECTIONS_MEMORY_FRACTION = 0.15
# Share of the memory of the machine for requests that arrive or are being answered.
REQUESTS_MEMORY_FRACTION = 0.2
BACKLOG_LIMIT_COUNT = 512
# Memory of a process whose settings do not tell it. Answers of the own interface have
# tens of MB.
DEFAULT_MEMORY_MB = 1024.0
# Descriptors of a process without a limit of them; its memory bounds the connections.
UNLIMITED_DESCRIPTORS_COUNT = 2**20


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Limits of accepted connections.

    The first three hold for all listeners that share a `ConnectionTable`.

    Parameters
    ----------
    connections_count : int
        Open connections.
    held_bytes : int
        Estimated memory of the requests that arrive or are being answered, and of
        answers that have not been read.
    backlog_count : int
        Connections that a listener accepts at a time.
    head_bytes : int
        Bytes of a request's head with the empty lines before it, of a line between the
        chunks of a body, and of the trailers behind it.
    message_timeout_seconds : float
        Longest time from the first byte of a request to its last one.
    silence_timeout_seconds : float
        Longest time to the first byte of a connection.
    unread_timeout_seconds : float
        Longest time for which a client reads nothing of an answer.
    """

    connections_count: int = 1024
    held_bytes: int = 64 * 2**20
    backlog_count: int = 256
    head_bytes: int = 16384
    message_timeout_seconds: float = 15.0
    silence_timeout_seconds: float = 30.0
    unread_timeout_seconds: float = 10.0


def limits_of_process(*, memory_mb=DEFAULT_MEMORY_MB, descriptors_count=0):
    """Return the `ConnectionLimits` of this process.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in units of 2**20 bytes.
    descriptors_count : int
        Descriptors that the process may open, 0 if not known. The soft limit of the
        process holds in any case.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known_limits = [
        limit
        for limit in (soft_limit, descriptors_count)
        if limit not in (0, resource.RLIM_INFINITY)
    ]
    return derive_limits(
        memory_mb=memory_mb,
        descriptors_count=min(known_limits, default=UNLIMITED_DESCRIPTORS_COUNT),
    )


def derive_limits(*, memory_mb, descriptors_count):
    """Return the `ConnectionLimits` of a process.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in units of 2**20 bytes.
    descriptors_count : int
        Descriptors that the process may open.
    """
    memory_bytes = memory_mb * 2**20
    sockets_count = descriptors_count - min(
        FILES_DESCRIPTORS_COUNT, descriptors_count // 4
    )
    connections_count = max(
        1,
        min(
            int(CONNECTIONS_FRACTION * sockets_count),
            int(CONNECTIONS_MEMORY_FRACTION * memory_bytes / CONNECTION_BYTES),
        ),
    )
    return ConnectionLimits(
        connections_count=connections_count,
        held_bytes=int(REQUESTS_MEMORY_FRACTION * memory_bytes),
        backlog_count=max(1, min(BACKLOG_LIMIT_COUNT, connections_count // 4)),
    )
