"""Plain upstreams that stop within a response, and stay connected."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_node.http.client import HttpClient
from catkinreach_node.session import plain
from catkinreach_standins.fakes.model_runs import TEST_LIMIT_S
from catkinreach_standins.fakes.plain_calls import (
    ORDER_PATH,
    READ_PATH,
    read_plain,
    run_order,
)
from catkinreach_standins.fakes.scripted_upstream import (
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.settings.node import Address

RESPONSE_TIMEOUT_S = 0.3
PAUSE_S = 3 * TEST_LIMIT_S
WHOLE = encode_response(b'answer')
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nanswer'
STOPS = [
    b'',
    WHOLE[:9],
    WHOLE[: WHOLE.index(b'answer')],
    WHOLE[:-1],
    CHUNKED,
    CHUNKED + b'\r\n',
    b'HTTP/1.1 200 OK\r\n\r\nanswer',
]


@pytest.fixture(autouse=True)
def short_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the wait for a response short."""
    monkeypatch.setattr(
        plain, 'RESPONSE_TIMEOUT_S', RESPONSE_TIMEOUT_S, raising=False
    )


# The caller waited for ever, and an order ran on at the owner of its key.
@pytest.mark.parametrize('start', STOPS)
@pytest.mark.parametrize(
    ('call', 'path'), [(read_plain, READ_PATH), (run_order, ORDER_PATH)]
)
def test_stopped_plain_response_is_waited_for(
    call: Callable[[HttpClient, Address], Awaitable[str]],
    path: str,
    start: bytes,
) -> None:
    async def run() -> None:
        client = HttpClient()
        async with (
            scripted_upstream(lambda *_: (start, PAUSE_S)) as (
                upstream,
                address,
            ),
            asyncio.timeout(TEST_LIMIT_S),
        ):
            with pytest.raises(CatkinreachError) as caught:
                await call(client, address)
        assert caught.value.kind is ErrorKind.UPSTREAM_FAILED
        assert caught.value.outcome is Outcome.UNKNOWN
        assert upstream.paths == [path]

    asyncio.run(run())
