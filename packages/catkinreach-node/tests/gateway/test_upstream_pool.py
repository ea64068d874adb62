"""Connections that the pool hands out and takes back."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from catkinreach_core.settings.node import Address
from catkinreach_node.gateway.upstream_pool import (
    CONNECT_TIMEOUT_S,
    UpstreamPool,
)
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.fakes.gateway import make_upstream
from catkinreach_standins.platform.deployment import LOOPBACK

if TYPE_CHECKING:
    from catkinreach_node.http.connection import ClientConnection

CLOSE_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 1.5
CLOSING_S = 0.05


def test_connection_stays_open_when_its_caller_leaves() -> None:
    # The caller left while the pool ended the watch of an idle connection.
    assert asyncio.run(_received_after_a_cancelled_acquire()) == b''


async def _received_after_a_cancelled_acquire() -> bytes:
    """Returns what the upstream receives once the request is cancelled.

    Raises:
        TimeoutError: if the connection stays open.
    """
    received: asyncio.Future[bytes] = asyncio.Future()

    async def read(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.set_result(await reader.read(1))
        writer.close()

    async with await asyncio.start_server(read, LOOPBACK, 0) as server:
        port = server.sockets[0].getsockname()[1]
        upstream = make_upstream(
            'one', address=Address(host=LOOPBACK, port=port)
        )
        pool = UpstreamPool(time.monotonic)
        await pool.probe(upstream)
        # Without this reference the garbage collector would close it.
        connection = pool._idle[upstream.upstream_id][0].connection
        acquiring = asyncio.ensure_future(pool.acquire(upstream))
        await asyncio.sleep(0)
        acquiring.cancel()
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            data = await received
        assert not connection.is_reusable
        return data


def test_open_connection_counts_as_failed_in_a_busy_event_loop() -> None:
    # The timeout expired in the same turn in which the connection opened.
    async def run() -> None:
        with socket.create_server((LOOPBACK, 0)) as listening:
            port = listening.getsockname()[1]
            upstream = make_upstream(
                'one', address=Address(host=LOOPBACK, port=port)
            )
            pool = UpstreamPool(time.monotonic)
            probing = asyncio.ensure_future(pool.probe(upstream))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            time.sleep(2 * CONNECT_TIMEOUT_S)  # noqa: ASYNC251
            try:
                await probing
            finally:
                pool.close()

    asyncio.run(run())


def test_older_connections_that_end_together_raise_an_error() -> None:
    # A crash ends them all while one of them is looked at.
    assert asyncio.run(_older_connection_after_a_crash()) is None


async def _older_connection_after_a_crash() -> ClientConnection | None:
    """Returns the connection found as the upstream resets all of them."""
    accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def keep_open(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.put_nowait(writer)
        await reader.read(1)

    async with await asyncio.start_server(keep_open, LOOPBACK, 0) as server:
        port = server.sockets[0].getsockname()[1]
        upstream = make_upstream(
            'one', address=Address(host=LOOPBACK, port=port)
        )
        pool = UpstreamPool(time.monotonic)
        for _ in range(3):
            await pool.probe(upstream)
        writers = [await accepted.get() for _ in range(3)]
        for writer in writers:
            writer.transport.abort()
        try:
            return await pool.take_older(upstream, time.monotonic())
        finally:
            pool.close()


def test_unused_connection_outlives_its_idle_timeout() -> None:
    # Its next request crossed the upstream's close, and was lost.
    async def run() -> None:
        async with await asyncio.start_server(_respond, LOOPBACK, 0) as server:
            now_s = 0.0
            port = server.sockets[0].getsockname()[1]
            upstream = make_upstream(
                'one', address=Address(host=LOOPBACK, port=port)
            )
            pool = UpstreamPool(lambda: now_s)
            connection = await pool.acquire(upstream)
            await connection.send(HttpRequest('GET', '/'), LOOPBACK)
            await connection.next_event()
            await connection.next_data()
            pool.release(upstream.upstream_id, connection, IDLE_TIMEOUT_S)
            assert await pool.acquire(upstream) is connection
            pool.release_unused(upstream.upstream_id, connection)
            now_s = IDLE_TIMEOUT_S
            other = await pool.acquire(upstream)
            is_kept = other is connection
            other.close()
            pool.close()
            await asyncio.sleep(CLOSING_S)
            assert not is_kept

    asyncio.run(run())


async def _respond(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers one request, and keeps the connection open."""
    with suppress(asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await reader.read(1)
    writer.close()
