"""Streams whose engines run two software versions."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway import software_versions
from catkinreach_core.gateway.gossip import decode_gossip
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.origin_messages import (
    OriginQuery,
    OriginReply,
    StreamNotice,
)
from catkinreach_core.ids import RequestId, ServiceId, SoftwareVersion
from catkinreach_node.gateway.held_prompt_reads import READ_INTERVAL_S
from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.store import StoreFault
from catkinreach_standins.platform.upstream import EVENT_COUNT
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.gateway.app import GatewayApp
    from catkinreach_node.http.messages import HttpRequest

PEER = '127.0.0.9'
OWN_PART = 'bb2'
OUTAGE_NOTICED_S = 5.0
"""A watch and the call after it, both without an answer."""

SHORT_DEADLINE_MS = 100
EVENTS = tuple(
    f'id: {number}\ndata: token {number}\n\n'.encode()
    for number in range(1, EVENT_COUNT + 1)
)


def _run(
    scenario: Callable[[Deployment, GatewayApp], Awaitable[None]],
) -> None:
    """Runs a scenario with engine ``d`` at version v1 and ``e`` at v2."""

    async def run() -> None:
        deployment = Deployment()
        deployment.upstreams['e'].version = 'v2'
        async with running_deployment(deployment=deployment) as running:
            await scenario(*running)

    asyncio.run(run())


def _request(
    deployment: Deployment, own_part: str = OWN_PART, **headers: str
) -> HttpRequest:
    return deployment.make_request(
        '/stream/',
        method='POST',
        body=b'prompt',
        token_count='1000,100',
        prompt_prefix=f'aa1:200,{own_part}:800',
        **headers,
    )


def _resumption(deployment: Deployment, resumes: str) -> HttpRequest:
    return _request(deployment, last_event_id='4', resumes=resumes)


async def _read(
    deployment: Deployment, request: HttpRequest
) -> tuple[int, bytes]:
    async with deployment.client.exchange(
        deployment.caller_address, request, is_new_connection=True
    ) as response:
        return response.status, await response.read()


def _runs(deployment: Deployment, request: HttpRequest) -> dict[str, int]:
    request_id = request.header('request-id') or ''
    return {name: deployment.upstreams[name].runs[request_id] for name in 'de'}


def test_stream_of_a_lost_engine_went_on_at_another_version() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.DISCONNECT)
        request = _request(deployment)
        with pytest.raises(ExchangeError):
            await _read(deployment, request)
        assert sum(_runs(deployment, request).values()) == 1

    _run(scenario)


def test_stream_of_a_silent_engine_went_on_at_another_version() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.PAUSE)
        request = _request(deployment)
        assert await _read(deployment, request) == (200, b''.join(EVENTS))
        assert sum(_runs(deployment, request).values()) == 1

    _run(scenario)


def test_stream_of_a_lost_engine_goes_on_at_its_version() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        deployment.upstreams['e'].version = 'v1'
        deployment.publish_upstream(deployment.upstreams['e'])
        await asyncio.sleep(0.5)
        for name in 'de':
            deployment.upstreams[name].script.append(Behaviour.DISCONNECT)
        deployment.upstreams['e'].script.clear()
        for _ in range(4):
            request = _request(deployment)
            assert await _read(deployment, request) == (
                200,
                b''.join(EVENTS),
            )

    _run(scenario)


def test_stream_of_an_unknown_version_was_resumed_anywhere() -> None:
    # All VMs were killed, and the engine that ran the stream has left.
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        request = _resumption(deployment, 'of-nobody')
        status, body = await _read(deployment, request)
        assert (status, b'"not-run"' in body) == (503, True)
        assert _runs(deployment, request) == {'d': 0, 'e': 0}

    _run(scenario)


def test_version_before_an_outage_was_taken_for_the_only_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Behind a cut of the store another version may begin streams.
    monkeypatch.setattr(software_versions, 'STREAM_LIFETIME_S', 0.1)

    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        deployment.upstreams['e'].version = 'v1'
        deployment.publish_upstream(deployment.upstreams['e'])
        await asyncio.sleep(0.5)
        request = _resumption(deployment, 'before')
        assert (await _read(deployment, request))[0] == 200
        deployment.store.fault = StoreFault.RESET
        numbers = count()

        async def is_refused() -> bool:
            # No engine holds the prompt of a stream that nobody here began.
            name = f'c{next(numbers)}'
            request = _request(
                deployment, name, last_event_id='4', resumes=name
            )
            return (await _read(deployment, request))[0] == 503

        await eventually(is_refused, within_s=OUTAGE_NOTICED_S)

    _run(scenario)


@pytest.mark.parametrize('name', ['d', 'e'])
def test_restarted_node_resumes_where_the_prompt_is_held(name: str) -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        deployment.upstreams[name].held_parts.add(OWN_PART)
        for _ in range(3):
            request = _resumption(deployment, 'of-the-earlier-process')
            assert await _read(deployment, request) == (
                200,
                b''.join(EVENTS[4:]),
            )
            assert _runs(deployment, request)[name] == 1

    _run(scenario)


def test_prompt_held_at_two_versions_does_not_tell_which_began() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        for name in 'de':
            deployment.upstreams[name].held_parts.add(OWN_PART)
        request = _resumption(deployment, 'of-the-earlier-process')
        status, _ = await _read(deployment, request)
        assert status == 503
        assert _runs(deployment, request) == {'d': 0, 'e': 0}

    _run(scenario)


def test_prompt_held_by_a_prefill_engine_tells_nothing() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        deployment.upstreams['p'].held_parts.add(OWN_PART)
        request = _resumption(deployment, 'of-the-earlier-process')
        status, _ = await _read(deployment, request)
        assert status == 503

    _run(scenario)


def test_search_for_a_version_outlasted_the_deadline() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        await _read(deployment, _resumption(deployment, 'of-nobody'))
        request = _request(
            deployment,
            last_event_id='4',
            resumes='of-nobody',
            deadline_ms=str(SHORT_DEADLINE_MS),
        )
        request.headers.remove(('deadline-ms', '3000'))
        async with asyncio.timeout(SHORT_DEADLINE_MS / 1000 + 0.2):
            status, _ = await _read(deployment, request)
        assert status == 503

    _run(scenario)


def test_streams_without_resumes_shared_one_version() -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        for name, part in (('d', 'cc1'), ('e', 'cc2')):
            deployment.upstreams[name].held_parts.add(part)
        for name, part in (('d', 'cc1'), ('e', 'cc2')):
            request = _request(deployment, part, last_event_id='4')
            assert (await _read(deployment, request))[0] == 200
            assert _runs(deployment, request)[name] == 1

    _run(scenario)


def test_part_seen_earlier_hid_the_version_that_holds_it_now() -> None:
    # A part of a session is held at v1; its next stream then began at v2.
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        deployment.upstreams['d'].held_parts.add(OWN_PART)
        earlier = _resumption(deployment, 'of-the-earlier-process')
        assert (await _read(deployment, earlier))[0] == 200
        deployment.upstreams['e'].held_parts.add(OWN_PART)
        await asyncio.sleep(READ_INTERVAL_S)
        request = _resumption(deployment, 'of-another-process')
        status, _ = await _read(deployment, request)
        assert status == 503
        assert _runs(deployment, request) == {'d': 0, 'e': 0}

    _run(scenario)


@pytest.mark.parametrize('name', ['d', 'e'])
def test_node_resumes_a_stream_at_the_version_that_began_it_here(
    name: str,
) -> None:
    async def scenario(deployment: Deployment, _app: GatewayApp) -> None:
        first = _request(deployment)
        other = deployment.upstreams['e' if name == 'd' else 'd']
        other.script.append(Behaviour.REFUSE)
        while not _runs(deployment, first)[name]:
            first = _request(deployment)
            await _read(deployment, first)
        for _ in range(3):
            request = _resumption(deployment, first.header('request-id') or '')
            await _read(deployment, request)
            assert _runs(deployment, request)[name] == 1

    _run(scenario)


def test_stream_whose_version_has_left_is_refused_at_once() -> None:
    async def scenario(deployment: Deployment, gateway: GatewayApp) -> None:
        node = gateway._node
        node.peer_handlers[StreamNotice](
            StreamNotice(
                node=PEER,
                origins={RequestId('gone'): SoftwareVersion('v0')},
            )
        )
        request = _resumption(deployment, 'gone')
        async with asyncio.timeout(1.0):
            status, _ = await _read(deployment, request)
        assert status == 503
        assert _runs(deployment, request) == {'d': 0, 'e': 0}

    _run(scenario)


@pytest.mark.parametrize('version', ['v1', 'v2'])
def test_version_that_a_peer_was_told_is_used(version: str) -> None:
    async def scenario(deployment: Deployment, gateway: GatewayApp) -> None:
        node = gateway._node
        node.members.record_message(PEER, [], node.clock(), known_nodes=2)

        def answer(host: str, data: bytes) -> None:
            query = decode_gossip(data)
            if isinstance(query, OriginQuery):
                assert (host, query.request) == (PEER, 'at-a-peer')
                reply = OriginReply(
                    node=PEER,
                    query_id=query.query_id,
                    version=SoftwareVersion(version),
                )
                node.peer_handlers[OriginReply](reply)

        node.send_datagram = answer
        request = _resumption(deployment, 'at-a-peer')
        assert (await _read(deployment, request))[0] == 200
        name = 'd' if version == 'v1' else 'e'
        assert _runs(deployment, request)[name] == 1

    _run(scenario)


def test_streams_of_one_version_do_not_hold_up_those_of_others() -> None:
    async def scenario(deployment: Deployment, gateway: GatewayApp) -> None:
        # Engine d, the only one of v1, is full; e has memory.
        deployment.upstreams['d'].held_parts.add(OWN_PART)
        node = gateway._node
        (known,) = (
            one
            for one in node.view.known_of(ServiceId(MODEL_SERVICE))
            if one.upstream.upstream_id == 'd'
        )
        full = UpstreamLoad(1, 0, 60_000)
        node.loads.begin_work(known.upstream.upstream_id, full)
        resumed = asyncio.ensure_future(
            _read(deployment, _resumption(deployment, 'before'))
        )
        await asyncio.sleep(0.2)
        request = _request(deployment)
        async with asyncio.timeout(1.0):
            assert await _read(deployment, request) == (200, b''.join(EVENTS))
        assert not resumed.done()
        node.loads.end_work(known.upstream.upstream_id, full)
        assert await resumed == (200, b''.join(EVENTS[4:]))

    _run(scenario)
