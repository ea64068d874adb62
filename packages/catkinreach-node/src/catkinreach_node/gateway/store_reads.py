"""Calls the store until it answers; a silent call doesn't hold up the next."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from catkinreach_core.gateway.feed import StoreUnavailable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

NEXT_CALL_S = 0.6
"""Time without an answer after which another call begins."""

MAX_ARRIVING_S = 10.0
"""Time for which an answer that is arriving holds up the next call; it may
never end."""

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
    While an answer is arriving, none begins: on a slow link the same long
    answer would come several times at once, and each the later.
    """

    def __init__(
        self,
        on_lost: Callable[[str, float, float], None],
        rng: random.Random,
        received_bytes: Callable[[], int],
    ) -> None:
        """Prepares the calls.

        Args:
            on_lost: Called when calls fail or aren't answered, with the
                reason and two times in seconds: since the first call, and for
                which the store has been silent beyond what is expected.
            rng: Spreads the calls of the fleet.
            received_bytes: Returns the bytes of all answers so far.
        """
        self._on_lost = on_lost
        self._rng = rng
        self._received_bytes = received_bytes
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
        calls = _OverlappingCalls(first, again, answer_within_s)
        received = self._received_bytes()
        try:
            while True:
                if calls.is_next_due:
                    earlier, received = received, self._received_bytes()
                    if calls.may_arrive and received > earlier:
                        calls.begin_next_after(NEXT_CALL_S)
                        continue
                    if calls.are_unanswered:
                        silent_s = calls.age_s - answer_within_s
                        self._on_lost('no answer', calls.age_s, silent_s)
                    calls.begin_next()
                for ended in await calls.wait():
                    failure = _failure(ended)
                    if failure is None:
                        self._retry_s = MIN_RETRY_S
                        return ended.result()
                    self._on_lost(failure, calls.age_s, 0.0)
                    calls.begin_next_within(self._pause_s())
        finally:
            await calls.cancel()

    def _pause_s(self) -> float:
        """Returns the pause after a call that failed; it grows."""
        pause_s = self._retry_s * (0.5 + self._rng.random())
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        return pause_s


class _OverlappingCalls(Generic[_Answer]):
    """Calls for the same answer, each of which begins after the one before."""

    def __init__(
        self,
        first: Callable[[], Coroutine[None, None, _Answer]],
        again: Callable[[], Coroutine[None, None, _Answer]],
        answer_within_s: float,
    ) -> None:
        """Prepares the calls; none has begun."""
        self._now_s = asyncio.get_running_loop().time
        self._began_s = self._last_began_s = self._now_s()
        self._next_at_s = self._began_s
        self._next, self._again = first, again
        self._wait_s = answer_within_s
        self._open: set[asyncio.Task[_Answer]] = set()
        self._count = 0

    @property
    def age_s(self) -> float:
        """Returns the time since the first call."""
        return self._now_s() - self._began_s

    @property
    def is_next_due(self) -> bool:
        """Returns whether another call is to begin."""
        return self._now_s() >= self._next_at_s

    @property
    def are_unanswered(self) -> bool:
        """Returns whether more calls than a slow one aren't answered."""
        return bool(self._open) and self._count >= MAX_UNANSWERED

    def begin_next(self) -> None:
        """Begins another call."""
        self._open.add(asyncio.create_task(self._next()))
        self._count += 1
        self._last_began_s = self._now_s()
        self._next_at_s = self._now_s() + self._wait_s
        self._next, self._wait_s = self._again, NEXT_CALL_S

    @property
    def may_arrive(self) -> bool:
        """Returns whether the answer to the newest call may be arriving."""
        age_s = self._now_s() - self._last_began_s
        return bool(self._open) and age_s < MAX_ARRIVING_S

    def begin_next_after(self, pause_s: float) -> None:
        """Lets the next call begin after a pause."""
        self._next_at_s = self._now_s() + pause_s

    def begin_next_within(self, pause_s: float) -> None:
        """Lets the next call begin after a pause, or sooner if it is due."""
        self._next_at_s = min(self._next_at_s, self._now_s() + pause_s)

    async def wait(self) -> set[asyncio.Task[_Answer]]:
        """Returns the calls that have ended by the time that one is due."""
        timeout_s = max(0.0, self._next_at_s - self._now_s())
        if not self._open:
            await asyncio.sleep(timeout_s)
            return set()
        ended, self._open = await asyncio.wait(
            self._open,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for call in ended:
            # The reader may look at the first only; asyncio reports errors that
            # nobody has looked at.
            if not call.cancelled():
                call.exception()
        return ended

    async def cancel(self) -> None:
        """Cancels the open calls."""
        for call in self._open:
            call.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)


def _failure(call: asyncio.Task[_Answer]) -> str | None:
    """Returns why the store couldn't be read; ``None`` if it could.

    Raises:
        HistoryLost: if the store no longer has what was asked for.
    """
    try:
        call.result()
    except StoreUnavailable as error:
        return str(error)
    return None


__all__ = ('NEXT_CALL_S', 'StoreReads')
