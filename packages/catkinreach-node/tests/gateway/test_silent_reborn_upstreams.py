"""Replies cut as their upstream restarts under its id, unknown to the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection import ExchangeError
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.raw_replies import (
    EVENTS,
    OK_HEAD,
    STREAM_HEAD,
    WHOLE,
    fetch,
    make_request,
    script_replies,
)
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_availability import (
    FIRST_START_MS,
    START_STEP_MS,
)
from catkinreach_standins.platform.upstream_behaviour import RawReply

if TYPE_CHECKING:
    from catkinreach_standins.platform.upstream_behaviour import Behaviour
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

CUT_STREAM = RawReply(STREAM_HEAD + b'\r\n' + b''.join(EVENTS[:3]))
WHOLE_STREAM = RawReply(STREAM_HEAD + b'\r\n' + WHOLE)
CUT_BODY = RawReply(OK_HEAD + b'\r\ncut o')
LATER_START_MS = FIRST_START_MS + START_STEP_MS
SILENCE_S = 0.6
BROKEN_OFF = (0, b'')
"""Stands for a response that broke off."""


class SilentUpstream(UpstreamStandin):
    """Sends scripted replies, and ends their connections after a time.

    Attributes:
        silence_s: Time from the data to the end of the connection.
        next_start_ms: Start that it names after a scripted reply; 0 to go on
            with what it names.
    """

    silence_s = 0.0
    next_start_ms = 0

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Is silent after a scripted reply."""
        stays_open = await super().run(exchange, behaviour)
        if isinstance(behaviour, RawReply):
            self.reported_start_ms = self.next_start_ms
            await asyncio.sleep(self.silence_s)
        return stays_open


async def _fetch(
    path: str, names: str, reply: RawReply, *, silence_s: float, start_ms: int
) -> tuple[int, bytes]:
    """Returns the answer to a request whose reply ends after a silence."""
    deployment = Deployment()
    for upstream_id, upstream in tuple(deployment.upstreams.items()):
        silent = SilentUpstream(upstream_id, upstream.service, upstream.stage)
        silent.silence_s = silence_s
        silent.next_start_ms = start_ms
        deployment.upstreams[upstream_id] = silent
    async with running_deployment(deployment=deployment):
        script_replies(deployment, names, reply)
        try:
            return await fetch(deployment, make_request(deployment, path))
        except ExchangeError:
            return BROKEN_OFF


# Callers got a part of the stream as a whole one: the upstream named its id,
# and the store still had its earlier start.
@pytest.mark.parametrize(
    ('silence_s', 'start_ms'),
    [(0.0, LATER_START_MS), (SILENCE_S, LATER_START_MS), (SILENCE_S, 0)],
)
def test_stream_cut_by_a_restart_under_one_id_looks_complete(
    silence_s: float, start_ms: int
) -> None:
    answer = asyncio.run(
        _fetch(
            '/once/', 'de', CUT_STREAM, silence_s=silence_s, start_ms=start_ms
        )
    )
    assert answer == BROKEN_OFF


@pytest.mark.parametrize(
    ('silence_s', 'start_ms'),
    [(0.0, LATER_START_MS), (SILENCE_S, LATER_START_MS), (SILENCE_S, 0)],
)
def test_stream_cut_by_a_restart_under_one_id_is_not_resumed(
    silence_s: float, start_ms: int
) -> None:
    answer = asyncio.run(
        _fetch(
            '/stream/', 'd', CUT_STREAM, silence_s=silence_s, start_ms=start_ms
        )
    )
    assert answer == (200, WHOLE)


def test_plain_reply_cut_by_a_restart_under_one_id_looks_whole() -> None:
    status, body = asyncio.run(
        _fetch('/order/', 'ab', CUT_BODY, silence_s=SILENCE_S, start_ms=0)
    )
    assert body != b'cut o'
    assert status == 502


@pytest.mark.parametrize('path', ['/stream/', '/once/'])
def test_silent_stream_of_a_sound_engine_is_broken_off(path: str) -> None:
    answer = asyncio.run(
        _fetch(
            path,
            'de',
            WHOLE_STREAM,
            silence_s=SILENCE_S,
            start_ms=FIRST_START_MS,
        )
    )
    assert answer == (200, WHOLE)
