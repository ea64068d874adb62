"""Election of the node that sends orders to engines.

No request depends on the leader: without one, no order is sent. Each node
votes for the lowest address among itself and the nodes that it receives
messages from, and gossips its vote. A node leads once more than half of the
members have voted for it, without interruption, for ``LEAD_AFTER_S``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LEAD_AFTER_S = 3.5
"""Time for which a node must have a majority before it leads.

Longer than a lease: a former leader that lost its majority sends no more orders
by then.
"""

MAX_UPDATE_INTERVAL_S = 1.0
"""Longest time between two updates.

After a longer pause the wait for leadership restarts: the process may have been
suspended while the others voted for another node.
"""


class LeaderElection:
    """The vote of one node and its progress towards leadership."""

    def __init__(self, own_address: str) -> None:
        """Starts as a follower."""
        self._own_address = own_address
        self._majority_since_s: float | None = None
        self._updated_at_s: float | None = None

    def vote(self, responsive: Iterable[str]) -> str:
        """Returns the node that this one votes for."""
        return min((self._own_address, *responsive))

    def update(
        self, votes: Iterable[str], *, members: int, now_s: float
    ) -> bool:
        """Updates the election with the latest votes, this node's included.

        Args:
            votes: The node that each responsive member votes for.
            members: Number of all members, silent ones included.
            now_s: Time of a clock that also runs while the process is
                suspended.

        Returns:
            Whether this node leads and may send orders now.
        """
        gap_s = now_s - (
            now_s if self._updated_at_s is None else self._updated_at_s
        )
        self._updated_at_s = now_s
        own_votes = sum(vote == self._own_address for vote in votes)
        if 2 * own_votes <= members or not 0 <= gap_s <= MAX_UPDATE_INTERVAL_S:
            self._majority_since_s = None
            return False
        if self._majority_since_s is None:
            self._majority_since_s = now_s
        return now_s - self._majority_since_s >= LEAD_AFTER_S


__all__ = ('LEAD_AFTER_S', 'LeaderElection')
