"""What the stand-ins of the own interface have in common."""

import anyio
from starlette.responses import JSONResponse
from starlette.routing import Route

from emulator.service import make_application, read_json_object

from .support import check, function_tests

load_tests = function_tests(__name__)


def test_a_client_that_leaves_before_its_body_is_read_raises_nothing():
    """Guards against tracebacks of stand-ins that hide those of faults."""
    handled = []

    async def write(request):
        body = await read_json_object(request)
        handled.append(body)
        return JSONResponse({})

    async def run():
        messages = [
            {"type": "http.request", "body": b'{"va', "more_body": True},
            {"type": "http.disconnect"},
        ]

        async def receive():
            return messages.pop(0)

        async def send(message):
            pass

        scope = {
            "type": "http",
            "method": "PUT",
            "path": "/row",
            "headers": [],
            "query_string": b"",
        }
        application = make_application([Route("/row", write, methods=["PUT"])])
        await application(scope, receive, send)

    anyio.run(run)
    check.assertEqual(handled, [])
