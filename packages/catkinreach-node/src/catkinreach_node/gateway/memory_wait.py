"""Queues a stream until a decode engine has memory for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind
from catkinreach_core.gateway.fleet_priority import (
    leaves_room,
    more_urgent_tokens,
)
from catkinreach_core.gateway.placement import idle_first_token_s
from catkinreach_core.gateway.stage_plan import RESIDENCE_S
from catkinreach_core.gateway.wait_queue import (
    QueueDecision,
    QueuedStream,
    next_poll_s,
)

from .decision_log import Event
from .gateway_metrics import RequestStage

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import StreamPlan
    from catkinreach_core.gateway.wait_queue import WaitQueue
    from catkinreach_core.ids import SoftwareVersion, UpstreamId

    from .stream_context import StreamContext
    from .stream_planner import StreamPlanner

QUEUE_TIMEOUT_TARGETS = 3.6
"""Queue timeout in latency targets; callers leave after four latency targets
without an event."""

MIN_REMAINING_S = 0.02
"""Time to the deadline below which a stream is refused."""


class MemoryWait:
    """Keeps one stream in its service's queue until it can be placed."""

    def __init__(self, context: StreamContext, planner: StreamPlanner) -> None:
        """Prepares the wait; the stream isn't queued yet."""
        self._node = context.node
        self._admitted = context.admitted
        self._attempts = context.attempts
        self._need = context.need
        self._pin = context.pin
        self._planner = planner
        self._silent_since_s = context.admitted.arrived_s
        self._has_progress = False
        self._has_given_way = False
        self._has_reported = False
        self.waited_s = 0.0

    @property
    def is_queue_empty(self) -> bool:
        """Returns whether no stream of the service waits at this node."""
        service_id = self._admitted.service.service_id
        return not self._node.wait_queues.of(service_id).count

    def restart_timeout(self) -> None:
        """Restarts the queue timeout of a stream that is resumed."""
        self._has_progress = True
        self._silent_since_s = self._node.clock()

    def mark_prefilled(self) -> None:
        """Moves the stream ahead of others, since its prompt is prefilled."""
        self._has_progress = True

    def can_place_elsewhere(self, silent_id: UpstreamId) -> bool:
        """Returns whether another engine has memory and no stream waits."""
        return self.is_queue_empty and self._planner.has_room_elsewhere(
            silent_id
        )

    async def wait_for_plan(self) -> StreamPlan:
        """Waits until an engine has memory; returns the plan of the stream.

        Raises:
            CatkinreachError: if it would wait too long.
        """
        service_id = self._admitted.service.service_id
        queue = self._node.wait_queues.of(service_id)
        entry = self._make_entry()
        queue.add(entry)
        self._node.report_change()
        try:
            while True:
                await self._node.load_queries.refresh(
                    service_id, self._admitted.workspace_id
                )
                now_s = self._node.clock()
                plan = self._plan_if_first(queue, entry, now_s)
                if plan is not None:
                    return plan
                self._refuse_if_late(queue, entry, now_s)
                self._report_waiting()
                peers = self._node.totals.count_queueing(service_id)
                await asyncio.sleep(next_poll_s(peers, self._node.rng.random()))
        finally:
            queue.remove(entry)
            self._node.report_change()

    def _plan_if_first(
        self, queue: WaitQueue, entry: QueuedStream, now_s: float
    ) -> StreamPlan | None:
        """Returns a plan if the stream is first and an engine has memory."""
        if not queue.is_first(entry, now_s):
            return None
        plan = self._planner.best_plan(self._spared_versions(queue))
        if plan is not None and self._gives_way(entry, now_s):
            return None
        if plan is not None:
            self.waited_s = now_s - entry.arrived_s
            self._node.metrics.record(RequestStage.WAIT, self.waited_s)
        return plan

    def _spared_versions(self, queue: WaitQueue) -> frozenset[SoftwareVersion]:
        """Returns the versions that queued streams need more than this one."""
        if self._pin.version is not None:
            return frozenset()
        return queue.pinned_versions()

    def _gives_way(self, entry: QueuedStream, now_s: float) -> bool:
        """Returns whether more urgent streams of peers need the memory."""
        waiting = self._peer_ranks()
        rank = entry.fleet_rank(now_s)
        if not more_urgent_tokens(waiting, rank):
            return False
        if leaves_room(
            self._planner.free_decode_memory(), entry.tokens, waiting, rank
        ):
            return False
        if not self._has_given_way:
            self._has_given_way = True
            self._node.log.write(
                Event.WAITS_FOR_URGENT,
                request=self._admitted.metadata.request_id,
                rank=rank,
                urgent_tokens=more_urgent_tokens(waiting, rank),
            )
        return True

    def _peer_ranks(self) -> dict[int, int]:
        """Returns what peers' streams wait for, by rank.

        Empty where the streams of the service have one priority.
        """
        if not self._has_priorities:
            return {}
        service_id = self._admitted.service.service_id
        return self._node.totals.waiting_ranks(service_id)

    @property
    def _has_priorities(self) -> bool:
        catalog = self._node.view.catalog
        service_id = self._admitted.service.service_id
        return catalog is not None and catalog.has_priorities(service_id)

    def _report_waiting(self) -> None:
        """Tells peers at once that a stream with a priority waits."""
        if self._has_priorities and not self._has_reported:
            self._has_reported = True
            self._node.load_changed.set()

    def _make_entry(self) -> QueuedStream:
        admitted = self._admitted
        prefill_s = idle_first_token_s(self._need)
        timeout_s = admitted.route.target_s * QUEUE_TIMEOUT_TARGETS
        return QueuedStream(
            tokens=self._need.memory_tokens,
            priority=admitted.urgency,
            workspace_cost=self._recent_cost(),
            arrived_s=self._node.clock(),
            on_time_until_s=admitted.arrived_s
            + admitted.route.target_s
            - prefill_s,
            useful_until_s=self._silent_since_s + timeout_s - prefill_s,
            has_progress=self._has_progress,
            version=self._pin.version,
        )

    def _recent_cost(self) -> float:
        """Returns the workspace's cost admitted by this node in the window."""
        workspace_id = self._admitted.workspace_id
        if workspace_id is None:
            return 0.0
        return self._node.quota.own_count(workspace_id, self._node.clock())

    def _refuse_if_late(
        self, queue: WaitQueue, entry: QueuedStream, now_s: float
    ) -> None:
        """Refuses a stream that would wait too long.

        Raises:
            CatkinreachError: the refusal.
        """
        service_id = self._admitted.service.service_id
        memory = self._planner.total_decode_memory()
        peer_tokens = self._node.totals.queued_tokens(service_id)
        urgent_tokens = 0
        if self._has_priorities:
            waiting = self._peer_ranks()
            rank = entry.fleet_rank(now_s)
            urgent_tokens = more_urgent_tokens(waiting, rank)
            peer_tokens = waiting.get(rank, 0)
        decision = queue.evaluate(
            entry,
            peer_tokens=peer_tokens,
            release_per_s=memory / RESIDENCE_S,
            now_s=now_s,
            more_urgent_tokens=urgent_tokens,
        )
        pause_s = self._node.availability_notes.retry_delay_s(service_id)
        if (
            decision is QueueDecision.REFUSE
            or self._attempts.remaining_s < MIN_REMAINING_S
            or now_s + pause_s > entry.useful_until_s
        ):
            raise self._attempts.error(
                ErrorKind.QUEUE_TIMEOUT,
                f'{queue.count} streams wait at this node, {peer_tokens} tokens'
                f' at peers, {urgent_tokens} more urgent ones, for {memory}'
                ' tokens of memory',
            )


__all__ = ('MIN_REMAINING_S', 'MemoryWait')
