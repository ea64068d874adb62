"""Budget for the retries of a node.

Load pattern: many upstreams fail at once and each request needs a retry,
while all nodes together must stay within one limit per service and time window.

The limit over all nodes is a ratio of the requests plus a slack. Each node
may spend that ratio of its own requests and an equal part of the slack.

Second load pattern: many upstreams fall silent at once and go on later. A node
that gives one up for another must be able to return to it, so that retries are
held before they are spent.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from .quota import WindowCount

if TYPE_CHECKING:
    from ..ids import ServiceId

SLACK_USE = 0.8
"""Fraction of the slack that is spent, as new members may be noticed late."""


class RetryBudget:
    """Retries of one node, by service."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Starts without requests and retries.

        Args:
            ratio: Retries per request.
            slack: Retries of all nodes beyond the ratio in one window.
            window_s: Length of the window.
        """
        self._ratio = ratio
        self._slack = slack * SLACK_USE
        self._requests: defaultdict[ServiceId, WindowCount] = defaultdict(
            lambda: WindowCount(window_s)
        )
        self._retries: defaultdict[ServiceId, WindowCount] = defaultdict(
            lambda: WindowCount(window_s)
        )

        self._held: Counter[ServiceId] = Counter()

    def record_request(self, service_id: ServiceId, now_s: float) -> None:
        """Records a request of a caller."""
        self._requests[service_id].add(1, now_s)

    def spend(self, service_id: ServiceId, members: int, now_s: float) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        if not self.hold(service_id, members, now_s):
            return False
        self.spend_held(service_id, now_s)
        return True

    def hold(self, service_id: ServiceId, members: int, now_s: float) -> bool:
        """Holds one retry back; returns False if the budget is used up.

        Args:
            service_id: Service of the retry.
            members: Nodes that share the budget.
            now_s: Monotonic clock.
        """
        requests = self._requests[service_id].total(now_s)
        allowed = self._ratio * requests + self._slack / max(1, members)
        used = self._retries[service_id].total(now_s) + self._held[service_id]
        if used + 1 > allowed:
            return False
        self._held[service_id] += 1
        return True

    def release(self, service_id: ServiceId, retries: int) -> None:
        """Gives held retries back."""
        self._held[service_id] -= retries

    def spend_held(self, service_id: ServiceId, now_s: float) -> None:
        """Spends a held retry."""
        self._held[service_id] -= 1
        self._retries[service_id].add(1, now_s)

    def hold_again(self, service_id: ServiceId, spent_s: float) -> None:
        """Holds a retry that was spent on a send which could not connect.

        Args:
            service_id: Service of the retry.
            spent_s: Monotonic time at which it was spent.
        """
        self._retries[service_id].take_back(1, spent_s)
        self._held[service_id] += 1


__all__ = ('SLACK_USE', 'RetryBudget')
