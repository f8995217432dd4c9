"""HTTP/1.1 connections that bound what a client makes the process hold.

uvicorn's protocol on httptools has no limit on heads, trailers and the lines between
chunks, and makes an object of each request sent ahead. Here the parser gets a slice at
a time. Nothing more is parsed or read while a whole request waits for its answer.
"""

import asyncio

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from .connection_table import ConnectionState

# A slice bounds the number of requests that are parsed ahead of an answer: a request
# has at least 16 bytes.
SLICE_BYTES = 128
# Estimated memory of a request that has been parsed, what it takes more while it is
# being answered, and that of a header line beside its bytes.
REQUEST_BYTES = 4096
ANSWERING_BYTES = 12288
HEADER_BYTES = 200
# Estimated bytes that the kernel keeps of a connection that is not read.
PAUSED_BYTES = 65536


class _BoundedFlow(FlowControl):
    """Flow control that leaves reading paused while ``is_held``.

    An application that waits for a message resumes reading.
    """

    def __init__(self, transport):
        super().__init__(transport)
        self.is_held = False

    def resume_reading(self):
        if not self.is_held:
            super().resume_reading()


class BoundedHttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Protocol of one accepted connection.

    Parameters
    ----------
    table : ConnectionTable
        Holds the limits, and the connections of all listeners of the process.
    """

    def __init__(self, *arguments, table, **keywords):
        super().__init__(*arguments, **keywords)
        self._table = table
        self._unparsed = b""
        # Bytes since the parser last completed a head, a chunk's line, a piece of a
        # body or a message.
        self._line_bytes = 0
        self._new_bytes = 0
        self._unread_bytes = 0
        self._is_receiving = False
        self._has_head = False
        self._has_begun = False
        self._is_refused = False

    def connection_made(self, transport):
        super().connection_made(transport)
        # Without a limit of zero, an unread answer would not pause writing.
        transport.set_write_buffer_limits(high=0)
        self.flow = _BoundedFlow(transport)
        self._table.add(self)

    def connection_lost(self, exc):
        super().connection_lost(exc)
        # Otherwise the timer keeps a connection that was reset in memory.
        self._unset_keepalive_if_required()
        self._drop_requests()
        self._table.remove(self)

    def get_buffer(self, sizehint):
        return self._table.read_buffer

    def buffer_updated(self, nbytes):
        self.data_received(bytes(self._table.read_buffer[:nbytes]))

    def data_received(self, data):
        if self._is_refused or self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        self._unparsed += data
        self._table.hold(self, len(data))
        self._parse()

    def pause_writing(self):
        super().pause_writing()
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._table.set_unread(self, True)
        self._table.hold(self, self._unread_bytes)

    def resume_writing(self):
        super().resume_writing()
        self._table.set_unread(self, False)
        self._release_memory()
        if self._unparsed:
            self._parse()

    def on_response_complete(self):
        super().on_response_complete()
        if self._is_refused or self.transport.is_closing():
            return
        self._release_memory()
        self._hold_new_memory()
        if self._unparsed:
            self._parse()
        else:
            self._update_state()

    def has_read(self):
        """Return whether the client has read a part of an answer since the last call.

        The first call counts from the time at which the answer was written.
        """
        previous_bytes = self._unread_bytes
        self._unread_bytes = self.transport.get_write_buffer_size()
        return self._unread_bytes < previous_bytes

    def refuse(self, reason, *, status=None):
        """Close the connection, and count it by a reason.

        Parameters
        ----------
        reason : str
        status : int, optional
            Status of an answer that is sent before, unless another one is due.
        """
        if self._is_refused:
            return
        self._is_refused = True
        self._table.count_refusal(reason)
        self._table.remove(self)
        if status and self._is_answered() and not self.flow.write_paused:
            self.transport.write(
                STATUS_LINE[status] + b"content-length: 0\r\nconnection: close\r\n\r\n"
            )
            self.transport.close()
        self._drop_requests()
        if self.transport.get_write_buffer_size() or not self.transport.is_closing():
            self.transport.abort()

    def on_message_begin(self):
        super().on_message_begin()
        self._is_receiving = self._has_begun = True
        self._new_bytes += REQUEST_BYTES

    def on_header(self, name, value):
        # Nothing here uses trailers.
        if not self._has_head:
            self._new_bytes += HEADER_BYTES
            super().on_header(name, value)

    def on_headers_complete(self):
        self._has_head = True
        self._line_bytes = 0
        super().on_headers_complete()

    def on_chunk_header(self):
        self._line_bytes = 0

    def on_body(self, body):
        self._line_bytes = 0
        super().on_body(body)

    def on_message_complete(self):
        self._line_bytes = 0
        self._is_receiving = self._has_head = False
        super().on_message_complete()

    def _parse(self):
        """Parse what has been read, up to a whole request that has no answer yet."""
        data, position = self._unparsed, 0
        was_held = self.flow.is_held
        while (
            position < len(data)
            and not self._is_answering()
            and not self.flow.write_paused
        ):
            part = data[position : position + SLICE_BYTES]
            position += len(part)
            self._parse_slice(part)
            if self._is_refused:
                return
        self._unparsed = data[position:]
        self.flow.is_held = bool(self._unparsed)
        if self._unparsed:
            self._unset_keepalive_if_required()
            self.flow.pause_reading()
            if not was_held:
                self._table.hold(self, PAUSED_BYTES)
        elif was_held and not self._is_answering():
            self.flow.resume_reading()
        self._release_memory()
        self._update_state()

    def _parse_slice(self, part):
        self._line_bytes += len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here: the request is answered as it is.
            self.cycle.keep_alive = False
        except httptools.HttpParserError:
            self.refuse("malformed", status=400)
            return
        if self._line_bytes > self._table.limits.head_bytes:
            self.refuse("head_too_large", status=431)
            return
        self._hold_new_memory()

    def _is_answering(self):
        """Return whether the newest request is whole and has no answer yet."""
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete and not cycle.more_body

    def _is_answered(self):
        """Return whether no request with a whole head waits for its answer."""
        return self.cycle is None or self.cycle.response_complete

    def _hold_new_memory(self):
        """Count what requests that were parsed or started take."""
        if self._new_bytes:
            self._table.hold(self, self._new_bytes)
            self._new_bytes = 0

    def _release_memory(self):
        """Count only what has been read, if no request and no answer is held."""
        if not self._is_answered() or self.flow.write_paused:
            return
        kept_bytes = len(self._unparsed) + PAUSED_BYTES * self.flow.is_held
        if self._is_receiving and not self._has_head:
            kept_bytes += REQUEST_BYTES + self._line_bytes
            kept_bytes += HEADER_BYTES * len(self.headers)
        self._new_bytes = 0
        self._table.release(self, kept_bytes=kept_bytes)

    def _update_state(self):
        if self._is_answering():
            state = ConnectionState.ANSWERING
        elif self._is_receiving or self._line_bytes:
            state = ConnectionState.RECEIVING
        elif self.cycle is None:
            state = ConnectionState.CONNECTED
        else:
            state = ConnectionState.IDLE
        self._table.set_state(self, state, is_new_request=self._has_begun)
        self._has_begun = False

    def _start_asgi_task(self, cycle, app):
        self._new_bytes += ANSWERING_BYTES
        super()._start_asgi_task(cycle, app)

    def _drop_requests(self):
        # The connection itself is kept until the next turn of the event loop.
        self._unparsed = b""
        self.pipeline.clear()
        if self._is_receiving and not self._has_head:
            self.headers.clear()
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.body = bytearray()
            self.cycle.disconnected = True
            self.cycle.message_event.set()
