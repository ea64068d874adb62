"""Which node may give orders to engines.

No request depends on it: while no node holds this right, no order is given.
Each node names the first of the nodes that it hears, in order of address,
and tells its peers. A node holds the right once more than half of the
members have named it, without a break, for longer than a lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LEAD_AFTER_S = 3.5
"""A holder that lost its majority has stopped to give orders by then."""

MAX_GAP_S = 1.0
"""Pause between two looks after which the wait starts anew: the process may
have been suspended while others named another node."""


class LeaderElection:
    """The state of one node's claim."""

    def __init__(self, own: str) -> None:
        """Starts without the right."""
        self._own = own
        self._named_since_s: float | None = None
        self._looked_at_s: float | None = None

    def vote(self, heard: Iterable[str]) -> str:
        """Returns the node that this one names."""
        return min((self._own, *heard))

    def update(
        self, votes: Iterable[str], *, members: int, now_s: float
    ) -> bool:
        """Takes the votes of all members that were heard, its own included.

        Args:
            votes: The node that each of them names.
            members: All members, also those that were not heard.
            now_s: A clock that counts while the process is suspended.

        Returns:
            Whether this node may give orders now.
        """
        gap_s = now_s - (
            now_s if self._looked_at_s is None else self._looked_at_s
        )
        self._looked_at_s = now_s
        named = sum(vote == self._own for vote in votes)
        if 2 * named <= members or not 0 <= gap_s <= MAX_GAP_S:
            self._named_since_s = None
            return False
        if self._named_since_s is None:
            self._named_since_s = now_s
        return now_s - self._named_since_s >= LEAD_AFTER_S


__all__ = ('LEAD_AFTER_S', 'LeaderElection')
