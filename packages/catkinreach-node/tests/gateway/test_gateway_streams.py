"""Streams by prefill and decode, and what is lost on the way."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.gossip import GossipMessage, Phase, encode_gossip
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import UpstreamId
from catkinreach_node.http.client import ExchangeError
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import EVENT_COUNT, Behaviour

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.http.messages import HttpRequest

PEER_HOST = '127.0.0.9'
WHOLE = b''.join(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)


def _run(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            await scenario(deployment)

    asyncio.run(run())


def _prompt(deployment: Deployment, path: str, **headers: str) -> HttpRequest:
    return deployment.request(
        path, method='POST', body=b'prompt', token_count='1000,100', **headers
    )


async def _stream(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    client = deployment.client
    async with client.exchange(deployment.front, request) as response:
        return response.status, await response.read()


def _decode_runs(deployment: Deployment, request: HttpRequest) -> int:
    request_id = request.header('request-id') or ''
    return sum(deployment.upstreams[name].runs[request_id] for name in 'de')


def test_prompt_is_read_at_one_engine_and_streamed_by_another() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = _prompt(deployment, '/stream/', serving_stage='forged')
        status, body = await _stream(deployment, request)
        assert (status, body) == (200, WHOLE)
        (prefill,) = deployment.upstreams['p'].received
        assert prefill.headers['serving-stage'] == 'prefill'
        (decode,) = [
            one for name in 'de' for one in deployment.upstreams[name].received
        ]
        source = f'{deployment.upstreams["p"].address}/h1'
        assert decode.headers['kv-source'] == source
        assert 'serving-stage' not in decode.headers

    _run(scenario)


def test_stream_goes_on_elsewhere_with_the_next_event() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.BREAK)
        deployment.upstreams['e'].script.clear()
        for _ in range(4):
            request = _prompt(deployment, '/stream/')
            status, body = await _stream(deployment, request)
            assert (status, body) == (200, WHOLE)
            assert _decode_runs(deployment, request) <= 2

    _run(scenario)


def test_stream_that_may_not_be_resumed_ends_visibly_early() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.BREAK)
        request = _prompt(deployment, '/once/')
        with pytest.raises(ExchangeError):
            await _stream(deployment, request)
        assert _decode_runs(deployment, request) == 1

    _run(scenario)


def test_caller_resumes_after_the_event_that_it_has() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = _prompt(deployment, '/stream/', last_event_id='4')
        _, body = await _stream(deployment, request)
        assert body == b'id: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n'
        assert not deployment.upstreams['p'].received

    _run(scenario)


def test_decode_engine_reads_the_prompt_when_the_prefill_breaks() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['p'].script.append(Behaviour.BREAK)
        request = _prompt(deployment, '/once/')
        assert await _stream(deployment, request) == (200, WHOLE)
        assert _decode_runs(deployment, request) == 1

    _run(scenario)


def test_prefill_engine_that_is_gone_costs_no_send() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['p'].close()
        request = _prompt(deployment, '/once/')
        assert await _stream(deployment, request) == (200, WHOLE)

    _run(scenario)


def test_full_engine_is_left_for_another() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.REFUSE)
        deployment.upstreams['e'].script.clear()
        for _ in range(3):
            request = _prompt(deployment, '/stream/')
            assert await _stream(deployment, request) == (200, WHOLE)

    _run(scenario)


def test_refused_handle_is_offered_to_another_engine() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['d'].script.extend([Behaviour.REFUSE] * 9)
        for _ in range(4):
            request = _prompt(deployment, '/stream/')
            assert await _stream(deployment, request) == (200, WHOLE)
        assert deployment.upstreams['d'].received
        assert len(deployment.upstreams['p'].received) == 4
        served = deployment.upstreams['e'].received
        assert all('kv-source' in one.headers for one in served)

    _run(scenario)


def _tell_load(deployment: Deployment, name: str, tokens: int) -> None:
    """Tells the gateway, as a peer, of work at an upstream."""
    digest = GossipMessage(
        node=PEER_HOST,
        phase=Phase.RUNNING,
        loads={UpstreamId(name): UpstreamLoad(1, 0, tokens)},
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((PEER_HOST, 0))
        address = (deployment.peer.host, deployment.peer.port)
        sender.sendto(encode_gossip(digest), address)


def test_engine_that_fills_during_the_prefill_is_left() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['p'].prefill_s = 0.2
        for name in 'de':
            deployment.upstreams[name].event_gap_s = 0.01
        request = _prompt(deployment, '/stream/')
        streaming = asyncio.ensure_future(_stream(deployment, request))
        await asyncio.sleep(0.1)
        _tell_load(deployment, 'd', 59_000)
        assert await streaming == (200, WHOLE)
        assert not deployment.upstreams['d'].received
        (served,) = deployment.upstreams['e'].received
        assert 'kv-source' in served.headers

    _run(scenario)


def test_silent_engine_is_left_before_the_first_event() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['d'].script.extend([Behaviour.HANG] * 9)
        for _ in range(3):
            request = _prompt(deployment, '/stream/')
            assert await _stream(deployment, request) == (200, WHOLE)

    _run(scenario)


def test_stream_larger_than_any_engine_is_refused_at_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = deployment.request(
            '/stream/', method='POST', body=b'x', token_count='70000,100'
        )
        async with asyncio.timeout(1.0):
            status, _ = await _stream(deployment, request)
        assert status == 503
        assert not _decode_runs(deployment, request)

    _run(scenario)
