"""Simulates continuous batching: a prefill queue and a decode batch."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .answer import answer_token

Sleep = Callable[[float], Awaitable[None]]
"""Sleeps for a number of simulated seconds."""


class PrefillQueue:
    """Runs one prefill at a time.

    The lowest priority number goes first; equal ones go in order of arrival.
    """

    def __init__(self, sleep: Sleep) -> None:
        """Starts empty; ``sleep`` simulates the duration of a prefill."""
        self._sleep = sleep
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._is_running = False

    @property
    def waiting(self) -> int:
        """Returns the number of prefills that wait for their turn."""
        return sum(not turn.done() for _, _, turn in self._waiting)

    @property
    def running(self) -> int:
        """Returns the number of prefills that run: 0 or 1."""
        return int(self._is_running)

    async def run(
        self, priority: int, compute_duration_s: Callable[[], float]
    ) -> None:
        """Waits for a turn, then simulates the duration of the prefill.

        Args:
            priority: Lower numbers go first.
            compute_duration_s: Called when the prefill starts, as its
                duration depends on what the prefix cache has by then.
        """
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._waiting, (priority, next(self._arrival_numbers), turn)
        )
        if not self._is_running:
            self._start_next()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._start_next()
            raise
        try:
            await self._sleep(compute_duration_s())
        finally:
            self._start_next()

    def _start_next(self) -> None:
        self._is_running = False
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                self._is_running = True
                turn.set_result(None)
                return


@dataclass(slots=True)
class RunningDecode:
    """A decode in the batch.

    Attributes:
        key: Key of its holding in the engine's memory.
        digest: Digest of the prompt, which determines the tokens.
        next_index: Index of the token that the next step produces.
        max_tokens: Number of tokens of the whole answer.
        tokens: Produced tokens; ``None`` ends the stream.
    """

    key: str
    digest: str
    next_index: int
    max_tokens: int
    tokens: asyncio.Queue[str | None] = field(default_factory=asyncio.Queue)


class DecodeBatch:
    """Produces one token per step for each running decode."""

    def __init__(
        self,
        *,
        step_base_s: float,
        step_per_request_s: float,
        sleep: Sleep,
    ) -> None:
        """Starts empty.

        Args:
            step_base_s: Duration of a step apart from the decodes.
            step_per_request_s: Duration that each running decode adds.
            sleep: Simulates the duration of a step.
        """
        self._step_base_s = step_base_s
        self._step_per_request_s = step_per_request_s
        self._sleep = sleep
        self._decodes: dict[str, RunningDecode] = {}
        self._step_task: asyncio.Task[None] | None = None
        self._max_running = 0

    @property
    def running(self) -> int:
        """Returns the number of decodes that still produce tokens."""
        return len(self._decodes)

    @property
    def max_running(self) -> int:
        """Returns the size of the largest batch so far."""
        return self._max_running

    def add(self, decode: RunningDecode) -> None:
        """Adds a decode, which joins at the next step.

        It replaces a decode with the same key and ends the stream of that.
        """
        self.remove(decode.key)
        self._decodes[decode.key] = decode
        self._max_running = max(self._max_running, len(self._decodes))
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._step_until_empty())

    def remove(self, key: str) -> None:
        """Removes a decode, if it is in the batch, and ends its stream."""
        decode = self._decodes.pop(key, None)
        if decode is not None:
            decode.tokens.put_nowait(None)

    async def _step_until_empty(self) -> None:
        while self._decodes:
            requests_s = self._step_per_request_s * len(self._decodes)
            await self._sleep(self._step_base_s + requests_s)
            for decode in tuple(self._decodes.values()):
                self._advance_decode(decode)

    def _advance_decode(self, decode: RunningDecode) -> None:
        if decode.next_index < decode.max_tokens:
            token = answer_token(decode.digest, decode.next_index)
            decode.tokens.put_nowait(token)
            decode.next_index += 1
        if decode.next_index >= decode.max_tokens:
            self.remove(decode.key)


__all__ = ('DecodeBatch', 'PrefillQueue', 'RunningDecode')
