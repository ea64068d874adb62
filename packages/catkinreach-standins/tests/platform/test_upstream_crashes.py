"""A crash of an upstream's stand-in ends all of its connections."""

from __future__ import annotations

import asyncio
import socket

import pytest

from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.upstream import UpstreamStandin

REQUEST = (
    b'GET / HTTP/1.1\r\nHost: h\r\nExpect-Instance: u\r\nRequest-Id: r\r\n'
    b'Prompt-Prefix: dead:1,own:1\r\n\r\n'
)
SERVED_WITHIN_S = 0.7
SETTLE_S = 0.2
"""Times to serve the first request, and another one; a restart takes at least a
second."""


@pytest.mark.parametrize('turns', range(8))
def test_engine_crashes_again_while_it_is_down(turns: int) -> None:
    # A connection was served that was accepted just before the crash.
    async def run() -> None:
        upstream = UpstreamStandin('u', 'service', 'decode')
        upstream.crashing_part = 'dead'
        await upstream.start()

        async def has_crashed() -> bool:
            return bool(upstream.crashes_s)

        port = int(upstream.address.rpartition(':')[2])
        with socket.create_connection(('127.0.0.1', port)) as first:
            first.sendall(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            _send_if_open(port)
            await eventually(has_crashed, within_s=SERVED_WITHIN_S)
            await asyncio.sleep(SETTLE_S)
            assert len(upstream.crashes_s) == 1
            assert not upstream.is_listening
        upstream.close()

    asyncio.run(run())


def _send_if_open(port: int) -> None:
    """Sends another crashing request, unless the engine doesn't listen."""
    try:
        second = socket.create_connection(('127.0.0.1', port))
    except ConnectionRefusedError:
        return
    second.sendall(REQUEST)
    second.detach()
