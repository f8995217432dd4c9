"""HTTP/1.1 with JSON bodies, for the stand-ins; standard library only."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found"}


async def _read_request(reader):
    """Return (method, path, query, headers, body), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return method, parts.path, query, headers, json.loads(body) if body else {}


async def serve(ip, port, handle):
    """Serve until cancelled.

    ``await handle(method, path, query, headers, body)`` returns (status, JSON value).
    """

    async def handle_connection(reader, writer):
        try:
            while request := await _read_request(reader):
                status, value = await handle(*request)
                content = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle_connection, ip, port)
    async with server:
        await server.serve_forever()


async def call(address, method, path, body=None, *, headers=None, timeout_seconds=2.0):
    """Send one request on a connection of its own; returns (status, JSON value)."""

    async def exchange():
        ip, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            content = b"" if body is None else json.dumps(body).encode()
            lines = {"Host": address, **(headers or {})}
            lines |= {"Content-Length": str(len(content)), "Connection": "close"}
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in lines.items()
            )
            writer.write(head.encode() + b"\r\n" + content)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = None
            while line := (await reader.readline()).strip():
                name, _, value = line.decode("latin-1").partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            if length is None:
                content = await reader.read()
            else:
                content = await reader.readexactly(length)
            return status, json.loads(content) if content else None
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_seconds)
