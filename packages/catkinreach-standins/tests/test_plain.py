"""Tests of the stand-in of a plain service."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from catkinreach_standins.http_client import send_request
from catkinreach_standins.plain import PlainService
from catkinreach_standins.process import LOOPBACK

HEADERS = {'x-workspace': 'bee', 'idempotency-key': 'claim-1'}


async def _start_service() -> str:
    service = PlainService('bee-app')
    await service.start(LOOPBACK, 0)
    return f'{LOOPBACK}:{service.port}'


def test_execution_without_response_is_counted() -> None:
    async def scenario() -> None:
        address = await _start_service()
        await send_request(
            address,
            'POST',
            '/standin/faults',
            payload={'die_before_answer': 1},
        )
        with pytest.raises(OSError, match='without a response'):
            await send_request(address, 'POST', '/claims', headers=HEADERS)
        response = await send_request(
            address, 'POST', '/claims', payload=b'body', headers=HEADERS
        )
        assert response.json() == {
            'service': 'bee-app',
            'path': '/claims',
            'execution': 2,
            'workspace': 'bee',
            'body_sha256': hashlib.sha256(b'body').hexdigest(),
        }
        record = (await send_request(address, 'GET', '/standin/record')).json()
        assert record['paths'] == {'/claims': 2}
        assert record['executions'] == [
            {'workspace': 'bee', 'key': 'claim-1', 'count': 2}
        ]

    asyncio.run(scenario())
