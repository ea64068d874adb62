"""Crashes of engines that gateways see, miss or take for something else."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.crash_suspects import (
    CRASHES_TO_REFUSE,
    MIN_REFUSAL_S,
    CrashSource,
    SuspectKey,
)
from catkinreach_core.gateway.gossip import MAX_GOSSIP_BYTES
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import UpstreamId
from catkinreach_node.gateway.peer_link import PeerLink
from catkinreach_node.gateway.suspect_keys import _part_key
from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    idle_node,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import Behaviour
from catkinreach_standins.platform.upstream_replies import StreamFraming

if TYPE_CHECKING:
    from catkinreach_node.gateway.app import GatewayApp
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.upstream_behaviour import RawReply
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

SHARED_PART = 'a1'
CRASHING_PART = 'd1'
CRASHING_KEY = _part_key(CRASHING_PART)
SHARED_KEY = _part_key(SHARED_PART)
EVENT_GAP_S = 0.02
UPSTREAMS = 200
BORN_MS = 1_700_000_001_000


class SlowlyCrashingEngine(UpstreamStandin):
    """Crashes 0.3 s after it got a request with the crashing part."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Crashes, or runs a request whose prompt lacks the part."""
        if CRASHING_PART not in exchange.request.headers['prompt-prefix']:
            return await super().run(exchange, behaviour)
        await asyncio.sleep(0.3)
        self.close()
        exchange.writer.transport.abort()
        return False


class OneEventEngine(UpstreamStandin):
    """Crashes after the first event of a stream without length or chunks."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Crashes, or runs a request whose prompt lacks the part."""
        if CRASHING_PART not in exchange.request.headers['prompt-prefix']:
            return await super().run(exchange, behaviour)
        self.close()
        framing = StreamFraming(is_chunked=False)
        exchange.writer.write(framing.head(exchange.request, self.upstream_id))
        exchange.writer.write(b'id: 1\ndata: token 1\n\n')
        return False


def _deployment(engine: type[UpstreamStandin], count: int) -> Deployment:
    deployment = Deployment()
    del deployment.upstreams['d'], deployment.upstreams['e']
    for number in range(count):
        upstream_id = f'd{number}'
        deployment.upstreams[upstream_id] = engine(
            upstream_id, MODEL_SERVICE, 'decode'
        )
    return deployment


def _stream(
    deployment: Deployment, own: str, path: str = '/stream/'
) -> HttpRequest:
    return deployment.make_request(
        path,
        method='POST',
        body=own.encode(),
        token_count='300,100',
        prompt_prefix=f'{SHARED_PART}:100,{CRASHING_PART}:100,{own}:100',
    )


def _arrivals(deployment: Deployment) -> int:
    return sum(
        CRASHING_PART in received.headers.get('prompt-prefix', '')
        for upstream in deployment.upstreams.values()
        if upstream.stage == 'decode'
        for received in upstream.received
    )


def test_end_of_a_refusal_lets_many_crashing_requests_pass() -> None:
    # All were sent until the crash of the first one was known.
    async def run() -> None:
        deployment = _deployment(SlowlyCrashingEngine, 8)
        async with running_deployment(deployment=deployment) as (_, gateway):
            node = gateway._node
            crashed_s = node.clock() - MIN_REFUSAL_S - 1
            for number in range(CRASHES_TO_REFUSE):
                node.crash_suspects.record_crash(
                    [CRASHING_KEY], CrashSource(number), crashed_s
                )
            calls = []
            for number in range(8):
                request = _stream(deployment, f'b{number}')
                calls.append(
                    asyncio.ensure_future(
                        deployment.client.call_raw(
                            deployment.caller_address, request
                        )
                    )
                )
                await asyncio.sleep(0.03)
            await asyncio.gather(*calls)
            assert _arrivals(deployment) == 1

    asyncio.run(run())


