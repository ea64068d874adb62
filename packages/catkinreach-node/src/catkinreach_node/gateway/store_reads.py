"""Calls the store until it answers; a silent call doesn't hold up the next."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from catkinreach_core.gateway.feed import StoreUnavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

NEXT_CALL_S = 0.6
"""Time without an answer after which another call begins."""

MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.3
"""Longest mean pause after a call that failed."""

MAX_UNANSWERED = 2
"""Calls without an answer after which the store counts as lost: a single one
may be slow."""

_Answer = TypeVar('_Answer')


class StoreReads:
    """Makes calls that overlap, and takes the first answer.

    A call that isn't answered stays open while the next one begins on another
    connection: the store may be slow, or be back while the connection is dead.
    """

    def __init__(
        self, on_lost: Callable[[str, float], None], rng: random.Random
    ) -> None:
        """Prepares the calls.

        Args:
            on_lost: Called with the reason, and the length in seconds, of
                calls that failed or aren't answered.
            rng: Spreads the calls of the fleet.
        """
        self._on_lost = on_lost
        self._rng = rng
        self._retry_s = MIN_RETRY_S

    async def first_answer(
        self,
        first: Callable[[], Coroutine[None, None, _Answer]],
        again: Callable[[], Coroutine[None, None, _Answer]],
        *,
        answer_within_s: float,
    ) -> _Answer:
        """Returns the first answer; makes calls until there is one.

        Args:
            first: Makes the first call.
            again: Makes each further call.
            answer_within_s: Time after which the first one isn't waited for
                alone.

        Raises:
            HistoryLost: if the store no longer has what was asked for.
        """
        now = asyncio.get_running_loop().time
        began_s = next_at_s = now()
        pending: set[asyncio.Task[_Answer]] = set()
        make_call, wait_s = first, answer_within_s
        call_count = 0
        try:
            while True:
                if now() >= next_at_s:
                    if call_count >= MAX_UNANSWERED and pending:
                        self._on_lost('no answer', now() - began_s)
                    pending.add(asyncio.create_task(make_call()))
                    call_count += 1
                    next_at_s = now() + wait_s
                    make_call, wait_s = again, NEXT_CALL_S
                done = await _wait_for_any(pending, next_at_s - now())
                pending -= done
                for task in done:
                    try:
                        answer = task.result()
                    except StoreUnavailable as error:
                        self._on_lost(str(error), now() - began_s)
                        next_at_s = min(next_at_s, now() + self._pause_s())
                    else:
                        self._retry_s = MIN_RETRY_S
                        return answer
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

    def _pause_s(self) -> float:
        """Returns the pause after a call that failed; it grows."""
        pause_s = self._retry_s * (0.5 + self._rng.random())
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        return pause_s


async def _wait_for_any(
    tasks: set[asyncio.Task[_Answer]], timeout_s: float
) -> set[asyncio.Task[_Answer]]:
    """Waits until a task ends or the time is over; returns what has ended."""
    timeout_s = max(0.0, timeout_s)
    if not tasks:
        await asyncio.sleep(timeout_s)
        return set()
    done, _ = await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    return done


__all__ = ('MAX_RETRY_S', 'NEXT_CALL_S', 'StoreReads')
