"""Crowds of clients that don't behave, at every address of a front process.

They check nothing that depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Final

import pytest

from catkinreach_node.http.connection import ConnectError, ExchangeError
from catkinreach_standins.platform.config import make_config, make_limits
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.hostile_clients import (
    Misbehaviour,
    hostile_crowd,
)
from catkinreach_standins.platform.processes import running_fronts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from catkinreach_core.settings.node import Address
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

CLIENTS: Final = 400
MEMORY_MB: Final = 80
MEMORY_KB: Final = 80_000
DESCRIPTORS: Final = 300
SEND_S: Final = 2.0
"""Time in which the crowd sends before the process is looked at."""
ANSWER_S: Final = 60.0
"""Time limit of a hung process."""
ATTEMPT_S: Final = 10.0
LIMITS: Final = make_limits(
    **{
        'max-header-bytes': 32 * 1024,
        'max-body-bytes': 4 * 1024 * 1024,
        'header-timeout-ms': 10_000,
        'idle-timeout-ms': 20_000,
    }
)
ENTRANCES: Final = {
    'route': ('caller_address', '/order/x'),
    'no route': ('caller_address', '/nowhere/x'),
    'ready': ('ready_address', '/ready'),
    'metrics': ('metrics_address', '/metrics'),
}


def _entrance(front: FrontProcess, name: str) -> tuple[Address, str]:
    attribute, path = ENTRANCES[name]
    return getattr(front, attribute), path


async def _is_answered(deployment: Deployment, front: FrontProcess) -> bool:
    """Returns whether an ordinary request is answered."""
    request = deployment.make_request('/read/')
    try:
        async with (
            asyncio.timeout(ATTEMPT_S),
            deployment.client.exchange(
                front.caller_address, request, is_new_connection=True
            ) as response,
        ):
            return response.status == 200
    except (ConnectError, ExchangeError, TimeoutError):
        return False


async def _check_front(deployment: Deployment, front: FrontProcess) -> int:
    """Checks that others are served; returns the most descriptors seen."""
    most_open = front.open_descriptors

    async def is_served() -> bool:
        return await _is_answered(deployment, front)

    await eventually(is_served, within_s=ANSWER_S)
    await eventually(front.is_ready, within_s=ANSWER_S)
    return max(most_open, front.open_descriptors)


@asynccontextmanager
async def _small_front(
    folder: Path, memory_mb: int, descriptors: int
) -> AsyncIterator[tuple[Deployment, FrontProcess]]:
    """Runs a front process with little memory and few descriptors."""
    fields = {
        'limits.memory-mb': str(memory_mb),
        'limits.max-fds': str(descriptors),
    }
    async with running_fronts(1, folder, fields=fields) as (deployment, fronts):
        deployment.store.put('op/config', make_config(7, limits=LIMITS))
        await asyncio.sleep(0.5)
        yield deployment, fronts[0]


# The process passed its memory or its descriptors, or answered no others.
@pytest.mark.parametrize('entrance', ENTRANCES)
@pytest.mark.parametrize('kind', Misbehaviour, ids=lambda kind: kind.name)
def test_crowd_ends_a_front_or_keeps_others_out(
    tmp_path: Path, kind: Misbehaviour, entrance: str
) -> None:
    async def run() -> None:
        async with _small_front(tmp_path, MEMORY_MB, DESCRIPTORS) as (
            deployment,
            front,
        ):
            address, path = _entrance(front, entrance)
            async with hostile_crowd(kind, address, path, CLIENTS):
                await asyncio.sleep(SEND_S)
                most_open = await _check_front(deployment, front)
            assert front.is_running
            assert front.peak_memory_kb < MEMORY_KB
            assert most_open < DESCRIPTORS

    asyncio.run(run())


@pytest.mark.parametrize(
    ('clients', 'memory_mb', 'descriptors', 'duration_s'),
    [
        (100, MEMORY_MB, DESCRIPTORS, SEND_S),
        pytest.param(1000, 128, 4100, 60.0, marks=pytest.mark.long),
    ],
)
def test_mixed_crowds_end_a_front_or_keep_others_out(
    tmp_path: Path,
    clients: int,
    memory_mb: int,
    descriptors: int,
    duration_s: float,
) -> None:
    async def run() -> None:
        async with (
            _small_front(tmp_path, memory_mb, descriptors) as (
                deployment,
                front,
            ),
            AsyncExitStack() as crowds,
        ):
            for number, kind in enumerate(Misbehaviour):
                for offset, name in enumerate(ENTRANCES):
                    # The clients of a kind are shared out to the entrances.
                    count = (clients + (number + offset) % 4) // 4
                    address, path = _entrance(front, name)
                    await crowds.enter_async_context(
                        hostile_crowd(kind, address, path, count)
                    )
            await asyncio.sleep(duration_s)
            most_open = await _check_front(deployment, front)
            await crowds.aclose()
            assert front.is_running
            assert front.peak_memory_kb < memory_mb * 1000
            assert most_open < descriptors

    asyncio.run(run())
