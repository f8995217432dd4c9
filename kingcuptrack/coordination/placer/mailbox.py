"""Mailboxes, by which other tasks send requests to the task that owns a state."""

import math

import anyio
import attrs


@attrs.define(kw_only=True)
class Request:
    """A message, and its answer once ``answered`` is set."""

    message: object
    answer: object = None
    answered: anyio.Event = attrs.field(factory=anyio.Event)

    def reply(self, answer):
        """Set the answer; later ones are ignored."""
        if not self.answered.is_set():
            self.answer = answer
            self.answered.set()


class Mailbox:
    """Unbounded queue of requests and events.

    The limits that the owner sets for its callers bound the length.
    """

    def __init__(self):
        self._send_stream, self._receive_stream = anyio.create_memory_object_stream(
            math.inf
        )

    def post(self, message):
        """Queue an event that needs no answer."""
        self._send_stream.send_nowait(Request(message=message))

    async def call(self, message):
        """Queue a request and wait for its answer."""
        request = Request(message=message)
        self._send_stream.send_nowait(request)
        await request.answered.wait()
        return request.answer

    async def receive(self, *, timeout_seconds):
        """Return the next request, or None after the timeout."""
        with anyio.move_on_after(timeout_seconds):
            return await self._receive_stream.receive()
        return None

    def receive_nowait(self):
        """Return the next request, or None if there is none."""
        try:
            return self._receive_stream.receive_nowait()
        except anyio.WouldBlock:
            return None
