"""Engines that seem to crash since the network cuts them off."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from catkinreach_node.gateway.suspect_keys import _part_key
from catkinreach_node.http.connection import ConnectError, RefusedError
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin

if TYPE_CHECKING:
    import pytest

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_standins.platform.upstream_behaviour import (
        Behaviour,
        RawReply,
    )
    from catkinreach_standins.platform.upstream_exchange import UpstreamExchange

PART = 'a1'
FILLERS = 4


class CutOffEngine(UpstreamStandin):
    """Is cut off when it gets a stream: later connects time out."""

    def __init__(self, upstream_id: str) -> None:
        """Prepares a decode engine."""
        super().__init__(upstream_id, MODEL_SERVICE, 'decode')
        self._sockets: list[socket.socket] = []

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Resets the connection; its port then accepts nothing more."""
        del behaviour
        self.close()
        self._fill_port()
        exchange.writer.transport.abort()
        return False

    def close_port(self) -> None:
        """Closes what fills the port."""
        for one in self._sockets:
            one.close()

    def _fill_port(self) -> None:
        """Listens with a queue that is full, so that connects get no reply."""
        listener = socket.socket()
        self._sockets.append(listener)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', self._port))
        listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            self._sockets.append(filler)
            filler.setblocking(False)  # noqa: FBT003 - takes no name
            filler.connect_ex(('127.0.0.1', self._port))


class CrashingEngine(UpstreamStandin):
    """Crashes when it gets a stream."""

    async def run(
        self, exchange: UpstreamExchange, behaviour: Behaviour | RawReply
    ) -> bool:
        """Stops listening and resets the connection."""
        del behaviour
        self.close()
        exchange.writer.transport.abort()
        return False


def _stream(deployment: Deployment) -> HttpRequest:
    return deployment.make_request(
        '/stream/',
        method='POST',
        body=b'x',
        token_count='300,100',
        prompt_prefix=f'{PART}:100,b1:100',
    )


def test_cut_link_counts_as_a_crash() -> None:
    # Soak seed 410: harmless parts of prompts were refused.
    async def run() -> None:
        deployment = Deployment()
        engines = [CutOffEngine(name) for name in ('d', 'e')]
        deployment.upstreams |= {one.upstream_id: one for one in engines}
        async with running_deployment(deployment=deployment) as (_, gateway):
            await deployment.client.call_raw(
                deployment.caller_address, _stream(deployment)
            )
            assert any(one.received for one in engines)
            crashes = gateway._node.crash_suspects.crashes([_part_key(PART)])
            assert crashes == 0
        for engine in engines:
            engine.close_port()

    asyncio.run(run())


def test_crash_counts_that_first_resets_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        deployment = Deployment()
        del deployment.upstreams['e']
        deployment.upstreams['d'] = CrashingEngine('d', MODEL_SERVICE, 'decode')
        async with running_deployment(deployment=deployment) as (_, gateway):
            errors = [RefusedError('refused'), ConnectError('reset')]

            async def probe(upstream: Upstream) -> None:
                del upstream
                raise errors.pop() if len(errors) > 1 else errors[0]

            monkeypatch.setattr(gateway._node.pool, 'probe', probe)
            await deployment.client.call_raw(
                deployment.caller_address, _stream(deployment)
            )
            crashes = gateway._node.crash_suspects.crashes([_part_key(PART)])
            assert crashes == 1

    asyncio.run(run())
