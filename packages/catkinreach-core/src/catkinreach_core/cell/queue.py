"""Weighted fair queue between workspaces, by token cost.

Start-time fair queueing: P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair
Queueing", SIGCOMM 1996. A workspace that used less than its share for a while
may make up for it by a burst: its start tag may lie as far back as the
virtual time was ``CREDIT_S`` ago (compare K. J. Duda and D. R. Cheriton,
"Borrowed-Virtual-Time Scheduling", SOSP 1999).

A full queue sheds from the workspace that holds the most of it per weight
(longest-queue drop: B. Suter et al., INFOCOM 1998).
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..ids import RequestId, WorkspaceId
    from ..settings.fleet import QueueBounds
    from .placement_request import PlacementRequest

MAX_HEADS = 16
"""Workspaces whose first queued request one search considers."""

CREDIT_S = 4.0
"""Time over which a workspace may save up unused share."""

CREDIT_STEP_S = 0.25
"""Time between two samples of the virtual time."""

OUTPUT_TOKEN_COST = 10
"""Engine time of an output token, in prompt tokens."""


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        request: The request.
        arrived_at_s: Owner's monotonic clock when the request arrived.
        deadline_s: Owner's monotonic clock at which the first token is due.
        is_removed: Whether the request has left the queue.
    """

    request: PlacementRequest
    arrived_at_s: float
    deadline_s: float
    is_removed: bool = False

    @property
    def cost(self) -> float:
        """Returns the cost charged to the workspace, in prompt tokens."""
        return (
            self.request.prompt_tokens
            + OUTPUT_TOKEN_COST * self.request.max_tokens
        )

    @property
    def tokens(self) -> int:
        """Returns the tokens that count against the bound of the queue."""
        return self.request.prompt_tokens + self.request.max_tokens


@dataclass(slots=True)
class _Flow:
    """Queued requests of one workspace, a flow in fair queueing."""

    weight: float = 1.0
    finish_tag: float = 0.0
    tokens: int = 0
    is_scheduled: bool = False
    waiting: deque[QueuedRequest] = field(default_factory=deque)


