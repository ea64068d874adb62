"""A further address of a store stand-in, with a fault of its own.

VMs that use it are turned away while the store serves the others.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from ..http import HttpServer
from .store import StoreFault, apply_fault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from ..http import Request, Response
    from .store import StoreStandin


class StoreDoor:
    """Serves the calls of some VMs to a store.

    Attributes:
        fault: Fault that affects these calls until it is changed.
    """

    def __init__(self, store: StoreStandin) -> None:
        """Prepares an address of a store that doesn't listen yet."""
        self.fault = StoreFault.NONE
        self._store = store
        self._server = HttpServer(self._handle_request)

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return self._server.port

    async def start(self) -> None:
        """Listens on a free port of the loopback interface."""
        await self._server.start('127.0.0.1', 0)

    async def close(self) -> None:
        """Stops listening."""
        await self._server.close()

    async def _handle_request(self, request: Request) -> Response:
        refusal = await apply_fault(self.fault)
        if refusal is not None:
            return self._store.with_era(refusal)
        return await self._store.handle_request(request)


@asynccontextmanager
async def open_door(store: StoreStandin) -> AsyncIterator[StoreDoor]:
    """Opens a further address of a store."""
    door = StoreDoor(store)
    await door.start()
    try:
        yield door
    finally:
        await door.close()


__all__ = ('StoreDoor', 'open_door')
