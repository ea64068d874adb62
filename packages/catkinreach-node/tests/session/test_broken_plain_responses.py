"""A plain upstream's response that breaks off is never a success."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.fakes.plain_calls import (
    ORDER_PATH,
    READ_PATH,
    read_plain,
    run_order,
)
from catkinreach_standins.fakes.scripted_upstream import (
    End,
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from catkinreach_core.settings.node import Address
    from catkinreach_standins.fakes.scripted_upstream import Step

WHOLE = encode_response(b'answer')
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nanswer'
CLOSED = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nanswer'
REFUSAL = encode_response(b'full', status=503)

BROKEN = [
    (End.CLOSE,),
    (End.RESET,),
    (WHOLE[:30], End.CLOSE),
    (WHOLE[: WHOLE.index(b'answer') - 2], End.CLOSE),
    (WHOLE[: WHOLE.index(b'answer')], End.CLOSE),
    (WHOLE[:-1], End.CLOSE),
    (WHOLE[:-1], End.RESET),
    (CHUNKED, End.CLOSE),
    (CHUNKED + b'\r\n', End.CLOSE),
    (CLOSED, End.RESET),
]


def _call(
    call: Callable[[HttpClient, Address], Awaitable[str]],
    steps: Sequence[Step],
) -> tuple[str | CatkinreachError, list[str]]:
    """Returns the answer or error, and the requests that were sent."""

    async def scenario() -> tuple[str | CatkinreachError, list[str]]:
        client = HttpClient()
        async with scripted_upstream(lambda *_: steps) as (upstream, address):
            try:
                return await call(client, address), upstream.paths
            except CatkinreachError as error:
                return error, upstream.paths

    return asyncio.run(scenario())


@pytest.mark.parametrize('steps', BROKEN)
def test_order_with_a_broken_response_runs_twice(
    steps: tuple[Step, ...],
) -> None:
    error, paths = _call(run_order, steps)
    assert isinstance(error, CatkinreachError)
    assert error.kind is ErrorKind.UPSTREAM_FAILED
    assert error.outcome is Outcome.UNKNOWN
    assert paths == [ORDER_PATH]


@pytest.mark.parametrize('steps', BROKEN)
def test_read_with_a_broken_response_succeeds(steps: tuple[Step, ...]) -> None:
    error, paths = _call(read_plain, steps)
    assert isinstance(error, CatkinreachError)
    assert error.kind is ErrorKind.UPSTREAM_FAILED
    assert paths == [READ_PATH, READ_PATH]


def test_refusal_after_an_order_sends_it_again() -> None:
    answer, paths = _call(run_order, (REFUSAL,))
    assert answer == 'full'
    assert paths == [ORDER_PATH]
