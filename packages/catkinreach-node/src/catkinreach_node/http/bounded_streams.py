"""Streams of accepted connections that hold little of what clients send."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable

    from catkinreach_core.settings.node import Address

READ_AHEAD_BYTES = 4 * 1024
"""Bytes of a connection that are read ahead of its requests; up to twice as
many, and one read, before its socket isn't read further."""

READ_BYTES = 8 * 1024
"""Bytes of one read from a socket."""

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Bytes that the kernel receives ahead for each connection."""

ACCEPTS_AT_ONCE = 32
"""Connections accepted in one turn of the event loop, before any is refused."""

BACKLOG = 1024
"""Connections that wait in the kernel."""

ConnectionHandler: TypeAlias = (
    'Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]'
)


class BoundedStreamProtocol(
    asyncio.StreamReaderProtocol, asyncio.BufferedProtocol
):
    """Feeds a stream from one small buffer that all connections share.

    asyncio's own protocol for streams takes all that the kernel has received,
    up to 256 KiB, into the stream at once.
    """

    def __init__(self, handle: ConnectionHandler, buffer: memoryview) -> None:
        """Prepares the stream of a connection.

        Args:
            handle: Called with the connection's streams.
            buffer: Buffer of a read; it is emptied before another read.
        """
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READ_AHEAD_BYTES, loop=loop)
        super().__init__(reader, handle, loop=loop)
        self._buffer = buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self.data_received(bytes(self._buffer[:nbytes]))


async def start_bounded_server(
    handle: ConnectionHandler, address: Address, tls: ssl.SSLContext | None
) -> asyncio.Server:
    """Starts listening on an address, with TLS if a context is given."""
    buffer = memoryview(bytearray(READ_BYTES))
    server = await asyncio.get_running_loop().create_server(
        lambda: BoundedStreamProtocol(handle, buffer),
        address.host,
        address.port,
        ssl=tls,
        backlog=ACCEPTS_AT_ONCE,
    )
    for listener in server.sockets:
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        _set_backlog(listener.fileno(), BACKLOG)
    return server


def _set_backlog(descriptor: int, backlog: int) -> None:
    """Sets how many connections wait in the kernel.

    asyncio accepts as many in one turn as its own backlog says.
    """
    listener = socket.socket(fileno=descriptor)
    try:
        listener.listen(backlog)
    finally:
        listener.detach()


__all__ = (
    'BoundedStreamProtocol',
    'ConnectionHandler',
    'start_bounded_server',
)
