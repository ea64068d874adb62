"""Each way in which a client's connection ends without a whole response."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest

from catkinreach_node.http.connection_end import (
    ConnectionEnd,
    UnansweredRequest,
)
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_standins.fakes.http_servers import running_server
from catkinreach_standins.platform.deployment import eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from catkinreach_node.http.server import HttpServer
    from catkinreach_node.http.server_connection import RequestHandler

REQUEST = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
LAST_REQUEST = b'GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
RESET = struct.pack('ii', 1, 0)
WITHIN_S = 10.0
SHORT_S = 0.1
LARGE_BYTES = 8 * 1024 * 1024


class _Stream:
    """A body of one chunk, after which something happens."""

    def __init__(self, then: Callable[[], Awaitable[None]]) -> None:
        self._then = then

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield b'chunk'
        await self._then()

    async def aclose(self) -> None:
        """Does nothing."""


async def _wait_long(request: HttpRequest | None = None) -> HttpResponse:
    del request
    await asyncio.sleep(WITHIN_S)
    raise AssertionError


async def _answer(request: HttpRequest) -> HttpResponse:
    del request
    return HttpResponse.from_json(200, {})


async def _answer_large(request: HttpRequest) -> HttpResponse:
    del request
    return HttpResponse(200, [], b'x' * LARGE_BYTES)


async def _wait_for_nothing() -> None:
    await asyncio.sleep(0)


async def _break_off() -> None:
    raise ConnectionAbortedError


async def _fail() -> None:
    raise ValueError


async def _cancel() -> None:
    raise asyncio.CancelledError


def _streaming(then: Callable[[], Awaitable[None]]) -> RequestHandler:
    async def answer(request: HttpRequest) -> HttpResponse:
        del request
        return HttpResponse(200, [], stream=_Stream(then))

    return answer


class _Client:
    """A client, and what the server noted of its requests."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.notes: list[UnansweredRequest] = []

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def receive_all(self) -> bytes:
        """Returns what comes before the connection ends."""
        received = b''
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(self.sock, 65_536):
            received += data
        return received

    async def wait_running(self) -> None:
        """Waits until the server has read a request."""

        async def is_running() -> bool:
            return bool(self.server.request_counter.running)

        await eventually(is_running, within_s=WITHIN_S)

    async def expect(self, end: ConnectionEnd) -> UnansweredRequest:
        """Waits for the only note; checks the reason in it."""

        async def is_noted() -> bool:
            return bool(self.notes)

        await eventually(is_noted, within_s=WITHIN_S)
        (note,) = self.notes
        assert note.end is end
        return note


@asynccontextmanager
async def _connected(
    serve: RequestHandler, bounds: ServerBounds | None = None
) -> AsyncIterator[_Client]:
    notes: list[UnansweredRequest] = []
    async with running_server(serve, bounds, on_unanswered=notes.append) as (
        server,
        address,
    ):
        with socket.socket() as sock:
            sock.setblocking(False)  # noqa: FBT003 - positional only
            await asyncio.get_running_loop().sock_connect(
                sock, (address.host, address.port)
            )
            client = _Client(server, sock)
            client.notes = notes
            yield client


def _run(
    scenario: Callable[[_Client], Awaitable[None]],
    serve: RequestHandler,
    bounds: ServerBounds | None = None,
) -> None:
    async def run() -> None:
        async with _connected(serve, bounds) as client:
            await scenario(client)

    asyncio.run(run())


def test_client_closes_before_its_response() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        await client.wait_running()
        client.sock.shutdown(socket.SHUT_WR)
        note = await client.expect(ConnectionEnd.CLIENT_CLOSED)
        assert note.request is not None
        assert (note.request.target, note.has_begun) == ('/x', False)

    _run(scenario, _wait_long)


def test_client_resets_before_its_response() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        await client.wait_running()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        client.sock.close()
        await client.expect(ConnectionEnd.CLIENT_RESET)

    _run(scenario, _wait_long)


def test_client_does_not_read_its_response() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        note = await client.expect(ConnectionEnd.CLIENT_STALLED)
        assert note.has_begun

    _run(scenario, _answer_large, ServerBounds(write_timeout_s=SHORT_S))


def test_client_that_does_not_read_makes_room_for_another() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)

        async def is_stalled() -> bool:
            connections = client.server._connections
            return any(one.state.held_bytes for one in connections)

        await eventually(is_stalled, within_s=WITHIN_S)
        for connection in client.server._connections:
            connection.give_way()
        await client.expect(ConnectionEnd.GAVE_WAY)

    _run(scenario, _answer_large)


@pytest.mark.parametrize(
    ('then', 'end'),
    [
        (_break_off, ConnectionEnd.BROKEN_OFF),
        (_fail, ConnectionEnd.FAILED),
        (_cancel, ConnectionEnd.FAILED),
    ],
)
def test_response_ends_within_its_body(
    then: Callable[[], Awaitable[None]], end: ConnectionEnd
) -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        note = await client.expect(end)
        assert note.has_begun
        assert not (await client.receive_all()).endswith(b'0\r\n\r\n')

    _run(scenario, _streaming(then))


def test_response_violates_http() -> None:
    async def answer(request: HttpRequest) -> HttpResponse:
        del request
        length = ('content-length', '1')
        return HttpResponse(200, [length], stream=_Stream(_wait_for_nothing))

    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        await client.expect(ConnectionEnd.UNSENDABLE)

    _run(scenario, answer)


def test_server_closes_while_it_answers() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        await client.wait_running()
        client.server.close()
        await client.expect(ConnectionEnd.STOPPED)

    _run(scenario, _wait_long)


def test_process_ends_while_it_answers() -> None:
    notes: list[UnansweredRequest] = []

    async def run() -> None:
        async with _connected(_wait_long) as client:
            await client.send(REQUEST)
            await client.wait_running()
            client.notes, others = notes, client.notes
            assert not others
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(SHORT_S)
            notes.extend(others)

    asyncio.run(run())
    (note,) = notes
    assert note.end is ConnectionEnd.STOPPED


def test_request_arrives_behind_the_last_response() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(LAST_REQUEST + REQUEST)
        note = await client.expect(ConnectionEnd.UNSERVED)
        assert note.request is None

    _run(scenario, _answer)


def test_client_sends_no_first_request() -> None:
    async def scenario(client: _Client) -> None:
        await client.expect(ConnectionEnd.NO_REQUEST)

    _run(scenario, _answer, ServerBounds(head_timeout_s=SHORT_S))


# The cancellation of something that an answer waited for was taken for that of
# the answer, and the connection was closed without a response or a log line.
def test_cancellation_from_within_closes_the_connection() -> None:
    async def answer(request: HttpRequest) -> HttpResponse:
        del request
        await _cancel()
        raise AssertionError

    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        assert (await client.receive_all()).startswith(b'HTTP/1.1 500 ')
        assert not client.notes

    _run(scenario, answer)


def test_answered_requests_are_not_noted() -> None:
    async def scenario(client: _Client) -> None:
        await client.send(REQUEST)
        await client.send(LAST_REQUEST)
        assert (await client.receive_all()).count(b' 200 ') == 2
        assert not client.notes

    _run(scenario, _answer)