def test_stream_that_broke_off_keeps_others_out() -> None:
    # Soak seed 458: the one that was tried had ended, and the harmless part
    # was refused for four more seconds.
    async def run() -> None:
        deployment = _deployment(UpstreamStandin, 1)
        engine = deployment.upstreams['d0']
        engine.event_gap_s = EVENT_GAP_S
        engine.script.append(Behaviour.DISCONNECT)
        async with running_deployment(deployment=deployment) as (_, gateway):
            node = gateway._node
            crashed_s = node.clock() - MIN_REFUSAL_S - 1
            for number in range(CRASHES_TO_REFUSE):
                node.crash_suspects.record_crash(
                    [SHARED_KEY], CrashSource(number), crashed_s
                )
            address = deployment.caller_address
            tried = _stream(deployment, 'b0', path='/once/')
            with pytest.raises(ExchangeError):
                await deployment.client.call_raw(address, tried)
            other = _stream(deployment, 'b1', path='/once/')
            status, _ = await deployment.client.call_raw(address, other)
            assert status == 200

    asyncio.run(run())


async def _restart_crashed(
    deployment: Deployment, gateway: GatewayApp, born_ms: int
) -> None:
    for upstream in deployment.upstreams.values():
        if upstream.is_listening:
            continue
        await upstream.start()
        deployment.publish_upstream(upstream, born=born_ms)

        async def is_known(upstream: UpstreamStandin = upstream) -> bool:
            upstream_id = UpstreamId(upstream.upstream_id)
            known = gateway._node.view.find_upstream(upstream_id)
            return (
                known is not None
                and str(known.upstream.address) == upstream.address
                and not gateway._node.health.is_down(upstream_id)
            )

        await eventually(is_known, within_s=5.0)


def test_crash_after_a_whole_event_of_a_stream_without_length() -> None:
    # It was taken for the end of the stream, which cleared earlier crashes.
    async def run() -> None:
        deployment = _deployment(OneEventEngine, 2)
        async with running_deployment(deployment=deployment) as (_, gateway):
            node = gateway._node
            for number in range(CRASHES_TO_REFUSE - 1):
                node.crash_suspects.record_crash(
                    [CRASHING_KEY], CrashSource(number), node.clock()
                )
            for number in range(4):
                request = _stream(deployment, f'b{number}')
                with suppress(ExchangeError):
                    await deployment.client.call_raw(
                        deployment.caller_address, request
                    )
                await _restart_crashed(deployment, gateway, BORN_MS + number)
            assert node.crash_suspects.crashes([CRASHING_KEY]) == (
                CRASHES_TO_REFUSE
            )
            assert _arrivals(deployment) == 1

    asyncio.run(run())


class _SentMessages(asyncio.DatagramTransport):
    """Keeps what a node sends."""

    def __init__(self) -> None:
        super().__init__()
        self.sizes_bytes: list[int] = []

    def sendto(
        self, data: bytes | bytearray | memoryview, addr: object = None
    ) -> None:
        """Notes the size of a message."""
        del addr
        self.sizes_bytes.append(len(data))


def test_crashes_make_messages_too_long() -> None:
    # They were a part of the message that also holds the loads.
    node = idle_node()
    rng = random.Random(1)
    for _ in range(60):
        key = SuspectKey(f'{rng.getrandbits(64):016x}')
        for _ in range(32):
            crash = CrashSource(rng.getrandbits(32))
            node.crash_suspects.record_crash([key], crash, node.clock())
    for number in range(UPSTREAMS):
        node.loads.begin_work(
            UpstreamId(f'i-{number:08x}'), UpstreamLoad(8, 9000, 60_000)
        )
    node.members.record_message('127.0.0.2', [], node.clock())
    sent = _SentMessages()

    async def run() -> None:
        link = PeerLink(node)
        link.connection_made(sent)
        link.send_message()

    asyncio.run(run())
    assert len(sent.sizes_bytes) == 2
    assert max(sent.sizes_bytes) <= MAX_GOSSIP_BYTES
