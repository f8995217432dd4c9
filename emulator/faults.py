"""Fault injection for the stand-ins: active faults and an ASGI middleware."""

import anyio
import attrs
from starlette.responses import JSONResponse


@attrs.define(kw_only=True)
class Fault:
    """One active fault; an empty filter matches everything.

    ``remaining_count`` is the number of calls that it still affects; None is
    unlimited. ``subject`` and ``operation`` are a service and an HTTP method at the
    platform, a worker id and an operation at the workers.
    """

    subject: str
    mode: str
    delay_seconds: float = 0.0
    data_centre: str = ""
    operation: str = ""
    path_prefix: str = ""
    remaining_count: int | None = None
    closes_connection: bool = False


@attrs.define(kw_only=True)
class FaultTable:
    """Active faults; the newest one that matches a call applies."""

    any_subject: str
    faults: list[Fault] = attrs.field(factory=list)

    def add(self, fault):
        """Activate a fault; mode ``up`` instead removes the faults that it matches."""
        if fault.mode == "up":
            self.faults = [old for old in self.faults if not self._matches(fault, old)]
        else:
            self.faults.append(fault)

    def clear(self):
        """Remove all faults."""
        self.faults.clear()

    def consume(self, *, subject, operation, data_centre="", path="", modes=None):
        """Return the fault that applies to a call, or None, and count the call.

        The count removes a fault whose ``remaining_count`` is used up. ``modes``
        restricts the search to these modes.
        """
        for fault in reversed(self.faults):
            if (
                fault.subject in (subject, self.any_subject)
                and fault.operation in ("", operation)
                and fault.data_centre in ("", data_centre)
                and path.startswith(fault.path_prefix)
                and (modes is None or fault.mode in modes)
            ):
                if fault.remaining_count is not None:
                    fault.remaining_count -= 1
                    if fault.remaining_count <= 0:
                        self.faults.remove(fault)
                return fault
        return None

    def _matches(self, pattern, fault):
        return (
            pattern.subject in (fault.subject, self.any_subject)
            and pattern.operation in ("", fault.operation)
            and pattern.data_centre in ("", fault.data_centre)
            and pattern.path_prefix in ("", fault.path_prefix)
        )


def make_fault_middleware(app, consume_fault):
    """Wrap an ASGI app; ``consume_fault(scope)`` returns the fault of a call or None.

    ``slow`` applies the call after the delay even if the caller has given up by
    then, as a store with a long queue does. ``lose_response`` applies it and closes
    the connection without an answer, ``late`` applies it at once and answers after
    the delay, ``down`` and ``vanish`` do not apply it. The delay applies to all modes.
    """

    async def run(scope, receive, send):
        fault = consume_fault(scope) if scope["type"] == "http" else None
        if fault is None:
            await app(scope, receive, send)
            return
        receive = await _buffer_body(receive)
        if fault.mode == "down" and not fault.closes_connection:
            await anyio.sleep(fault.delay_seconds)
            body = {"code": "unavailable", "message": "fault: down"}
            await JSONResponse(body, status_code=503)(scope, receive, send)
        elif fault.mode in ("down", "vanish"):
            await anyio.sleep(fault.delay_seconds)
            await _close_connection(scope, receive)
        elif fault.mode == "slow":
            await anyio.sleep(fault.delay_seconds)
            await app(scope, receive, send)
        else:
            messages = []

            async def collect(message):
                messages.append(message)

            await app(scope, receive, collect)
            await anyio.sleep(fault.delay_seconds)
            if fault.mode == "lose_response":
                await _close_connection(scope, receive)
                return
            for message in messages:
                await send(message)

    return run


async def _buffer_body(receive):
    """Read the request body now: uvicorn drops it when the caller disconnects."""
    messages = []
    while True:
        message = await receive()
        messages.append(message)
        if message["type"] != "http.request" or not message.get("more_body"):
            break

    async def replay():
        return messages.pop(0) if messages else await receive()

    return replay


async def _close_connection(scope, receive):
    scope["state"]["transport"].close()
    # uvicorn would answer 500 if this returned before it noticed the close.
    while (await receive())["type"] != "http.disconnect":
        pass
