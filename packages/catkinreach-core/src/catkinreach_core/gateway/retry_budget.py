"""How many repeated sends a node may make.

Load pattern: many upstreams fail at once and each request wants a second
try, while all nodes share one bound per service and window.

The bound over all nodes is a ratio of the requests plus a slack. A node
spends the ratio of its own first sends and an equal share of the slack.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .quota import WindowCount

if TYPE_CHECKING:
    from ..ids import ServiceId

SLACK_USE = 0.8
"""Part of the slack that is handed out: members may be known too late."""


class RetryBudget:
    """Repeated sends of one node, by service."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Sets up the budget.

        Args:
            ratio: Repeats per request that all nodes may make.
            slack: Repeats of all nodes beyond the ratio in one window.
            window_s: Length of the window.
        """
        self._ratio = ratio
        self._slack = slack * SLACK_USE
        self._first: defaultdict[ServiceId, WindowCount] = defaultdict(
            lambda: WindowCount(window_s)
        )
        self._repeats: defaultdict[ServiceId, WindowCount] = defaultdict(
            lambda: WindowCount(window_s)
        )

    def note_request(self, service_id: ServiceId, now_s: float) -> None:
        """Counts a request of a caller."""
        self._first[service_id].add(1, now_s)

    def spend(self, service_id: ServiceId, members: int, now_s: float) -> bool:
        """Takes a repeat; False if there is no budget for it."""
        requests = self._first[service_id].total(now_s)
        allowed = self._ratio * requests + self._slack / max(1, members)
        repeats = self._repeats[service_id]
        if repeats.total(now_s) + 1 > allowed:
            return False
        repeats.add(1, now_s)
        return True


__all__ = ('SLACK_USE', 'RetryBudget')
