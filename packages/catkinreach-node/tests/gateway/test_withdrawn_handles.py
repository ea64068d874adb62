"""KV handles of replacements that are withdrawn."""

from __future__ import annotations

import asyncio
from collections import deque

from catkinreach_standins.platform.deployment import (
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.silent_upstreams import (
    WHOLE,
    DeploymentWithLatePrefill,
    DeploymentWithOneRetry,
    DeploymentWithThreeEngines,
    decode_engines,
    fetch,
    script_in_turn,
    set_pause,
    stream_request,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour, RawReply

PAUSE_S = 2.0
MORE_RETRIES = 9.0


class _Deployment(
    DeploymentWithLatePrefill,
    DeploymentWithOneRetry,
    DeploymentWithThreeEngines,
):
    """Three decode engines, a late prefill engine, and a budget of one."""


# The engine may have imported the KV cache; the next one got the handle, too.
def test_handle_of_a_withdrawn_replacement_is_sent_again() -> None:
    async def run() -> None:
        deployment = _Deployment()
        async with running_deployment(deployment=deployment) as (_, gateway):
            set_pause(deployment, PAUSE_S)
            fetching = asyncio.ensure_future(
                fetch(deployment, stream_request(deployment))
            )
            first, _ = await script_in_turn(
                deployment, Behaviour.PAUSE, Behaviour.SERVE
            )
            others = [
                one for one in decode_engines(deployment) if one is not first
            ]
            script: deque[Behaviour | RawReply] = deque([Behaviour.SERVE] * 9)
            script.appendleft(Behaviour.HANG)
            for engine in others:
                engine.script = script
            deployment.publish_upstream(deployment.upstreams['p'])

            async def is_sent() -> bool:
                return any(engine.received for engine in others)

            await eventually(is_sent, within_s=PAUSE_S)
            gateway._node.retry_budget._slack = MORE_RETRIES
            # Withdrawn for want of a held retry, which is free from then on.
            assert await fetching == (200, WHOLE)
            sources = [
                request.headers.get('kv-source')
                for engine in others
                for request in engine.received
            ]
            assert len(sources) == 2
            named = [source for source in sources if source]
            assert len(named) == 1

    asyncio.run(run())
