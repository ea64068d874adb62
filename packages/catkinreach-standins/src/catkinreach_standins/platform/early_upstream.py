"""Stand-in of an upstream that answers before it has read a long request."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

from .upstream_exchange import reset

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD_END = b'\r\n\r\n'
RECEIVE_BUFFER_BYTES = 65_536
IDLE_S = 0.3


class ConnectionEnd(Enum):
    """How the upstream ends a connection on which it has answered."""

    RESET = 'reset'
    CLOSE = 'close'
    HALF_CLOSE = 'half-close'
    """Its own direction is closed at once, the connection reset later."""

    READ_ON = 'read-on'
    """Its own direction is closed at once; it then reads the whole request."""


HALF_CLOSING = frozenset({ConnectionEnd.HALF_CLOSE, ConnectionEnd.READ_ON})
RESETTING = frozenset({ConnectionEnd.RESET, ConnectionEnd.HALF_CLOSE})


class EarlyUpstream:
    """Answers requests with a body once it has read their heads.

    Attributes:
        received_heads: Heads of the requests, without health checks.
    """

    def __init__(
        self, instance_id: str, reply: bytes, end: ConnectionEnd, delay_s: float
    ) -> None:
        """Prepares the upstream.

        Args:
            instance_id: Id that it names in health checks.
            reply: Bytes of the reply; ``{id}`` is replaced by the request id.
            end: How it ends the connection after the reply.
            delay_s: Time between the reply and the end.
        """
        self._instance_id = instance_id
        self._reply = reply
        self._end = end
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self.received_heads: list[bytes] = []

    @property
    def address(self) -> str:
        """Returns the listening address as ``host:port``."""
        assert self._server is not None  # noqa: S101 - it has started
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self) -> None:
        """Listens on a free port of the loopback interface."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=RECEIVE_BUFFER_BYTES
        )

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve_requests(reader, writer)
        finally:
            if not writer.is_closing():
                # The event loop ends before the reply does.
                writer.transport.abort()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async for head in _heads(reader):
            if head.startswith(b'GET /health'):
                writer.write(self._health_reply())
                continue
            self.received_heads.append(head)
            await self._answer(head, reader, writer)
            return
        writer.close()

    def _health_reply(self) -> bytes:
        return (
            f'HTTP/1.1 200 OK\r\nInstance-Id: {self._instance_id}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()

    async def _answer(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = next(
            line.partition(b':')[2].strip()
            for line in head.split(b'\r\n')
            if line.lower().startswith(b'request-id:')
        )
        writer.write(self._reply.replace(b'{id}', request_id))
        await writer.drain()
        if self._end in HALF_CLOSING:
            writer.write_eof()
        await asyncio.sleep(self._delay_s)
        if self._end is ConnectionEnd.READ_ON:
            await _read_rest(reader)
        if self._end in RESETTING:
            reset(writer)
        else:
            writer.close()


async def _read_rest(reader: asyncio.StreamReader) -> None:
    """Reads until the request's connection is idle or closed."""
    with suppress(TimeoutError, ConnectionError):
        while True:
            async with asyncio.timeout(IDLE_S):
                if not await reader.read(RECEIVE_BUFFER_BYTES):
                    return


async def _heads(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yields the heads that arrive; bodies aren't read."""
    while True:
        try:
            yield await reader.readuntil(HEAD_END)
        except (asyncio.IncompleteReadError, ConnectionError):
            return


__all__ = ('ConnectionEnd', 'EarlyUpstream')
