"""Streams that are resumed at a VM whose view of the store is old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway import software_versions
from catkinreach_core.ids import RequestId, SoftwareVersion
from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.gateway_fleet import running_fleet
from catkinreach_standins.platform.store import StoreFault

if TYPE_CHECKING:
    from catkinreach_core.gateway.feed import ChangeBatch
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.gateway_fleet import FleetGateway

OWN_PART = 'bb2'
LIFETIME_S = 0.2
CATCH_UP_S = 3.0


def _stand_still(gateway: FleetGateway) -> None:
    """Lets a gateway apply none of the changes that it reads."""

    def ignore(batch: ChangeBatch) -> None:
        del batch

    gateway.app._store._apply_batch = ignore  # type: ignore[method-assign]
    gateway.node.peer_reports.revisions.clear()


def _resumption(deployment: Deployment, name: str) -> HttpRequest:
    return deployment.make_request(
        '/stream/',
        method='POST',
        body=b'prompt',
        token_count='1000,100',
        prompt_prefix=f'aa1:200,{OWN_PART}:800',
        last_event_id='4',
        resumes=name,
    )


async def _status(
    deployment: Deployment, gateway: FleetGateway, request: HttpRequest
) -> int:
    async with deployment.client.exchange(
        gateway.caller_address, request, is_new_connection=True
    ) as response:
        await response.read()
        return response.status


def _runs(deployment: Deployment, request: HttpRequest) -> dict[str, int]:
    request_id = request.header('request-id') or ''
    return {name: deployment.upstreams[name].runs[request_id] for name in 'de'}


async def _join_newer_version(deployment: Deployment) -> None:
    """Lets engine ``e`` join with another version, as in a release."""
    deployment.upstreams['e'].version = 'v2'
    deployment.publish_upstream(deployment.upstreams['e'])
    await asyncio.sleep(LIFETIME_S)


# It took the version that it had seen for the only one that serves.
@pytest.mark.parametrize('holders', ['', 'd'])
def test_vm_out_of_step_resumed_streams_at_another_version(
    monkeypatch: pytest.MonkeyPatch, holders: str
) -> None:
    monkeypatch.setattr(software_versions, 'STREAM_LIFETIME_S', LIFETIME_S)

    async def run() -> None:
        async with running_fleet(1) as (deployment, (gateway,)):
            await asyncio.sleep(2 * LIFETIME_S)
            _stand_still(gateway)
            await _join_newer_version(deployment)
            for name in holders:
                # An earlier stream of the session ran there.
                deployment.upstreams[name].held_parts.add(OWN_PART)
            request = _resumption(deployment, 'begun-at-e')
            assert await _status(deployment, gateway, request) == 503
            assert _runs(deployment, request) == {'d': 0, 'e': 0}

    asyncio.run(run())


# A peer out of step told the version that it had seen.
def test_peer_out_of_step_tells_no_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(software_versions, 'STREAM_LIFETIME_S', LIFETIME_S)

    async def run() -> None:
        async with running_fleet(2) as (deployment, (started, peer)):
            await asyncio.sleep(2 * LIFETIME_S)
            _stand_still(peer)
            await _join_newer_version(deployment)
            request = _resumption(deployment, 'begun-at-e')
            assert await _status(deployment, started, request) == 503
            assert _runs(deployment, request) == {'d': 0, 'e': 0}

    asyncio.run(run())


# Refusing all resumed streams is no way out.
def test_vm_in_step_resumes_streams_of_the_only_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(software_versions, 'STREAM_LIFETIME_S', LIFETIME_S)

    async def run() -> None:
        async with running_fleet(2) as (deployment, gateways):
            await asyncio.sleep(2 * LIFETIME_S)
            for gateway in gateways:
                request = _resumption(deployment, 'begun-before')
                assert await _status(deployment, gateway, request) == 200

    asyncio.run(run())


# Nothing proves the only version while the store is away.
def test_vm_that_reads_no_store_knows_no_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(software_versions, 'STREAM_LIFETIME_S', LIFETIME_S)

    async def run() -> None:
        async with running_fleet(1) as (deployment, (gateway,)):
            await asyncio.sleep(2 * LIFETIME_S)
            deployment.store.fault = StoreFault.RESET
            request = _resumption(deployment, 'begun-before')
            assert await _status(deployment, gateway, request) == 503
            deployment.store.fault = StoreFault.NONE

            async def is_resumed() -> bool:
                request = _resumption(deployment, 'begun-before')
                status = await _status(deployment, gateway, request)
                return status == 200

            await eventually(is_resumed, within_s=CATCH_UP_S)

    asyncio.run(run())


def test_stream_that_the_vm_knows_needs_no_proof(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(software_versions, 'STREAM_LIFETIME_S', LIFETIME_S)

    async def run() -> None:
        async with running_fleet(1) as (deployment, (gateway,)):
            origin = _resumption(deployment, 'known').header('resumes') or ''
            link = gateway.node.stream_versions._link
            link._origins.merge(
                {RequestId(origin): SoftwareVersion('v1')}, gateway.node.clock()
            )
            _stand_still(gateway)
            deployment.store.fault = StoreFault.RESET
            request = _resumption(deployment, 'known')
            assert await _status(deployment, gateway, request) == 200

    asyncio.run(run())
