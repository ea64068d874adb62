"""Connections that stay open when the event loop ends."""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from typing import TYPE_CHECKING

from catkinreach_node.gateway.upstream_pool import UpstreamPool
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.fakes.gateway import make_upstream
from catkinreach_standins.fakes.scripted_upstream import (
    encode_response,
    scripted_upstream,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

    import pytest

ANSWER_S = 0.05


def _errors_after_the_end(
    monkeypatch: pytest.MonkeyPatch,
    owners: list[HttpClient] | list[UpstreamPool],
    work: Coroutine[None, None, None],
) -> list[str]:
    """Returns the errors that garbage collection ignores after the end.

    Args:
        monkeypatch: Fixture.
        owners: Owners of connections; dropped after the end.
        work: What runs until the end.
    """
    errors: list[str] = []
    monkeypatch.setattr(
        sys, 'unraisablehook', lambda ignored: errors.append(repr(ignored))
    )
    asyncio.run(work)
    owners.clear()
    gc.collect()
    return errors


def test_call_that_ends_after_the_close_keeps_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A client that was closed took the connection into its pool.
    owners = [HttpClient()]

    async def run() -> None:
        async with scripted_upstream(
            lambda *_: (ANSWER_S, encode_response(b'{}'))
        ) as (_, address):
            calling = asyncio.ensure_future(
                owners[0].call_json(address, 'GET', '/v1/load')
            )
            await asyncio.sleep(ANSWER_S / 2)
            owners[0].close()
            await calling

    assert _errors_after_the_end(monkeypatch, owners, run()) == []


def test_probe_that_ends_after_the_close_keeps_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A pool that was closed took the connection as an idle one.
    owners = [UpstreamPool(time.monotonic)]

    async def run() -> None:
        async with scripted_upstream(lambda *_: ()) as (_, address):
            probing = asyncio.ensure_future(
                owners[0].probe(make_upstream('one', address=address))
            )
            await asyncio.sleep(0)
            owners[0].close()
            await probing

    assert _errors_after_the_end(monkeypatch, owners, run()) == []
