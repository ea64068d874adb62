"""Requests that lie unread, or are on their way, when their time is over."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway import connection_crowds
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_standins.fakes.http_servers import running_server
from catkinreach_standins.platform.deployment import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_node.http.server import HttpServer

REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody'
HEAD_TIMEOUT_S = 0.3
STANDSTILL_S = 0.6
ON_ITS_WAY_S = 0.05
WITHIN_S = 5.0
ONE_PLACE = ServerBounds(max_connections=1)


@asynccontextmanager
async def _connected(
    bounds: ServerBounds,
) -> AsyncIterator[tuple[HttpServer, socket.socket]]:
    async with running_server(bounds=bounds) as (server, address):
        with socket.socket() as client:
            client.setblocking(False)  # noqa: FBT003 - positional only
            await asyncio.get_running_loop().sock_connect(
                client, (address.host, address.port)
            )

            async def is_accepted() -> bool:
                return server.connection_count == 1

            await eventually(is_accepted, within_s=WITHIN_S)
            yield server, client


async def _receive(client: socket.socket) -> bytes:
    async with asyncio.timeout(WITHIN_S):
        return await asyncio.get_running_loop().sock_recv(client, 65_536)


async def _send(client: socket.socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(client, data)


# The process stood still beyond the timeout, and closed the connection as the
# client's request was about to arrive (soak seed 512).
def test_standstill_of_the_process_counts_as_the_clients_time() -> None:
    async def run() -> None:
        bounds = ServerBounds(head_timeout_s=HEAD_TIMEOUT_S)
        async with _connected(bounds) as (_, client):
            time.sleep(STANDSTILL_S)  # noqa: ASYNC251 - the loop is to stop
            await asyncio.sleep(ON_ITS_WAY_S)
            await _send(client, REQUEST)
            assert (await _receive(client)).startswith(b'HTTP/1.1 200 ')

    asyncio.run(run())


# A connection was aborted for another client's while its request, whole or in
# part, lay unread in the socket.
@pytest.mark.parametrize('read_bytes', [0, 10, len(REQUEST) - 2])
def test_unread_request_is_aborted_for_want_of_room(
    monkeypatch: pytest.MonkeyPatch, read_bytes: int
) -> None:
    monkeypatch.setattr(connection_crowds, 'STALLED_AFTER_S', 0.0)

    async def run() -> None:
        async with _connected(ONE_PLACE) as (server, client):
            if read_bytes:
                await _send(client, REQUEST[:read_bytes])
                await asyncio.sleep(ON_ITS_WAY_S)
            client.send(REQUEST[read_bytes:])
            assert server._make_room()
            assert (await _receive(client)).startswith(b'HTTP/1.1 200 ')

    asyncio.run(run())


def test_stalled_request_that_makes_room_is_not_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_crowds, 'STALLED_AFTER_S', 0.0)

    async def run() -> None:
        async with _connected(ONE_PLACE) as (server, client):
            await _send(client, REQUEST[:-1])
            await asyncio.sleep(ON_ITS_WAY_S)
            assert server._make_room()
            assert (await _receive(client)).startswith(b'HTTP/1.1 408 ')

    asyncio.run(run())


# It stayed open until its idle timeout, beyond the bound on connections.
def test_idle_connection_that_makes_room_stays_open() -> None:
    async def run() -> None:
        async with _connected(ONE_PLACE) as (server, client):
            await _send(client, REQUEST)
            assert await _receive(client)
            await asyncio.sleep(ON_ITS_WAY_S)
            assert server._make_room()
            assert await _receive(client) == b''

    asyncio.run(run())
