"""How fast a node uses units of one kind."""

from __future__ import annotations

import math
from typing import Final

MEMORY_S: Final = 1.0
"""Time constant of the exponential average."""


class DemandRate:
    """Exponentially weighted rate of use."""

    def __init__(self) -> None:
        """Starts at rest."""
        self._rate = 0.0
        self._at_s = 0.0

    def add(self, units: float, now_s: float) -> None:
        """Counts units that a request asked for."""
        self._rate = self.rate(now_s) + units / MEMORY_S
        self._at_s = now_s

    def rate(self, now_s: float) -> float:
        """Returns the units a second of late."""
        age_s = max(0.0, now_s - self._at_s)
        return self._rate * math.exp(-age_s / MEMORY_S)


__all__ = ('DemandRate',)
