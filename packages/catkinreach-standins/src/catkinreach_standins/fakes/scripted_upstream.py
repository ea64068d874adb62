"""HTTP upstream that sends scripted bytes, pauses and closes."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from enum import Enum
from typing import TypeAlias

from catkinreach_core.settings.node import Address

from ..bench.ports import LOOPBACK


class End(Enum):
    """How an upstream ends a connection."""

    CLOSE = 'close'
    RESET = 'reset'


Step: TypeAlias = bytes | float | End
"""Bytes to send, seconds to pause, or the end of the connection."""

Script: TypeAlias = Callable[[str, int], Sequence[Step]]
"""Returns the steps for a path and the number of earlier requests on the
connection."""

_LENGTH_HEADER = b'content-length:'
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""A linger time of zero seconds: the close sends a reset."""


def encode_response(
    body: bytes, *, status: int = 200, content_type: str = 'application/json'
) -> bytes:
    """Returns a response with the length of its body."""
    head = (
        f'HTTP/1.1 {status} scripted\r\n'
        f'content-type: {content_type}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class ScriptedUpstream:
    """Answers each request by the steps of a script."""

    def __init__(self, script: Script) -> None:
        """Takes the script; nothing was received yet."""
        self._script = script
        self.paths: list[str] = []
        self.connection_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection until either side ends it."""
        self.connection_count += 1
        try:
            await self._serve_requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        earlier_count = 0
        while True:
            path = await _read_request(reader)
            self.paths.append(path)
            for step in self._script(path, earlier_count):
                if isinstance(step, bytes):
                    writer.write(step)
                    await writer.drain()
                elif isinstance(step, End):
                    _end_connection(writer, step)
                    return
                else:
                    await asyncio.sleep(step)
            earlier_count += 1


async def _read_request(reader: asyncio.StreamReader) -> str:
    """Reads a whole request and returns its path."""
    head = await reader.readuntil(b'\r\n\r\n')
    request_line, *headers = head.split(b'\r\n')
    for header in headers:
        if header.lower().startswith(_LENGTH_HEADER):
            await reader.readexactly(int(header[len(_LENGTH_HEADER) :]))
    return request_line.split()[1].decode()


def _end_connection(writer: asyncio.StreamWriter, end: End) -> None:
    if end is End.RESET:
        connection = writer.get_extra_info('socket')
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        writer.transport.abort()
    else:
        writer.close()


@asynccontextmanager
async def scripted_upstream(
    script: Script,
) -> AsyncIterator[tuple[ScriptedUpstream, Address]]:
    """Runs a scripted upstream on a free port of loopback."""
    upstream = ScriptedUpstream(script)
    server = await asyncio.start_server(upstream.serve, LOOPBACK, 0)
    port: int = server.sockets[0].getsockname()[1]
    try:
        yield upstream, Address(LOOPBACK, port)
    finally:
        server.close()


__all__ = (
    'End',
    'Script',
    'ScriptedUpstream',
    'Step',
    'encode_response',
    'scripted_upstream',
)
