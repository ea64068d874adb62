"""A kept connection is used again only if nothing has arrived on it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_node.http.client import HttpClient
from catkinreach_standins.fakes.scripted_upstream import (
    Step,
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

ARRIVAL_S = 0.05


def test_response_on_an_idle_connection_answers_a_poll() -> None:
    # Bytes that arrived while a connection was idle were read as a response.
    async def scenario() -> list[bytes]:
        def script(_: str, earlier_count: int) -> Sequence[Step]:
            own = encode_response(b'%d' % earlier_count)
            return (own, ARRIVAL_S, encode_response(b'repeated'))

        client = HttpClient()
        async with scripted_upstream(script) as (_, address):
            _, first = await client.call_json(address, 'GET', '/v1/load')
            await asyncio.sleep(2 * ARRIVAL_S)
            _, second = await client.call_json(address, 'GET', '/v1/load')
            client.close()
        return [first, second]

    assert asyncio.run(scenario()) == [b'0', b'0']


def test_poll_uses_a_kept_connection() -> None:
    async def scenario() -> int:
        client = HttpClient()
        async with scripted_upstream(lambda *_: (encode_response(b'{}'),)) as (
            upstream,
            address,
        ):
            for _ in range(3):
                await client.call_json(address, 'GET', '/v1/load')
            client.close()
        return upstream.connection_count

    assert asyncio.run(scenario()) == 1
