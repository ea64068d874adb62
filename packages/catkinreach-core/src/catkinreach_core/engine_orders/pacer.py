"""Rate limit for model loads from the weight store.

Each owner of a cell paces the loads of its engines with an equal share of the
fleet's rate. A new owner waits a full interval before its first load, so that
two successive tenures never load faster than one.
"""

from __future__ import annotations

SECONDS_PER_MINUTE = 60.0


class LoadPacer:
    """Allows one load per interval; unused intervals do not accumulate."""

    def __init__(
        self, loads_per_minute: float, cells: int, *, started_at_s: float
    ) -> None:
        """Divides the fleet's rate by the number of cells that share it."""
        share = loads_per_minute / max(cells, 1)
        self._interval_s = SECONDS_PER_MINUTE / share
        self._next_s = started_at_s + self._interval_s

    @property
    def interval_s(self) -> float:
        """Returns the shortest time between two loads of this cell."""
        return self._interval_s

    def try_start_load(self, now_s: float) -> bool:
        """Returns whether a load may start now, and counts it if so."""
        if now_s < self._next_s:
            return False
        self._next_s = now_s + self._interval_s
        return True


__all__ = ('LoadPacer',)
