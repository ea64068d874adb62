"""Streams over prefill and decode engines, and failures of engines."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.gossip import GossipMessage, Phase, encode_gossip
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import UpstreamId
from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import EVENT_COUNT
from catkinreach_standins.platform.upstream_behaviour import Behaviour

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


def _prompt_request(
    deployment: Deployment, path: str, **headers: str
) -> HttpRequest:
    return deployment.make_request(
        path, method='POST', body=b'prompt', token_count='1000,100', **headers
    )


async def _read_stream(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    client = deployment.client
    async with client.exchange(deployment.caller_address, request) as response:
        return response.status, await response.read()


def _count_decode_runs(deployment: Deployment, request: HttpRequest) -> int:
    request_id = request.header('request-id') or ''
    return sum(deployment.upstreams[name].runs[request_id] for name in 'de')


def test_stream_is_prefilled_and_decoded_at_separate_engines() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = _prompt_request(
            deployment, '/stream/', serving_stage='forged'
        )
        status, body = await _read_stream(deployment, request)
        assert (status, body) == (200, WHOLE)
        (prefill,) = deployment.upstreams['p'].received
        assert prefill.headers['serving-stage'] == 'prefill'
        (decode,) = [
            received
            for name in 'de'
            for received in deployment.upstreams[name].received
        ]
        source = f'{deployment.upstreams["p"].address}/h1'
        assert decode.headers['kv-source'] == source
        assert 'serving-stage' not in decode.headers

    _run(scenario)


def test_stream_resumes_at_another_engine_with_the_next_event() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.DISCONNECT)
        deployment.upstreams['e'].script.clear()
        for _ in range(4):
            request = _prompt_request(deployment, '/stream/')
            status, body = await _read_stream(deployment, request)
            assert (status, body) == (200, WHOLE)
            assert _count_decode_runs(deployment, request) <= 2

    _run(scenario)


def test_interrupted_stream_that_is_not_resumable_is_aborted() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.DISCONNECT)
        request = _prompt_request(deployment, '/once/')
        with pytest.raises(ExchangeError):
            await _read_stream(deployment, request)
        assert _count_decode_runs(deployment, request) == 1

    _run(scenario)


def test_caller_resumes_after_its_last_event() -> None:
    async def scenario(deployment: Deployment) -> None:
        first = _prompt_request(deployment, '/stream/')
        assert await _read_stream(deployment, first) == (200, WHOLE)
        request = _prompt_request(
            deployment,
            '/stream/',
            last_event_id='4',
            resumes=first.header('request-id') or '',
        )
        _, body = await _read_stream(deployment, request)
        assert body == b'id: 5\ndata: token 5\n\nid: 6\ndata: token 6\n\n'
        (prefill,) = deployment.upstreams['p'].received
        assert prefill.request_id == first.header('request-id')

    _run(scenario)


def test_decode_engine_prefills_the_prompt_after_prefill_failure() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['p'].script.append(Behaviour.DISCONNECT)
        request = _prompt_request(deployment, '/once/')
        assert await _read_stream(deployment, request) == (200, WHOLE)
        assert _count_decode_runs(deployment, request) == 1

    _run(scenario)


def test_unreachable_prefill_engine_does_not_count_as_a_send() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['p'].close()
        request = _prompt_request(deployment, '/once/')
        assert await _read_stream(deployment, request) == (200, WHOLE)

    _run(scenario)


def test_stream_refused_by_a_full_engine_runs_at_another() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.REFUSE)
        deployment.upstreams['e'].script.clear()
        for _ in range(3):
            request = _prompt_request(deployment, '/stream/')
            assert await _read_stream(deployment, request) == (200, WHOLE)

    _run(scenario)


def test_refused_kv_handle_is_used_at_another_engine() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['d'].script.extend([Behaviour.REFUSE] * 9)
        for _ in range(4):
            request = _prompt_request(deployment, '/stream/')
            assert await _read_stream(deployment, request) == (200, WHOLE)
        assert deployment.upstreams['d'].received
        assert len(deployment.upstreams['p'].received) == 4
        served = deployment.upstreams['e'].received
        assert all('kv-source' in received.headers for received in served)

    _run(scenario)


def _send_peer_load(deployment: Deployment, name: str, tokens: int) -> None:
    """Reports load of an upstream to the gateway, as a peer."""
    message = GossipMessage(
        node=PEER_HOST,
        phase=Phase.RUNNING,
        loads={UpstreamId(name): UpstreamLoad(1, 0, tokens)},
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((PEER_HOST, 0))
        address = (deployment.peer_address.host, deployment.peer_address.port)
        sender.sendto(encode_gossip(message), address)


def test_engine_that_fills_up_during_the_prefill_is_not_used() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['p'].prefill_s = 0.2
        for name in 'de':
            deployment.upstreams[name].event_gap_s = 0.01
        request = _prompt_request(deployment, '/stream/')
        streaming = asyncio.ensure_future(_read_stream(deployment, request))
        await asyncio.sleep(0.1)
        _send_peer_load(deployment, 'd', 59_000)
        assert await streaming == (200, WHOLE)
        assert not deployment.upstreams['d'].received
        (served,) = deployment.upstreams['e'].received
        assert 'kv-source' in served.headers

    _run(scenario)


def test_engine_without_a_first_event_is_replaced_by_another() -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.upstreams['d'].script.extend([Behaviour.HANG] * 9)
        for _ in range(3):
            request = _prompt_request(deployment, '/stream/')
            assert await _read_stream(deployment, request) == (200, WHOLE)

    _run(scenario)


def test_stream_larger_than_any_engine_is_refused_at_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        request = deployment.make_request(
            '/stream/', method='POST', body=b'x', token_count='70000,100'
        )
        async with asyncio.timeout(1.0):
            status, _ = await _read_stream(deployment, request)
        assert status == 503
        assert not _count_decode_runs(deployment, request)

    _run(scenario)
