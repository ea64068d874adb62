"""The event at which a stream goes on at another engine."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour
from catkinreach_standins.platform.upstream_replies import StreamFraming

if TYPE_CHECKING:
    from catkinreach_standins.platform.received_request import ReceivedRequest
    from catkinreach_standins.platform.upstream import UpstreamStandin

ENGINE_IDS = ('d', 'e')
EVENT_GAP_S = 0.1
FIRST_EVENT_S = 0.15


class _NamingFraming:
    """Names the engine in each event."""

    def __init__(self, *, is_chunked: bool) -> None:
        self._framing = StreamFraming(is_chunked=is_chunked)
        self._upstream_id = b''

    @property
    def is_chunked(self) -> bool:
        """Returns whether the body is sent in chunks."""
        return self._framing.is_chunked

    def head(self, request: ReceivedRequest, upstream_id: str) -> bytes:
        """Returns the head of the response."""
        self._upstream_id = upstream_id.encode()
        return self._framing.head(request, upstream_id)

    def encode(self, data: bytes) -> bytes:
        """Returns a part of the body."""
        return self._framing.encode(data.replace(b'token', self._upstream_id))

    def end(self) -> bytes:
        """Returns what ends the body."""
        return self._framing.end()


async def _script_in_turn(
    deployment: Deployment, pause_s: float
) -> tuple[UpstreamStandin, UpstreamStandin]:
    """Returns the engine that gets the stream, which pauses, and the other."""
    engines = [deployment.upstreams[name] for name in ENGINE_IDS]
    for engine in engines:
        engine.event_gap_s = EVENT_GAP_S
        engine.pause_s = pause_s
        engine.script.append(Behaviour.PAUSE)

    async def is_sent() -> bool:
        return any(engine.received for engine in engines)

    await eventually(is_sent, within_s=1.0)
    first, other = sorted(engines, key=lambda engine: not engine.received)
    other.pause_s = FIRST_EVENT_S
    other.script.clear()
    other.script.append(Behaviour.PAUSE_FIRST)
    return first, other


def _event_ids(body: bytes, upstream: UpstreamStandin) -> list[int]:
    """Returns the ids of the events that an engine made."""
    name = upstream.upstream_id.encode()
    return [
        int(number)
        for number, maker in re.findall(rb'id: (\d+)\ndata: (\w+)', body)
        if maker == name
    ]


@pytest.mark.parametrize('pause_s', [0.70, 0.75, 0.80, 2.0])
def test_other_engine_goes_on_after_an_earlier_event(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    # The silent engine's next events were passed on beside the other's run.
    monkeypatch.setattr(
        'catkinreach_standins.platform.upstream_stream.StreamFraming',
        _NamingFraming,
    )

    async def run() -> None:
        async with running_deployment() as (deployment, _):
            request = deployment.make_request(
                '/stream/', method='POST', body=b'p', token_count='1000,100'
            )
            fetching = asyncio.ensure_future(
                deployment.client.call_raw(deployment.caller_address, request)
            )
            first, other = await _script_in_turn(deployment, pause_s)
            status, body = await fetching
            assert status == 200
            from_first = _event_ids(body, first)
            from_other = _event_ids(body, other)
            assert sorted(from_first + from_other) == [1, 2, 3, 4, 5, 6]
            if from_other:
                (resumed,) = other.received
                last_event_id = int(resumed.headers['last-event-id'])
                assert last_event_id == max(from_first)

    asyncio.run(run())
