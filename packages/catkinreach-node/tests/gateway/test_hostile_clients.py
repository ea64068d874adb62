"""Crowds of clients that don't behave, at every address of a front process.

They check nothing that depends on the speed of the machine.
"""

from __future__ import annotations

import asyncio
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


# The process passed its memory or its descriptors, or answered no others.
@pytest.mark.parametrize('entrance', ENTRANCES)
@pytest.mark.parametrize('kind', Misbehaviour, ids=lambda kind: kind.name)
def test_crowd_ends_a_front_or_keeps_others_out(
    tmp_path: Path, kind: Misbehaviour, entrance: str
) -> None:
    async def run() -> None:
        settings = {
            'limits.memory-mb': str(MEMORY_MB),
            'limits.max-fds': str(DESCRIPTORS),
        }
        async with running_fronts(1, tmp_path, fields=settings) as (
            deployment,
            (front,),
        ):
            deployment.store.put('op/config', make_config(7, limits=LIMITS))
            await asyncio.sleep(0.5)
            address, path = _entrance(front, entrance)
            async with hostile_crowd(kind, address, path, CLIENTS):
                await asyncio.sleep(SEND_S)
                most_open = front.open_descriptors

                async def is_served() -> bool:
                    return await _is_answered(deployment, front)

                await eventually(is_served, within_s=ANSWER_S)
                await eventually(front.is_ready, within_s=ANSWER_S)
                most_open = max(most_open, front.open_descriptors)
            assert front.is_running
            assert front.peak_memory_kb < MEMORY_KB
            assert most_open < DESCRIPTORS

    asyncio.run(run())
