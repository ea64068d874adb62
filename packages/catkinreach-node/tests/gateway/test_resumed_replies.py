"""Replies with which a stream that has begun can't go on."""

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
    from catkinreach_standins.platform.upstream_behaviour import Behaviour

SEALED_HEAD = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-x\r\n'
)
STREAM_TYPE = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EVENTS = tuple(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)
WHOLE = b''.join(EVENTS)


def _chunked(body: bytes, head: bytes = SEALED_HEAD + STREAM_TYPE) -> RawReply:
    chunk = encode_chunk(body) if body else b''
    return RawReply(head + CHUNKED + chunk + encode_chunk(b''))


def _broken(event_count: int) -> RawReply:
    """Returns a stream that breaks off after some events."""
    body = b''.join(EVENTS[:event_count])
    return RawReply(SEALED_HEAD + STREAM_TYPE + CHUNKED + encode_chunk(body))


NOT_RESUMED = [
    RawReply(SEALED_HEAD + b'Content-Length: 0\r\n\r\n'),
    RawReply(SEALED_HEAD + STREAM_TYPE + b'Content-Length: 0\r\n\r\n'),
    _chunked(b'', SEALED_HEAD),
    RawReply(SEALED_HEAD + b'\r\n<html>\n\nno\n\n</html>\n\n'),
    _chunked(b'data: {"error": "no"}\n\n'),
    _chunked(b'event: error\ndata: no\n\n' + EVENTS[5]),
    _chunked(EVENTS[5]),
    _chunked(EVENTS[4] + EVENTS[5]),
    _chunked(WHOLE),
]


GOING_ON = [
    (3, _chunked(b''.join(EVENTS[3:]))),
    (3, _chunked(b': comment\n\n' + b''.join(EVENTS[3:]))),
    (3, _chunked(b''.join(EVENTS[3:]), SEALED_HEAD)),
    (6, _chunked(b'')),
]


async def _fetch(deployment: Deployment) -> bytes:
    request = deployment.make_request(
        '/stream/', method='POST', body=b'prompt', token_count='1000,100'
    )
    async with deployment.client.exchange(
        deployment.caller_address, request, is_new_connection=True
    ) as response:
        assert response.status == 200
        return await response.read()


@pytest.mark.parametrize('reply', NOT_RESUMED)
def test_reply_that_does_not_go_on_ends_or_joins_a_stream(
    reply: RawReply,
) -> None:
    # Callers got 3 of 6 events, or a gap, text or another run after them.
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            script: deque[Behaviour | RawReply] = deque((_broken(3), reply))
            for name in 'de':
                deployment.upstreams[name].script = script
            with pytest.raises(ExchangeError):
                await _fetch(deployment)
            assert not script

    asyncio.run(run())


def test_stream_numbered_by_tokens_can_not_be_resumed() -> None:
    # Each event was expected at the number after the last one.
    events = [event.replace(b'id: ', b'id: 1') for event in EVENTS]
    script: deque[Behaviour | RawReply] = deque(
        (
            RawReply(
                SEALED_HEAD
                + STREAM_TYPE
                + CHUNKED
                + encode_chunk(events[0] + events[2])
            ),
            _chunked(events[4] + events[5]),
        )
    )

    async def run() -> None:
        async with running_deployment() as (deployment, _):
            for name in 'de':
                deployment.upstreams[name].script = script
            body = await _fetch(deployment)
            assert body == events[0] + events[2] + events[4] + events[5]

    asyncio.run(run())


@pytest.mark.parametrize(('event_count', 'resumed'), GOING_ON)
def test_reply_that_goes_on_is_refused(
    event_count: int, resumed: RawReply
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            script: deque[Behaviour | RawReply] = deque(
                (_broken(event_count), resumed)
            )
            for name in 'de':
                deployment.upstreams[name].script = script
            body = await _fetch(deployment)
            assert body.replace(b': comment\n\n', b'') == WHOLE

    asyncio.run(run())
