"""Replies to a request that is still being sent, at the HTTP client."""

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

UPLOAD = b'x' * 8_000_000
REPLY = b'HTTP/1.1 200 OK\r\n\r\npart'
RESETS = (ConnectionEnd.RESET, ConnectionEnd.HALF_CLOSE)


async def _call(early: EarlyUpstream) -> tuple[int, bytes]:
    await early.start()
    host, _, port = early.address.partition(':')
    client = HttpClient()
    request = HttpRequest(
        'POST', '/', [('request-id', 'r'), ('host', 'h')], UPLOAD
    )
    try:
        async with client.exchange(
            Address(host=host, port=int(port)), request, is_new_connection=True
        ) as response:
            return response.status, await response.read()
    finally:
        client.close()
        early.close()


# The part before a reset was taken for the whole body.
@pytest.mark.parametrize('delay_s', [0.0, 0.2])
@pytest.mark.parametrize('end', RESETS)
def test_part_of_a_reset_reply_is_taken_for_the_whole(
    end: ConnectionEnd, delay_s: float
) -> None:
    with pytest.raises(ExchangeError):
        asyncio.run(_call(EarlyUpstream('a', REPLY, end, delay_s)))


def test_reply_whose_request_is_read_later_is_whole() -> None:
    early = EarlyUpstream('a', REPLY, ConnectionEnd.READ_ON, 0.1)
    assert asyncio.run(_call(early)) == (200, b'part')
