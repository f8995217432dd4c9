"""Small HTTP/1.1 server and client of the stand-ins, on the standard library."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}
HEAD_LIMIT_BYTES = 65_536


class NoAnswerError(Exception):
    """The request gets no answer: its connection is closed."""


async def serve(handle, ip, port):
    """Serve requests until cancelled.

    ``handle(method, path, query, headers, body)`` is a coroutine function that returns
    a status and a JSON value, or raises `NoAnswerError`.
    """

    async def serve_connection(reader, writer):
        try:
            while await _serve_request(handle, reader, writer):
                pass
        except (NoAnswerError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, ip, port, limit=2**20)
    async with server:
        await server.serve_forever()


async def _serve_request(handle, reader, writer):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    url = urlsplit(target)
    query = {
        name: values[0]
        for name, values in parse_qs(url.query, keep_blank_values=True).items()
    }
    status, value = await handle(
        method, unquote(url.path), query, headers, json.loads(body) if body else {}
    )
    content = json.dumps(value).encode()
    reason = _REASONS.get(status, "Status")
    writer.write(
        f"HTTP/1.1 {status} {reason}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(content)}\r\n\r\n".encode()
        + content
    )
    await writer.drain()
    return headers.get("connection", "").lower() != "close"


async def send(method, address, path, value=None, *, headers=None, timeout_seconds=3.0):
    """Send a request on a connection of its own; returns (status, JSON value).

    The status is 0 if there was no whole answer.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            return await _exchange(method, address, path, value, headers or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _exchange(method, address, path, value, headers):
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        body = b"" if value is None else json.dumps(value).encode()
        lines = {
            "host": address,
            "connection": "close",
            "content-type": "application/json",
            "content-length": str(len(body)),
            **headers,
        }
        text = "".join(f"{name}: {item}\r\n" for name, item in lines.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, item = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(item)
        content = await reader.readexactly(length) if length else b""
        return status, json.loads(content) if content else None
    finally:
        writer.close()
