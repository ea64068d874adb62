"""Ends the requests that still run when the time after a stop is over."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class StopLimit:
    """Time limit of running requests; there's none before the stop."""

    def __init__(self) -> None:
        """Starts without a limit."""
        self._until_s: float | None = None
        self._running: set[asyncio.Timeout] = set()

    def begin(self, within_s: float) -> None:
        """Lets everything that runs, or begins later, end within a time."""
        self._until_s = asyncio.get_running_loop().time() + within_s
        for limit in tuple(self._running):
            if not limit.expired():
                limit.reschedule(self._until_s)

    @asynccontextmanager
    async def applied(self) -> AsyncIterator[asyncio.Timeout]:
        """Applies the limit to what runs within the context.

        Raises:
            TimeoutError: if it is reached.
        """
        async with asyncio.timeout_at(self._until_s) as limit:
            self._running.add(limit)
            try:
                yield limit
            finally:
                self._running.discard(limit)


__all__ = ('StopLimit',)
