"""A silent engine whose replacement wasn't sent to any other engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.gateway.memory_wait import MemoryWait
from catkinreach_node.gateway.stream_handler import StreamHandler
from catkinreach_standins.platform.silent_upstreams import (
    WHOLE,
    DeploymentWithOneRetry,
    fetch,
    run_scenario,
    script_in_turn,
    set_pause,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    from catkinreach_core.ids import UpstreamId
    from catkinreach_node.gateway.engine_stream import EngineStream
    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.upstream import UpstreamStandin

LONG_PROMPT = '6000,100'
"""A decode engine alone takes longer to read it than a silent one is kept."""


class _WithoutPrefill(DeploymentWithOneRetry):
    """A retry budget of one; decode engines read the prompts."""

    def publish_upstream(
        self, upstream: UpstreamStandin, **changed: object
    ) -> None:
        """Publishes no prefill engine."""
        if upstream.stage != 'prefill':
            super().publish_upstream(upstream, **changed)


# A refused replacement counted as another engine that had been tried: with the
# retry that it hadn't spent the sound engine's stream was closed.
@pytest.mark.parametrize('pause_s', [2.6])
def test_silent_engine_is_closed_though_no_other_was_tried(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    questions: list[bool] = []
    real = MemoryWait.can_place_elsewhere

    def can_place(wait: MemoryWait, silent_id: UpstreamId) -> bool:
        # The other engine fills up after the first question.
        questions.append(real(wait, silent_id))
        return questions[-1] and len(questions) == 1

    monkeypatch.setattr(MemoryWait, 'can_place_elsewhere', can_place)
    returns: list[bool] = []
    real_return = StreamHandler.may_return

    def may_return(handler: StreamHandler, stream: EngineStream) -> bool:
        returns.append(real_return(handler, stream))
        return returns[-1]

    monkeypatch.setattr(StreamHandler, 'may_return', may_return)

    async def scenario(deployment: Deployment) -> None:
        set_pause(deployment, pause_s)
        request = deployment.make_request(
            '/stream/', method='POST', body=b'prompt', token_count=LONG_PROMPT
        )
        fetching = asyncio.ensure_future(fetch(deployment, request))
        first, _ = await script_in_turn(
            deployment, Behaviour.PAUSE_FIRST, Behaviour.PAUSE_FIRST
        )
        status, body = await fetching
        assert (status, body) == (200, WHOLE)
        assert not first.abandoned_ids

    run_scenario(scenario, _WithoutPrefill)
