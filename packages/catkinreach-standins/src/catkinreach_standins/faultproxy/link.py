"""A link of the fault proxy: its listener, connections and faults."""

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
"""Value of SO_LINGER with which closing a socket sends a TCP reset."""


class Connection:
    """Forwards an accepted connection to the target of the link.

    Attributes:
        source: Peer that opened the connection; `ANY_SOURCE` if unknown.
    """

    def __init__(self, link: Link, writer: asyncio.StreamWriter) -> None:
        """Stores the accepted side; ``run`` connects to the target."""
        self._link = link
        self._writers = [writer]
        self._pumps: dict[Direction, Pump] = {}
        self.source = ANY_SOURCE

    @property
    def has_lost_bytes(self) -> bool:
        """Returns whether bytes of the connection were dropped."""
        return any(pump.has_lost_bytes for pump in self._pumps.values())

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Forwards both directions until both have ended."""
        first_bytes = await self._read_source(reader)
        if self._link.faults_of(self.source).cut:
            self._link.record.refused += 1
            self.reset()
            return
        host, _, port = self._link.plan.target.rpartition(':')
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            target = await asyncio.open_connection(host, int(port))
        self._writers.append(target[1])
        target[1].write(first_bytes)
        self._link.record.bytes_up += len(first_bytes)
        up = self._new_pump(Direction.UP, reader, target[1])
        down = self._new_pump(Direction.DOWN, target[0], self._writers[0])
        await asyncio.gather(up.run(), down.run())

    def half_close(self, direction: Direction) -> None:
        """Ends a direction; the opposite direction stays open."""
        pump = self._pumps.get(direction)
        if pump is not None:
            pump.half_close()

    def reset(self) -> None:
        """Aborts both sides with a TCP reset."""
        for writer in self._writers:
            tcp_socket = writer.get_extra_info('socket')
            with contextlib.suppress(OSError, AttributeError):
                tcp_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO
                )
            writer.transport.abort()

    def close(self) -> None:
        """Closes both sides."""
        for writer in self._writers:
            writer.close()

    async def _read_source(self, reader: asyncio.StreamReader) -> bytes:
        """Reads until the first frame names the source, on a link of peers.

        Returns:
            The bytes that were read, which are not forwarded yet.
        """
        if not self._link.plan.is_peer:
            return b''
        first_bytes = b''
        decoder = FrameDecoder()
        while chunk := await reader.read(CHUNK_BYTES):
            first_bytes += chunk
            frame = next(iter(decoder.feed(chunk)), None)
            if frame is not None:
                if isinstance(frame.message, Hello):
                    self.source = frame.message.vm_id
                break
        sources = self._link.record.sources
        sources[self.source] = sources.get(self.source, 0) + 1
        return first_bytes

    def _new_pump(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Pump:
        pump = Pump(
            reader,
            writer,
            faults=lambda: self._link.faults_of(self.source).for_direction(
                direction
            ),
            on_forwarded=lambda count: self._link.count_forwarded(
                direction, count
            ),
            on_dropped=self._link.count_dropped,
            rng=self._link.rng,
        )
        self._pumps[direction] = pump
        return pump


class Link:
    """Forwards connections to the target and applies faults to them.

    Attributes:
        plan: Configuration of the link.
        rng: Random number generator for the jitter.
        record: Counters of the link.
    """

    def __init__(self, plan: LinkPlan, rng: random.Random) -> None:
        """Creates a link without faults that doesn't listen yet."""
        self.plan = plan
        self.rng = rng
        self.record = LinkRecord()
        self._faults: dict[str, LinkFaults] = {}
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(
            self._accept, host, self.plan.port, backlog=1024
        )

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_connections(ANY_SOURCE)

    def faults_of(self, source: str) -> LinkFaults:
        """Returns the faults of a source, or else those of the whole link."""
        if source in self._faults:
            return self._faults[source]
        return self._faults.get(ANY_SOURCE, LinkFaults())

    def set_faults(self, source: str, faults: LinkFaults) -> None:
        """Replaces the persistent faults of a source."""
        self._faults[source] = faults
        if faults.cut:
            self._reset_connections(source)
        self._reset_lossy_connections()

    def heal(self) -> None:
        """Removes all persistent faults."""
        self._faults.clear()
        self._reset_lossy_connections()

    def inject_once(self, kind: OneTimeFault, source: str) -> None:
        """Applies a one-time fault to the open connections of a source."""
        if kind is OneTimeFault.RESET:
            self._reset_connections(source)
            return
        is_up = kind is OneTimeFault.HALF_CLOSE_UP
        for connection in self._connections_of(source):
            connection.half_close(Direction.UP if is_up else Direction.DOWN)

    def count_forwarded(self, direction: Direction, count: int) -> None:
        """Counts forwarded bytes."""
        if direction is Direction.UP:
            self.record.bytes_up += count
        else:
            self.record.bytes_down += count

    def count_dropped(self, count: int) -> None:
        """Counts dropped bytes."""
        self.record.vanished_bytes += count

    def _connections_of(self, source: str) -> list[Connection]:
        return [
            connection
            for connection in self._connections
            if source in {ANY_SOURCE, connection.source}
        ]

    def _reset_connections(self, source: str) -> None:
        for connection in self._connections_of(source):
            self.record.resets += 1
            connection.reset()

    def _reset_lossy_connections(self) -> None:
        """Resets connections that lost bytes and whose faults drop no more."""
        for connection in tuple(self._connections):
            faults = self.faults_of(connection.source)
            is_lossless = not (faults.up.vanish or faults.down.vanish)
            if connection.has_lost_bytes and is_lossless:
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
            logger.debug(
                'faultproxy: link {}: resetting a connection after {!r}.',
                self.plan.name,
                error,
            )
            connection.reset()
        except asyncio.CancelledError:
            logger.debug(
                'faultproxy: link {}: connection cancelled.', self.plan.name
            )
        finally:
            self._connections.discard(connection)
            connection.close()


__all__ = ('Link',)
