"""Repeats of one request while requests like it are tried."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.gateway.crash_suspects import (
    CRASHES_TO_REFUSE,
    MIN_REFUSAL_S,
    CrashSource,
)
from catkinreach_node.gateway.suspect_keys import _part_key
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin

if TYPE_CHECKING:
    from catkinreach_standins.platform.upstream_behaviour import (
        Behaviour,
        RawReply,
    )
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

CRASHING_PART = 'd1'
CRASHING_KEY = _part_key(CRASHING_PART)
ENGINES = 8


class SlowlyCrashingEngine(UpstreamStandin):
    """Crashes 0.3 s after it got a request."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Crashes."""
        del behaviour
        await asyncio.sleep(0.3)
        self.close()
        exchange.writer.transport.abort()
        return False


def _deployment() -> Deployment:
    deployment = Deployment()
    del deployment.upstreams['d'], deployment.upstreams['e']
    for number in range(ENGINES):
        upstream_id = f'd{number}'
        deployment.upstreams[upstream_id] = SlowlyCrashingEngine(
            upstream_id, MODEL_SERVICE, 'decode'
        )
    return deployment


def test_repeats_of_a_request_that_is_tried_are_sent_beside_it() -> None:
    # All were sent until the crash of the first one was known.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            node = gateway._node
            crashed_s = node.clock() - MIN_REFUSAL_S - 1
            for number in range(CRASHES_TO_REFUSE):
                node.crash_suspects.record_crash(
                    [CRASHING_KEY], CrashSource(number), crashed_s
                )
            calls = []
            for _ in range(ENGINES):
                request = deployment.make_request(
                    '/stream/',
                    method='POST',
                    body=b'the same',
                    token_count='300,100',
                    prompt_prefix=f'a1:100,{CRASHING_PART}:100,b1:100',
                )
                calls.append(
                    asyncio.ensure_future(
                        deployment.client.call_raw(
                            deployment.caller_address, request
                        )
                    )
                )
                await asyncio.sleep(0.03)
            await asyncio.gather(*calls)
            received = [
                len(upstream.received)
                for upstream in deployment.upstreams.values()
                if upstream.stage == 'decode'
            ]
            assert sum(received) == 1

    asyncio.run(run())