class FairQueue:
    """Queue of one cell; resumed requests come before all others."""

    def __init__(self, bounds: QueueBounds) -> None:
        """Starts empty."""
        self.bounds = bounds
        self._flows: dict[WorkspaceId | None, _Flow] = {}
        self._heads: list[tuple[float, int, WorkspaceId | None]] = []
        self._resumed: deque[QueuedRequest] = deque()
        self._by_request: dict[RequestId, QueuedRequest] = {}
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._virtual_time_samples: deque[tuple[float, float]] = deque()
        self._tokens = 0

    def __len__(self) -> int:
        """Returns the number of queued requests."""
        return len(self._by_request)

    @property
    def tokens(self) -> int:
        """Returns the tokens of all queued requests."""
        return self._tokens

    @property
    def waiting(self) -> Iterator[QueuedRequest]:
        """Yields every queued request, resumed ones first."""
        yield from self._resumed
        for flow in self._flows.values():
            yield from flow.waiting

    @property
    def _earliest_start(self) -> float:
        """Returns the virtual time from which unused share still counts."""
        return (
            self._virtual_time_samples[0][1]
            if self._virtual_time_samples
            else self._virtual_time
        )

    def sample_virtual_time(self, now_s: float) -> None:
        """Samples the virtual time; unused share expires after ``CREDIT_S``."""
        samples = self._virtual_time_samples
        if not samples or now_s - samples[-1][0] >= CREDIT_STEP_S:
            samples.append((now_s, self._virtual_time))
        while len(samples) > 1 and now_s - samples[1][0] >= CREDIT_S:
            samples.popleft()

    def find(self, request_id: RequestId) -> QueuedRequest | None:
        """Returns a queued request by its id, if there is one."""
        return self._by_request.get(request_id)

    def push(
        self, queued: QueuedRequest, weight: float
    ) -> QueuedRequest | None:
        """Adds a request; returns the request that was shed for it, if any.

        The returned request may be ``queued`` itself.
        """
        if queued.request.is_resume:
            self._resumed.append(queued)
            self._register(queued)
            return None
        flow = self._flows.setdefault(queued.request.workspace_id, _Flow())
        flow.weight = weight
        shed: QueuedRequest | None = None
        if self._is_full_with(queued):
            shed = self._shed_for_arrival(queued, flow)
            if shed is queued:
                self._drop_idle_flow(queued.request.workspace_id, flow)
                return queued
        flow.waiting.append(queued)
        flow.tokens += queued.tokens
        self._register(queued)
        self._schedule(queued.request.workspace_id, flow)
        return shed

    def heads(self) -> Iterator[QueuedRequest]:
        """Yields resumed requests, then each workspace's first, in fair order.

        At most ``MAX_HEADS`` workspaces are considered.
        """
        yield from tuple(self._resumed)
        for _, _, workspace_id in heapq.nsmallest(MAX_HEADS, self._heads):
            flow = self._flows.get(workspace_id)
            if flow is not None and flow.waiting:
                yield flow.waiting[0]

    def remove_placed(self, queued: QueuedRequest) -> None:
        """Removes a request that was placed and charges its workspace."""
        self._unregister(queued)
        if queued.request.is_resume:
            self._resumed.remove(queued)
            return
        flow = self._flows[queued.request.workspace_id]
        start = max(self._earliest_start, flow.finish_tag)
        self._virtual_time = max(
            self._virtual_time, self._heads[0][0] if self._heads else start
        )
        flow.finish_tag = start + queued.cost / flow.weight
        self._remove_from_flow(flow, queued)
        self._unschedule(queued.request.workspace_id, flow)
        self._schedule(queued.request.workspace_id, flow)

    def remove(self, queued: QueuedRequest) -> None:
        """Removes a request without charging its workspace."""
        if queued.is_removed:
            return
        self._unregister(queued)
        if queued.request.is_resume:
            self._resumed.remove(queued)
            return
        flow = self._flows[queued.request.workspace_id]
        self._remove_from_flow(flow, queued)
        if not flow.waiting:
            self._unschedule(queued.request.workspace_id, flow)

    def refund(self, workspace_id: WorkspaceId | None, cost: float) -> None:
        """Refunds the cost of output that was charged and not produced."""
        flow = self._flows.get(workspace_id)
        if flow is not None:
            flow.finish_tag -= cost / flow.weight

    def depth_by_workspace(
        self,
    ) -> dict[WorkspaceId | None, tuple[int, int, float]]:
        """Returns the requests, tokens and oldest arrival per workspace."""
        return {
            workspace_id: (
                len(flow.waiting),
                flow.tokens,
                flow.waiting[0].arrived_at_s,
            )
            for workspace_id, flow in self._flows.items()
            if flow.waiting
        }

    def _is_full_with(self, queued: QueuedRequest) -> bool:
        return (
            len(self) + 1 > self.bounds.max_requests
            or self._tokens + queued.tokens > self.bounds.max_tokens
        )

    def _shed_for_arrival(
        self, queued: QueuedRequest, flow: _Flow
    ) -> QueuedRequest:
        """Sheds the newest request of the largest flow, or ``queued``."""
        largest = max(
            self._flows.values(),
            key=lambda candidate: candidate.tokens / candidate.weight,
        )
        arriving = (flow.tokens + queued.tokens) / flow.weight
        if arriving >= largest.tokens / largest.weight:
            return queued
        newest = largest.waiting[-1]
        is_enough = (
            self._tokens - newest.tokens + queued.tokens
            <= self.bounds.max_tokens
        )
        if not is_enough:
            return queued
        self.remove(newest)
        return newest

    def _register(self, queued: QueuedRequest) -> None:
        self._by_request[queued.request.request_id] = queued
        self._tokens += queued.tokens

    def _unregister(self, queued: QueuedRequest) -> None:
        queued.is_removed = True
        self._by_request.pop(queued.request.request_id, None)
        self._tokens -= queued.tokens

    def _remove_from_flow(self, flow: _Flow, queued: QueuedRequest) -> None:
        flow.waiting.remove(queued)
        flow.tokens -= queued.tokens

    def _schedule(self, workspace_id: WorkspaceId | None, flow: _Flow) -> None:
        if flow.is_scheduled or not flow.waiting:
            self._drop_idle_flow(workspace_id, flow)
            return
        start = max(self._earliest_start, flow.finish_tag)
        heapq.heappush(self._heads, (start, next(self._order), workspace_id))
        flow.is_scheduled = True

    def _unschedule(
        self, workspace_id: WorkspaceId | None, flow: _Flow
    ) -> None:
        self._heads = [head for head in self._heads if head[2] != workspace_id]
        heapq.heapify(self._heads)
        flow.is_scheduled = False

    def _drop_idle_flow(
        self, workspace_id: WorkspaceId | None, flow: _Flow
    ) -> None:
        if flow.waiting or flow.finish_tag > self._earliest_start:
            return
        self._flows.pop(workspace_id, None)


__all__ = ('OUTPUT_TOKEN_COST', 'FairQueue', 'QueuedRequest')
