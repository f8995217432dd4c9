"""HTTP server of the stand-ins: request errors, field checks, connection control."""

import json

import uvicorn
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.responses import JSONResponse, Response
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

GRACEFUL_STOP_SECONDS = 1


class ClosableProtocol(HttpToolsProtocol):
    """HTTP protocol that gives the application access to the transport.

    Fault modes close connections without an answer, for which ASGI has no message.
    """

    def on_message_begin(self):
        super().on_message_begin()
        self.scope["state"]["transport"] = self.transport


class RequestError(Exception):
    """Error answer with an HTTP status and a stable code."""

    def __init__(self, status, code, message=""):
        super().__init__(f"{status} {code}: {message}")
        self.status = status
        self.code = code
        self.message = message


async def answer_request_error(request, error):
    """Answer a `RequestError` as JSON (a Starlette exception handler)."""
    return JSONResponse(
        {"code": error.code, "message": error.message}, status_code=error.status
    )


async def answer_disconnect(request, error):
    """End a request whose client has left before its whole body was read."""
    return Response(status_code=400)


def make_application(routes):
    """Return the application of a stand-in, with answers to failed requests."""
    return Starlette(
        routes=routes,
        exception_handlers={
            RequestError: answer_request_error,
            ClientDisconnect: answer_disconnect,
        },
    )


async def read_json_object(request):
    """Return the request body as a dict.

    Raises `RequestError` 400 if the body is not a JSON object, and `ClientDisconnect`
    if the client has left.
    """
    try:
        body = json.loads(await request.body())
    except ValueError as error:
        raise RequestError(400, "bad_request", f"body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise RequestError(400, "bad_request", "body is not a JSON object")
    return body


def read_field(body, name, kind, *, minimum=None, default=None):
    """Return a field of a JSON object after checking its type and minimum.

    A field without a default is required; ``kind`` float also accepts integers.
    Raises `RequestError` 400 if the check fails.
    """
    value = body.get(name, default)
    allowed = (int, float) if kind is float else kind
    if isinstance(value, bool) and kind is not bool:
        allowed = ()
    if not isinstance(value, allowed):
        kind_name = "number" if kind is float else kind.__name__
        raise RequestError(400, "bad_request", f"{name} must be of type {kind_name}")
    if minimum is not None and value < minimum:
        raise RequestError(400, "bad_request", f"{name} must be at least {minimum}")
    return value


def make_server(app, *, port):
    """Return a uvicorn server for ``app`` on a loopback port."""
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=port,
        loop="asyncio",
        http=ClosableProtocol,
        ws="none",
        lifespan="off",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=GRACEFUL_STOP_SECONDS,
    )
    return uvicorn.Server(config)
