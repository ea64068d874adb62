"""Reserves other engines for a request while its engine is silent."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from catkinreach_core.cell.retry_budget import RetryBudget
    from catkinreach_core.ids import UpstreamId

    from .interfaces import Reservation

RETRIES = 2
"""Retries that a takeover spends: its own, and one to return with if the other
engines fail."""

MAX_SILENCE_S = 10.0
"""Time without a token after which an engine is given up in any case."""


class Takeover:
    """Reservation for the attempt that follows that of a silent engine.

    The silent engine keeps its stream until other engines are reserved and
    accept connections, so that a healthy one which goes on loses nothing.
    """

    def __init__(
        self,
        reserve: Callable[
            [UpstreamId], AbstractAsyncContextManager[Reservation]
        ],
        budget: RetryBudget,
        *,
        is_possible: Callable[[UpstreamId], bool],
    ) -> None:
        """Starts without a reservation.

        Args:
            reserve: Reserves engines other than the given one, and fails if
                they can't be connected to.
            budget: Retries that the node may make.
            is_possible: Whether another engine than the given one could ever
                take the request.
        """
        self._reserve = reserve
        self._budget = budget
        self._is_possible = is_possible
        self._stack = AsyncExitStack()
        self._reserving: asyncio.Task[Reservation] | None = None
        self.is_due = False

    @property
    def has_started(self) -> bool:
        """Returns whether engines are or were sought."""
        return self._reserving is not None

    def may_give_up(self, silent: UpstreamId, silence_s: float) -> bool:
        """Returns whether an engine may be given up; seeks others otherwise."""
        if silence_s >= MAX_SILENCE_S:
            return True
        reserving = self._reserving
        if reserving is None or _has_failed(reserving):
            self._start(silent)
        elif reserving.done() and reserving.result().placement.decode != silent:
            self.is_due = self._budget.try_spend(RETRIES)
        return self.is_due

    async def withdraw(self) -> None:
        """Releases the engines, or stops to seek them."""
        reserving, self._reserving = self._reserving, None
        if reserving is None:
            return
        reserving.cancel()
        try:
            await asyncio.wait({reserving})
        finally:
            _has_failed(reserving)
            await self._stack.aclose()

    async def hand_over(self, stack: AsyncExitStack) -> Reservation:
        """Returns the reservation, which ``stack`` releases."""
        await stack.enter_async_context(self._stack.pop_all())
        if self._reserving is None:
            raise RuntimeError('no engines are reserved')
        return await self._reserving

    def _start(self, silent: UpstreamId) -> None:
        if self._budget.tokens >= RETRIES and self._is_possible(silent):
            self._reserving = asyncio.ensure_future(
                self._stack.enter_async_context(self._reserve(silent))
            )


def _has_failed(reserving: asyncio.Task[Reservation]) -> bool:
    """Returns whether no engines were found; asyncio logs no error then."""
    return reserving.done() and (
        reserving.cancelled() or reserving.exception() is not None
    )


__all__ = ('MAX_SILENCE_S', 'Takeover')
