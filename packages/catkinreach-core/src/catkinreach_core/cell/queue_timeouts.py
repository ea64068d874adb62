"""Times at which queued requests are refused, with the error for each."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from ..errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .queue import QueuedRequest


class QueueTimeouts:
    """Queued requests, ordered by the time at which each is refused."""

    def __init__(self) -> None:
        """Starts empty."""
        self._order = itertools.count()
        self._deadlines: list[tuple[float, int, QueuedRequest, ErrorKind]] = []

    def add(
        self,
        queued: QueuedRequest,
        *,
        unloaded_s: float,
        max_age_s: float,
        now_s: float,
    ) -> None:
        """Adds a request that has just been queued.

        Args:
            queued: The request.
            unloaded_s: Least time from its placement to its first token.
            max_age_s: Longest wait in the queue.
            now_s: Monotonic clock.
        """
        due_s, kind = now_s + max_age_s, ErrorKind.QUEUE_TIMEOUT
        latest_placement_s = queued.deadline_s - unloaded_s
        if not queued.request.is_resume and latest_placement_s < due_s:
            due_s, kind = latest_placement_s, ErrorKind.DEADLINE_UNREACHABLE
        heapq.heappush(
            self._deadlines, (due_s, next(self._order), queued, kind)
        )

    def pop_due(
        self, now_s: float
    ) -> Iterator[tuple[QueuedRequest, ErrorKind]]:
        """Yields the queued requests to refuse now, with the error for each."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, queued, kind = heapq.heappop(self._deadlines)
            if not queued.is_removed:
                yield queued, kind

    def next_due_s(self) -> float | None:
        """Returns when the next queued request times out."""
        while self._deadlines and self._deadlines[0][2].is_removed:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None


__all__ = ('QueueTimeouts',)
