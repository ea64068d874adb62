"""StallGuard cancels a stalled wait and no other one."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_node.session.stall import StallGuard

LIMIT_S = 0.12


def test_wait_longer_than_limit_times_out() -> None:
    async def scenario() -> None:
        guard = StallGuard(LIMIT_S)
        with pytest.raises(TimeoutError), guard.wait():
            await asyncio.Event().wait()
        guard.close()
        await asyncio.sleep(0)

    asyncio.run(scenario())


def test_limit_applies_to_each_wait() -> None:
    async def scenario() -> None:
        guard = StallGuard(LIMIT_S)
        for _ in range(30):
            with guard.wait():
                await asyncio.sleep(0.01)
        guard.close()

    asyncio.run(scenario())


def test_time_between_waits_is_not_counted() -> None:
    async def scenario() -> None:
        guard = StallGuard(LIMIT_S)
        with guard.wait():
            await asyncio.sleep(0)
        await asyncio.sleep(2 * LIMIT_S)
        with guard.wait():
            await asyncio.sleep(0)
        guard.close()

    asyncio.run(scenario())


def test_external_cancellation_is_not_a_timeout() -> None:
    async def wait() -> None:
        guard = StallGuard(LIMIT_S)
        try:
            with guard.wait():
                await asyncio.Event().wait()
        finally:
            guard.close()

    async def scenario() -> None:
        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
