"""Slow start of an upstream: a bound that grows with completed requests.

The shape is the slow start of TCP (RFC 5681) with a floor: the bound stays
at ``cold_places`` for the first ``warmup_requests`` completions and grows by
``GROWTH`` with each further one.
"""

from __future__ import annotations

COLD_PLACES = 2
WARMUP_REQUESTS = 8
GROWTH = 3
"""Places that each completion adds once the upstream is warm."""

SLOW_RATIO = 3.0
"""Measured over expected time from which a sample counts as slow."""

SLOW_SAMPLES = 3
"""Slow samples in a row that reset the slow start."""


class SlowStart:
    """Bound on the concurrent requests of one upstream."""

    def __init__(
        self,
        *,
        cold_places: int = COLD_PLACES,
        warmup_requests: int = WARMUP_REQUESTS,
    ) -> None:
        """Starts cold."""
        self._cold_places = cold_places
        self._warmup_requests = warmup_requests
        self._completed = 0
        self._slow_samples = 0
        self._bound = cold_places

    @property
    def bound(self) -> int:
        """Returns the bound on concurrent requests."""
        return self._bound

    @property
    def completed(self) -> int:
        """Returns the completions since the last reset."""
        return self._completed

    def completed_up_to(self, places: int) -> int:
        """Returns the completions, at most ``places`` beyond the warm-up."""
        return min(self._completed, self._warmup_requests + places)

    def limit(self, places: int) -> int:
        """Returns the bound on concurrent requests, at most ``places``."""
        return places if places < self._bound else self._bound

    def set_cold_places(self, cold_places: int) -> None:
        """Changes the bound that applies while the upstream is cold."""
        self._cold_places = cold_places
        self._update()

    def count_completion(self) -> None:
        """Counts one completed request."""
        self._completed += 1
        self._update()

    def set_warmup_requests(self, warmup_requests: int) -> None:
        """Changes the completions that end the warm-up."""
        self._warmup_requests = warmup_requests
        self._update()

    def merge_completed(self, completed: int) -> None:
        """Raises the count to the completions that another node counted."""
        self._completed = max(self._completed, completed)
        self._update()

    def reset(self) -> None:
        """Makes the upstream cold: the slow start begins again."""
        self._completed = 0
        self._slow_samples = 0
        self._update()

    def observe_time_ratio(self, ratio: float) -> bool:
        """Records measured over expected time; True if the bound was reset."""
        if ratio < SLOW_RATIO:
            self._slow_samples = 0
            return False
        self._slow_samples += 1
        if self._slow_samples < SLOW_SAMPLES:
            return False
        self.reset()
        return True

    def _update(self) -> None:
        extra = max(0, self._completed - self._warmup_requests)
        self._bound = self._cold_places + GROWTH * extra


__all__ = ('COLD_PLACES', 'WARMUP_REQUESTS', 'SlowStart')
