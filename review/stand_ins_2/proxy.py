"""A proxy that can let its open connections go silent, without a reset.

    python3 proxy.py IP PORT TARGET

On SIGUSR1 it drops all further bytes of the connections that are open; new ones work.
"""

import asyncio
import contextlib
import signal
import sys


class Connection:
    """One forwarded connection."""

    def __init__(self):
        self.is_silent = False


async def _copy(reader, writer, connection):
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            if not connection.is_silent:
                writer.write(data)
                await writer.drain()
        if not connection.is_silent:
            writer.write_eof()


async def main(ip, port, target):
    """Serve until the process is ended."""
    connections = set()
    target_ip, _, target_port = target.rpartition(":")

    async def forward(reader, writer):
        connection = Connection()
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(
                target_ip, int(target_port)
            )
            connections.add(connection)
            await asyncio.gather(
                _copy(reader, far_writer, connection),
                _copy(far_reader, writer, connection),
            )
            connections.discard(connection)
            far_writer.close()
        writer.close()

    def silence():
        for connection in connections:
            connection.is_silent = True

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, silence)
    server = await asyncio.start_server(forward, ip, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
