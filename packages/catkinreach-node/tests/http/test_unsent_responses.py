"""Responses that are being sent while the process stands still."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from catkinreach_node.http.messages import HttpResponse
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_standins.fakes.http_servers import running_server

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.messages import HttpRequest

REQUEST = b'GET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
LARGE_BYTES = 32 * 1024 * 1024
WRITE_TIMEOUT_S = 0.5
STANDSTILL_S = 0.8


def _fetch(address: Address) -> int:
    """Returns the bytes that a client gets which reads all the time."""
    size_bytes = 0
    with socket.create_connection((address.host, address.port)) as client:
        client.sendall(REQUEST)
        with suppress(ConnectionResetError):
            while data := client.recv(65_536):
                size_bytes += len(data)
    return size_bytes


# The client had read all that there was, and was taken for one that stalls.
def test_standstill_of_the_process_counts_as_a_stalled_client() -> None:
    async def answer(request: HttpRequest) -> HttpResponse:
        del request
        # Stands still once the first bytes have been sent.
        asyncio.get_running_loop().call_soon(time.sleep, STANDSTILL_S)
        return HttpResponse(200, [], b'x' * LARGE_BYTES)

    async def run() -> None:
        bounds = ServerBounds(write_timeout_s=WRITE_TIMEOUT_S)
        async with running_server(answer, bounds) as (_, address):
            fetched = await asyncio.to_thread(_fetch, address)
            assert fetched > LARGE_BYTES

    asyncio.run(run())
