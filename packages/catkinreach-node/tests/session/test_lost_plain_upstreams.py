"""A plain upstream that is lost while it runs a request."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_core.errors import CatkinreachError, Outcome
from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.bench.ports import LOOPBACK
from catkinreach_standins.fakes.plain_calls import read_plain


def test_lost_upstream_and_none_for_the_retry_say_not_run() -> None:
    # The first upstream may have run it; its outcome is unknown.
    async def run() -> None:
        async def crash(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            server.close()
            writer.close()

        server = await asyncio.start_server(crash, LOOPBACK, 0)
        port: int = server.sockets[0].getsockname()[1]
        with pytest.raises(CatkinreachError) as caught:
            await read_plain(HttpClient(), Address(LOOPBACK, port))
        assert caught.value.outcome is Outcome.UNKNOWN

    asyncio.run(run())
