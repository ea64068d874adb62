"""Load that an engine reports, later than it was."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .engine_results import LoadSample

LOAD_SAMPLE_INTERVAL_S = 0.05
"""Interval of the load samples, in real seconds."""


class LoadReporter:
    """Samples of an engine's load; an old one is reported."""

    def __init__(
        self, sample: Callable[[], LoadSample], *, lag_s: float
    ) -> None:
        """Starts without samples.

        Args:
            sample: Returns the load at the moment.
            lag_s: Age of the load that is reported, in real seconds.
        """
        self._sample = sample
        self._lag_s = lag_s
        self._samples: deque[LoadSample] = deque()

    def reported_load(self) -> LoadSample:
        """Returns the newest load sample that is at least a lag old.

        Without one it returns the oldest sample.
        """
        reported_until_s = time.monotonic() - self._lag_s
        reported = self._samples[0] if self._samples else self._sample()
        for sample in self._samples:
            if sample.at_s <= reported_until_s:
                reported = sample
        return reported

    async def run(self) -> None:
        """Takes load samples and removes those older than two lags."""
        while True:
            self._samples.append(self._sample())
            kept_from_s = time.monotonic() - 2 * self._lag_s
            while self._samples[0].at_s < kept_from_s - LOAD_SAMPLE_INTERVAL_S:
                self._samples.popleft()
            await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)


__all__ = ('LoadReporter',)
