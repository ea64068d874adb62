"""Admissions that nodes forgot when they started again.

Load pattern: all nodes are killed at once while one workspace goes on sending
several times its rate. None of them knows what was admitted just before, and
each would admit its part of the limit once more.

Second load pattern: the same, while all workspaces stay within their rates and
each node hears of the others only little by little. Nothing may be refused.

Each node tells for how long it has counted its admissions. From that every node
alike presumes what the nodes that have counted for less than a window may have
admitted before: their part of the limit, but for a part of the tolerated
excess, which all nodes together may admit meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Iterable

RESTART_USE = 0.6
"""Fraction of the tolerated excess that may be admitted in the first window.
With the fraction in use before it the bound holds when all nodes start at
once."""


class ForgottenCosts(Struct, frozen=True, kw_only=True):
    """Presumed costs of one workspace's limit.

    Attributes:
        limit: Cost that all nodes may admit in a window.
        tolerated: Cost beyond it that the bounds tolerate.
        window_s: Length of the window.
    """

    limit: float
    tolerated: float
    window_s: float

    def presume(self, counting_s: Iterable[float], members: int) -> float:
        """Returns what nodes may have admitted before they started.

        Args:
            counting_s: Time for which each of them has counted.
            members: All nodes, these and those that forgot nothing.
        """
        restarted = sum(one < self.window_s for one in counting_s)
        usable = min(self.limit, self.tolerated * RESTART_USE)
        return (self.limit - usable) * restarted / max(1, members)


__all__ = ('RESTART_USE', 'ForgottenCosts')
