"""Refusals that an upstream writes once more, before its next reply."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream_behaviour import (
    RawReply,
    encode_chunk,
)

if TYPE_CHECKING:
    from catkinreach_node.http.messages import HttpRequest

REFUSALS = [
    b'HTTP/1.1 503 full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n',
    b'HTTP/1.1 429 full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n',
    b'HTTP/1.1 421 other\r\nContent-Length: 0\r\n',
]
OWN_ID = b'Request-Id: {id}\r\n'
HEAD = b'HTTP/1.1 200 OK\r\nResponse-Seal: seal-x\r\n' + OWN_ID
EVENT = b'id: 1\ndata: token 1\n\n'
REPLIES = {
    '/order/': HEAD + b'Content-Length: 4\r\n\r\nbody',
    '/once/': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + encode_chunk(EVENT)
    + encode_chunk(b''),
}
MAX_ROUNDS = 50
NAMES = {'/order/': 'ab', '/once/': 'de'}


def _request(deployment: Deployment, path: str) -> HttpRequest:
    return deployment.make_request(
        path, method='POST', body=b'prompt', token_count='1000,100'
    )


async def _fetch(deployment: Deployment, request: HttpRequest) -> int:
    async with deployment.client.exchange(
        deployment.caller_address, request, is_new_connection=True
    ) as response:
        await response.read()
        return response.status


async def _use_connections(
    deployment: Deployment, path: str, refusal: bytes
) -> bytes:
    """Has each upstream refuse a request; returns the id of the last one."""
    for name in NAMES[path]:
        deployment.upstreams[name].script.append(
            RawReply(refusal + OWN_ID + b'\r\n', stays_open=True)
        )
    refused_id = ''
    for _ in range(MAX_ROUNDS):
        if not any(deployment.upstreams[name].script for name in NAMES[path]):
            return refused_id.encode()
        request = _request(deployment, path)
        if await _fetch(deployment, request) != 200:
            refused_id = request.header('request-id') or ''
    pytest.fail('not all upstreams were sent requests')


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('refusal', REFUSALS)
@pytest.mark.parametrize('path', NAMES)
def test_repeated_refusal_is_taken_for_the_next_reply(
    path: str, refusal: bytes, *, has_id: bool
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            refused_id = await _use_connections(deployment, path, refusal)
            stale_id = OWN_ID.replace(b'{id}', refused_id) if has_id else b''
            reply = refusal + stale_id + b'\r\n' + REPLIES[path]
            upstreams = [deployment.upstreams[name] for name in NAMES[path]]
            for upstream in upstreams:
                upstream.script.append(RawReply(reply, stays_open=True))
            request = _request(deployment, path)
            assert await _fetch(deployment, request) == 200
            request_id = request.header('request-id') or ''
            assert sum(one.runs[request_id] for one in upstreams) == 1

    asyncio.run(run())
