"""Paused engines that no other engine may replace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_node.gateway.event_relay import MIN_STALL_S, EventRelay
from catkinreach_node.gateway.stream_handler import StreamHandler
from catkinreach_standins.platform.raw_replies import (
    WHOLE,
    fetch,
    make_request,
    run_scenario,
    script_replies,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour

if TYPE_CHECKING:
    import pytest

    from catkinreach_standins.platform.deployment import Deployment


# A crash check that ended within the pause had ruled out other engines.
def test_paused_stream_is_cut_once_it_cannot_be_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(EventRelay, '_event_timeout_s', lambda _: MIN_STALL_S)
    monkeypatch.setattr(StreamHandler, 'can_replace', False)

    async def scenario(deployment: Deployment) -> None:
        script_replies(deployment, 'de', Behaviour.PAUSE)
        request = make_request(deployment, '/stream/')
        assert await fetch(deployment, request) == (200, WHOLE)

    run_scenario(scenario)
