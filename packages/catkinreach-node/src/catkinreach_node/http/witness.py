"""Second connection that proves that an upstream has not crashed.

A response without a length ends with its connection, as it does if the upstream
crashes. A crash ends all connections of the upstream's process, so that a reply
on a connection from before the request proves that the process still runs.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11

from .connection import ClientConnection, ConnectError
from .messages import HttpRequest

if TYPE_CHECKING:
    from catkinreach_core.settings.node import Address

WITNESS_TIMEOUT_S = 0.4
"""Time for opening the connection, and for the reply on it."""


class Witness:
    """One idle connection to an upstream beside that of a request."""

    def __init__(self, address: Address) -> None:
        """Starts without a connection."""
        self._address = address
        self._connection: ClientConnection | None = None

    async def open(self) -> None:
        """Opens the connection; without one nothing can be proved."""
        try:
            self._connection = await ClientConnection.open(
                self._address, timeout_s=WITNESS_TIMEOUT_S
            )
        except ConnectError:
            self._connection = None

    async def has_lived(self) -> bool:
        """Returns whether the upstream replies on the connection.

        Any reply will do, also a refusal of the method.
        """
        if self._connection is None:
            return False
        request = HttpRequest('OPTIONS', '*')
        try:
            async with asyncio.timeout(WITNESS_TIMEOUT_S):
                await self._connection.send(request, str(self._address))
                head = await self._connection.next_event()
        except (OSError, h11.ProtocolError):
            return False
        return isinstance(head, h11.Response)

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()


__all__ = ('Witness',)
