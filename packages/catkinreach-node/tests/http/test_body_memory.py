"""Memory that the bodies of requests share."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_node.http import body_memory
from catkinreach_node.http.body_memory import (
    COPIES,
    SMALL_BODY_BYTES,
    BodyHold,
    BodyMemory,
)

LARGE_BYTES = 1024 * 1024
MAX_BYTES = COPIES * LARGE_BYTES


@pytest.fixture(autouse=True)
def _short_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(body_memory, 'WAIT_S', 0.05)


def test_bodies_beyond_the_memory_are_taken() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        first, second = BodyHold(memory), BodyHold(memory)
        assert await first.cover(LARGE_BYTES)
        assert not await second.cover(LARGE_BYTES)
        first.release()
        assert await second.cover(LARGE_BYTES)
        second.release()
        assert memory.used_bytes == 0

    asyncio.run(run())


def test_small_body_waits_for_large_ones() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        assert await BodyHold(memory).cover(LARGE_BYTES)
        assert await BodyHold(memory).cover(SMALL_BODY_BYTES)

    asyncio.run(run())


def test_body_larger_than_the_memory_is_never_taken() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        assert await BodyHold(memory).cover(2 * LARGE_BYTES)

    asyncio.run(run())


def test_freed_memory_goes_to_the_last_that_came() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        first = BodyHold(memory)
        assert await first.cover(LARGE_BYTES)
        waits = [
            asyncio.ensure_future(BodyHold(memory).cover(LARGE_BYTES))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        first.release()
        assert await asyncio.gather(*waits) == [True, False]

    asyncio.run(run())


def test_memory_of_a_wait_that_was_cancelled_is_lost() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        first, other = BodyHold(memory), BodyHold(memory)
        assert await first.cover(LARGE_BYTES)
        wait = asyncio.ensure_future(BodyHold(memory).cover(LARGE_BYTES))
        await asyncio.sleep(0)
        first.release()
        wait.cancel()
        await asyncio.wait({wait})
        assert await other.cover(LARGE_BYTES)

    asyncio.run(run())


def test_memory_is_freed_while_somebody_keeps_it() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        hold = BodyHold(memory)
        assert await hold.cover(LARGE_BYTES)
        hold.keep()
        hold.release()
        assert memory.used_bytes
        hold.release()
        assert not memory.used_bytes

    asyncio.run(run())


def test_bytes_read_ahead_take_memory_that_bodies_wait_for() -> None:
    async def run() -> None:
        memory = BodyMemory(MAX_BYTES)
        first, second, ahead = (BodyHold(memory) for _ in range(3))
        assert ahead.try_cover_bytes(1)
        assert not ahead.try_cover_bytes(MAX_BYTES + 1)
        assert await first.cover(LARGE_BYTES)
        wait = asyncio.ensure_future(second.cover(LARGE_BYTES))
        await asyncio.sleep(0)
        assert not ahead.try_cover_bytes(2)
        first.release()
        assert await wait
        second.release()
        ahead.release()
        assert memory.used_bytes == 0

    asyncio.run(run())
