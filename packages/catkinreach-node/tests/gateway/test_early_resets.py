"""Upstreams that answer a long upload at once, then break off."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_standins.platform.config import make_config, make_limits
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.early_upstream import (
    ConnectionEnd,
    EarlyUpstream,
)
from catkinreach_standins.platform.raw_replies import OK_HEAD, fetch

UPLOAD_BYTES = 8_000_000
PART = b'part of the body'
CUT = (ConnectionEnd.RESET, ConnectionEnd.CLOSE, ConnectionEnd.HALF_CLOSE)
REPLIES = (
    OK_HEAD + b'\r\n' + PART,
    OK_HEAD + b'Connection: close\r\n\r\n' + PART,
)


class DeploymentWithEarlyUpstream(Deployment):
    """One plain upstream, which answers early."""

    def __init__(self, early: EarlyUpstream) -> None:
        """Replaces the plain upstreams."""
        super().__init__()
        del self.upstreams['b']
        self._early = early

    async def start(self) -> None:
        """Starts the upstream, too."""
        await self._early.start()
        await super().start()

    def publish(self) -> None:
        """Publishes the upstream's address, and a limit for long uploads."""
        super().publish()
        limits = make_limits(**{'max-body-bytes': 2 * UPLOAD_BYTES})
        self.store.put('op/config', make_config(6, limits=limits))
        self.publish_upstream(self.upstreams['a'], address=self._early.address)

    async def close(self) -> None:
        """Stops the upstream, too."""
        self._early.close()
        await super().close()


def _upload(path: str, early: EarlyUpstream) -> tuple[int, bytes]:
    """Returns the answer to a long upload."""

    async def run() -> tuple[int, bytes]:
        deployment = DeploymentWithEarlyUpstream(early)
        async with running_deployment(deployment=deployment):
            request = deployment.make_request(
                path, method='POST', body=b'x' * UPLOAD_BYTES
            )
            answer = await fetch(deployment, request)
            assert early.received_heads
            return answer

    return asyncio.run(run())


# Callers got the part as a complete answer with 200.
@pytest.mark.parametrize('reply', REPLIES)
@pytest.mark.parametrize('end', CUT)
@pytest.mark.parametrize('delay_s', [0.0, 0.05, 0.3])
@pytest.mark.parametrize('path', ['/read/', '/order/'])
def test_reply_that_is_reset_during_the_upload_is_not_whole(
    path: str, delay_s: float, end: ConnectionEnd, reply: bytes
) -> None:
    status, body = _upload(path, EarlyUpstream('a', reply, end, delay_s))
    assert (status, PART in body) == (502, False)


@pytest.mark.parametrize('reply', REPLIES)
@pytest.mark.parametrize('path', ['/read/', '/order/'])
def test_whole_reply_to_an_upload_that_is_read_later_is_kept(
    path: str, reply: bytes
) -> None:
    early = EarlyUpstream('a', reply, ConnectionEnd.READ_ON, 0.1)
    assert _upload(path, early) == (200, PART)
