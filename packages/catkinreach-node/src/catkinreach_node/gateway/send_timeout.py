"""Timeout of a send that is given up only for another send."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

MIN_CHECK_INTERVAL_S = 0.05


@asynccontextmanager
async def send_timeout(
    remaining_s: float, wait_s: float, may_give_up: Callable[[], bool]
) -> AsyncIterator[None]:
    """Ends a wait for an upstream at the deadline, or for another send.

    Args:
        remaining_s: Time to the deadline.
        wait_s: Time after which another send is considered, and again each
            time that it isn't possible.
        may_give_up: Whether another send is possible; the wait then ends.

    Raises:
        TimeoutError: if the wait is ended.
    """
    loop = asyncio.get_running_loop()
    interval_s = max(wait_s, MIN_CHECK_INTERVAL_S)
    timer: asyncio.TimerHandle

    def check() -> None:
        nonlocal timer
        if wait.expired():
            return
        if may_give_up():
            wait.reschedule(loop.time())
        else:
            timer = loop.call_later(interval_s, check)

    async with asyncio.timeout(remaining_s) as wait:
        timer = loop.call_later(interval_s, check)
        try:
            yield
        finally:
            timer.cancel()


__all__ = ('send_timeout',)
