"""Responses whose status is none of HTTP, at the HTTP client."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ExchangeError
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.platform.early_upstream import (
    ConnectionEnd,
    EarlyUpstream,
)


# A status of 600 and more was returned to the caller.
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_odd_status_is_taken_for_an_answer(status: bytes) -> None:
    async def run() -> None:
        reply = b'HTTP/1.1 ' + status + b' odd\r\nContent-Length: 0\r\n\r\n'
        upstream = EarlyUpstream('a', reply, ConnectionEnd.CLOSE, 0.0)
        await upstream.start()
        host, _, port = upstream.address.partition(':')
        client = HttpClient()
        request = HttpRequest('GET', '/', [('request-id', 'r'), ('host', 'h')])
        try:
            with pytest.raises(ExchangeError):
                await client.call_raw(
                    Address(host=host, port=int(port)), request
                )
        finally:
            client.close()
            upstream.close()

    asyncio.run(run())
