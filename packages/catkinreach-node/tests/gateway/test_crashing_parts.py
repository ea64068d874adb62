"""Streams of which one part of the prompt crashes each engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.crash_suspects import CRASHES_TO_REFUSE
from catkinreach_core.ids import UpstreamId
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin

if TYPE_CHECKING:
    from catkinreach_node.gateway.app import GatewayApp
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.upstream_behaviour import (
        Behaviour,
        RawReply,
    )
    from catkinreach_standins.platform.upstream_exchange import (
        UpstreamExchange,
    )

SHARED_PART = 'a1'
CRASHING_PART = 'd1'
CRASHING_REQUESTS = 6
FIRST_RESTART_MS = 1_700_000_001_000


class CrashingEngine(UpstreamStandin):
    """Decode engine that crashes when it starts to answer on one part."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Crashes, or runs a request whose prompt lacks the part."""
        if CRASHING_PART not in exchange.request.headers['prompt-prefix']:
            return await super().run(exchange, behaviour)
        self.close()
        exchange.writer.transport.abort()
        return False


def _deployment() -> Deployment:
    deployment = Deployment()
    for upstream_id in ('d', 'e'):
        deployment.upstreams[upstream_id] = CrashingEngine(
            upstream_id, MODEL_SERVICE, 'decode'
        )
    return deployment


def _stream(deployment: Deployment, *parts: str) -> HttpRequest:
    """Returns a request whose prompt ends with a part of its own."""
    own = f'b{len(deployment.upstreams["p"].received)}'
    prefix = ','.join(f'{part}:100' for part in (*parts, own))
    return deployment.make_request(
        '/stream/',
        method='POST',
        body=own.encode(),
        token_count='300,100',
        prompt_prefix=prefix,
    )


async def _restart_crashed(
    deployment: Deployment, gateway: GatewayApp, born_ms: int
) -> None:
    """Restarts the engines that don't listen, as new incarnations."""
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


def _count_crashing(deployment: Deployment) -> int:
    """Returns the crashing requests that decode engines received."""
    return sum(
        CRASHING_PART in received.headers.get('prompt-prefix', '')
        for upstream_id in ('d', 'e')
        for received in deployment.upstreams[upstream_id].received
    )


def test_streams_with_one_crashing_part_are_sent_on_and_on() -> None:
    # Crashes were counted by the hash of the whole request only.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            client = deployment.client
            for number in range(CRASHING_REQUESTS):
                status, _ = await client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                assert status >= 500
                await _restart_crashed(
                    deployment, gateway, FIRST_RESTART_MS + number
                )
            assert _count_crashing(deployment) == CRASHES_TO_REFUSE
            status, _ = await client.call_raw(
                deployment.caller_address, _stream(deployment, SHARED_PART)
            )
            assert status == 200

    asyncio.run(run())


def test_stream_that_crashed_after_others_is_not_sent_again() -> None:
    # It was retried, and so crashed one engine more.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            arrivals = []
            for number in range(2):
                await deployment.client.call_raw(
                    deployment.caller_address,
                    _stream(deployment, SHARED_PART, CRASHING_PART),
                )
                arrivals.append(_count_crashing(deployment))
                await _restart_crashed(
                    deployment, gateway, FIRST_RESTART_MS + number
                )
            assert arrivals == [2, 3]

    asyncio.run(run())
