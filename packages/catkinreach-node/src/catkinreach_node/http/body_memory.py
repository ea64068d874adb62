"""Memory that the bodies of all requests of a server share."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_BYTES = 32 * 1024 * 1024
"""Default of the shared memory."""

SMALL_BODY_BYTES = 16 * 1024
"""Part of each body that needs no share of the memory: small requests are
served beside large ones."""

COPIES = 2
"""Copies of a body at a time: the request, and what is written to an upstream
and isn't sent yet."""

STEP_BYTES = 64 * 1024
"""Bytes that are reserved at a time for a body of unknown length."""

WAIT_S = 0.8
"""Longest wait for memory; callers give up requests that nobody reads."""

STALL_S = 2.0
"""Time without a byte after which a body yields its memory to others."""


class BodyMemory:
    """Memory for the bodies of requests; held by ``BodyHold`` objects."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        """Starts empty."""
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self._reading: set[BodyHold] = set()

    @property
    def max_bytes(self) -> int:
        """Returns the size of the memory."""
        return self._max_bytes

    @property
    def used_bytes(self) -> int:
        """Returns the memory in use, small bodies not counted."""
        return self._used_bytes

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserves memory unless it is full, or others wait for it."""
        if self._waiting or not self._has_room(size_bytes):
            return False
        self._used_bytes += size_bytes
        return True

    async def reserve(self, size_bytes: int) -> bool:
        """Reserves memory, in order of arrival; ``False`` if it stays full."""
        if self.try_reserve(size_bytes):
            return True
        for hold in tuple(self._reading):
            hold.yield_if_stalled()
        granted = asyncio.get_running_loop().create_future()
        self._waiting.append((size_bytes, granted))
        try:
            await asyncio.wait({granted}, timeout=WAIT_S)
        except asyncio.CancelledError:
            if granted.done():
                self.release(size_bytes)
            raise
        finally:
            if not granted.done():
                self._waiting.remove((size_bytes, granted))
                self._grant()
        return granted.done()

    @contextmanager
    def noting_wait(self, hold: BodyHold) -> Iterator[None]:
        """Lets a hold yield while it waits for the next bytes of its body."""
        self._reading.add(hold)
        try:
            yield
        finally:
            self._reading.discard(hold)

    def release(self, size_bytes: int) -> None:
        """Frees memory; the first that wait get it."""
        self._used_bytes -= size_bytes
        self._grant()

    def _has_room(self, size_bytes: int) -> bool:
        return self._used_bytes + size_bytes <= self._max_bytes

    def _grant(self) -> None:
        while self._waiting and self._has_room(self._waiting[0][0]):
            size_bytes, granted = self._waiting.popleft()
            self._used_bytes += size_bytes
            granted.set_result(None)


class BodyHold:
    """Memory held for the body of one request, as long as somebody keeps it."""

    def __init__(self, memory: BodyMemory) -> None:
        """Starts without memory, kept by its creator."""
        self._memory = memory
        self._held_bytes = 0
        self._keepers = 1
        self._wait: asyncio.Timeout | None = None
        self._waiting_since_s = 0.0

    @property
    def held_bytes(self) -> int:
        """Returns the memory that it holds."""
        return self._held_bytes

    async def cover(self, body_bytes: int) -> bool:
        """Reserves memory for a body; ``False`` if there is none.

        A body that is larger than all of the memory gets all of it.
        """
        needed = COPIES * max(0, body_bytes - SMALL_BODY_BYTES)
        missing = min(needed, self._memory.max_bytes) - self._held_bytes
        if missing <= 0:
            return True
        is_reserved = await self._memory.reserve(missing)
        if is_reserved:
            self._held_bytes += missing
        return is_reserved

    @contextmanager
    def waiting(self, wait: asyncio.Timeout) -> Iterator[None]:
        """Ends a wait for bytes of the body early if it stalls others."""
        self._wait = wait
        self._waiting_since_s = asyncio.get_running_loop().time()
        try:
            with self._memory.noting_wait(self):
                yield
        finally:
            self._wait = None

    def yield_if_stalled(self) -> None:
        """Ends the wait for the body if no byte of it has come for long."""
        now_s = asyncio.get_running_loop().time()
        wait = self._wait
        is_stalled = now_s - self._waiting_since_s >= STALL_S
        if wait is None or wait.expired() or not self._held_bytes:
            return
        if is_stalled:
            wait.reschedule(now_s)

    def try_cover_bytes(self, size_bytes: int) -> bool:
        """Reserves memory for bytes that may stay unread; doesn't wait."""
        missing = size_bytes - self._held_bytes
        if missing > 0:
            if not self._memory.try_reserve(missing):
                return False
            self._held_bytes += missing
        return True

    def keep(self) -> None:
        """Keeps the memory until one more release."""
        self._keepers += 1

    def release(self) -> None:
        """Frees the memory once nobody keeps it."""
        self._keepers -= 1
        if not self._keepers and self._held_bytes:
            self._memory.release(self._held_bytes)


__all__ = ('SMALL_BODY_BYTES', 'STEP_BYTES', 'BodyHold', 'BodyMemory')
