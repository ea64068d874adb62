"""A server that stops answers the requests of connections it has accepted."""

from __future__ import annotations

import asyncio
import socket
import time
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress

import pytest

from catkinreach_core.settings.node import Address
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.http.server import HttpServer
from catkinreach_node.http.server_connection import STOP_LINGER_S
from catkinreach_standins.bench.ports import LOOPBACK, free_ports

RUN_S = 0.05
CLOSE_AFTER_S = 0.02
"""Time from the stop of the server to its close, as in a process that ends."""

CLIENT_TIMEOUT_S = 1.0

BODY_BYTES = 48 * 1024
SOCKET_BUFFER_BYTES = 4096
"""Size of the system's buffers; most of the body stays in the process."""

PAUSE_S = 2 * STOP_LINGER_S

REQUEST = b'GET /x HTTP/1.1\r\nhost: edge\r\n\r\n'


@pytest.mark.parametrize('turns', range(8))
def test_request_lost_on_a_connection_accepted_while_stopping(
    turns: int,
) -> None:
    # The server counted as idle until the connection's task had begun; before,
    # the closed listener dropped what waited there.
    runs: list[str] = []

    async def serve(request: HttpRequest) -> HttpResponse:
        runs.append(request.target)
        await asyncio.sleep(RUN_S)
        return HttpResponse.from_json(200, {})

    async def run() -> bytes:
        server = HttpServer(serve, name='test')
        address = Address(LOOPBACK, free_ports(1)[0])
        await server.start(address)
        with socket.create_connection((address.host, address.port)) as client:
            client.settimeout(CLIENT_TIMEOUT_S)
            client.sendall(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            await server.stop_accepting()
            server.close_idle_connections()
            await server.wait_connections_closed()
            await asyncio.sleep(CLOSE_AFTER_S)
            server.close()
            return await asyncio.to_thread(_receive, client)

    assert b' 200 ' in asyncio.run(run())
    assert len(runs) == 1


def _receive(client: socket.socket) -> bytes:
    try:
        return client.recv(65_536)
    except OSError:
        return b''


def test_end_of_response_lost_when_server_stops() -> None:
    # The rest of a response was in the process when it ended.
    with ThreadPoolExecutor(1) as pool:
        sizes = asyncio.run(_stop_before_a_slow_client(pool))
    assert sizes.result() == BODY_BYTES


async def _stop_before_a_slow_client(pool: ThreadPoolExecutor) -> Future[int]:
    """Ends the event loop once the server has closed its connections.

    Returns:
        Size of the body that the client receives.
    """
    answered = asyncio.Event()

    async def serve(_: HttpRequest) -> HttpResponse:
        answered.set()
        return HttpResponse(200, body=b'x' * BODY_BYTES)

    server = HttpServer(serve, name='test')
    address = Address(LOOPBACK, free_ports(1)[0])
    await server.start(address)
    assert server._server is not None
    _limit_buffer(server._server.sockets[0], socket.SO_SNDBUF)
    receiving = pool.submit(_receive_slowly, address)
    await answered.wait()
    await server.stop_accepting()
    server.close_idle_connections()
    await server.wait_connections_closed()
    server.close()
    return receiving


def _limit_buffer(limited: socket.socket, option: int) -> None:
    limited.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


def _receive_slowly(address: Address) -> int:
    """Returns the size of a body that is read after a pause."""
    with socket.socket() as client:
        _limit_buffer(client, socket.SO_RCVBUF)
        client.connect((address.host, address.port))
        client.sendall(REQUEST)
        time.sleep(PAUSE_S)
        client.settimeout(CLIENT_TIMEOUT_S)
        received = b''
        with suppress(TimeoutError):
            while chunk := client.recv(BODY_BYTES):
                received += chunk
    return len(received.partition(b'\r\n\r\n')[2])
