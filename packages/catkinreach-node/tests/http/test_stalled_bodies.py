"""Clients that announce bodies and don't send them, beside others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http import body_memory
from catkinreach_node.http.body_memory import (
    COPIES,
    SMALL_BODY_BYTES,
    BodyMemory,
)
from catkinreach_standins.fakes.http_servers import running_server

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address

BODY_BYTES = 200_000
MEMORY_BYTES = 500_000
FIRST_BYTES = 50_000
STALL_S = 0.2
WAIT_S = 3.0


@pytest.fixture(autouse=True)
def _short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(body_memory, 'STALL_S', STALL_S, raising=False)
    monkeypatch.setattr(body_memory, 'WAIT_S', WAIT_S)


async def _begin(
    address: Address, sent_bytes: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request with the first bytes of its body."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = f'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n'
    writer.write(head.encode() + b'\r\n' + bytes(sent_bytes))
    return reader, writer


async def _status(reader: asyncio.StreamReader) -> int:
    return int((await reader.readline()).split()[1])


# Others got a 503 until the timeout of the body that didn't come.
def test_stalled_body_keeps_the_memory_that_others_wait_for() -> None:
    async def run() -> None:
        memory = BodyMemory(MEMORY_BYTES)
        async with running_server(memory=memory) as (_, address):
            stalled, first = await _begin(address, FIRST_BYTES)
            await asyncio.sleep(2 * STALL_S)
            other, second = await _begin(address, BODY_BYTES)
            assert await _status(other) == 200
            assert await _status(stalled) == 408
            first.close()
            second.close()

    asyncio.run(run())


def test_stalled_body_is_refused_while_nobody_wants_its_memory() -> None:
    async def run() -> None:
        async with running_server() as (_, address):
            stalled, first = await _begin(address, FIRST_BYTES)
            await asyncio.sleep(2 * STALL_S)
            other, second = await _begin(address, BODY_BYTES)
            assert await _status(other) == 200
            first.write(bytes(BODY_BYTES - FIRST_BYTES))
            assert await _status(stalled) == 200
            first.close()
            second.close()

    asyncio.run(run())


# Small requests waited behind large bodies, or got a 503, on x86-64.
@pytest.mark.parametrize(
    'framing_and_body',
    [
        b'content-length: 2\r\n\r\n{}',
        b'transfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n',
    ],
    ids=['announced', 'chunked'],
)
def test_small_request_waits_for_memory_that_large_bodies_hold(
    framing_and_body: bytes,
) -> None:
    async def run() -> None:
        memory = BodyMemory(MEMORY_BYTES)
        assert memory.try_reserve(MEMORY_BYTES)
        async with running_server(memory=memory) as (_, address):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(b'POST /x HTTP/1.1\r\nhost: a\r\n')
            writer.write(framing_and_body)
            assert await _status(reader) == 200
            writer.close()

    asyncio.run(run())


# A body of announced length asked for memory beyond its length, and the first
# ones that had theirs waited for each other.
def test_announced_body_asks_for_more_memory_than_its_length() -> None:
    async def run() -> None:
        memory = BodyMemory(MEMORY_BYTES)
        announced_bytes = COPIES * (BODY_BYTES - SMALL_BODY_BYTES)
        assert memory.try_reserve(MEMORY_BYTES - announced_bytes)
        async with running_server(memory=memory) as (_, address):
            reader, writer = await _begin(address, BODY_BYTES)
            assert await _status(reader) == 200
            writer.close()

    asyncio.run(run())
