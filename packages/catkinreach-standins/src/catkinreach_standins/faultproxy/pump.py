"""Forwards one direction of a connection through a bounded queue."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .faults import DirectionFaults

CHUNK_BYTES = 16_384
MAX_QUEUED_CHUNKS = 256
FAULT_POLL_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class _Chunk:
    """Bytes, and the loop time before which they aren't forwarded.

    Empty bytes mark the end of the stream.

    Attributes:
        content: The bytes.
        ready_at_s: The loop time.
        is_reset: Whether the stream ended by a reset.
    """

    content: bytes
    ready_at_s: float
    is_reset: bool = False


class Pump:
    """Forwards the bytes of a direction and applies the current faults.

    Attributes:
        has_lost_bytes: Whether bytes, or the end after them, were dropped.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        faults: Callable[[], DirectionFaults],
        on_forwarded: Callable[[int], None],
        on_dropped: Callable[[int], None],
        rng: random.Random,
    ) -> None:
        """Prepares a direction.

        Args:
            reader: Side to read from.
            writer: Side to write to.
            faults: Returns the current faults of the direction.
            on_forwarded: Receives the size of each forwarded chunk.
            on_dropped: Receives the size of each dropped chunk.
            rng: Random number generator for the jitter.
        """
        self._reader = reader
        self._writer = writer
        self._faults = faults
        self._on_forwarded = on_forwarded
        self._on_dropped = on_dropped
        self._rng = rng
        self._queue: asyncio.Queue[_Chunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self.has_lost_bytes = False

    async def run(self) -> None:
        """Forwards until the reader ends, then half-closes the writer.

        After lost bytes the end is lost as well, as with TCP; the connection
        then stays open until it is reset.

        Raises:
            ConnectionResetError: if the reader ended by a reset.
        """
        read_task = asyncio.create_task(self._read())
        try:
            await self._write()
        finally:
            read_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await read_task

    def half_close(self) -> None:
        """Ends the stream to the writer; the opposite direction stays open."""
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.write_eof()

    async def _read(self) -> None:
        chunk = b'-'  # not empty, so that the loop starts
        is_reset = False
        while chunk:
            try:
                chunk = await self._reader.read(CHUNK_BYTES)
            except OSError:
                chunk, is_reset = b'', True
            await self._queue.put(_Chunk(chunk, self._ready_at_s(), is_reset))

    def _ready_at_s(self) -> float:
        faults = self._faults()
        jitter_s = self._rng.uniform(0, faults.jitter_s)
        return asyncio.get_running_loop().time() + faults.delay_s + jitter_s

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            chunk = await self._queue.get()
            await asyncio.sleep(max(0.0, chunk.ready_at_s - loop.time()))
            await self._wait_while_stalled()
            if chunk.is_reset:
                raise ConnectionResetError('reset by the source')
            if not chunk.content:
                await self._forward_end()
                return
            await self._forward(chunk.content)

    async def _wait_while_stalled(self) -> None:
        while self._faults().stall:  # noqa: ASYNC110 - faults have no event
            await asyncio.sleep(FAULT_POLL_INTERVAL_S)

    async def _forward_end(self) -> None:
        if self._faults().vanish:
            self.has_lost_bytes = True
        if not self.has_lost_bytes:
            self.half_close()
            return
        while not self._writer.is_closing():  # noqa: ASYNC110 - as above
            await asyncio.sleep(FAULT_POLL_INTERVAL_S)

    async def _forward(self, content: bytes) -> None:
        faults = self._faults()
        if faults.vanish:
            self.has_lost_bytes = True
            self._on_dropped(len(content))
            return
        self._on_forwarded(len(content))
        if not self._writer.is_closing():
            self._writer.write(content)
            await self._writer.drain()
        if faults.bytes_per_s:
            await asyncio.sleep(len(content) / faults.bytes_per_s)


__all__ = ('Pump',)
