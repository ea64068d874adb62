"""Pace of reads from the weight store over the whole fleet.

Each owner of a cell paces its own engines with its share of the fleet's
rate. A new owner starts with nothing, so that two tenures in a row never read
faster than one.
"""

from __future__ import annotations

SECONDS_PER_MINUTE = 60.0


class LoadPacer:
    """Lets one load pass each interval; loads do not save up."""

    def __init__(
        self, loads_per_minute: float, cells: int, *, started_at_s: float
    ) -> None:
        """Takes the fleet's rate and the number of cells that share it."""
        share = loads_per_minute / max(cells, 1)
        self._interval_s = SECONDS_PER_MINUTE / share
        self._next_s = started_at_s + self._interval_s

    @property
    def interval_s(self) -> float:
        """Returns the time between two loads of this cell in seconds."""
        return self._interval_s

    def take(self, now_s: float) -> bool:
        """Tells whether a load may start now, and counts it if so."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s
        return True


__all__ = ('LoadPacer',)
