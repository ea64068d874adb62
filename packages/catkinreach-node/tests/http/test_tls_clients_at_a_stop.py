"""A TLS client that waits at the listener when a server stops."""

from __future__ import annotations

import asyncio
import socket
import ssl
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.settings.node import Address, TlsFiles
from catkinreach_node.http.messages import HttpRequest, HttpResponse
from catkinreach_node.http.server import HttpServer
from catkinreach_node.tls.contexts import ReloadableContext
from catkinreach_standins.bench.certificates import TestAuthority
from catkinreach_standins.bench.ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from pathlib import Path

REQUEST = b'GET /x HTTP/1.1\r\nhost: edge\r\n\r\n'


@pytest.mark.parametrize('turns', [0, 6])
def test_tls_client_that_waits_at_a_listener(
    tmp_path: Path, turns: int
) -> None:
    authority = TestAuthority(tmp_path)
    issued = authority.issue('localhost')
    files = TlsFiles(certificate=str(issued.certificate), key=str(issued.key))
    server_side = ReloadableContext.for_server(files)
    assert server_side is not None
    client_side = ssl.create_default_context(cafile=str(authority.path))
    client_side.check_hostname = False
    client_side.verify_mode = ssl.CERT_NONE

    async def serve(_: HttpRequest) -> HttpResponse:
        return HttpResponse.from_json(200, {})

    def talk(client: socket.socket) -> bytes:
        try:
            with client_side.wrap_socket(client) as tls:
                tls.sendall(REQUEST)
                return tls.recv(65_536)
        except OSError as error:
            return repr(error).encode()

    async def run() -> bytes:
        server = HttpServer(serve, name='test')
        address = Address(LOOPBACK, free_ports(1)[0])
        await server.start(address, server_side.context)
        client = socket.create_connection((address.host, address.port))
        client.settimeout(1.0)
        talking = asyncio.ensure_future(asyncio.to_thread(talk, client))
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.stop_accepting()
        server.close_idle_connections()
        await server.wait_connections_closed()
        server.close()
        # The process ends here.
        for task in asyncio.all_tasks() - {asyncio.current_task(), talking}:
            task.cancel()
        return await talking

    assert b' 200 ' in asyncio.run(run())
