"""Sound engines that are silent while no other one can be connected to."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.gateway.upstream_pool import UpstreamPool
from catkinreach_node.http.connection import ConnectError
from catkinreach_standins.platform.silent_upstreams import (
    WHOLE,
    DeploymentWithOneRetry,
    fetch,
    run_scenario,
    script_in_turn,
    set_pause,
    stream_request,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.http.connection import ClientConnection
    from catkinreach_standins.platform.deployment import Deployment

CONNECT_S = 0.34
"""Time in which two connects time out, one after the other."""

PAUSE_S = 1.6


def _hang_connects(monkeypatch: pytest.MonkeyPatch, upstream_id: str) -> None:
    """Lets connects to an upstream fail after a time."""
    real_open = UpstreamPool._open

    async def hang(pool: UpstreamPool, upstream: Upstream) -> ClientConnection:
        if upstream.upstream_id != upstream_id:
            return await real_open(pool, upstream)
        await asyncio.sleep(CONNECT_S)
        raise ConnectError(f'{upstream.address} is silent')

    monkeypatch.setattr(UpstreamPool, '_open', hang)


# A stream was cut off 0.25 s after another engine was chosen for it, to which
# nothing had been sent.
@pytest.mark.parametrize('behaviour', [Behaviour.PAUSE, Behaviour.PAUSE_FIRST])
def test_silent_engine_is_closed_before_another_one_is_connected(
    monkeypatch: pytest.MonkeyPatch, behaviour: Behaviour
) -> None:
    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, PAUSE_S)
        fetching = asyncio.ensure_future(
            fetch(deployment, stream_request(deployment))
        )
        _, other = await script_in_turn(deployment, behaviour, Behaviour.SERVE)
        _hang_connects(monkeypatch, other.upstream_id)
        assert await fetching == (200, WHOLE)
        assert not other.received

    run_scenario(scenario, DeploymentWithOneRetry)
