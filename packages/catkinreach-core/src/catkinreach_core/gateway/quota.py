"""Rate and burst of workspaces, shared by nodes without an owner.

Load pattern: one workspace sends several times its rate through all nodes.

Each node counts what it admitted in a sliding window and tells its peers.
It admits while its own count, the counts that it heard, and an equal share
for each peer that has gone silent stay below the limit of the window.
"""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import WorkspaceId
    from .catalog import WorkspacePolicy

MIN_RETRY_AFTER_S = 0.25


class WindowCount:
    """Sum of amounts over a sliding window of seconds."""

    def __init__(self, window_s: float) -> None:
        """Starts empty."""
        self._window_s = window_s
        self._amounts: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Counts an amount."""
        self._amounts.append((now_s, amount))
        self._total += amount

    def total(self, now_s: float) -> float:
        """Returns the sum over the window that ends now."""
        oldest_s = now_s - self._window_s
        while self._amounts and self._amounts[0][0] <= oldest_s:
            self._total -= self._amounts.popleft()[1]
        if not self._amounts:
            self._total = 0.0
        return self._total

    def room_at_s(self, room: float, now_s: float) -> float:
        """Returns the seconds until ``room`` of the sum has left the window."""
        freed = 0.0
        for at_s, amount in self._amounts:
            freed += amount
            if freed >= room:
                return max(0.0, at_s + self._window_s - now_s)
        return self._window_s


class QuotaTable:
    """Admissions of one node, limited over all nodes."""

    def __init__(self, *, window_s: float, slack: float) -> None:
        """Sets up the table.

        Args:
            window_s: Length of the window that limits are held over.
            slack: Cost that all nodes together may admit beyond a limit.
        """
        self._window_s = window_s
        self._slack = slack
        self._own: defaultdict[WorkspaceId, WindowCount] = defaultdict(
            lambda: WindowCount(window_s)
        )

    def own_counts(self, now_s: float) -> dict[WorkspaceId, float]:
        """Returns what this node admitted in the window, by workspace."""
        totals = {
            workspace_id: count.total(now_s)
            for workspace_id, count in self._own.items()
        }
        return {one: total for one, total in totals.items() if total > 0}

    def own_count(self, workspace_id: WorkspaceId, now_s: float) -> float:
        """Returns what this node admitted of a workspace in the window."""
        return self._own[workspace_id].total(now_s)

    def admit(
        self,
        terms: WorkspacePolicy,
        cost: float,
        *,
        peer_cost: float,
        silent_peers: int,
        members: int,
        now_s: float,
    ) -> float | None:
        """Admits a request or returns the seconds after which to retry.

        Args:
            terms: Limits of the workspace.
            cost: Cost of the request.
            peer_cost: Cost admitted in the window by peers that were heard.
            silent_peers: Members that were not heard lately.
            members: All nodes, this one included.
            now_s: Monotonic clock.
        """
        count = self._own[terms.workspace_id]
        if terms.rate <= 0:
            count.add(cost, now_s)
            return None
        limit = terms.rate * self._window_s + terms.burst
        reserved = silent_peers * limit / max(1, members)
        room = limit - reserved - peer_cost + self._slack / max(1, members)
        own = count.total(now_s)
        if own + cost <= room:
            count.add(cost, now_s)
            return None
        missing = own + cost - room
        return max(MIN_RETRY_AFTER_S, count.room_at_s(missing, now_s))

    def refund(
        self, workspace_id: WorkspaceId, cost: float, now_s: float
    ) -> None:
        """Takes back the cost of a request that was admitted but not run."""
        self._own[workspace_id].add(-cost, now_s)


__all__ = ('MIN_RETRY_AFTER_S', 'QuotaTable', 'WindowCount')
