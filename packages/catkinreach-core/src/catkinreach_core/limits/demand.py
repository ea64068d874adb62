"""Rate at which requests on a node demand units of one kind."""

from __future__ import annotations

import math
from typing import Final

AVERAGING_S: Final = 1.0
"""Time constant of the exponential average."""


class DemandRate:
    """Exponentially weighted average of the demanded units a second."""

    def __init__(self) -> None:
        """Starts at a rate of zero."""
        self._rate = 0.0
        self._at_s = 0.0

    def add(self, units: float, now_s: float) -> None:
        """Adds the units that a new request costs."""
        self._rate = self.rate(now_s) + units / AVERAGING_S
        self._at_s = now_s

    def rate(self, now_s: float) -> float:
        """Returns the average rate in units a second."""
        age_s = max(0.0, now_s - self._at_s)
        return self._rate * math.exp(-age_s / AVERAGING_S)


__all__ = ('DemandRate',)
