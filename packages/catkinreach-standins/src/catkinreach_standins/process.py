"""Start of a stand-in process and its ready line."""

from __future__ import annotations

import asyncio
import sys
from typing import Protocol

LOOPBACK = '127.0.0.1'


class Server(Protocol):
    """Server that can listen on an address."""

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""

    async def start(self, host: str, port: int) -> None:
        """Starts to listen on the address."""


async def serve_forever(server: Server, *, name: str, port: int) -> None:
    """Serves on loopback until the process is stopped.

    Prints ``ready <name> <port>`` once the server listens, so that a parent
    process can wait for it.

    Args:
        server: Server to start.
        name: Name in the ready line.
        port: Port to listen on; 0 selects a free port.
    """
    await server.start(LOOPBACK, port)
    sys.stdout.write(f'ready {name} {server.port}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


__all__ = ('LOOPBACK', 'Server', 'serve_forever')
