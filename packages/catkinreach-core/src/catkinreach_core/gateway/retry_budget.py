"""Budget for the retries of a node.

Load pattern: many upstreams fail at once and each request needs a retry,
while all nodes together must stay within one limit per service and time window.

The limit over all nodes is a ratio of the requests plus a slack. Each node
may spend that ratio of its own requests and an equal part of the slack.
"""

from __future__ import annotations

from collections import defaultdict
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

    def record_request(self, service_id: ServiceId, now_s: float) -> None:
        """Records a request of a caller."""
        self._requests[service_id].add(1, now_s)

    def spend(self, service_id: ServiceId, members: int, now_s: float) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        requests = self._requests[service_id].total(now_s)
        allowed = self._ratio * requests + self._slack / max(1, members)
        retries = self._retries[service_id]
        if retries.total(now_s) + 1 > allowed:
            return False
        retries.add(1, now_s)
        return True


__all__ = ('SLACK_USE', 'RetryBudget')
