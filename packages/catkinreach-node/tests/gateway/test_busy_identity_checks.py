"""Whole replies without length of upstreams that are busy, or silent."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
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
LATE_BODY = RawReply(OK_HEAD + b'\r\nbody', delay_s=0.5)
PAUSE_S = 1.0
PAUSE = RawReply(
    b'HTTP/1.1 503 full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n'
    b'Retry-After: 1\r\nContent-Length: 0\r\n\r\n',
    stays_open=True,
)
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


@dataclass
class PausedUpstream(UpstreamStandin):
    """Records when checks reached it.

    Attributes:
        checks_s: Monotonic times of the checks.
    """

    checks_s: list[float] = field(default_factory=list)

    def _answer_check(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.checks_s.append(time.monotonic())
        super()._answer_check(request, writer)


# Callers got a 502 as the upstream had asked for a pause meanwhile.
def test_whole_reply_is_broken_off_as_its_upstream_wants_a_pause() -> None:
    async def run() -> None:
        deployment = Deployment()
        paused = {
            name: PausedUpstream(name, deployment.upstreams[name].service)
            for name in 'ab'
        }
        deployment.upstreams.update(paused)

        async def have_begun() -> bool:
            return all(one.received for one in paused.values())

        async with running_deployment(deployment=deployment):
            script_replies(deployment, 'ab', LATE_BODY, PAUSE)
            late = [
                asyncio.ensure_future(
                    fetch(deployment, make_request(deployment, '/order/'))
                )
                for _ in paused
            ]
            await eventually(have_begun, within_s=5.0)
            asked_s = time.monotonic()
            for _ in paused:
                await fetch(deployment, make_request(deployment, '/order/'))
            assert await asyncio.gather(*late) == [(200, b'body')] * 2
        for one in paused.values():
            assert min(one.checks_s) > asked_s + PAUSE_S

    asyncio.run(run())
