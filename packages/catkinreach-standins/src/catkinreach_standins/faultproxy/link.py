"""A link: its listening socket, its connections and their faults."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.messages.codec import FrameDecoder
from catkinreach_core.messages.hello import Hello

from .faults import (
    ANY_SOURCE,
    Direction,
    LinkFaults,
    LinkPlan,
    LinkRecord,
    OneTimeFault,
)
from .pump import CHUNK_BYTES, Pump

if TYPE_CHECKING:
    import random

CONNECT_TIMEOUT_S = 2.0
_LINGER_ZERO = struct.pack('ii', 1, 0)


class Connection:
    """One accepted connection and the one to the target."""

    def __init__(self, link: Link, writer: asyncio.StreamWriter) -> None:
        """Keeps the accepted side; the target is connected later."""
        self._link = link
        self._writers = [writer]
        self._pumps: dict[Direction, Pump] = {}
        self.source = ANY_SOURCE

    @property
    def has_lost_bytes(self) -> bool:
        """Tells whether bytes of the connection vanished."""
        return any(pump.has_lost_bytes for pump in self._pumps.values())

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Copies both ways until both sides have ended."""
        first = await self._read_first(reader)
        if self._link.faults_of(self.source).cut:
            self._link.record.refused += 1
            self.reset()
            return
        host, _, port = self._link.plan.target.rpartition(':')
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            target = await asyncio.open_connection(host, int(port))
        self._writers.append(target[1])
        target[1].write(first)
        self._link.record.bytes_up += len(first)
        up = self._pump(Direction.UP, reader, target[1])
        down = self._pump(Direction.DOWN, target[0], self._writers[0])
        await asyncio.gather(up.run(), down.run())

    def half_close(self, direction: Direction) -> None:
        """Ends one direction; the other goes on."""
        pump = self._pumps.get(direction)
        if pump is not None:
            pump.half_close()

    def reset(self) -> None:
        """Ends both sides with a TCP reset."""
        for writer in self._writers:
            raw = writer.get_extra_info('socket')
            with contextlib.suppress(OSError, AttributeError):
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                )
            writer.transport.abort()

    def close(self) -> None:
        """Closes both sides."""
        for writer in self._writers:
            writer.close()

    async def _read_first(self, reader: asyncio.StreamReader) -> bytes:
        """Reads until the source is known; returns the bytes read."""
        if not self._link.plan.is_peer:
            return b''
        first = b''
        decoder = FrameDecoder()
        while chunk := await reader.read(CHUNK_BYTES):
            first += chunk
            frame = next(iter(decoder.feed(chunk)), None)
            if frame is not None:
                if isinstance(frame.message, Hello):
                    self.source = frame.message.vm_id
                break
        sources = self._link.record.sources
        sources[self.source] = sources.get(self.source, 0) + 1
        return first

    def _pump(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Pump:
        pump = Pump(
            reader,
            writer,
            faults=lambda: self._link.faults_of(self.source).of(direction),
            on_bytes=lambda count: self._link.count(direction, count),
            on_vanished=self._link.count_vanished,
            rng=self._link.rng,
        )
        self._pumps[direction] = pump
        return pump


class Link:
    """One link of the proxy."""

    def __init__(self, plan: LinkPlan, rng: random.Random) -> None:
        """Plans the link without faults; nothing listens yet."""
        self.plan = plan
        self.rng = rng
        self.record = LinkRecord()
        self._faults: dict[str, LinkFaults] = {}
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._accept, host, self.plan.port, backlog=1024
        )

    def close(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
        self._reset_where(ANY_SOURCE)

    def faults_of(self, source: str) -> LinkFaults:
        """Returns the faults for a source; its own go before the link's."""
        if source in self._faults:
            return self._faults[source]
        return self._faults.get(ANY_SOURCE, LinkFaults())

    def set_faults(self, source: str, faults: LinkFaults) -> None:
        """Replaces the faults of a source."""
        self._faults[source] = faults
        if faults.cut:
            self._reset_where(source)
        self._reset_gapped()

    def heal(self) -> None:
        """Ends every lasting fault."""
        self._faults.clear()
        self._reset_gapped()

    def inject_once(self, kind: OneTimeFault, source: str) -> None:
        """Does a fault once to the open connections of a source."""
        if kind is OneTimeFault.RESET:
            self._reset_where(source)
            return
        is_up = kind is OneTimeFault.HALF_CLOSE_UP
        for connection in self._of_source(source):
            connection.half_close(Direction.UP if is_up else Direction.DOWN)

    def count(self, direction: Direction, count: int) -> None:
        """Counts bytes that were passed on."""
        if direction is Direction.UP:
            self.record.bytes_up += count
        else:
            self.record.bytes_down += count

    def count_vanished(self, count: int) -> None:
        """Counts bytes that vanished."""
        self.record.vanished_bytes += count

    def _of_source(self, source: str) -> list[Connection]:
        return [
            connection
            for connection in self._connections
            if source in {ANY_SOURCE, connection.source}
        ]

    def _reset_where(self, source: str) -> None:
        for connection in self._of_source(source):
            self.record.resets += 1
            connection.reset()

    def _reset_gapped(self) -> None:
        """Resets connections with a gap in a direction that flows again."""
        for connection in tuple(self._connections):
            faults = self.faults_of(connection.source)
            is_open = not (faults.up.vanish or faults.down.vanish)
            if connection.has_lost_bytes and is_open:
                self.record.resets += 1
                connection.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(self, writer)
        self._connections.add(connection)
        self.record.connections += 1
        try:
            await connection.run(reader)
        except (OSError, CatkinreachError) as error:
            logger.debug('faultproxy: {}: {!r}.', self.plan.name, error)
            connection.reset()
        except asyncio.CancelledError:
            logger.debug('faultproxy: {}: stopped.', self.plan.name)
        finally:
            self._connections.discard(connection)
            connection.close()


__all__ = ('Link',)
