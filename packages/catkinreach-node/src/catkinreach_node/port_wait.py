"""Opens ports that may still be held, for instance by a predecessor."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RETRY_INTERVAL_S = 0.1


class PortObserver(Protocol):
    """Is told about a port that has to be waited for."""

    def on_held(self, error: OSError) -> None:
        """Takes the reason why the port can't be opened yet."""

    def on_free(self) -> None:
        """Learns that the port is open now."""


async def open_when_free(
    open_port: Callable[[], Awaitable[None]], observer: PortObserver
) -> None:
    """Opens a port; tries again until it is free.

    Args:
        open_port: Opens the port, or raises ``OSError``.
        observer: Is told once that the port is held, and once that it is open.
    """
    is_held = False
    while True:
        try:
            await open_port()
        except OSError as error:
            if not is_held:
                observer.on_held(error)
            is_held = True
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        if is_held:
            observer.on_free()
        return


__all__ = ('PortObserver', 'open_when_free')
