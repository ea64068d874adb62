"""Sound engines that pause, and engines that fail as they replace them."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.silent_upstreams import (
    LATE_LOSS,
    WHOLE,
    fetch,
    script_in_turn,
    set_pause,
    stream_request,
)
from catkinreach_standins.platform.upstream_behaviour import Behaviour, RawReply

CUT: Final = 0
"""Stands for the status of a stream that broke off."""

MAX_RUNS: Final = 3
"""Two engines, one of which gets the stream once more."""

REPLACEMENTS: Final[tuple[Behaviour | RawReply, ...]] = (
    Behaviour.SERVE,
    Behaviour.REFUSE,
    Behaviour.DISCONNECT,
    Behaviour.CUT_HEAD,
    Behaviour.HANG,
    LATE_LOSS,
)


async def _outcome(
    pause: Behaviour, pause_s: float, replacement: Behaviour | RawReply
) -> tuple[int, bytes, int]:
    """Returns status, body and number of runs of a stream."""
    deployment = Deployment()
    async with running_deployment(deployment=deployment):
        set_pause(deployment, pause_s)
        fetching = asyncio.ensure_future(
            fetch(deployment, stream_request(deployment))
        )
        first, other = await script_in_turn(deployment, pause, replacement)
        try:
            status, body = await fetching
        except ExchangeError:
            status, body = CUT, b''
        return status, body, len(first.received) + len(other.received)


# A sound engine paused for 1.4 s, the one that replaced it was reset, and the
# stream was cut.
@pytest.mark.parametrize('pause', [Behaviour.PAUSE, Behaviour.PAUSE_FIRST])
@pytest.mark.parametrize('pause_s', [0.3, 0.9, 1.4, 2.0])
def test_stream_of_a_paused_engine_is_cut(
    pause: Behaviour, pause_s: float
) -> None:
    async def run() -> None:
        outcomes = await asyncio.gather(
            *(_outcome(pause, pause_s, other) for other in REPLACEMENTS)
        )
        answers = [outcome[:2] for outcome in outcomes]
        assert answers == [(200, WHOLE)] * len(REPLACEMENTS)
        assert max(runs for _, _, runs in outcomes) <= MAX_RUNS

    asyncio.run(run())
