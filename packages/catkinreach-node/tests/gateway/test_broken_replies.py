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
MAX_ROUNDS = 50

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
) -> None:
    """Sends requests until each upstream was left a kept connection."""
    for _ in range(MAX_ROUNDS):
        requests = [_request(deployment, path) for _ in names]
        await asyncio.gather(*(_fetch(deployment, one) for one in requests))
        if all(deployment.upstreams[name].received for name in names):
            return
    pytest.fail(f'not all of {names} were sent requests')


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
        await _use_connections(deployment, path, 'ab')
        _script(deployment, 'ab', RawReply(refusal + PLAIN, stays_open=True))
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
        await _use_connections(deployment, path, 'de')
        _script(deployment, 'de', RawReply(REFUSAL + whole, stays_open=True))
        request = _request(deployment, path)
        assert await _fetch(deployment, request) == (200, WHOLE)
        assert _count_runs(deployment, request) == 1

    _run(scenario)


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 404 no\r\n' + SEALED + b'Content-Length: 4\r\n\r\nlost',
        b'HTTP/1.1 400 no\r\n' + SEALED + CHUNKED + b'4\r\nlost\r\n0\r\n\r\n',
        b'HTTP/1.1 204 no\r\n' + SEALED + b'\r\n',
        OK_HEAD
        + b'Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}',
        b'HTTP/1.1 500 no\r\n' + SEALED + b'Content-Length: 4\r\n\r\nlost',
    ],
)
def test_error_on_resumption_is_not_part_of_the_stream(reply: bytes) -> None:
    async def scenario(deployment: Deployment) -> None:
        # The engine that is chosen first breaks off, the other one fails.
        script: deque[Behaviour | RawReply] = deque(
            (BROKEN_STREAM, RawReply(reply))
        )
        for name in 'de':
            deployment.upstreams[name].script = script
        with pytest.raises(ExchangeError):
            await _fetch(deployment, _request(deployment, '/stream/'))
        assert not script

    _run(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
@pytest.mark.parametrize(
    ('reply', 'expected'),
    [
        (
            b'HTTP/1.1 404 no\r\n' + SEALED + b'Content-Length: 4\r\n\r\nlost',
            (404, b'lost'),
        ),
        (b'HTTP/1.1 404 no\r\n' + SEALED + b'\r\nlost', (404, b'lost')),
        (
            OK_HEAD + b'Content-Type: text/plain\r\n\r\nno event',
            (200, b'no event'),
        ),
    ],
)
def test_first_reply_that_is_no_stream_is_passed_on_whole(
    path: str, reply: bytes, expected: tuple[int, bytes]
) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'de', RawReply(reply))
        answer = await _fetch(deployment, _request(deployment, path))
        assert answer == expected

    _run(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_cut_off_error_of_a_stream_is_answered_as_failed(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        reply = b'HTTP/1.1 404 no\r\n' + SEALED + b'Content-Length: 9\r\n\r\nlo'
        _script(deployment, 'de', *[RawReply(reply)] * 2)
        status, _ = await _fetch(deployment, _request(deployment, path))
        assert status == 502

    _run(scenario)


def _cut(reply: bytes) -> list[bytes]:
    return [reply[:end] for end in range(len(reply))]


@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_reply_that_is_cut_off_anywhere_is_answered_as_failed(
    path: str,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        cuts = _cut(PLAIN) + _cut(OK_HEAD + CHUNKED + b'4\r\nbody\r\n0\r\n\r')
        for cut in cuts:
            for name in 'ab':
                deployment.upstreams[name].script.clear()
            _script(deployment, 'ab', *[RawReply(cut)] * 2)
            status, _ = await _fetch(deployment, _request(deployment, path))
            assert status in {502, 503, 504}, cut

    _run(scenario)


def test_stream_whose_head_is_cut_off_anywhere_fails() -> None:
    async def scenario(deployment: Deployment) -> None:
        for cut in _cut(STREAM_HEAD + CHUNKED)[::7]:
            for name in 'de':
                deployment.upstreams[name].script.clear()
            _script(deployment, 'de', *[RawReply(cut)] * 2)
            status, _ = await _fetch(deployment, _request(deployment, '/once/'))
            assert status in {502, 503, 504}, cut

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


@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_plain_reply_that_ends_with_its_connection_is_whole(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'ab', RawReply(OK_HEAD + b'\r\nbody'))
        answer = await _fetch(deployment, _request(deployment, path))
        assert answer == (200, b'body')

    _run(scenario)


def test_plain_reply_whose_connection_is_reset_is_not_whole() -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'ab', RawReply(OK_HEAD + b'\r\nbo', is_reset=True))
        status, _ = await _fetch(deployment, _request(deployment, '/order/'))
        assert status == 502

    _run(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_stream_that_ends_with_its_connection_is_whole(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'de', RawReply(STREAM_HEAD + b'\r\n' + WHOLE))
        answer = await _fetch(deployment, _request(deployment, path))
        assert answer == (200, WHOLE)

    _run(scenario)


INSIDE_EVENT = STREAM_HEAD + b'\r\n' + b''.join(EVENTS[:3]) + b'id: 4\nda'


@pytest.mark.parametrize('is_reset', [False, True])
def test_stream_that_ends_inside_an_event_is_resumed(*, is_reset: bool) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'd', RawReply(INSIDE_EVENT, is_reset=is_reset))
        for _ in range(3):
            request = _request(deployment, '/stream/')
            assert await _fetch(deployment, request) == (200, WHOLE)

    _run(scenario)


@pytest.mark.parametrize('is_reset', [False, True])
def test_stream_that_ends_inside_an_event_does_not_look_complete(
    *, is_reset: bool
) -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'de', RawReply(INSIDE_EVENT, is_reset=is_reset))
        with pytest.raises(ExchangeError):
            await _fetch(deployment, _request(deployment, '/once/'))

    _run(scenario)


def test_stream_that_ends_inside_its_first_event_fails() -> None:
    async def scenario(deployment: Deployment) -> None:
        _script(deployment, 'de', RawReply(STREAM_HEAD + b'\r\nid: 1\nda'))
        status, _ = await _fetch(deployment, _request(deployment, '/once/'))
        assert status == 502

    _run(scenario)
