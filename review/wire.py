"""A little HTTP/1.1 on asyncio streams, for stand-ins and clients."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ_SIZE = 65_536
STREAM_LIMIT = 1024 * 1024


@dataclass
class Message:
    """A request or a response.

    Attributes:
        first_line: Request line or status line, split at spaces.
        headers: Values by name in lower case.
        body: The whole body; empty if it is read elsewhere.
    """

    first_line: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def status(self) -> int:
        """Returns the status code of a response."""
        return int(self.first_line[1])

    @property
    def target(self) -> str:
        """Returns the target of a request."""
        return self.first_line[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the head of a message; ``None`` at the end of the input."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('cut within a head') from error
        return None
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    message = Message(first.split(' ', 2))
    for line in lines:
        name, _, text = line.partition(':')
        message.headers[name.strip().lower()] = text.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Returns the whole body of a message with a length or with chunks."""
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        return b''.join([chunk async for chunk in read_chunks(reader)])
    length = int(message.headers.get('content-length', '0'))
    return await reader.readexactly(length)


async def read_chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yields the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data


def encode_head(first_line: str, headers: dict[str, object]) -> bytes:
    """Returns the bytes of a head."""
    lines = [first_line, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def encode_chunk(data: bytes) -> bytes:
    """Returns data as a chunk; no data as the last one."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    with suppress(OSError, AttributeError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


def free_port(host: str) -> int:
    """Returns a port that nothing uses at a loopback address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]
