"""Replies that end as their upstream crashes, and is back at once."""

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
)
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import RawReply

if TYPE_CHECKING:
    from catkinreach_standins.platform.upstream_behaviour import Behaviour
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

CUT_STREAM = RawReply(STREAM_HEAD + b'\r\n' + b''.join(EVENTS[:3]))
CUT_BODY = RawReply(OK_HEAD + b'\r\ncut o')
BROKEN_OFF = (0, b'')
"""Stands for a response that broke off."""


class RebornUpstream(UpstreamStandin):
    """Crashes within each scripted reply, and is back with another id.

    Attributes:
        keeps_id: Whether it is back with the same id. The store then has its
            new entry.
    """

    keeps_id = False
    deployment: Deployment

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Begins anew after a scripted reply."""
        if isinstance(behaviour, RawReply):
            for writer in tuple(self._running):
                if writer is not exchange.writer:
                    writer.transport.abort()
            if self.keeps_id:
                self.deployment.publish_upstream(self, born=1_700_000_009_000)
                await asyncio.sleep(0.5)
            else:
                self.upstream_id = f'{self.upstream_id}-next'
        return await super().run(exchange, behaviour)


def _deployment(*, keeps_id: bool) -> Deployment:
    deployment = Deployment()
    for upstream_id, upstream in tuple(deployment.upstreams.items()):
        reborn = RebornUpstream(upstream_id, upstream.service, upstream.stage)
        reborn.keeps_id = keeps_id
        reborn.deployment = deployment
        deployment.upstreams[upstream_id] = reborn
    return deployment


async def _fetch_cut(
    path: str, names: str, reply: RawReply, *, keeps_id: bool, warm_ups: int
) -> tuple[int, bytes]:
    """Returns status and body of a request whose upstream is born again."""
    deployment = _deployment(keeps_id=keeps_id)
    async with running_deployment(deployment=deployment):
        await asyncio.gather(
            *(
                fetch(deployment, make_request(deployment, path))
                for _ in range(warm_ups)
            )
        )
        for name in names:
            deployment.upstreams[name].script.append(reply)
        try:
            return await fetch(deployment, make_request(deployment, path))
        except ExchangeError:
            return BROKEN_OFF


# Callers got a part of the reply as a whole one.
@pytest.mark.parametrize('warm_ups', [0, 4])
@pytest.mark.parametrize('keeps_id', [False, True])
def test_stream_cut_by_an_engine_that_is_back_looks_complete(
    *, keeps_id: bool, warm_ups: int
) -> None:
    answer = asyncio.run(
        _fetch_cut(
            '/once/', 'de', CUT_STREAM, keeps_id=keeps_id, warm_ups=warm_ups
        )
    )
    assert answer == BROKEN_OFF


@pytest.mark.parametrize('warm_ups', [0, 4])
@pytest.mark.parametrize('keeps_id', [False, True])
def test_stream_cut_by_an_engine_that_is_back_is_not_resumed(
    *, keeps_id: bool, warm_ups: int
) -> None:
    answer = asyncio.run(
        _fetch_cut(
            '/stream/', 'd', CUT_STREAM, keeps_id=keeps_id, warm_ups=warm_ups
        )
    )
    assert answer == (200, WHOLE)


@pytest.mark.parametrize('warm_ups', [0, 4])
@pytest.mark.parametrize('keeps_id', [False, True])
@pytest.mark.parametrize('path', ['/order/', '/read/'])
def test_reply_cut_by_an_upstream_that_is_back_looks_whole(
    path: str, *, keeps_id: bool, warm_ups: int
) -> None:
    status, body = asyncio.run(
        _fetch_cut(path, 'ab', CUT_BODY, keeps_id=keeps_id, warm_ups=warm_ups)
    )
    assert body != b'cut o'
    assert status in {200, 502, 503, 504}
