"""Detection of stalled streams with one timer for each stream."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

CHECKS_PER_LIMIT = 6


class StallGuard:
    """Cancels a wait that takes longer than the limit, if it may be given up.

    A timer for each token would cost more than reading the token, so one
    periodic timer checks how long the current wait has lasted. A stall is
    detected up to a sixth of the limit late.
    """

    def __init__(
        self,
        limit_s: float,
        may_give_up: Callable[[float], bool] = lambda _: True,
    ) -> None:
        """Starts the timer; no wait is guarded yet.

        Args:
            limit_s: Time after which a wait may be cancelled.
            may_give_up: Whether to cancel a wait that has lasted so many
                seconds; asked again at each check.
        """
        self._loop = asyncio.get_running_loop()
        self._limit_s = limit_s
        self._may_give_up = may_give_up
        self._wait_started_at_s = 0.0
        self._waiting_task: asyncio.Task[object] | None = None
        self._has_fired = False
        self._timer = self._schedule_check()

    @contextmanager
    def wait(self) -> Iterator[None]:
        """Guards one wait in the current task.

        Raises:
            TimeoutError: if it takes longer than the limit.
        """
        self._wait_started_at_s = self._loop.time()
        self._waiting_task = asyncio.current_task()
        try:
            yield
        except asyncio.CancelledError as error:
            if self._has_fired and self._uncancel():
                raise TimeoutError from error
            raise
        finally:
            self._waiting_task = None

    def close(self) -> None:
        """Stops the timer."""
        self._timer.cancel()

    def _uncancel(self) -> bool:
        """Withdraws the guard's own cancellation of the task.

        Returns:
            False if the task was also cancelled by someone else.
        """
        return (
            self._waiting_task is not None and not self._waiting_task.uncancel()
        )

    def _schedule_check(self) -> asyncio.TimerHandle:
        return self._loop.call_later(
            self._limit_s / CHECKS_PER_LIMIT, self._check
        )

    def _check(self) -> None:
        elapsed_s = self._loop.time() - self._wait_started_at_s
        task = self._waiting_task
        if (
            task is not None
            and elapsed_s >= self._limit_s
            and self._may_give_up(elapsed_s)
        ):
            self._has_fired = True
            task.cancel()
            return
        self._timer = self._schedule_check()


__all__ = ('StallGuard',)
