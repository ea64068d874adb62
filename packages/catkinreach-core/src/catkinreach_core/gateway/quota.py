"""Quotas of workspaces, enforced by all nodes together without an owner.

Load pattern: one workspace sends several times its rate through all nodes.

Each node counts the cost that it admitted in a sliding window and reports it
to its peers. It admits a request while the sum of its own count, the counts
of its peers, an equal part for each silent peer and what restarted nodes may
have forgotten stays below the limit of the window.

Second load pattern: a workspace within its rate sends a few large requests in a
row, or its callers repeat, while the upstreams have capacity. The window is
then full although nobody else needs the capacity, so that a part of the excess
that the bounds tolerate is admitted too. The rest of it covers admissions that
peers haven't reported yet.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from typing import TYPE_CHECKING

from msgspec import Struct

from .forgotten_costs import ForgottenCosts

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import WorkspaceId
    from .catalog import WorkspacePolicy

MIN_RETRY_AFTER_S = 0.25

EXCESS_USE = 0.25
"""Fraction of the tolerated excess that is admitted."""

REPORT_INTERVAL_S = 0.3
"""Age of the peers' counts up to which all of ``EXCESS_USE`` is admitted."""


class WindowCount:
    """Sum of amounts over a sliding time window."""

    def __init__(self, window_s: float) -> None:
        """Starts with an empty window."""
        self._window_s = window_s
        self._amounts: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Counts an amount."""
        self._amounts.append((now_s, amount))
        self._total += amount

    def take_back(self, amount: float, counted_s: float) -> None:
        """Takes back an amount that was counted at a time.

        It leaves the window together with what it was counted as.
        """
        for index in range(len(self._amounts) - 1, -1, -1):
            if self._amounts[index] == (counted_s, amount):
                del self._amounts[index]
                self._total -= amount
                return

    def total(self, now_s: float) -> float:
        """Returns the sum over the window that ends now."""
        oldest_s = now_s - self._window_s
        while self._amounts and self._amounts[0][0] <= oldest_s:
            self._total -= self._amounts.popleft()[1]
        if not self._amounts:
            self._total = 0.0
        return self._total

    def seconds_until_free(self, amount: float, now_s: float) -> float:
        """Returns the seconds until ``amount`` has left the window."""
        freed = 0.0
        for at_s, counted in self._amounts:
            freed += counted
            if freed >= amount:
                return max(0.0, at_s + self._window_s - now_s)
        return self._window_s


class PeerCosts(Struct, frozen=True, kw_only=True):
    """What a node knows of its peers' admissions for one workspace.

    Attributes:
        cost: Cost that responsive peers admitted in the window.
        silent: Members without a recent message.
        members: All nodes, this one included.
        report_age_s: Greatest age of the counts of responsive peers.
        counting_s: Time for which each responsive peer that started within the
            window has counted.
        unheard: Members that this node hasn't heard of since it started.
    """

    cost: float
    silent: int
    members: int
    report_age_s: float
    counting_s: tuple[float, ...] = ()
    unheard: int = 0

    @property
    def silent_fraction(self) -> float:
        """Returns the fraction of all nodes that is silent."""
        return self.silent / max(1, self.members)


class QuotaTable:
    """Costs that one node admitted, limited over all nodes."""

    def __init__(
        self,
        *,
        window_s: float,
        excess_ratio: float,
        slack: float,
        started_s: float = -math.inf,
    ) -> None:
        """Starts without admissions.

        Args:
            window_s: Length of the window over which limits hold.
            excess_ratio: Tolerated excess, as a fraction of a limit.
            slack: Cost that all nodes together may admit beyond that.
            started_s: Time at which the node started; it may have forgotten
                admissions of the window before.
        """
        self._window_s = window_s
        self._started_s = started_s
        self._excess_ratio = excess_ratio
        self._slack = slack
        self._own: defaultdict[WorkspaceId, WindowCount] = defaultdict(
            lambda: WindowCount(window_s)
        )

    def counting_s(self, now_s: float) -> float | None:
        """Returns the time since the start; ``None`` after a whole window."""
        counting_s = max(0.0, now_s - self._started_s)
        return counting_s if counting_s < self._window_s else None

    def own_counts(self, now_s: float) -> dict[WorkspaceId, float]:
        """Returns the cost that this node admitted, by workspace."""
        totals = {
            workspace_id: count.total(now_s)
            for workspace_id, count in self._own.items()
        }
        return {
            workspace: total for workspace, total in totals.items() if total > 0
        }

    def own_count(self, workspace_id: WorkspaceId, now_s: float) -> float:
        """Returns the cost that this node admitted for a workspace."""
        return self._own[workspace_id].total(now_s)

    def admit(
        self,
        policy: WorkspacePolicy,
        cost: float,
        *,
        peers: PeerCosts,
        has_capacity: Callable[[], bool],
        now_s: float,
    ) -> float | None:
        """Admits a request or returns the seconds after which to retry.

        Args:
            policy: Quota of the workspace.
            cost: Cost of the request.
            peers: What the peers admitted.
            has_capacity: Returns whether the service has capacity that no other
                workspace waits for; called only beyond the limit.
            now_s: Monotonic clock.
        """
        count = self._own[policy.workspace_id]
        if policy.rate <= 0:
            count.add(cost, now_s)
            return None
        limit = policy.rate * self._window_s + policy.burst
        required = count.total(now_s) + cost
        left = self._left(limit, peers, now_s)
        available = self._available(left, cost, peers)
        if required <= available or (
            required <= left + self._usable_excess(limit, peers, now_s)
            and has_capacity()
        ):
            count.add(cost, now_s)
            return None
        return self._retry_after_s(policy, required - available, peers, now_s)

    def _left(self, limit: float, peers: PeerCosts, now_s: float) -> float:
        """Returns the cost that this node may have admitted in the window."""
        left = limit - peers.cost - limit * peers.silent_fraction
        own_s = self.counting_s(now_s)
        if own_s is not None or peers.counting_s:
            left -= self._presumed(limit, own_s, peers)
        return left

    def _available(self, left: float, cost: float, peers: PeerCosts) -> float:
        """Returns the part of what is left that this node may have admitted.

        Nodes that weren't heard may each admit as much at the same time, so
        that each gets an equal part. It may be one request if that is more,
        and the others need as little on average as those that were heard.
        """
        members = max(1, peers.members)
        if not peers.unheard or left <= 0:
            return left + self._slack / members
        heard = members - peers.unheard
        unheard_cost = peers.cost * peers.unheard / heard
        return max(left / (1 + peers.unheard), min(cost, left - unheard_cost))

    def _presumed(
        self, limit: float, own_s: float | None, peers: PeerCosts
    ) -> float:
        """Returns the cost that restarted nodes may have forgotten.

        Args:
            limit: Limit of the workspace.
            own_s: Time for which this node has counted; ``None`` after a whole
                window.
            peers: What is known of the others; those unheard may have started
                with this node.
        """
        forgotten = ForgottenCosts(
            limit=limit,
            tolerated=self._tolerated(limit),
            window_s=self._window_s,
        )
        cost = forgotten.presume(peers.counting_s, peers.members)
        if own_s is not None:
            own_cost = forgotten.presume((own_s,), peers.members)
            cost += own_cost * (1 + peers.unheard)
        return cost

    def _retry_after_s(
        self,
        policy: WorkspacePolicy,
        excess: float,
        peers: PeerCosts,
        now_s: float,
    ) -> float:
        """Returns the time until a cost beyond what is left may be admitted."""
        if peers.unheard:
            return MIN_RETRY_AFTER_S
        count = self._own[policy.workspace_id]
        after_s = count.seconds_until_free(excess, now_s)
        counting_s = self.counting_s(now_s)
        if counting_s is not None:
            after_s = min(after_s, self._window_s - counting_s)
        return max(MIN_RETRY_AFTER_S, after_s)

    def _tolerated(self, limit: float) -> float:
        """Returns the cost beyond a limit that the bounds tolerate."""
        return self._excess_ratio * limit + self._slack

    def _usable_excess(
        self, limit: float, peers: PeerCosts, now_s: float
    ) -> float:
        """Returns the cost beyond a limit that may be admitted.

        The nodes in touch with each other admit it once, as each knows what the
        others admitted; silent peers keep an equal part of it. Nothing is left
        of it while admissions before a restart may be in the window.
        """
        if self.counting_s(now_s) is not None:
            return 0.0
        staleness = max(1.0, peers.report_age_s / REPORT_INTERVAL_S)
        excess = self._tolerated(limit) * EXCESS_USE / staleness
        return excess * (1 - peers.silent_fraction)

    def refund(
        self, workspace_id: WorkspaceId, cost: float, now_s: float
    ) -> None:
        """Refunds the cost of a request that was admitted but not run."""
        self._own[workspace_id].add(-cost, now_s)


__all__ = ('MIN_RETRY_AFTER_S', 'PeerCosts', 'QuotaTable', 'WindowCount')
