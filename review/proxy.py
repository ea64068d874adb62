"""A loopback proxy on the way to an engine, which can be cut.

While it is cut it reads and forwards nothing. What was sent meanwhile, and the
ends of channels, arrive when the cut has healed, as TCP sends them again.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from .wire import READ_SIZE, reset


class Proxy:
    """Forwards channels to one address.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self, host: str, target_port: int) -> None:
        """Prepares the proxy; it doesn't listen yet."""
        self.port = 0
        self._host, self._target_port = host, target_port
        self._passes = asyncio.Event()
        self._passes.set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Lets nothing pass."""
        self._passes.clear()

    def heal(self) -> None:
        """Lets all pass again, also what was held up."""
        self._passes.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._passes.wait()
        try:
            engine_reader, engine_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            # Nothing listens at the engine.
            reset(writer)
            return
        await asyncio.gather(
            self._pump(reader, engine_writer),
            self._pump(engine_reader, writer),
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one direction to its end."""
        try:
            while True:
                await self._passes.wait()
                data = await reader.read(READ_SIZE)
                await self._passes.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionResetError:
            await self._passes.wait()
            reset(writer)
            return
        except OSError:
            return
        with suppress(OSError):
            writer.close()
