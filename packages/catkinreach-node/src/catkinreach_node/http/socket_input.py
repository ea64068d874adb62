"""Bytes that arrive on a connection, read with a timeout."""

from __future__ import annotations

import asyncio

READ_SIZE_BYTES = 16_384


class SocketInput:
    """Reads from a connection and loses no byte to a timeout."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        """Reads from an open connection."""
        self._reader = reader

    async def read(self, max_bytes: int = READ_SIZE_BYTES) -> bytes:
        """Returns the next bytes, none at the end of the input."""
        return await self._reader.read(max_bytes)

    async def read_within(self, limit: asyncio.Timeout) -> bytes | None:
        """Returns the next bytes; ``None`` if none arrived in time.

        After ``None`` nothing more can be read.
        """
        try:
            async with limit:
                return await self.read()
        except TimeoutError:
            return await self.read_available()

    async def read_available(self) -> bytes | None:
        """Returns bytes that have arrived; ``None`` if there are none.

        After ``None`` nothing more can be read.

        If the event loop was busy when a timeout expired, bytes that arrived
        in time are still in the buffer of the stream or of the socket. The
        timer of ``asyncio.wait`` runs after the loop has polled the sockets.
        """
        read_task = asyncio.ensure_future(self.read())
        try:
            await asyncio.wait({read_task}, timeout=0)
            return read_task.result() if read_task.done() else None
        finally:
            read_task.cancel()
            # Another read fails while this one still waits.
            await asyncio.wait({read_task})


__all__ = ('SocketInput',)
