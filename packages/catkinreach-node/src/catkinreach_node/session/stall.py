"""Notices that a stream has gone silent, at one timer a stream."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

CHECKS_A_LIMIT = 6


class StallGuard:
    """Ends a wait that takes longer than the limit.

    Setting up a timer for each token costs more than reading the token, so
    one timer looks from time to time how long the wait has lasted. A stall
    is noticed up to a sixth of the limit late.
    """

    def __init__(self, limit_s: float) -> None:
        """Starts without a wait."""
        self._loop = asyncio.get_running_loop()
        self._limit_s = limit_s
        self._since_s = 0.0
        self._waiting: asyncio.Task[object] | None = None
        self._has_fired = False
        self._timer = self._arm()

    @contextmanager
    def wait(self) -> Iterator[None]:
        """Watches one wait.

        Raises:
            TimeoutError: if it takes longer than the limit.
        """
        self._since_s = self._loop.time()
        self._waiting = asyncio.current_task()
        try:
            yield
        except asyncio.CancelledError as error:
            if self._has_fired and self._uncancel():
                raise TimeoutError from error
            raise
        finally:
            self._waiting = None

    def close(self) -> None:
        """Stops the timer."""
        self._timer.cancel()

    def _uncancel(self) -> bool:
        """Takes the guard's own cancellation back; False if more remain."""
        return self._waiting is not None and not self._waiting.uncancel()

    def _arm(self) -> asyncio.TimerHandle:
        return self._loop.call_later(
            self._limit_s / CHECKS_A_LIMIT, self._check
        )

    def _check(self) -> None:
        waited_s = self._loop.time() - self._since_s
        if self._waiting is not None and waited_s >= self._limit_s:
            self._has_fired = True
            self._waiting.cancel()
            return
        self._timer = self._arm()


__all__ = ('StallGuard',)
