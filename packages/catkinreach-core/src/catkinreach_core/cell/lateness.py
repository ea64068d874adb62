"""When a waiting request is given up, and why."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from ..errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .queue import Waiting


class Lateness:
    """Waiting requests by the moment at which waiting becomes useless."""

    def __init__(self) -> None:
        """Starts empty."""
        self._order = itertools.count()
        self._due: list[tuple[float, int, Waiting, ErrorKind]] = []

    def add(
        self,
        item: Waiting,
        *,
        unloaded_s: float,
        max_age_s: float,
        now_s: float,
    ) -> None:
        """Takes a request that begins to wait.

        Args:
            item: The request.
            unloaded_s: Time that it needs at least from its placement on.
            max_age_s: Longest wait in the queue.
            now_s: Monotonic clock.
        """
        due_s, kind = now_s + max_age_s, ErrorKind.QUEUE_TIMEOUT
        hopeless_s = item.deadline_s - unloaded_s
        if not item.ask.is_resume and hopeless_s < due_s:
            due_s, kind = hopeless_s, ErrorKind.DEADLINE_UNREACHABLE
        heapq.heappush(self._due, (due_s, next(self._order), item, kind))

    def pop_due(self, now_s: float) -> Iterator[tuple[Waiting, ErrorKind]]:
        """Yields the requests that still wait and are to be refused."""
        while self._due and self._due[0][0] <= now_s:
            _, _, item, kind = heapq.heappop(self._due)
            if not item.is_gone:
                yield item, kind

    def next_due_s(self) -> float | None:
        """Returns when the next refusal falls due."""
        while self._due and self._due[0][2].is_gone:
            heapq.heappop(self._due)
        return self._due[0][0] if self._due else None


__all__ = ('Lateness',)
