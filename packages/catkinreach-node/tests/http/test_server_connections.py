"""A request that has arrived is answered, whatever the connection does."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.request_reader import STOP_FIRST_REQUEST_S
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_standins.fakes.http_servers import (
    count_body_bytes,
    running_server,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.messages import HttpRequest, HttpResponse
    from catkinreach_node.http.server import HttpServer
    from catkinreach_node.http.server_connection import RequestHandler

TIMEOUT_S = 0.2
CANCEL_WITHIN_S = 0.5
BOUNDS = ServerBounds(head_timeout_s=TIMEOUT_S, idle_timeout_s=TIMEOUT_S)
LARGER_BOUNDS = ServerBounds(max_head_bytes=4 * BOUNDS.max_head_bytes)
ITERATIONS_TO_ANSWER = 3
"""Iterations of the event loop from an arrived request to its answer."""

REQUEST = b'GET /x HTTP/1.1\r\nhost: edge\r\n\r\n'


class _Client:
    """Client whose bytes are sent without the event loop."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection((address.host, address.port))
        self._socket.settimeout(10)

    def send(self, raw: bytes = REQUEST) -> None:
        self._socket.sendall(raw)

    async def receive(self) -> bytes:
        """Returns one response, empty if the connection closes before it."""
        return await asyncio.to_thread(self._receive)

    def _receive(self) -> bytes:
        try:
            return self._socket.recv(65_536)
        except ConnectionError:
            return b''

    def close(self) -> None:
        self._socket.close()


@asynccontextmanager
async def _server(
    bounds: ServerBounds = BOUNDS, serve: RequestHandler = count_body_bytes
) -> AsyncIterator[tuple[HttpServer, _Client]]:
    """Runs a server with one accepted connection."""
    async with running_server(serve, bounds) as (server, address):
        client = _Client(address)
        while not server.connection_count:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        try:
            yield server, client
        finally:
            client.close()


def _request_with_head(size_bytes: int) -> bytes:
    return REQUEST[:-2] + b'x-filler: ' + b'x' * size_bytes + b'\r\n\r\n'


def _run_after_iterations(count: int, action: Callable[[], object]) -> None:
    """Runs an action after some iterations of the event loop."""
    loop = asyncio.get_running_loop()
    if count:
        loop.call_soon(_run_after_iterations, count - 1, action)
    else:
        action()


@pytest.mark.parametrize('is_first_request', [True, False])
@pytest.mark.parametrize('iterations_before_send', [0, 1])
def test_request_lost_when_idle_timeout_ends_in_busy_event_loop(
    *, is_first_request: bool, iterations_before_send: int
) -> None:
    # The task was cancelled although the request was in the read buffer.
    async def run() -> bytes:
        async with _server() as (_, client):
            if not is_first_request:
                client.send()
                assert b' 200 ' in await client.receive()
            _run_after_iterations(iterations_before_send, client.send)
            time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251 - blocks the loop
            return await client.receive()

    assert b' 200 ' in asyncio.run(run())


async def _stop(server: HttpServer) -> None:
    """Stops a server as the processes do."""
    await server.stop_accepting()
    server.close_idle_connections()
    await server.wait_connections_closed()
    server.close()


@pytest.mark.parametrize('iterations', range(5))
def test_request_lost_when_server_stops_while_it_arrives(
    iterations: int,
) -> None:
    # An idle connection was closed with a request in its read buffer.
    async def run() -> bytes:
        async with _server(ServerBounds()) as (server, client):
            client.send()
            assert b' 200 ' in await client.receive()
            stopping: list[asyncio.Task[None]] = []
            client.send()
            _run_after_iterations(
                iterations,
                lambda: stopping.append(asyncio.create_task(_stop(server))),
            )
            answer = await client.receive()
            await stopping[0]
            return answer

    answer = asyncio.run(run())
    assert b' 200 ' in answer
    if iterations < ITERATIONS_TO_ANSWER:
        assert b'connection: close' in answer.lower()


def test_pipelined_request_lost_when_server_stops() -> None:
    # The connection closed after the response although a request was read.
    async def run() -> bytes:
        async with _server(ServerBounds()) as (server, client):
            client.send(REQUEST + REQUEST)
            _run_after_iterations(2, server.close_idle_connections)
            received = b''
            while chunk := await client.receive():
                received += chunk
            return received

    assert asyncio.run(run()).count(b' 200 ') == 2


def test_first_request_lost_when_server_stops_before_it_arrives() -> None:
    # A connection was closed right after it was accepted.
    async def run() -> bytes:
        async with _server(ServerBounds()) as (server, client):
            stopping = asyncio.create_task(_stop(server))
            await asyncio.sleep(STOP_FIRST_REQUEST_S / 2)
            client.send()
            answer = await client.receive()
            await stopping
            return answer

    answer = asyncio.run(run())
    assert b' 200 ' in answer
    assert b'connection: close' in answer.lower()


def test_unused_connection_delays_the_stop() -> None:
    async def run() -> float:
        async with _server(ServerBounds()) as (server, _):
            started_s = time.monotonic()
            await _stop(server)
            return time.monotonic() - started_s

    assert asyncio.run(run()) < STOP_FIRST_REQUEST_S + TIMEOUT_S


def test_open_connection_keeps_shorter_idle_timeout() -> None:
    # Clients reuse a connection for as long as the new bounds allow.
    async def run() -> bytes:
        async with _server() as (server, client):
            client.send()
            assert b' 200 ' in await client.receive()
            server.set_bounds(LARGER_BOUNDS)
            await asyncio.sleep(2 * TIMEOUT_S)
            client.send()
            return await client.receive()

    assert b' 200 ' in asyncio.run(run())


def test_open_connection_keeps_smaller_head_limit() -> None:
    # A head that the new bounds allow was refused on an open connection.
    async def run() -> bytes:
        async with _server() as (server, client):
            client.send()
            assert b' 200 ' in await client.receive()
            server.set_bounds(LARGER_BOUNDS)
            client.send(_request_with_head(2 * BOUNDS.max_head_bytes))
            return await client.receive()

    assert b' 200 ' in asyncio.run(run())


def test_client_that_leaves_after_more_bytes_is_served() -> None:
    # Only the first bytes after a request were read until its response.
    async def run() -> None:
        is_cancelled = asyncio.Event()

        async def serve(request: HttpRequest) -> HttpResponse:
            try:
                await asyncio.sleep(10 * CANCEL_WITHIN_S)
            except asyncio.CancelledError:
                is_cancelled.set()
                raise
            return await count_body_bytes(request)

        async with _server(ServerBounds(), serve) as (_, client):
            client.send(REQUEST)
            await asyncio.sleep(TIMEOUT_S)
            client.send(REQUEST[:3])
            await asyncio.sleep(TIMEOUT_S)
            client.close()
            async with asyncio.timeout(CANCEL_WITHIN_S):
                await is_cancelled.wait()

    asyncio.run(run())
