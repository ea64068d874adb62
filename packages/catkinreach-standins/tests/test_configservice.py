"""Tests of the configuration service."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from catkinreach_standins.configservice import ConfigService
from catkinreach_standins.http_client import ClientResponse, send_request
from catkinreach_standins.process import LOOPBACK

Call = Callable[..., Coroutine[Any, Any, ClientResponse]]


def _run(scenario: Callable[[Call], Awaitable[None]]) -> None:
    async def run() -> None:
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

    asyncio.run(run())


def test_read_and_not_modified() -> None:
    async def scenario(service: Call) -> None:
        answer = await service('GET', '/v1/config?after=0&wait_s=0')
        assert answer.json() == {'revision': 1, 'text': 'old text'}
        answer = await service('GET', '/v1/config?after=1&wait_s=0')
        assert answer.status == 304
        record = (await service('GET', '/standin/record')).json()
        assert record['reads'] == 2

    _run(scenario)


def test_watch_ends_with_the_change() -> None:
    async def scenario(service: Call) -> None:
        watch = asyncio.create_task(
            service('GET', '/v1/config?after=1&wait_s=15')
        )
        record = {'watches': 0}
        while not record['watches']:
            record = (await service('GET', '/standin/record')).json()
        await service('PUT', '/standin/config', b'new text')
        assert (await watch).json() == {'revision': 2, 'text': 'new text'}

    _run(scenario)


def test_stale_serves_the_older_text() -> None:
    async def scenario(service: Call) -> None:
        await service('PUT', '/standin/config', b'new text')
        await service('POST', '/standin/faults', {'stale': True})
        answer = await service('GET', '/v1/config?after=0&wait_s=0')
        assert answer.json() == {'revision': 1, 'text': 'old text'}

    _run(scenario)


def test_down_closes_without_an_answer() -> None:
    async def scenario(service: Call) -> None:
        await service('POST', '/standin/faults', {'down': True})
        with pytest.raises(OSError, match='without a response'):
            await service('GET', '/v1/config?after=0&wait_s=0')

    _run(scenario)


def test_frozen_vms_are_published_on_thaw() -> None:
    async def scenario(service: Call) -> None:
        entry = {
            'id': 'vm-1',
            'peer_address': '127.0.0.1:8201',
            'failure_domain': 'domain-a',
            'state': 'leaving',
        }
        await service('POST', '/standin/faults', {'frozen_vms': True})
        await service('PUT', '/standin/vms', [entry])
        answer = await service('GET', '/v1/vms?after=1&wait_s=0')
        assert answer.status == 304
        await service('POST', '/standin/faults', {'frozen_vms': False})
        answer = await service('GET', '/v1/vms?after=1&wait_s=0')
        assert answer.json() == {'revision': 2, 'vms': [entry]}

    _run(scenario)
