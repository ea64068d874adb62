"""Tests of the plain service."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from catkinreach_standins.http_client import send_request
from catkinreach_standins.plain import PlainService
from catkinreach_standins.process import LOOPBACK

HEADERS = {'x-workspace': 'bee', 'idempotency-key': 'claim-1'}


async def _started() -> str:
    service = PlainService('bee-app')
    await service.start(LOOPBACK, 0)
    return f'{LOOPBACK}:{service.port}'


def test_execution_that_dies_is_counted() -> None:
    async def scenario() -> None:
        address = await _started()
        await send_request(
            address,
            'POST',
            '/standin/faults',
            payload={'die_before_answer': 1},
        )
        with pytest.raises(OSError, match='without a response'):
            await send_request(address, 'POST', '/claims', headers=HEADERS)
        answer = await send_request(
            address, 'POST', '/claims', payload=b'body', headers=HEADERS
        )
        assert answer.json() == {
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
