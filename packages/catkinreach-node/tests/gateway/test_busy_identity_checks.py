"""Whole replies without length of upstreams that are busy, or silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.raw_replies import (
    OK_HEAD,
    STREAM_HEAD,
    WHOLE,
    fetch,
    make_request,
    script_replies,
)
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import (
    SILENCE_S,
    RawReply,
)
from catkinreach_standins.platform.upstream_replies import refusal

if TYPE_CHECKING:
    from catkinreach_standins.platform.received_request import ReceivedRequest

WHOLE_BODY = RawReply(OK_HEAD + b'\r\nbody')
WHOLE_STREAM = RawReply(STREAM_HEAD + b'\r\n' + WHOLE)


class BusyUpstream(UpstreamStandin):
    """Answers checks late, or refuses some as all its slots are taken.

    Attributes:
        delay_s: Time after which checks are answered.
        refusals: Number of checks that are refused next.
    """

    delay_s = 0.0
    refusals = 0

    def _answer_check(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusals:
            self.refusals -= 1
            writer.write(refusal())
            return
        answer = super()._answer_check
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, answer, request, writer)


async def _fetch(
    path: str, reply: RawReply, *, delay_s: float, refusals: int, warm_ups: int
) -> tuple[int, bytes]:
    """Returns status and body of the answer to a request."""
    deployment = Deployment()
    for upstream_id, upstream in tuple(deployment.upstreams.items()):
        busy = BusyUpstream(upstream_id, upstream.service, upstream.stage)
        busy.delay_s = delay_s
        busy.refusals = refusals
        deployment.upstreams[upstream_id] = busy
    async with running_deployment(deployment=deployment):
        for _ in range(warm_ups):
            await fetch(deployment, make_request(deployment, path))
        script_replies(deployment, 'abde', reply)
        return await fetch(deployment, make_request(deployment, path))


# Callers got a 502, or a stream that was cut, though the reply was whole.
@pytest.mark.parametrize('warm_ups', [0, 4])
@pytest.mark.parametrize(
    ('path', 'reply', 'body'),
    [
        ('/order/', WHOLE_BODY, b'body'),
        ('/once/', WHOLE_STREAM, WHOLE),
        ('/stream/', WHOLE_STREAM, WHOLE),
    ],
)
def test_silence_after_a_whole_reply_breaks_it_off(
    path: str, reply: RawReply, body: bytes, *, warm_ups: int
) -> None:
    answer = asyncio.run(
        _fetch(path, reply, delay_s=SILENCE_S, refusals=0, warm_ups=warm_ups)
    )
    assert answer == (200, body)


@pytest.mark.parametrize(
    ('path', 'reply', 'body'),
    [('/order/', WHOLE_BODY, b'body'), ('/once/', WHOLE_STREAM, WHOLE)],
)
def test_refused_check_after_a_whole_reply_breaks_it_off(
    path: str, reply: RawReply, body: bytes
) -> None:
    answer = asyncio.run(
        _fetch(path, reply, delay_s=0.0, refusals=2, warm_ups=0)
    )
    assert answer == (200, body)
