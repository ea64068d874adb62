"""Start of a stand-in process: ready line and life until it is ended."""

from __future__ import annotations

import asyncio
import sys
from typing import Protocol

LOOPBACK = '127.0.0.1'


class Service(Protocol):
    """A service that can listen."""

    @property
    def port(self) -> int:
        """Port of the listening socket."""

    async def start(self, host: str, port: int) -> None:
        """Listen on the address."""


async def serve_forever(service: Service, *, name: str, port: int) -> None:
    """Listen on loopback, print the ready line and never return."""
    await service.start(LOOPBACK, port)
    sys.stdout.write(f'ready {name} {service.port}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


__all__ = ('LOOPBACK', 'Service', 'serve_forever')
