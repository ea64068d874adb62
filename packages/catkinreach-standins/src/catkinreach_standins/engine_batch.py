"""Continuous batching: a priority queue of prefills and decode steps."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .answer import token_of_digest

Sleep = Callable[[float], Awaitable[None]]


class PrefillQueue:
    """Runs one prefill at a time; lower priority numbers go first."""

    def __init__(self, sleep: Sleep) -> None:
        """Keep the sleep function, which scales model seconds."""
        self._sleep = sleep
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._busy = False

    @property
    def waiting(self) -> int:
        """Prefills that wait for their turn."""
        return sum(not turn.done() for _, _, turn in self._waiting)

    @property
    def running(self) -> int:
        """Prefills that run: 0 or 1."""
        return int(self._busy)

    async def run(self, priority: int, cost_s: Callable[[], float]) -> None:
        """Wait for a turn, then take the time that the prefill costs."""
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), turn))
        if not self._busy:
            self._start_next()
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._start_next()
            raise
        try:
            await self._sleep(cost_s())
        finally:
            self._start_next()

    def _start_next(self) -> None:
        self._busy = False
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                self._busy = True
                turn.set_result(None)
                return


@dataclass(slots=True)
class DecodeRun:
    """One running decode; ``None`` in its queue ends the stream."""

    key: str
    digest: str
    next_index: int
    max_tokens: int
    tokens: asyncio.Queue[str | None] = field(default_factory=asyncio.Queue)


class DecodeBatch:
    """All running decodes get one token in each step."""

    def __init__(
        self,
        *,
        step_base_s: float,
        step_per_request_s: float,
        sleep: Sleep,
    ) -> None:
        """Start without runs; a step costs a base and a part per run."""
        self._step_base_s = step_base_s
        self._step_per_request_s = step_per_request_s
        self._sleep = sleep
        self._runs: dict[str, DecodeRun] = {}
        self._task: asyncio.Task[None] | None = None
        self._max_running = 0

    @property
    def running(self) -> int:
        """Decodes that still produce tokens."""
        return len(self._runs)

    @property
    def max_running(self) -> int:
        """Largest batch so far."""
        return self._max_running

    def add(self, run: DecodeRun) -> None:
        """Let a decode join at the next step."""
        self.remove(run.key)
        self._runs[run.key] = run
        self._max_running = max(self._max_running, len(self._runs))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._step_forever())

    def remove(self, key: str) -> None:
        """Take a decode out and end its stream."""
        run = self._runs.pop(key, None)
        if run is not None:
            run.tokens.put_nowait(None)

    async def _step_forever(self) -> None:
        while self._runs:
            per_request_s = self._step_per_request_s * len(self._runs)
            await self._sleep(self._step_base_s + per_request_s)
            for run in tuple(self._runs.values()):
                self._step(run)

    def _step(self, run: DecodeRun) -> None:
        if run.next_index < run.max_tokens:
            token = token_of_digest(run.digest, run.next_index)
            run.tokens.put_nowait(token)
            run.next_index += 1
        if run.next_index >= run.max_tokens:
            self.remove(run.key)


__all__ = ('DecodeBatch', 'DecodeRun', 'PrefillQueue')
