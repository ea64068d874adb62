"""Replies that are stale, cut off or no stream reach no caller as whole."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.raw_replies import (
    EVENTS,
    OK_HEAD,
    SEALED,
    STREAM_HEAD,
    STREAM_PATHS,
    WHOLE,
    fetch,
    make_request,
    run_scenario,
    script_replies,
)
from catkinreach_standins.platform.upstream_behaviour import (
    Behaviour,
    RawReply,
    encode_chunk,
)

if TYPE_CHECKING:
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.deployment import Deployment

PLAIN = OK_HEAD + b'Content-Length: 4\r\n\r\nbody'
REFUSAL = b'HTTP/1.1 503 full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
STALE_REFUSAL = REFUSAL.replace(b'\r\nNot', b'\r\nRequest-Id: stale\r\nNot')
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
BROKEN_STREAM = RawReply(
    STREAM_HEAD + CHUNKED + encode_chunk(b''.join(EVENTS[:3]) + b'id: 4')
)
MAX_ROUNDS = 50


async def _use_connections(
    deployment: Deployment, path: str, names: str
) -> None:
    """Sends requests until each upstream was left a kept connection."""
    for _ in range(MAX_ROUNDS):
        requests = [make_request(deployment, path) for _ in names]
        await asyncio.gather(*(fetch(deployment, one) for one in requests))
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
        script_replies(
            deployment, 'ab', RawReply(refusal + PLAIN, stays_open=True)
        )
        request = make_request(deployment, path)
        assert await fetch(deployment, request) == (200, b'body')
        assert _count_runs(deployment, request) == 1

    run_scenario(scenario)


@pytest.mark.parametrize('refusal', [REFUSAL, STALE_REFUSAL])
@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_refusal_in_the_same_packet_as_a_reply_is_no_refusal(
    path: str, refusal: bytes
) -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'ab', RawReply(PLAIN + refusal, stays_open=True)
        )
        for _ in range(4):
            request = make_request(deployment, path)
            status, _ = await fetch(deployment, request)
            assert status == 200
            assert _count_runs(deployment, request) == 1

    run_scenario(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_stale_refusal_before_a_stream_is_no_refusal(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        whole = STREAM_HEAD + CHUNKED + encode_chunk(WHOLE) + encode_chunk(b'')
        await _use_connections(deployment, path, 'de')
        script_replies(
            deployment, 'de', RawReply(REFUSAL + whole, stays_open=True)
        )
        request = make_request(deployment, path)
        assert await fetch(deployment, request) == (200, WHOLE)
        assert _count_runs(deployment, request) == 1

    run_scenario(scenario)


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
            await fetch(deployment, make_request(deployment, '/stream/'))
        assert not script

    run_scenario(scenario)


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
        script_replies(deployment, 'de', RawReply(reply))
        answer = await fetch(deployment, make_request(deployment, path))
        assert answer == expected

    run_scenario(scenario)


@pytest.mark.parametrize('path', STREAM_PATHS)
def test_cut_off_error_of_a_stream_is_answered_as_failed(path: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        reply = b'HTTP/1.1 404 no\r\n' + SEALED + b'Content-Length: 9\r\n\r\nlo'
        script_replies(deployment, 'de', *[RawReply(reply)] * 2)
        status, _ = await fetch(deployment, make_request(deployment, path))
        assert status == 502

    run_scenario(scenario)


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
            script_replies(deployment, 'ab', *[RawReply(cut)] * 2)
            status, _ = await fetch(deployment, make_request(deployment, path))
            assert status in {502, 503, 504}, cut

    run_scenario(scenario)


def test_stream_whose_head_is_cut_off_anywhere_fails() -> None:
    async def scenario(deployment: Deployment) -> None:
        for cut in _cut(STREAM_HEAD + CHUNKED)[::7]:
            for name in 'de':
                deployment.upstreams[name].script.clear()
            script_replies(deployment, 'de', *[RawReply(cut)] * 2)
            status, _ = await fetch(
                deployment, make_request(deployment, '/once/')
            )
            assert status in {502, 503, 504}, cut

    run_scenario(scenario)


def test_bytes_after_a_reply_reach_no_later_caller() -> None:
    async def scenario(deployment: Deployment) -> None:
        script_replies(
            deployment, 'ab', *[RawReply(PLAIN + b'x', stays_open=True)] * 9
        )
        for _ in range(8):
            request = make_request(deployment, '/order/')
            assert await fetch(deployment, request) == (200, b'body')

    run_scenario(scenario)
