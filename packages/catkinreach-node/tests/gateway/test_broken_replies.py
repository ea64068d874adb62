"""Replies that are stale, cut off or no stream reach no caller as whole."""

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
    Behaviour,
    RawReply,
    encode_chunk,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.http.messages import HttpRequest

SEALED = b'Request-Id: {id}\r\nResponse-Seal: seal-x\r\n'
OK_HEAD = b'HTTP/1.1 200 OK\r\n' + SEALED
STREAM_HEAD = OK_HEAD + b'Content-Type: text/event-stream\r\n'
PLAIN = OK_HEAD + b'Content-Length: 4\r\n\r\nbody'
REFUSAL = b'HTTP/1.1 503 full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
STALE_REFUSAL = REFUSAL.replace(b'\r\nNot', b'\r\nRequest-Id: stale\r\nNot')
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS = tuple(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)
WHOLE = b''.join(EVENTS)
BROKEN_STREAM = RawReply(
    STREAM_HEAD + CHUNKED + encode_chunk(b''.join(EVENTS[:3]) + b'id: 4')
)
KEPT_BY_REQUESTS = 6

STREAM_PATHS = ('/stream/', '/once/')


def _run(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            await scenario(deployment)

    asyncio.run(run())


def _request(deployment: Deployment, path: str) -> HttpRequest:
    return deployment.make_request(
        path, method='POST', body=b'prompt', token_count='1000,100'
    )


async def _fetch(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    async with deployment.client.exchange(
        deployment.caller_address, request, is_new_connection=True
    ) as response:
        return response.status, await response.read()


def _script(
    deployment: Deployment, names: str, *replies: Behaviour | RawReply
) -> None:
    for name in names:
        deployment.upstreams[name].script.extend(replies)


async def _use_connections(
    deployment: Deployment, path: str, names: str
) -> str:
    """Returns the upstreams to which requests left a kept connection."""
    for _ in range(KEPT_BY_REQUESTS):
        await _fetch(deployment, _request(deployment, path))
    return ''.join(
        name for name in names if deployment.upstreams[name].received
    )


def _count_runs(deployment: Deployment, request: HttpRequest) -> int:
    request_id = request.header('request-id') or ''
    return sum(
        upstream.runs[request_id] for upstream in deployment.upstreams.values()
    )


@pytest.mark.parametrize('refusal', [REFUSAL, STALE_REFUSAL])
@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_stale_refusal_before_the_reply_is_no_refusal(
    path: str, refusal: bytes
) -> None:
    async def scenario(deployment: Deployment) -> None:
        used = await _use_connections(deployment, path, 'ab')
        _script(deployment, used, RawReply(refusal + PLAIN, stays_open=True))
        request = _request(deployment, path)
        assert await _fetch(deployment, request) == (200, b'body')
        assert _count_runs(deployment, request) == 1

    _run(scenario)


@pytest.mark.parametrize('refusal', [REFUSAL, STALE_REFUSAL])
@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_refusal_in_the_same_packet_as_a_reply_is_no_refusal(
    path: str, refusal: bytes
) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'ab', RawReply(PLAIN + refusal, stays_open=True))
        for _ in range(4):
            request = _request(deployment, path)
            status, _ = await _fetch(deployment, request)
            assert status == 200
            assert _count_runs(deployment, request) == 1

    _run(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_stale_refusal_before_a_stream_is_no_refusal(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        whole = STREAM_HEAD + CHUNKED + encode_chunk(WHOLE) + encode_chunk(b'')
        used = await _use_connections(deployment, path, 'de')
        _script(deployment, used, RawReply(REFUSAL + whole, stays_open=True))
        request = _request(deployment, path)
        assert await _fetch(deployment, request) == (200, WHOLE)
        assert _count_runs(deployment, request) == 1

    _run(scenario)


def test_bytes_after_a_reply_reach_no_later_caller() -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(
            deployment, 'ab', *[RawReply(PLAIN + b'x', stays_open=True)] * 9
        )
        for _ in range(8):
            request = _request(deployment, '/order/')
            assert await _fetch(deployment, request) == (200, b'body')

    _run(scenario)
