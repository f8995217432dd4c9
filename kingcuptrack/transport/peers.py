"""Links between entry instances: requests and answers as CBOR over WebSockets."""

import itertools
import math
import time

import anyio
from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import InvalidHandshake, WebSocketException

from ..outcomes import Done, Refused, Unknown
from ..protocol.codecs import cbor_converter, decode_cbor, encode_cbor
from ..protocol.messages import MESSAGE_KINDS, Envelope, Failed

# All results of a job are sent in one message; larger ones are passed through the
# object store.
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024

_CONNECTION_OPTIONS = {
    "max_size": MESSAGE_LIMIT_BYTES,
    # Heartbeats detect dead links; WebSocket pings would only add traffic.
    "ping_interval": None,
    "compression": None,
    "close_timeout": 0.2,
}


def pack_message(message, *, request_id, is_response):
    """Return the CBOR frame of a message."""
    return encode_cbor(
        Envelope(
            request_id=request_id,
            is_response=is_response,
            kind=type(message).__name__,
            body=cbor_converter.unstructure(message),
        )
    )


def unpack_message(frame):
    """Return the envelope and the typed message of a frame.

    Raises
    ------
    ValueError
        If the frame is malformed or of an unknown kind.
    """
    envelope = decode_cbor(frame, Envelope)
    kind = MESSAGE_KINDS.get(envelope.kind)
    if kind is None:
        raise ValueError(f"unknown message kind {envelope.kind!r}")
    try:
        return envelope, cbor_converter.structure(envelope.body, kind)
    except Exception as error:  # cattrs raises exception groups of many types
        raise ValueError(f"malformed {envelope.kind}: {error!r}") from error


class PeerLink:
    """Connection to one peer; a lost connection is replaced at the next call."""

    def __init__(self, *, address, task_group):
        self.address = address
        self._task_group = task_group
        self._connection = None
        self._connect_lock = anyio.Lock()
        self._request_ids = itertools.count(1)
        # Connection and send stream for the answer, by request id.
        self._pending = {}
        self._last_received_seconds = float("-inf")

    async def call(self, message, *, timeout_seconds):
        """Send a request and wait for its answer.

        Returns
        -------
        Done, Refused or Unknown
            Refused with code ``unreachable`` if the request was not sent.
        """
        request_id = next(self._request_ids)
        connection = None
        sent_seconds = time.monotonic()
        send_stream, receive_stream = anyio.create_memory_object_stream(1)
        try:
            with anyio.fail_after(timeout_seconds):
                connection = await self._connect()
                if connection is None:
                    return Refused(code="unreachable", message=self.address)
                self._pending[request_id] = (connection, send_stream)
                frame = pack_message(message, request_id=request_id, is_response=False)
                await connection.send(frame)
                answer = await receive_stream.receive()
        except TimeoutError:
            if connection is not None and self._last_received_seconds < sent_seconds:
                # TCP doubles its retransmission timeout during a partition, so a
                # connection may stay silent for as long again after the partition
                # ends. A new connection works at once.
                self._discard(connection)
            return Unknown(message=f"{self.address}: no answer in time")
        except (anyio.EndOfStream, WebSocketException, OSError) as error:
            return Unknown(message=f"{self.address}: {error!r}")
        finally:
            self._pending.pop(request_id, None)
            send_stream.close()
            receive_stream.close()
        if isinstance(answer, Failed):
            return Unknown(message=f"{self.address}: {answer.message}")
        return Done(value=answer)

    async def close(self):
        """Close the connection; pending calls end as Unknown."""
        if self._connection is not None:
            await self._connection.close()

    def _discard(self, connection):
        if self._connection is connection:
            self._connection = None
            self._task_group.start_soon(connection.close)

    async def _connect(self):
        async with self._connect_lock:
            if self._connection is not None:
                return self._connection
            try:
                self._connection = await connect(
                    f"ws://{self.address}", **_CONNECTION_OPTIONS
                )
            except (OSError, InvalidHandshake, TimeoutError, EOFError):
                return None
            self._task_group.start_soon(self._read_answers, self._connection)
            return self._connection

    async def _read_answers(self, connection):
        try:
            async for frame in connection:
                self._last_received_seconds = time.monotonic()
                envelope, message = unpack_message(frame)
                # Drops duplicate answers, and answers to calls that have timed out.
                pending = self._pending.pop(envelope.request_id, None)
                if envelope.is_response and pending is not None:
                    pending[1].send_nowait(message)
        except (WebSocketException, OSError, ValueError) as error:
            logger.debug("peer link to {} lost: {!r}", self.address, error)
        finally:
            if self._connection is connection:
                self._connection = None
            for request_connection, send_stream in list(self._pending.values()):
                if request_connection is connection:
                    send_stream.close()


async def serve_peers(handle, *, ip, port, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve requests of peers until cancelled.

    Parameters
    ----------
    handle : callable
        Coroutine function from a message to its answer.
    """

    async def answer(connection, envelope, message):
        try:
            result = await handle(message)
        except Exception as error:  # one failed request must not end the link
            logger.exception("handling the request {} of a peer failed", envelope.kind)
            result = Failed(message=repr(error))
        response = pack_message(
            result, request_id=envelope.request_id, is_response=True
        )
        try:
            await connection.send(response)
        except (WebSocketException, OSError):
            logger.debug("connection of a peer closed before its answer was sent")

    async def serve_connection(connection):
        async with anyio.create_task_group() as task_group:
            try:
                async for frame in connection:
                    envelope, message = unpack_message(frame)
                    task_group.start_soon(answer, connection, envelope, message)
            except ValueError as error:
                logger.warning("closing a peer link after a malformed frame: {}", error)
            except (WebSocketException, OSError) as error:
                logger.debug("peer link ended: {!r}", error)
            task_group.cancel_scope.cancel()

    async with serve(serve_connection, ip, port, **_CONNECTION_OPTIONS):
        task_status.started()
        await anyio.sleep(math.inf)
