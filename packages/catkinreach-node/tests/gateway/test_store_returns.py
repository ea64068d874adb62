"""Changes apply in time when the store comes back, or turns a VM away.

Load pattern: the store is silent for seconds, or refuses some VMs, while the
operator goes on to publish.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.config import (
    PLAIN_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.deployment import running_deployment
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.store import StoreFault
from catkinreach_standins.platform.store_door import open_door

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from catkinreach_core.settings.node import Address
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

IN_FORCE_S = 2.0
"""The platform's limit for a published change to take effect."""

START_S = 4.0
"""The platform's limit for a VM to catch up."""

WATCH_BEGINS_S = 0.4
"""Time after a change by which a VM's next watch has begun."""

POLL_S = 0.02

RELOAD_S = 1.0
"""Time by which a changed settings file is in force."""

LARGE_FLEET = 26

NEW_ROUTE = '/new/'
REFUSALS = [
    StoreFault.BUSY,
    StoreFault.RATE_LIMITED,
    StoreFault.RESET,
    StoreFault.SILENT,
]


def _config_with_new_route(version: int) -> dict[str, object]:
    routes = [
        make_route('read', 'idempotent', PLAIN_SERVICE),
        make_route('new', 'idempotent', PLAIN_SERVICE),
    ]
    return make_config(version, routes=routes)


async def _status(
    deployment: Deployment, address: Address, path: str = NEW_ROUTE
) -> int:
    status, _ = await deployment.client.call_raw(
        address, deployment.make_request(path)
    )
    return status


async def _is_in_force_in_time(
    deployment: Deployment, address: Address
) -> bool:
    """Returns whether the new route is served within the limit."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + IN_FORCE_S
    while loop.time() < until_s:
        if await _status(deployment, address) == 200:
            return True
        await asyncio.sleep(POLL_S)
    return False


@pytest.mark.parametrize('silence_s', [2.9, 6.0])
def test_read_that_began_in_a_silence_delays_a_configuration(
    silence_s: float,
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            deployment.store.put('op/note', {})
            await asyncio.sleep(WATCH_BEGINS_S)
            deployment.store.fault = StoreFault.SILENT
            await asyncio.sleep(silence_s)
            deployment.store.fault = StoreFault.NONE
            deployment.store.put('op/config', _config_with_new_route(9))
            assert await _is_in_force_in_time(
                deployment, deployment.caller_address
            )

    asyncio.run(run())


def _with_refused_front(
    folder: Path,
    fault: StoreFault,
    scenario: Callable[[Deployment, FrontProcess], Awaitable[None]],
) -> None:
    """Runs a scenario with three fronts, the last of which is turned away."""

    async def run() -> None:
        async with (
            running_fronts(3, folder) as (deployment, fronts),
            open_door(deployment.store) as door,
        ):
            refused = fronts[-1]
            refused.set_field('platform.address', f'127.0.0.1:{door.port}')
            await asyncio.sleep(RELOAD_S)
            door.fault = fault
            # Ends the watch that it began at the other address.
            deployment.store.put('op/note', {})
            await asyncio.sleep(RELOAD_S)
            await scenario(deployment, refused)

    asyncio.run(run())


@pytest.mark.parametrize('fault', REFUSALS)
def test_vm_that_the_store_refuses_keeps_an_old_configuration(
    tmp_path: Path, fault: StoreFault
) -> None:
    async def scenario(deployment: Deployment, refused: FrontProcess) -> None:
        assert await _status(deployment, refused.caller_address) == 404
        deployment.store.put('op/config', _config_with_new_route(9))
        assert await _is_in_force_in_time(deployment, refused.caller_address)

    _with_refused_front(tmp_path, fault, scenario)


def test_vm_that_the_store_refuses_uses_an_upstream_that_leaves(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Deployment, refused: FrontProcess) -> None:
        leaving = deployment.upstreams['a']
        deployment.publish_upstream(leaving, state='draining')
        await asyncio.sleep(IN_FORCE_S)
        before = len(leaving.received)
        for _ in range(8):
            path = '/read/'
            status = await _status(deployment, refused.caller_address, path)
            assert status == 200
        assert len(leaving.received) == before

    _with_refused_front(tmp_path, StoreFault.BUSY, scenario)


def test_vm_that_starts_while_the_store_refuses_it_gets_ready(
    tmp_path: Path,
) -> None:
    async def scenario(deployment: Deployment, refused: FrontProcess) -> None:
        deployment.store.put('op/config', _config_with_new_route(9))
        await refused.kill()
        await refused.launch()
        await refused.wait_ready_unharmed(within_s=START_S)
        assert await _is_in_force_in_time(deployment, refused.caller_address)

    _with_refused_front(tmp_path, StoreFault.BUSY, scenario)


@pytest.mark.long
def test_half_of_a_large_fleet_that_the_store_refuses_is_late(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with (
            running_fronts(LARGE_FLEET, tmp_path) as (deployment, fronts),
            open_door(deployment.store) as door,
        ):
            refused = fronts[::2]
            for front in refused:
                front.set_field('platform.address', f'127.0.0.1:{door.port}')
            await asyncio.sleep(RELOAD_S)
            door.fault = StoreFault.BUSY
            deployment.store.put('op/note', {})
            await asyncio.sleep(RELOAD_S)
            deployment.store.put('op/config', _config_with_new_route(9))
            in_time = await asyncio.gather(
                *(
                    _is_in_force_in_time(deployment, front.caller_address)
                    for front in refused
                )
            )
            assert all(in_time)

    asyncio.run(run())
