"""Clients that don't behave, as a crowd at one address of a front process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from enum import Enum
from typing import TYPE_CHECKING

from .config import HOST, KEY

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from catkinreach_core.settings.node import Address

LEGAL_BODY_BYTES = 4 * 1024 * 1024 - 1024
LEGAL_HEAD_BYTES = 32 * 1024 - 512
LARGE_BODY_BYTES = 1024**3
PIECE_BYTES = 1024
CHUNK_BYTES = 16 * 1024
BLOCK = bytes(64 * 1024)
"""What a body in one piece is written from, as fast as the process reads. A
copy of its own for each client would fill the memory of the test."""

SLOW_GAP_S = 0.2
REQUESTS_AHEAD = 400
OPEN_TIMEOUT_S = 5.0


class Misbehaviour(Enum):
    """What a client sends; it never reads, and leaves its connection open."""

    STOPS_SHORT = 'body in one piece, but for its last byte'
    PIECES_STOP_SHORT = 'body in small pieces, but for its last byte'
    CHUNKS_STOP_SHORT = 'body in chunks, but for the last chunk'
    OVER_LIMIT = 'body far over the limit'
    MANY_FIELDS = 'heads of legal size with very many short fields'
    SENDS_AHEAD = 'many requests without reading an answer'
    SLOW_HEAD = 'a byte of a head now and then'


def _head(path: str, framing: str, number: int) -> bytes:
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: h{number}',
        f'Authorization: Bearer {KEY}',
        'Deadline-Ms: 10000',
        framing,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _stops_short(path: str, number: int) -> Iterator[bytes]:
    yield _head(path, f'Content-Length: {LEGAL_BODY_BYTES}', number)
    rest = LEGAL_BODY_BYTES - 1
    while rest:
        piece = BLOCK[:rest]
        yield piece
        rest -= len(piece)


def _pieces_stop_short(path: str, number: int) -> Iterator[bytes]:
    yield _head(path, f'Content-Length: {LEGAL_BODY_BYTES}', number)
    for _ in range(LEGAL_BODY_BYTES // PIECE_BYTES - 1):
        yield bytes(PIECE_BYTES)


def _chunks_stop_short(path: str, number: int) -> Iterator[bytes]:
    yield _head(path, 'Transfer-Encoding: chunked', number)
    for _ in range(LEGAL_BODY_BYTES // CHUNK_BYTES):
        yield f'{CHUNK_BYTES:x}\r\n'.encode() + bytes(CHUNK_BYTES) + b'\r\n'


def _over_limit(path: str, number: int) -> Iterator[bytes]:
    yield _head(path, f'Content-Length: {LARGE_BODY_BYTES}', number)
    for _ in range(LEGAL_BODY_BYTES * 2 // CHUNK_BYTES):
        yield bytes(CHUNK_BYTES)


def _many_fields(path: str, number: int) -> Iterator[bytes]:
    head = _head(path, 'Content-Length: 1', number)[:-2]
    field = b'a:b\r\n'
    count = (LEGAL_HEAD_BYTES - len(head)) // len(field)
    yield head + field * count + b'\r\nx'


def _sends_ahead(path: str, number: int) -> Iterator[bytes]:
    for _ in range(REQUESTS_AHEAD):
        yield _head(path, 'Content-Length: 1', number) + b'x'


def _slow_head(path: str, number: int) -> Iterator[bytes]:
    for byte in _head(path, 'Content-Length: 1', number):
        yield bytes((byte,))


PIECES: dict[Misbehaviour, Callable[[str, int], Iterator[bytes]]] = {
    Misbehaviour.STOPS_SHORT: _stops_short,
    Misbehaviour.PIECES_STOP_SHORT: _pieces_stop_short,
    Misbehaviour.CHUNKS_STOP_SHORT: _chunks_stop_short,
    Misbehaviour.OVER_LIMIT: _over_limit,
    Misbehaviour.MANY_FIELDS: _many_fields,
    Misbehaviour.SENDS_AHEAD: _sends_ahead,
    Misbehaviour.SLOW_HEAD: _slow_head,
}
"""What a client sends, one piece for each write."""


async def _send(
    kind: Misbehaviour, path: str, number: int, writer: asyncio.StreamWriter
) -> None:
    """Sends all there is, then waits until it is cancelled."""
    with suppress(OSError):
        for piece in PIECES[kind](path, number):
            if writer.is_closing():
                break
            writer.write(piece)
            await writer.drain()
            if kind is Misbehaviour.SLOW_HEAD:
                await asyncio.sleep(SLOW_GAP_S)
    await asyncio.Event().wait()


async def _misbehave(
    kind: Misbehaviour, address: Address, path: str, number: int
) -> None:
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            # Little is read: what the process sends stays in the socket.
            _, writer = await asyncio.open_connection(
                address.host, address.port, limit=1
            )
        try:
            await _send(kind, path, number, writer)
        finally:
            writer.transport.abort()


@asynccontextmanager
async def hostile_crowd(
    kind: Misbehaviour, address: Address, path: str, clients: int
) -> AsyncIterator[None]:
    """Runs a crowd of clients at an address; they leave on exit.

    Args:
        kind: What all of them do.
        address: Where they connect.
        path: Path of their requests.
        clients: Number of clients.
    """
    crowd = [
        asyncio.ensure_future(_misbehave(kind, address, path, number))
        for number in range(clients)
    ]
    try:
        yield
    finally:
        for client in crowd:
            client.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)


__all__ = ('Misbehaviour', 'hostile_crowd')
