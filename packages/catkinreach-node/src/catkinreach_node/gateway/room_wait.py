"""A stream's wait for memory at a decode engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind
from catkinreach_core.gateway.placement import read_alone_s
from catkinreach_core.gateway.stage_plan import RESIDENCE_S
from catkinreach_core.gateway.wait_line import Ticket, Verdict, next_look_s

from .gateway_metrics import Stage

if TYPE_CHECKING:
    from catkinreach_core.gateway.placement import StreamPlan
    from catkinreach_core.gateway.wait_line import WaitLine

    from .stream_context import StreamContext
    from .stream_planner import StreamPlanner

PATIENCE_TARGETS = 3.6
"""Callers leave after four latency targets without an event."""

MIN_LEFT_S = 0.02


class RoomWait:
    """Keeps one stream in the line of its service until it is placed."""

    def __init__(self, context: StreamContext, planner: StreamPlanner) -> None:
        """Prepares the call; it isn't in line yet."""
        self._node = context.node
        self._call = context.call
        self._attempts = context.attempts
        self._need = context.need
        self._planner = planner
        self._silent_since_s = context.call.arrived_s
        self._is_begun = False
        self.waited_s = 0.0

    def note_resuming(self) -> None:
        """Lets the caller's patience start anew: it has had an event."""
        self._is_begun = True
        self._silent_since_s = self._node.clock()

    def note_read(self) -> None:
        """Lets the stream go first, since its prompt was read."""
        self._is_begun = True

    async def until_placed(self) -> StreamPlan:
        """Returns where to run; waits while there is no room.

        Raises:
            CatkinreachError: if the wait would be too long.
        """
        service_id = self._call.service.service_id
        line = self._node.line(service_id)
        ticket = self._ticket()
        line.join(ticket)
        try:
            while True:
                now_s = self._node.clock()
                plan = self._look(line, ticket, now_s)
                if plan is not None:
                    return plan
                self._check(line, ticket, now_s)
                peers = self._node.waiting_peers(service_id)
                await asyncio.sleep(next_look_s(peers, self._node.rng.random()))
        finally:
            line.leave(ticket)

    def _look(
        self, line: WaitLine, ticket: Ticket, now_s: float
    ) -> StreamPlan | None:
        """Looks for room, if it is this stream's turn."""
        if not line.is_first(ticket, now_s):
            return None
        plan = self._planner.best_plan()
        if plan is not None:
            self.waited_s = now_s - ticket.arrived_s
            self._node.metrics.record(Stage.WAIT, self.waited_s)
        return plan

    def _ticket(self) -> Ticket:
        call = self._call
        read_s = read_alone_s(self._need)
        patience_s = call.route.target_s * PATIENCE_TARGETS
        return Ticket(
            tokens=self._need.memory_tokens,
            priority=call.priority,
            served=self._served(),
            arrived_s=self._node.clock(),
            on_time_until_s=call.arrived_s + call.route.target_s - read_s,
            useful_until_s=self._silent_since_s + patience_s - read_s,
            is_begun=self._is_begun,
        )

    def _served(self) -> float:
        """Returns what the call's workspace was admitted lately."""
        workspace_id = self._call.workspace_id
        if workspace_id is None:
            return 0.0
        return self._node.quota.own_count(workspace_id, self._node.clock())

    def _check(self, line: WaitLine, ticket: Ticket, now_s: float) -> None:
        """Refuses a stream at once that would wait too long."""
        service_id = self._call.service.service_id
        capacity = self._planner.decode_memory()
        peer_tokens = self._node.peer_waiting_tokens(service_id)
        verdict = line.judge(
            ticket,
            peer_tokens=peer_tokens,
            release_per_s=capacity / RESIDENCE_S,
            now_s=now_s,
        )
        if verdict is Verdict.REFUSE or self._attempts.left_s < MIN_LEFT_S:
            raise self._attempts.error(
                ErrorKind.QUEUE_TIMEOUT,
                f'{line.count} streams wait here, {peer_tokens} tokens at'
                f' peers, for {capacity} tokens of memory',
            )


__all__ = ('MIN_LEFT_S', 'RoomWait')
