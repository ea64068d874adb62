"""Changes that the store publishes, and outages of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.config import (
    PLAIN_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.store import StoreFault
from catkinreach_standins.platform.upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

IN_FORCE_S = 2.0
"""The platform's limit for a configuration change to take effect."""

AFTER_OUTAGE_S = 5.0
"""The platform's limit after a store outage: a grace period without checks,
then the limit for a change."""

SETTLE_S = 0.3


def _run(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            await scenario(deployment)

    asyncio.run(run())


async def _status(deployment: Deployment, path: str = '/read/') -> int:
    status, _ = await deployment.client.call_raw(
        deployment.caller_address, deployment.make_request(path)
    )
    return status


async def _wait_for_status(
    deployment: Deployment,
    path: str,
    expected: int,
    *,
    within_s: float = IN_FORCE_S,
) -> None:
    async def is_in_force() -> bool:
        return await _status(deployment, path) == expected

    await eventually(is_in_force, within_s=within_s)


async def _served_by(deployment: Deployment) -> set[str]:
    """Returns the plain upstreams that receive any of eight requests."""
    before = {
        name: len(upstream.received)
        for name, upstream in deployment.upstreams.items()
    }
    for _ in range(8):
        await _status(deployment)
    return {
        name
        for name, upstream in deployment.upstreams.items()
        if len(upstream.received) > before[name]
    }


def test_configuration_change_applies_and_never_reverts() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert await _status(deployment, '/new/') == 404
        changed = make_config(
            9, routes=[make_route('new', 'idempotent', PLAIN_SERVICE)]
        )
        deployment.store.put('op/config', changed)
        await _wait_for_status(deployment, '/new/', 200)
        deployment.store.put('op/config', make_config(7))
        await asyncio.sleep(SETTLE_S)
        assert await _status(deployment, '/new/') == 200
        assert await _status(deployment, '/read/') == 404

    _run(scenario)


def test_withdrawn_api_key_is_refused() -> None:
    async def scenario(deployment: Deployment) -> None:
        tenants = [{'name': 'one', 'api-keys': ['key-new'], 'unit': 'tokens'}]
        deployment.store.put('op/config', make_config(9, tenants=tenants))
        await _wait_for_status(deployment, '/read/', 401)

    _run(scenario)


@pytest.mark.parametrize(
    'change', ['draining', 'removed', 'unreadable', 'malformed']
)
def test_leaving_upstream_receives_no_new_requests(change: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        leaving = deployment.upstreams['a']
        if change == 'draining':
            deployment.publish_upstream(leaving, state='draining')
        elif change == 'removed':
            deployment.store.remove('servers/a')
        elif change == 'unreadable':
            deployment.store.put('servers/a', b'\xff{')
        else:
            deployment.publish_upstream(leaving, slots='six')
        await asyncio.sleep(SETTLE_S)
        assert await _served_by(deployment) == {'b'}

    _run(scenario)


def test_evacuated_failure_domain_receives_no_new_requests() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.publish_upstream(deployment.upstreams['b'], zone='zone-b')
        deployment.store.put('op/evacuate/zone-a', {})
        await asyncio.sleep(SETTLE_S)
        assert await _served_by(deployment) == {'b'}
        deployment.store.remove('op/evacuate/zone-a')
        await asyncio.sleep(SETTLE_S)
        assert 'a' in await _served_by(deployment)

    _run(scenario)


@pytest.mark.parametrize(
    'fault',
    [
        StoreFault.BUSY,
        StoreFault.RATE_LIMITED,
        StoreFault.RESET,
        StoreFault.SILENT,
    ],
)
def test_node_keeps_serving_during_a_store_outage(fault: StoreFault) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.fault = fault
        deployment.store.compact()
        await asyncio.sleep(0.5)
        assert await _status(deployment) == 200
        assert await deployment.is_ready()
        deployment.store.put('op/config', make_config(9, routes=[]))
        deployment.store.fault = StoreFault.NONE
        deployment.store.compact()
        await _wait_for_status(
            deployment, '/read/', 404, within_s=AFTER_OUTAGE_S
        )

    _run(scenario)


def test_change_missing_from_a_compacted_history_is_applied() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.store.fault = StoreFault.RESET
        deployment.store.compact()
        deployment.store.remove('servers/a')
        deployment.store.compact()
        deployment.store.fault = StoreFault.NONE
        await asyncio.sleep(4.0)
        assert await _served_by(deployment) == {'b'}

    _run(scenario)


def test_upstream_at_a_reused_address_runs_no_request() -> None:
    async def scenario(deployment: Deployment) -> None:
        other = UpstreamStandin('other', 'another-service')
        await other.start()
        deployment.store.put('servers/a', other.entry(service=PLAIN_SERVICE))
        await asyncio.sleep(SETTLE_S)
        for _ in range(6):
            assert await _status(deployment) == 200
        assert not other.runs
        assert len(other.received) <= 1
        other.close()

    _run(scenario)


def test_node_serves_when_its_metrics_port_is_in_use() -> None:
    async def run() -> None:
        deployment = Deployment()
        taken = await asyncio.start_server(
            lambda _, writer: writer.close(),
            deployment.metrics_address.host,
            deployment.metrics_address.port,
        )
        async with running_deployment(deployment=deployment):
            assert await _status(deployment) == 200
        taken.close()

    asyncio.run(run())


def test_metrics_are_served() -> None:
    async def scenario(deployment: Deployment) -> None:
        await _status(deployment)
        request = deployment.make_request('/metrics')
        status, body = await deployment.client.call_raw(
            deployment.metrics_address, request
        )
        assert status == 200
        assert b'catkinreach_answers_total' in body

    _run(scenario)
