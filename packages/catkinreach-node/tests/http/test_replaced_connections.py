"""Connections that make room for others while the server stops."""

from __future__ import annotations

import asyncio
import socket

from catkinreach_core.gateway.connection_crowds import Waiting
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.http.server_bounds import ServerBounds
from catkinreach_standins.fakes.http_servers import running_server
from catkinreach_standins.platform.deployment import eventually

REQUEST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
ANSWER_S = 0.2
WITHIN_S = 10.0
BOUNDS = ServerBounds(max_connections=1)


# The stop didn't wait for a request that had arrived on a replaced connection.
def test_stop_cuts_a_request_on_a_replaced_connection() -> None:
    answered: list[str] = []

    async def answer(request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(ANSWER_S)
        answered.append(request.target)
        return HttpResponse.from_json(200, {})

    async def run() -> None:
        loop = asyncio.get_running_loop()
        async with running_server(answer, BOUNDS) as (server, address):
            with socket.socket() as client:
                client.setblocking(False)  # noqa: FBT003 - positional only
                await loop.sock_connect(client, (address.host, address.port))
                await loop.sock_sendall(client, REQUEST)
                await loop.sock_recv(client, 65_536)
                (connection,) = server._connections

                async def is_idle() -> bool:
                    return connection.state.waiting is Waiting.NEXT_REQUEST

                await eventually(is_idle, within_s=WITHIN_S)
                # Arrives, but isn't read yet, when another client needs room.
                client.send(REQUEST)
                assert server._make_room()
                server.close_idle_connections()
                await server.wait_connections_closed()
                assert len(answered) == 2

    asyncio.run(run())
