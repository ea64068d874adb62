"""The store comes back from a copy some seconds old.

Load pattern: a drill; what the operator and the engines wrote meanwhile is
written again, under revisions that were given out before.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.feed import HistoryLost, StoreUnavailable
from catkinreach_core.gateway.store_position import make_position
from catkinreach_core.settings.node import Address
from catkinreach_node.platform.store import StoreClient
from catkinreach_standins.platform.config import (
    PLAIN_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.deployment import running_deployment
from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.store import StoreFault, StoreStandin
from catkinreach_standins.platform.store_door import open_door

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from catkinreach_standins.http import Response
    from catkinreach_standins.platform.deployment import Deployment

IN_FORCE_S = 2.0
"""The platform's limit for a published change to take effect."""

SETTLE_S = 0.5
POLL_S = 0.02
AWAY_S = 0.3
GRACE_S = 2.5
"""Longer than what a restore leaves for entries to be written again."""

FIRST_ERA = 1
FIRST_REVISION = 10


def _run(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            await scenario(deployment)

    asyncio.run(run())


async def _status(
    deployment: Deployment, path: str, address: Address | None = None
) -> int:
    status, _ = await deployment.client.call_raw(
        address or deployment.caller_address, deployment.make_request(path)
    )
    return status


async def _is_served_in_time(
    deployment: Deployment, path: str, address: Address | None = None
) -> bool:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + IN_FORCE_S
    while loop.time() < until_s:
        if await _status(deployment, path, address) == 200:
            return True
        await asyncio.sleep(POLL_S)
    return False


async def _served_by(deployment: Deployment) -> set[str]:
    """Returns the plain upstreams that receive any of eight requests."""
    before = {
        name: len(upstream.received)
        for name, upstream in deployment.upstreams.items()
    }
    for _ in range(8):
        assert await _status(deployment, '/read/') == 200
    return {
        name
        for name, upstream in deployment.upstreams.items()
        if len(upstream.received) > before[name]
    }


def _config(version: int, *names: str) -> dict[str, object]:
    routes = [
        make_route(name, 'idempotent', PLAIN_SERVICE)
        for name in ('read', *names)
    ]
    return make_config(version, routes=routes)


async def _come_back(
    deployment: Deployment, change: Callable[[], None]
) -> None:
    """Lets the store lose a change that the gateway has applied."""
    copy = deployment.store.copy()
    change()
    await asyncio.sleep(SETTLE_S)
    deployment.store.fault = StoreFault.BUSY
    deployment.store.restore(copy)
    await asyncio.sleep(AWAY_S)
    deployment.store.fault = StoreFault.NONE


@pytest.mark.parametrize('rewritten', [0, 1, 5])
def test_configuration_under_a_reused_revision_applies(rewritten: int) -> None:
    async def scenario(deployment: Deployment) -> None:
        def write_lost() -> None:
            for _ in range(3):
                deployment.store.put('op/note', {})

        await _come_back(deployment, write_lost)
        deployment.store.put('op/config', _config(9, 'new'))
        for _ in range(rewritten):
            deployment.store.put('op/note', {})
        assert await _is_served_in_time(deployment, '/new/')

    _run(scenario)


def test_configuration_that_the_copy_lacks_stays_in_force() -> None:
    async def scenario(deployment: Deployment) -> None:
        await _come_back(
            deployment,
            lambda: deployment.store.put('op/config', _config(9, 'new')),
        )
        for _ in range(10):
            assert await _status(deployment, '/new/') == 200
            await asyncio.sleep(AWAY_S)

    _run(scenario)


@pytest.mark.parametrize('how', ['draining', 'removed'])
def test_older_copy_sends_no_work_to_a_leaving_engine(how: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        leaving = deployment.upstreams['a']

        def leave() -> None:
            if how == 'draining':
                deployment.publish_upstream(leaving, state='draining')
            else:
                deployment.store.remove('servers/a')

        await _come_back(deployment, leave)
        await asyncio.sleep(SETTLE_S)
        assert await _served_by(deployment) == {'b'}
        await asyncio.sleep(GRACE_S)
        assert await _served_by(deployment) == {'b'}
        deployment.publish_upstream(leaving)
        await asyncio.sleep(SETTLE_S)
        assert 'a' in await _served_by(deployment)

    _run(scenario)


@pytest.mark.parametrize('is_written_again', [True, False])
def test_evacuation_outlasts_a_copy_that_lacks_it(
    *, is_written_again: bool
) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.publish_upstream(deployment.upstreams['b'], zone='zone-b')

        def evacuate() -> None:
            deployment.store.put('op/evacuate/zone-a', {})

        await _come_back(deployment, evacuate)
        await asyncio.sleep(SETTLE_S)
        assert await _served_by(deployment) == {'b'}
        if is_written_again:
            evacuate()
        await asyncio.sleep(GRACE_S)
        assert ('a' in await _served_by(deployment)) is not is_written_again

    _run(scenario)


def test_engine_that_the_copy_lacks_serves_until_written_again() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in ('a', 'b'):
            deployment.store.remove(f'servers/{name}')
        await asyncio.sleep(SETTLE_S)

        def register() -> None:
            for name in ('a', 'b'):
                deployment.publish_upstream(deployment.upstreams[name])

        await _come_back(deployment, register)
        for _ in range(5):
            assert await _status(deployment, '/read/') == 200
            await asyncio.sleep(POLL_S)
        register()
        await asyncio.sleep(GRACE_S)
        assert await _served_by(deployment) == {'a', 'b'}

    _run(scenario)


def test_vm_behind_a_closed_door_learns_of_the_new_era(tmp_path: Path) -> None:
    async def run() -> None:
        async with (
            running_fronts(3, tmp_path) as (deployment, fronts),
            open_door(deployment.store) as door,
        ):
            refused = fronts[-1]
            refused.set_field('platform.address', f'127.0.0.1:{door.port}')
            await asyncio.sleep(2 * SETTLE_S)
            copy = deployment.store.copy()
            for _ in range(5):
                deployment.store.put('op/note', {})
            await asyncio.sleep(2 * SETTLE_S)
            door.fault = StoreFault.BUSY
            deployment.store.restore(copy)
            await asyncio.sleep(2 * SETTLE_S)
            deployment.store.put('op/config', _config(9, 'new'))
            assert await _is_served_in_time(
                deployment, '/new/', refused.caller_address
            )

    asyncio.run(run())


class OddStore(StoreStandin):
    """Names its era by any text."""

    def __init__(self, text: str) -> None:
        """Creates an empty store."""
        super().__init__()
        self._text = text

    def with_era(self, response: Response) -> Response:
        """Returns a response with the text as its era."""
        return replace(response, headers={'store-era': self._text})


async def _with_client(
    scenario: Callable[[StoreStandin, StoreClient], Awaitable[None]],
    store: StoreStandin | None = None,
) -> None:
    store = store or StoreStandin()
    await store.start()
    client = StoreClient(Address(host='127.0.0.1', port=store.port))
    try:
        await scenario(store, client)
    finally:
        client.close()
        await store.close()


def test_watch_answered_in_another_era_has_no_history() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        copy = store.copy()
        store.put('op/note', {})
        listing = await client.list_all()
        assert listing.revision == make_position(FIRST_ERA, FIRST_REVISION + 1)
        store.restore(copy)
        for _ in range(3):
            store.put('op/note', {})
            with pytest.raises(HistoryLost):
                await client.watch(listing.revision, 0.0)
        newer = await client.list_all()
        assert newer.revision > listing.revision
        store.era = FIRST_ERA
        with pytest.raises(StoreUnavailable):
            await client.watch(newer.revision, 0.0)

    asyncio.run(_with_client(scenario))


def test_store_that_names_no_era_is_followed() -> None:
    async def scenario(store: StoreStandin, client: StoreClient) -> None:
        store.era = None
        listing = await client.list_all()
        assert listing.revision == FIRST_REVISION
        store.put('op/note', {})
        batch = await client.watch(listing.revision, 0.0)
        assert batch.revision == FIRST_REVISION + 1

    asyncio.run(_with_client(scenario))


@pytest.mark.parametrize('text', ['', '-1', '1.5', 'x', '9' * 400, '134217728'])
def test_malformed_era_is_that_of_a_store_without_one(text: str) -> None:
    async def scenario(_: StoreStandin, client: StoreClient) -> None:
        listing = await client.list_all()
        assert listing.revision == FIRST_REVISION

    asyncio.run(_with_client(scenario, OddStore(text)))
