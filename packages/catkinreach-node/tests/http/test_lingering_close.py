"""A response that is sent before the request was read reaches the client."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_node.http.server_connection import LINGER_S, STOP_LINGER_S
from catkinreach_standins.fakes.http_servers import running_server

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address

BODY_BYTES = 8 * 1024 * 1024
"""More than the sockets of both ends hold."""

MARGIN_S = 0.5
CLIENT_TIMEOUT_S = 10.0
BOUNDS = ServerBounds(max_body_bytes=1000, max_head_bytes=2000)


def _request(body_bytes: int, length: int) -> bytes:
    head = f'POST /x HTTP/1.1\r\nhost: edge\r\ncontent-length: {length}'
    return f'{head}\r\n\r\n'.encode() + b'x' * body_bytes


def _send_all_then_read(address: Address, raw: bytes) -> bytes:
    """Sends everything before it reads, as simple clients do."""
    client = socket.create_connection((address.host, address.port))
    with client:
        client.settimeout(CLIENT_TIMEOUT_S)
        client.sendall(raw)
        received = b''
        while chunk := client.recv(65_536):
            received += chunk
        return received


def _exchange(raw: bytes, bounds: ServerBounds = BOUNDS) -> bytes:
    async def run() -> bytes:
        async with running_server(bounds=bounds) as (_, address):
            return await asyncio.to_thread(_send_all_then_read, address, raw)

    return asyncio.run(run())


def test_refusal_of_large_body_is_lost_by_a_reset() -> None:
    # The connection was closed while bytes of the body were unread.
    received = _exchange(_request(BODY_BYTES, BODY_BYTES))
    assert received.startswith(b'HTTP/1.1 413 ')


def test_refusal_of_malformed_request_is_lost_by_a_reset() -> None:
    received = _exchange(b'no request\r\n\r\n' + b'x' * BODY_BYTES)
    assert received.startswith(b'HTTP/1.1 400 ')


def test_refusal_of_large_head_is_lost_by_a_reset() -> None:
    received = _exchange(b'GET /' + b'x' * BODY_BYTES)
    assert received.startswith(b'HTTP/1.1 4')


def test_refusal_of_further_connection_is_lost_by_a_reset() -> None:
    received = _exchange(
        _request(BODY_BYTES, BODY_BYTES), ServerBounds(max_connections=0)
    )
    assert received.startswith(b'HTTP/1.1 503 ')


def test_refused_client_that_stays_delays_the_stop() -> None:
    async def run() -> float:
        async with running_server(bounds=BOUNDS) as (server, address):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(_request(2000, 4000))
            assert await reader.readline() == b'HTTP/1.1 413 \r\n'
            started_s = time.monotonic()
            await server.stop_accepting()
            server.close_idle_connections()
            await server.wait_connections_closed()
            writer.close()
            return time.monotonic() - started_s

    assert asyncio.run(run()) < LINGER_S + MARGIN_S


def test_answered_client_that_stays_delays_the_stop() -> None:
    async def run() -> float:
        async with running_server(bounds=BOUNDS) as (server, address):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(_request(0, 500))
            await asyncio.sleep(0.05)
            started_s = time.monotonic()
            server.close_idle_connections()
            writer.write(b'x' * 500)
            assert await reader.readline() == b'HTTP/1.1 200 \r\n'
            await server.wait_connections_closed()
            writer.close()
            return time.monotonic() - started_s

    assert asyncio.run(run()) < STOP_LINGER_S + MARGIN_S


def test_refused_client_that_sends_on_is_read_without_end() -> None:
    async def run() -> float:
        async with running_server(bounds=BOUNDS) as (_, address):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
            started_s = time.monotonic()
            writer.write(_request(0, 2**40))
            try:
                while True:
                    writer.write(b'x' * 65_536)
                    await writer.drain()
            except ConnectionError:
                return time.monotonic() - started_s
            finally:
                writer.close()

    assert asyncio.run(run()) < LINGER_S + MARGIN_S


# The end of the process logged an error for each client being refused.
def test_refusal_that_the_end_of_the_process_cuts_is_an_error() -> None:
    reported: list[object] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        bounds = ServerBounds(max_connections=0)
        async with running_server(bounds=bounds) as (_, address):
            reader, _ = await asyncio.open_connection(
                address.host, address.port
            )
            assert await reader.readline() == b'HTTP/1.1 503 \r\n'

    asyncio.run(run())
    assert not reported


# The client was closed at once, and an error logged: two reads at a time.
def test_client_that_was_too_slow_is_closed_with_an_error() -> None:
    reported: list[object] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(context))
        bounds = ServerBounds(head_timeout_s=0.05)
        async with running_server(bounds=bounds) as (_, address):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
            writer.write(b'POST / HTTP/1.1\r\n')
            assert await reader.readline() == b'HTTP/1.1 408 \r\n'
            writer.write(b'host: a\r\n')
            writer.write_eof()
            await reader.read()
            writer.close()

    asyncio.run(run())
    assert not reported
