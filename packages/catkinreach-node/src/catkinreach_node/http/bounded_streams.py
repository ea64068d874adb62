"""Streams of accepted connections that hold little of what clients send."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import TYPE_CHECKING, TypeAlias

from loguru import logger

if TYPE_CHECKING:
    import ssl
    from collections.abc import Awaitable, Callable, Sequence

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

NO_RESOURCES = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
"""Errors of an accept after which no further one succeeds."""

TURNS_TO_ATTACH = 4
"""Turns of the event loop after which asyncio has attached each connection that
it accepted. It drops those that it hasn't when their listener closes."""

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


class BoundedServer:
    """Listens on an address and hands each connection's streams over."""

    def __init__(
        self, handle: ConnectionHandler, tls: ssl.SSLContext | None
    ) -> None:
        """Prepares the server; it doesn't listen yet.

        Args:
            handle: Called with the streams of each connection.
            tls: Context of TLS; ``None`` for plain connections.
        """
        self._handle = handle
        self._tls = tls
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._server: asyncio.Server | None = None
        # Connections accepted at the stop whose streams aren't handed over yet.
        self._starting: set[asyncio.Task[None]] = set()

    @property
    def is_serving(self) -> bool:
        """Returns whether clients can connect."""
        return self._server is not None and self._server.is_serving()

    @property
    def sockets(self) -> Sequence[socket.socket]:
        """Returns the listening sockets."""
        return () if self._server is None else self._server.sockets

    async def start(self, address: Address) -> None:
        """Starts listening on an address."""
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol,
            address.host,
            address.port,
            ssl=self._tls,
            backlog=ACCEPTS_AT_ONCE,
        )
        for listener in self.sockets:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            _set_backlog(listener.fileno(), BACKLOG)

    async def stop(self) -> None:
        """Stops listening; clients that have connected are still served.

        The kernel resets those that wait at a listener when it closes, although
        their requests may have arrived.
        """
        loop = asyncio.get_running_loop()
        for listener in self.sockets:
            loop.remove_reader(listener.fileno())
        for _ in range(TURNS_TO_ATTACH):
            await asyncio.sleep(0)
        waiting = [
            connection
            for listener in self.sockets
            for connection in _accept_waiting(listener.fileno())
        ]
        self.close()
        for connection in waiting:
            starting = asyncio.ensure_future(self._hand_over(connection))
            self._starting.add(starting)
            starting.add_done_callback(self._starting.discard)

    def close(self) -> None:
        """Closes the listening sockets."""
        if self._server is not None:
            self._server.close()

    def _make_protocol(self) -> BoundedStreamProtocol:
        return BoundedStreamProtocol(self._handle, self._buffer)

    async def _hand_over(self, connection: socket.socket) -> None:
        """Hands over the streams of a connection accepted at the stop."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_protocol, connection, ssl=self._tls
            )
        except OSError as error:
            logger.debug('http: client left while it connected: {}.', error)
            connection.close()


def _accept_waiting(descriptor: int) -> list[socket.socket]:
    """Accepts the connections that wait at a listener."""
    accepted: list[socket.socket] = []
    listener = socket.socket(fileno=descriptor)
    try:
        listener.settimeout(0)
        for _ in range(BACKLOG):
            try:
                connection, _address = listener.accept()
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in NO_RESOURCES:
                    break
                continue  # This one has failed; others wait behind it.
            connection.settimeout(0)
            accepted.append(connection)
    finally:
        listener.detach()
    return accepted


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
    'BoundedServer',
    'BoundedStreamProtocol',
    'ConnectionHandler',
)
