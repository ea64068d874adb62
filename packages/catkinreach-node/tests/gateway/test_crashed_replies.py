"""Replies that end with a connection, cut off by a crash of their upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin
from catkinreach_standins.platform.upstream_behaviour import RawReply

if TYPE_CHECKING:
    from catkinreach_standins.platform.upstream_behaviour import Behaviour
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

SEALED = b'Request-Id: {id}\r\nResponse-Seal: seal-x\r\n'
CUT_BODY = RawReply(b'HTTP/1.1 200 OK\r\n' + SEALED + b'\r\ncut o')
CUT_ERROR = RawReply(b'HTTP/1.1 404 no\r\n' + SEALED + b'\r\ncut o')


class CrashingUpstream(UpstreamStandin):
    """Crashes within each scripted reply; its connections are closed."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Crashes after a scripted reply."""
        if isinstance(behaviour, RawReply):
            self.close()
        return await super().run(exchange, behaviour)


def _deployment() -> Deployment:
    deployment = Deployment()
    for upstream_id, upstream in tuple(deployment.upstreams.items()):
        deployment.upstreams[upstream_id] = CrashingUpstream(
            upstream_id, upstream.service, upstream.stage
        )
    return deployment


@pytest.mark.parametrize(
    ('path', 'names', 'reply'),
    [
        ('/order/', 'ab', CUT_BODY),
        ('/read/', 'ab', CUT_BODY),
        ('/once/', 'de', CUT_ERROR),
        ('/stream/', 'de', CUT_ERROR),
    ],
)
def test_reply_without_length_that_a_crash_cuts_looks_whole(
    path: str, names: str, reply: RawReply
) -> None:
    # Callers got "cut o" with a length, as a whole response.
    async def run() -> None:
        deployment = _deployment()
        async with running_deployment(deployment=deployment):
            for name in names:
                deployment.upstreams[name].script.append(reply)
            request = deployment.make_request(
                path, method='POST', body=b'prompt', token_count='1000,100'
            )
            status, body = await deployment.client.call_raw(
                deployment.caller_address, request
            )
            assert b'cut o' not in body
            assert status in {502, 503, 504}

    asyncio.run(run())
