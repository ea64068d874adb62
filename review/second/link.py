"""A link to an engine that can be cut: nothing passes, nothing is reset."""

from __future__ import annotations

import asyncio
from contextlib import suppress

READ_BYTES = 65_536


class Link:
    """Passes connections on to a port; holds everything back while cut."""

    def __init__(self, port: int) -> None:
        """Prepares a link to a port of the loopback interface."""
        self._to_port = port
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Holds back bytes, ends and new connections, both ways."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Passes on what was held back."""
        self._is_whole.set()

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        with suppress(OSError, asyncio.CancelledError):
            await self._is_whole.wait()
            out_reader, out_writer = await asyncio.open_connection(
                '127.0.0.1', self._to_port
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, out_writer))
                group.create_task(self._pump(out_reader, writer))
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._is_whole.wait()
                writer.write(data)
                await writer.drain()
            await self._is_whole.wait()
        writer.close()
