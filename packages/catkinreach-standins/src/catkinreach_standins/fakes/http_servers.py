"""An HTTP server of the node on a free port, for one test."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_core.settings.node import Address
from catkinreach_node.http.connection_end import ignore_unanswered
from catkinreach_node.http.messages import HttpResponse
from catkinreach_node.http.server import HttpServer

from ..bench.ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_node.http.body_memory import BodyMemory
    from catkinreach_node.http.connection_end import UnansweredObserver
    from catkinreach_node.http.messages import HttpRequest
    from catkinreach_node.http.server_bounds import ServerBounds
    from catkinreach_node.http.server_connection import RequestHandler


async def count_body_bytes(request: HttpRequest) -> HttpResponse:
    """Answers a request with the length of its body."""
    return HttpResponse.from_json(200, {'bytes': len(request.body)})


@asynccontextmanager
async def running_server(
    serve: RequestHandler = count_body_bytes,
    bounds: ServerBounds | None = None,
    memory: BodyMemory | None = None,
    on_unanswered: UnansweredObserver = ignore_unanswered,
) -> AsyncIterator[tuple[HttpServer, Address]]:
    """Runs a server; closes it on exit, with its connections.

    Args:
        serve: Answers the requests.
        bounds: Bounds of the server; ``None`` for the default ones.
        memory: Memory for bodies; ``None`` for the default one.
        on_unanswered: Told of each request that gets no whole response.
    """
    server = HttpServer(
        serve,
        name='test',
        bounds=bounds,
        memory=memory,
        on_unanswered=on_unanswered,
    )
    address = Address(LOOPBACK, free_ports(1)[0])
    await server.start(address)
    try:
        yield server, address
    finally:
        server.close()


__all__ = ('count_body_bytes', 'running_server')
