"""Waits for the first bytes of a client's next request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .socket_input import SocketInput

FIRST_READ_BYTES = 4 * 1024
"""First bytes of a request that are read at once; what comes after the request
stays there while it is served."""

STANDSTILL_S = 0.05
"""Time by which a timer is late if the process, or its machine, stood still."""


class IdleWait:
    """One wait, whose timeout may change meanwhile."""

    def __init__(
        self, source: SocketInput, read_timeout_s: Callable[[], float]
    ) -> None:
        """Prepares the wait.

        Args:
            source: Input of the connection.
            read_timeout_s: Returns the current timeout.
        """
        self._source = source
        self._read_timeout_s = read_timeout_s
        self._began_s = asyncio.get_running_loop().time()
        self._timeout: asyncio.Timeout | None = None
        self._is_ended = False

    def end(self) -> None:
        """Ends the wait unless bytes have arrived.

        They may still be in a buffer, so the wait itself decides.
        """
        self._is_ended = True
        self.apply_timeout()

    def apply_timeout(self) -> None:
        """Ends the wait if a changed timeout has passed."""
        timeout = self._timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    async def first_bytes(self) -> bytes | None:
        """Returns the bytes; ``None`` if none arrive in time."""
        while not self._is_over:
            until_s = self._began_s + self._read_timeout_s()
            self._timeout = asyncio.timeout_at(until_s)
            try:
                async with self._timeout:
                    return await self._source.read(FIRST_READ_BYTES)
            except TimeoutError:
                self._allow_for_standstill(until_s)
            finally:
                self._timeout = None
        return await self._source.read_available()

    @property
    def _is_over(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        ends_s = self._began_s + self._read_timeout_s()
        return self._is_ended or ends_s <= now_s

    def _allow_for_standstill(self, until_s: float) -> None:
        """Gives a client the time by which this process woke too late.

        Its machine may have stood still, too, before it could send.
        """
        now_s = asyncio.get_running_loop().time()
        late_s = now_s - until_s
        if late_s >= STANDSTILL_S:
            timeout_s = self._read_timeout_s()
            self._began_s = now_s - timeout_s + min(late_s, timeout_s)


__all__ = ('IdleWait',)
