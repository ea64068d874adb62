"""Entries of another writer among those of the engines."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from catkinreach_standins.platform.config import PLAIN_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin

DEPTH = 2000
DIGITS = '9' * 400
NESTED = b'{"notes":' + b'[' * DEPTH + b']' * DEPTH + b'}'
VALID = msgspec.json.encode(
    {
        'service': PLAIN_SERVICE,
        'address': '127.0.0.1:9',
        'zone': 'zone-a',
        'slots': 6,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'sequence': 1,
    }
)
ODD_ENTRIES = {
    'nested': NESTED,
    'slots': VALID.replace(b'"slots":6', b'"slots":' + DIGITS.encode()),
    'cold': VALID.replace(b'-ms":0', b'-ms":' + DIGITS.encode()),
    'port': VALID.replace(b':9"', b':99999"'),
    'digits': VALID.replace(b':9"', b':' + DIGITS.encode() * 20 + b'"'),
    'empty': b'',
    'text': b'\xff\xfe',
}
REQUEST_COUNT = 6


async def _statuses(deployment: Deployment) -> list[int]:
    """Returns the statuses of some requests."""
    requests = [deployment.make_request('/read/') for _ in range(REQUEST_COUNT)]
    client = deployment.client
    responses = [
        await client.call_raw(deployment.caller_address, request)
        for request in requests
    ]
    return [status for status, _ in responses]


# The gateway ended, and again at each start, as it read the entry anew.
@pytest.mark.parametrize('name', ODD_ENTRIES)
@pytest.mark.parametrize('is_there_at_start', [False, True])
def test_odd_entry_ends_the_gateway(
    name: str, *, is_there_at_start: bool
) -> None:
    async def run() -> None:
        deployment = Deployment()
        if is_there_at_start:
            deployment.store.put('servers/i-odd', ODD_ENTRIES[name])
        async with running_deployment(deployment=deployment):
            deployment.store.put('servers/i-odd', ODD_ENTRIES[name])
            await _check_that_changes_apply(deployment)
            assert await _statuses(deployment) == [200] * REQUEST_COUNT

    asyncio.run(run())


async def _check_that_changes_apply(deployment: Deployment) -> None:
    """Checks that an engine that comes after the entry gets requests."""
    late = UpstreamStandin('late', PLAIN_SERVICE)
    deployment.upstreams['late'] = late
    await late.start()
    deployment.publish_upstream(late)

    async def is_used() -> bool:
        await _statuses(deployment)
        return bool(late.received)

    await eventually(is_used, within_s=3.0)
