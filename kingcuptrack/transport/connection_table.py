"""The accepted connections of a process, and which of them are closed for others."""

import collections
import enum
import time

from ..logs import log_event
from .connection_limits import ConnectionLimits

# One log line tells all refusals of such an interval.
REFUSALS_LOG_INTERVAL_SECONDS = 5.0
# Bytes that are read from a connection at a time.
READ_BYTES = 16384
# When connections run out, those that have sent no whole request are closed first, if
# they are at least this old. An ordinary client sends its request sooner.
NEWCOMER_SECONDS = 1.0


class ConnectionState(enum.Enum):
    """What a connection waits for."""

    CONNECTED = "connected"  # its first byte
    RECEIVING = "receiving"  # the rest of a request
    ANSWERING = "answering"  # the answer to a request
    IDLE = "idle"  # the next request


_CONNECTED = ConnectionState.CONNECTED
_RECEIVING = ConnectionState.RECEIVING
_IDLE = ConnectionState.IDLE


class ConnectionTable:
    """Accepted connections of all listeners of a process, and what they hold.

    Parameters
    ----------
    limits : ConnectionLimits
    count_refusal : callable
        Called with the reason of each refused connection.
    clock : callable
        Returns the time of a monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        limits=ConnectionLimits(),  # noqa: B008 immutable
        count_refusal=lambda reason: None,
        clock=time.monotonic,
    ):
        self.limits = limits
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.held_bytes = 0
        self._count_refusal = count_refusal
        self._clock = clock
        # The times since when connections are in a state, the longest first.
        self._since_seconds = {state: {} for state in ConnectionState}
        self._state_of = {}
        self._held_bytes_of = {}
        self._unread_since_seconds = {}
        self._refusals = collections.Counter()
        self._refusals_logged_at_seconds = float("-inf")

    def __len__(self):
        return len(self._state_of)

    def add(self, connection):
        """Add a new connection; refuses another one, or it, if there are too many."""
        self._state_of[connection] = _CONNECTED
        self._held_bytes_of[connection] = 0
        self._since_seconds[_CONNECTED][connection] = self._clock()
        if len(self._state_of) > self.limits.connections_count:
            self._choose_connection_to_close().refuse("too_many_connections")

    def remove(self, connection):
        """Forget a connection; does nothing if it is not in the table."""
        state = self._state_of.pop(connection, None)
        if state is None:
            return
        del self._since_seconds[state][connection]
        self.held_bytes -= self._held_bytes_of.pop(connection)
        self._unread_since_seconds.pop(connection, None)

    def set_state(self, connection, state, *, is_new_request=False):
        """Note the state of a connection, and whether it began a request in it."""
        previous = self._state_of.get(connection)
        if previous is None or (previous is state and not is_new_request):
            return
        del self._since_seconds[previous][connection]
        self._state_of[connection] = state
        self._since_seconds[state][connection] = self._clock()

    def hold(self, connection, size_bytes):
        """Count memory of a connection; beyond the limit, refuse connections.

        Clients that leave a request unfinished or an answer unread for the longest time
        are refused first, and the connection itself if there are no others.
        """
        if connection not in self._state_of:
            return
        self._held_bytes_of[connection] += size_bytes
        self.held_bytes += size_bytes
        while self.held_bytes > self.limits.held_bytes and self._state_of:
            slow = min(
                (
                    next(iter(since.items()))
                    for since in (
                        self._since_seconds[_RECEIVING],
                        self._unread_since_seconds,
                    )
                    if since
                ),
                key=lambda item: item[1],
                default=(connection, 0.0),
            )[0]
            slow.refuse("memory")
            if connection not in self._state_of:
                return

    def release(self, connection, *, kept_bytes=0):
        """Count only ``kept_bytes`` of a connection from now on."""
        if connection in self._state_of:
            self.held_bytes += kept_bytes - self._held_bytes_of[connection]
            self._held_bytes_of[connection] = kept_bytes

    def set_unread(self, connection, is_unread):
        """Note whether a part of an answer waits for the client to read it."""
        if not is_unread:
            self._unread_since_seconds.pop(connection, None)
        elif connection in self._state_of:
            self._unread_since_seconds.setdefault(connection, self._clock())

    def count_refusal(self, reason):
        """Count a refused connection for the log and the metrics."""
        self._refusals[reason] += 1
        self._count_refusal(reason)

    def sweep(self):
        """Refuse connections whose time is over, and log what was refused."""
        now_seconds = self._clock()
        limits = self.limits
        for since_seconds, limit_seconds, reason in (
            (
                self._since_seconds[_CONNECTED],
                limits.silence_timeout_seconds,
                "silent",
            ),
            (
                self._since_seconds[_RECEIVING],
                limits.message_timeout_seconds,
                "unfinished_request",
            ),
        ):
            for connection, since in list(since_seconds.items()):
                if now_seconds - since <= limit_seconds:
                    break
                connection.refuse(reason)
        self._refuse_unread(now_seconds)
        self._log_refusals(now_seconds)

    def _choose_connection_to_close(self):
        """Return the connection that is closed so that another one can be accepted."""
        now_seconds = self._clock()
        newcomers = [
            next(iter(self._since_seconds[state].items()))
            for state in (_CONNECTED, _RECEIVING)
            if self._since_seconds[state]
        ]
        connection, since_seconds = min(
            newcomers, key=lambda item: item[1], default=(None, now_seconds)
        )
        if connection and now_seconds - since_seconds >= NEWCOMER_SECONDS:
            return connection
        if self._since_seconds[_IDLE]:
            return next(iter(self._since_seconds[_IDLE]))
        # A connection has just been added, so that there is a newcomer.
        return connection

    def _refuse_unread(self, now_seconds):
        """Refuse connections whose clients have read nothing for too long."""
        for connection, since_seconds in list(self._unread_since_seconds.items()):
            if now_seconds - since_seconds <= self.limits.unread_timeout_seconds:
                return
            if connection.has_read():
                del self._unread_since_seconds[connection]
                self._unread_since_seconds[connection] = now_seconds
            else:
                connection.refuse("unread_answer")

    def _log_refusals(self, now_seconds):
        elapsed_seconds = now_seconds - self._refusals_logged_at_seconds
        if not self._refusals or elapsed_seconds < REFUSALS_LOG_INTERVAL_SECONDS:
            return
        log_event(
            "connections",
            outcome="refused",
            reasons=dict(self._refusals),
            open_count=len(self._state_of),
            held_bytes=self.held_bytes,
        )
        self._refusals.clear()
        self._refusals_logged_at_seconds = now_seconds
