"""How long an aggregator's reply is used, and when an aggregator may reply.

Load pattern: several requests arrive at one VM within milliseconds; one reply
serves all of them. Later the reply would hide what other VMs have placed since.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..ids import ServiceId, WorkspaceId
    from .gossip import LoadReply

MAX_REPLY_AGE_S = 0.004
"""Age up to which a reply is used without another query."""

REPLY_TTL_S = 0.5
"""Age from which a reply is ignored when no newer one arrives."""

WARM_UP_S = 1.2
"""Time after which an aggregator has a report of every node: two intervals of
full messages, as one of them may be lost."""


class LoadReplies:
    """The latest replies, by service and by workspace."""

    def __init__(self) -> None:
        """Starts without replies."""
        self._replies: dict[ServiceId, tuple[float, LoadReply]] = {}
        self._admitted: dict[WorkspaceId, tuple[float, float]] = {}

    def record(
        self,
        service_id: ServiceId,
        workspace_id: WorkspaceId | None,
        reply: LoadReply,
        now_s: float,
    ) -> None:
        """Replaces the reply about a service and a workspace."""
        self._replies[service_id] = (now_s, reply)
        if workspace_id is not None:
            self._admitted[workspace_id] = (now_s, reply.admitted)

    def is_fresh(
        self,
        service_id: ServiceId,
        workspace_id: WorkspaceId | None,
        now_s: float,
    ) -> bool:
        """Returns whether no query is needed for a request."""
        oldest_s = now_s - MAX_REPLY_AGE_S
        if self._replies.get(service_id, (-math.inf,))[0] < oldest_s:
            return False
        return (
            workspace_id is None
            or self._admitted.get(workspace_id, (-math.inf,))[0] >= oldest_s
        )

    def current(self, service_id: ServiceId, now_s: float) -> LoadReply | None:
        """Returns the latest reply about a service, if it is recent."""
        at_s, reply = self._replies.get(service_id, (-math.inf, None))
        return reply if now_s - at_s <= REPLY_TTL_S else None

    def admitted_cost(
        self, workspace_id: WorkspaceId, now_s: float
    ) -> float | None:
        """Returns the cost that others admitted, if a recent reply has it."""
        at_s, cost = self._admitted.get(workspace_id, (-math.inf, 0.0))
        return cost if now_s - at_s <= REPLY_TTL_S else None


class AggregatorRole:
    """Whether this VM aggregates, and since when."""

    def __init__(self) -> None:
        """Starts as a VM that doesn't aggregate."""
        self._since_s = math.inf

    def update(self, *, is_aggregator: bool, now_s: float) -> None:
        """Records whether this VM is one of the aggregators now."""
        if not is_aggregator:
            self._since_s = math.inf
        elif self._since_s == math.inf:
            self._since_s = now_s

    def is_complete(self, now_s: float) -> bool:
        """Returns whether this VM aggregates and has heard the fleet."""
        return now_s - self._since_s >= WARM_UP_S


__all__ = (
    'MAX_REPLY_AGE_S',
    'REPLY_TTL_S',
    'WARM_UP_S',
    'AggregatorRole',
    'LoadReplies',
)
