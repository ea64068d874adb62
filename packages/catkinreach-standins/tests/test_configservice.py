"""Tests of the stand-in of the configuration service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from catkinreach_standins.configservice import ConfigService
from catkinreach_standins.http_client import ClientResponse, send_request
from catkinreach_standins.process import LOOPBACK

ServiceCall = Callable[..., Coroutine[Any, Any, ClientResponse]]


def _run_scenario(scenario: Callable[[ServiceCall], Awaitable[None]]) -> None:
    async def run_with_service() -> None:
        service = ConfigService('old text', ())
        await service.start(LOOPBACK, 0)

        async def call_service(
            method: str, path: str, payload: object = None
        ) -> ClientResponse:
            address = f'{LOOPBACK}:{service.port}'
            return await send_request(address, method, path, payload=payload)

        async with asyncio.timeout(20):
            await scenario(call_service)
        await service.close()

    asyncio.run(run_with_service())


def test_read_returns_not_modified_for_known_revision() -> None:
    async def scenario(call_service: ServiceCall) -> None:
        response = await call_service('GET', '/v1/config?after=0&wait_s=0')
        assert response.json() == {'revision': 1, 'text': 'old text'}
        response = await call_service('GET', '/v1/config?after=1&wait_s=0')
        assert response.status == 304
        record = (await call_service('GET', '/standin/record')).json()
        assert record['reads'] == 2

    _run_scenario(scenario)


def test_watch_ends_when_value_changes() -> None:
    async def scenario(call_service: ServiceCall) -> None:
        watch = asyncio.create_task(
            call_service('GET', '/v1/config?after=1&wait_s=15')
        )
        record = {'watches': 0}
        while not record['watches']:
            record = (await call_service('GET', '/standin/record')).json()
        await call_service('PUT', '/standin/config', b'new text')
        assert (await watch).json() == {'revision': 2, 'text': 'new text'}

    _run_scenario(scenario)


def test_stale_service_returns_previous_text() -> None:
    async def scenario(call_service: ServiceCall) -> None:
        await call_service('PUT', '/standin/config', b'new text')
        await call_service('POST', '/standin/faults', {'stale': True})
        response = await call_service('GET', '/v1/config?after=0&wait_s=0')
        assert response.json() == {'revision': 1, 'text': 'old text'}

    _run_scenario(scenario)


def test_down_service_closes_without_response() -> None:
    async def scenario(call_service: ServiceCall) -> None:
        await call_service('POST', '/standin/faults', {'down': True})
        with pytest.raises(OSError, match='without a response'):
            await call_service('GET', '/v1/config?after=0&wait_s=0')

    _run_scenario(scenario)


def test_frozen_vm_list_is_published_when_unfrozen() -> None:
    async def scenario(call_service: ServiceCall) -> None:
        entry = {
            'id': 'vm-1',
            'peer_address': '127.0.0.1:8201',
            'failure_domain': 'domain-a',
            'state': 'leaving',
        }
        await call_service('POST', '/standin/faults', {'frozen_vms': True})
        await call_service('PUT', '/standin/vms', [entry])
        response = await call_service('GET', '/v1/vms?after=1&wait_s=0')
        assert response.status == 304
        await call_service('POST', '/standin/faults', {'frozen_vms': False})
        response = await call_service('GET', '/v1/vms?after=1&wait_s=0')
        assert response.json() == {'revision': 2, 'vms': [entry]}

    _run_scenario(scenario)
