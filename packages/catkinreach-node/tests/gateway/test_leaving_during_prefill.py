"""Decode engines that begin to leave while a prompt is prefilled."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.raw_replies import WHOLE, fetch

if TYPE_CHECKING:
    from catkinreach_node.http.messages import HttpRequest

PREFILL_S = 0.6
TOLD_S = 0.2
"""Time for the change to reach the gateway; a prefill takes longer."""


def _request(deployment: Deployment, path: str) -> HttpRequest:
    """Returns a request with a prompt long enough for the prefill."""
    return deployment.make_request(
        path, method='POST', body=b'prompt', token_count='10000,100'
    )


def _leave(deployment: Deployment, name: str, how: str) -> None:
    if how == 'removed':
        deployment.store.remove(f'servers/{name}')
    elif how == 'draining':
        deployment.publish_upstream(
            deployment.upstreams[name], state='draining'
        )
    else:
        deployment.store.put('op/evacuate/zone-d', {})


# Streams reached an engine that had left during their prefill (review/7).
@pytest.mark.parametrize('how', ['draining', 'removed', 'evacuated'])
@pytest.mark.parametrize('path', ['/stream/', '/once/'])
def test_stream_reaches_an_engine_that_left_during_its_prefill(
    path: str, how: str
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, _):
            deployment.publish_upstream(
                deployment.upstreams['d'], zone='zone-d'
            )
            deployment.store.remove('servers/e')
            deployment.upstreams['p'].prefill_s = PREFILL_S
            await asyncio.sleep(PREFILL_S)
            streams = [
                asyncio.ensure_future(
                    fetch(deployment, _request(deployment, path))
                )
                for _ in range(2)
            ]
            await asyncio.sleep(PREFILL_S / 6)
            deployment.publish_upstream(deployment.upstreams['e'])
            _leave(deployment, 'd', how)
            told_s = time.monotonic() + TOLD_S
            for stream in streams:
                assert await stream == (200, WHOLE)
            late = [
                request.request_id
                for request in deployment.upstreams['d'].received
                if request.at_s > told_s
            ]
            assert not late
            assert deployment.upstreams['p'].received

    asyncio.run(run())
