"""Streams that an engine cuts off anywhere, by a close or a reset."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import EVENT_COUNT
from catkinreach_standins.platform.upstream_behaviour import (
    RawReply,
    encode_chunk,
)

if TYPE_CHECKING:
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.upstream_behaviour import Behaviour

HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-x\r\n'
    b'Content-Type: text/event-stream\r\n'
)
EVENTS = tuple(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)
WHOLE = b''.join(EVENTS)
CHUNKED = (
    HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b''.join(map(encode_chunk, EVENTS))
    + b'0\r\nX-Trailer: end\r\n\r\n'
)
WITH_LENGTH = HEAD + f'Content-Length: {len(WHOLE)}\r\n\r\n'.encode() + WHOLE
STEP = 11
"""Bytes between two cuts; it shares no factor with the parts' lengths."""


def _request(deployment: Deployment, path: str) -> HttpRequest:
    return deployment.make_request(
        path, method='POST', body=b'prompt', token_count='1000,100'
    )


async def _fetch(deployment: Deployment, path: str) -> tuple[int, bytes]:
    async with deployment.client.exchange(
        deployment.caller_address,
        _request(deployment, path),
        is_new_connection=True,
    ) as response:
        return response.status, await response.read()


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('whole', [CHUNKED, WITH_LENGTH])
def test_cut_stream_looks_complete(whole: bytes, *, is_reset: bool) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            for end in range(0, len(whole), STEP):
                cut = RawReply(whole[:end], is_reset=is_reset)
                for name in 'de':
                    deployment.upstreams[name].script = deque((cut, cut))
                try:
                    status, _ = await _fetch(deployment, '/once/')
                except ExchangeError:
                    continue
                assert status in {502, 503, 504}, whole[:end]

    asyncio.run(run())


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('whole', [CHUNKED, WITH_LENGTH])
def test_cut_stream_is_not_resumed(whole: bytes, *, is_reset: bool) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            for end in range(0, len(whole), STEP):
                # The engine that is chosen first cuts it off.
                cut = RawReply(whole[:end], is_reset=is_reset)
                script: deque[Behaviour | RawReply] = deque((cut,))
                for name in 'de':
                    deployment.upstreams[name].script = script
                answer = await _fetch(deployment, '/stream/')
                assert answer == (200, WHOLE), whole[:end]
                assert not script

    asyncio.run(run())
