"""Ends of connections whose earlier responses were whole."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from catkinreach_node.http.connection_end import (
    ConnectionEnd,
    UnansweredRequest,
)
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_standins.fakes.http_servers import running_server
from catkinreach_standins.platform.deployment import eventually

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_node.http.server import HttpServer
    from catkinreach_node.http.server_connection import RequestHandler

REQUEST = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
LAST_REQUEST = b'GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
WITHIN_S = 3.0
SMALL_BUFFER_BYTES = 4096
READ_BYTES = 1024
LARGE_BYTES = 1024 * 1024


def _run(
    scenario: Callable[
        [HttpServer, socket.socket, list[UnansweredRequest]], Awaitable[None]
    ],
    serve: RequestHandler,
) -> None:
    async def run() -> None:
        notes: list[UnansweredRequest] = []
        async with running_server(serve, on_unanswered=notes.append) as (
            server,
            address,
        ):
            with socket.socket() as sock:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
                )
                sock.setblocking(False)  # noqa: FBT003 - positional only
                await asyncio.get_running_loop().sock_connect(
                    sock, (address.host, address.port)
                )
                await scenario(server, sock, notes)

    asyncio.run(run())


# The first response was whole, and stood for the second one.
def test_end_of_a_later_request_is_not_noted() -> None:
    is_first = True

    async def answer(request: HttpRequest) -> HttpResponse:
        nonlocal is_first
        del request
        if not is_first:
            await asyncio.sleep(WITHIN_S)
        is_first = False
        return HttpResponse.from_json(200, {})

    async def scenario(
        server: HttpServer, sock: socket.socket, notes: list[UnansweredRequest]
    ) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, REQUEST)
        assert await loop.sock_recv(sock, 65_536)
        await loop.sock_sendall(sock, REQUEST)

        async def is_running() -> bool:
            return bool(server.request_counter.running)

        await eventually(is_running, within_s=WITHIN_S)
        sock.shutdown(socket.SHUT_WR)

        async def is_closed() -> bool:
            return not server.connection_count

        await eventually(is_closed, within_s=WITHIN_S)
        assert [note.end for note in notes] == [ConnectionEnd.CLIENT_CLOSED]
        assert not notes[0].has_begun

    _run(scenario, answer)


# A response counted as whole once it was in the write buffer.
def test_response_aborted_in_the_write_buffer_is_not_noted() -> None:
    async def answer(request: HttpRequest) -> HttpResponse:
        del request
        return HttpResponse(200, [], b'x' * LARGE_BYTES)

    async def scenario(
        server: HttpServer, sock: socket.socket, notes: list[UnansweredRequest]
    ) -> None:
        loop = asyncio.get_running_loop()

        async def is_accepted() -> bool:
            return server.connection_count == 1

        await eventually(is_accepted, within_s=WITHIN_S)
        (connection,) = server._connections
        connection._responses._writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        await loop.sock_sendall(sock, LAST_REQUEST)
        while connection._ended_s is None:
            assert await loop.sock_recv(sock, READ_BYTES)
            await asyncio.sleep(0)
        assert connection._responses.unsent_bytes
        connection.give_way()

        async def is_closed() -> bool:
            return not server.connection_count

        await eventually(is_closed, within_s=WITHIN_S)
        assert [note.end for note in notes] == [ConnectionEnd.GAVE_WAY]

    _run(scenario, answer)


# It went on beyond the bound on connections for as long as its client sent
# the next request before the response to the last one.
def test_connection_that_made_room_serves_requests_for_ever() -> None:
    served = 0

    async def answer(request: HttpRequest) -> HttpResponse:
        nonlocal served
        del request
        served += 1
        await asyncio.sleep(0.02)
        return HttpResponse.from_json(200, {})

    async def scenario(
        server: HttpServer, sock: socket.socket, notes: list[UnansweredRequest]
    ) -> None:
        del notes
        loop = asyncio.get_running_loop()

        async def is_accepted() -> bool:
            return server.connection_count == 1

        await eventually(is_accepted, within_s=WITHIN_S)
        sock.send(REQUEST + REQUEST)
        for connection in server._connections:
            connection.give_way()
        for _ in range(100):
            await loop.sock_sendall(sock, REQUEST)
            await asyncio.sleep(0.02)
            if not server.connection_count:
                break
        assert served < 50

    _run(scenario, answer)
