"""Decides which requests of a cell are queued, placed or refused.

All times are readings of the owner's monotonic clock that callers pass in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ErrorKind
from .crash_watch import CrashWatch
from .engine_view import Health, Occupancy
from .explain import DecisionRecord, DecisionRing
from .placement_request import Granted, Refused, Stage
from .placer import UNCONSTRAINED, Constraint, Placer
from .queue import FairQueue, QueuedRequest
from .queue_timeouts import QueueTimeouts
from .reservation_table import ReservationTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import RequestId, UpstreamId, WorkspaceId
    from ..settings.fleet import QueueBounds
    from .engine_view import EngineView
    from .placement_request import Decision, PlacementRequest
    from .placer import Choice
    from .reservations import Reservation

MAX_PLACEMENT_TRIES = 8
"""Unconstrained requests that may find no engine before a search ends."""

FIRST_TOKEN_TIMEOUT_FACTOR = 2.0
"""Least timeout of the first token, as a multiple of its unloaded time."""


class Cell:
    """Queues the requests for one group of engines and places them.

    Attributes:
        unavailable_dependency: Service without a usable upstream that the
            engines depend on; while it is set, requests are refused.
        placement_starts_at_s: Time before which no request is placed.
    """

    def __init__(
        self,
        placer: Placer,
        bounds: QueueBounds,
        *,
        first_token_s: float,
        weight_of: Callable[[WorkspaceId | None], float],
    ) -> None:
        """Starts with an empty queue.

        Args:
            placer: Chooses among the cell's engines.
            bounds: Bounds of the queue.
            first_token_s: Target time to the first token.
            weight_of: Returns the weight of a workspace in the queue.
        """
        self.placer = placer
        self.queue = FairQueue(bounds)
        self.crashes = CrashWatch()
        self.decisions = DecisionRing()
        self.reservations = ReservationTable(
            self.view, self.crashes, self.queue
        )
        self.first_token_s = first_token_s
        self.unavailable_dependency = ''
        self.placement_starts_at_s = 0.0
        self._weight_of = weight_of
        self._queue_timeouts = QueueTimeouts()
        self._pending_decisions: list[Decision] = []

    @property
    def reserved(self) -> dict[RequestId, Reservation]:
        """Returns the live reservations by request."""
        return self.reservations.reserved

    @property
    def views(self) -> tuple[EngineView, ...]:
        """Returns the state of every engine of the cell."""
        return (*self.placer.prefill, *self.placer.decode)

    def view(self, upstream_id: UpstreamId) -> EngineView | None:
        """Returns the state of an engine, if the cell has it."""
        return self.placer.views.get(upstream_id)

    def submit(self, request: PlacementRequest, now_s: float) -> None:
        """Queues a request; ``process_queue`` returns the decision on it."""
        self.withdraw(request.request_id, now_s)
        arrived_at_s = now_s - request.age_s
        unloaded_s = (
            self.placer.unloaded_s(request)
            + self.reservations.first_token_margin.margin_s
        )
        timeout_s = max(
            self.first_token_s, FIRST_TOKEN_TIMEOUT_FACTOR * unloaded_s
        )
        waits_from_s = max(arrived_at_s, self.placement_starts_at_s)
        queued = QueuedRequest(request, arrived_at_s, waits_from_s + timeout_s)
        if self.unavailable_dependency:
            detail = f'{self.unavailable_dependency} has no usable upstream'
            self._refuse(queued, ErrorKind.DEPENDENCY_OUT, now_s, detail)
            return
        shed = self.queue.push(queued, self._weight_of(request.workspace_id))
        if shed is not None:
            shed.is_removed = True
            self._refuse(shed, ErrorKind.QUEUE_FULL, now_s)
        if shed is not queued:
            self._queue_timeouts.add(
                queued,
                unloaded_s=unloaded_s,
                max_age_s=self.queue.bounds.max_age_s,
                now_s=now_s,
            )

    def process_queue(self, now_s: float) -> list[Decision]:
        """Places queued requests; returns all decisions since the last call."""
        self.crashes.expire(now_s)
        self.queue.sample_virtual_time(now_s)
        self._refuse_expired(now_s)
        while (granted := self._place_next(now_s)) is not None:
            self._pending_decisions.append(granted)
        decisions, self._pending_decisions = self._pending_decisions, []
        return decisions

    def next_due_s(self) -> float | None:
        """Returns when the next queued request times out."""
        return self._queue_timeouts.next_due_s()

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Removes a request from the queue or releases its reservation."""
        queued = self.queue.find(request_id)
        if queued is not None:
            self.queue.remove(queued)
        self.reservations.release(request_id, now_s)

    def record_poll_answer(
        self, view: EngineView, boot: str, now_s: float
    ) -> None:
        """Marks an engine as up after it answered a poll."""
        self.crashes.record_poll_answer(view.upstream_id, boot, now_s)
        view.update_boot(boot)
        if view.health is Health.DOWN:
            view.health = Health.UP

    def record_poll_failure(
        self, view: EngineView, now_s: float, *, is_refused: bool
    ) -> None:
        """Marks an engine as down after a poll without an answer.

        ``is_refused`` means that the connection was refused: the process of
        the engine has ended.
        """
        view.health = Health.DOWN
        if is_refused:
            self.crashes.record_refused_connection(view.upstream_id, now_s)

    def _refuse_expired(self, now_s: float) -> None:
        for queued, kind in self._queue_timeouts.pop_due(now_s):
            self.queue.remove(queued)
            has_engines = self.placer.has_engines
            self._refuse(
                queued, kind if has_engines else ErrorKind.NO_UPSTREAM, now_s
            )

    def _refuse(
        self,
        queued: QueuedRequest,
        kind: ErrorKind,
        now_s: float,
        detail: str = '',
    ) -> None:
        waited_s = now_s - queued.arrived_at_s
        detail = detail or (
            f'after {waited_s:.3f} s in the queue with {len(self.queue)} others'
        )
        self._pending_decisions.append(Refused(queued.request, kind, detail))
        self._record_decision(queued.request, now_s, kind.value, detail)

    def _place_next(self, now_s: float) -> Granted | None:
        """Places the first request that finds engines, in the queue's order.

        Returns:
            ``None`` if no request can be placed now.
        """
        if now_s < self.placement_starts_at_s or not len(self.queue):
            return None
        if not self.placer.has_free_capacity(now_s):
            return None
        tries_left = MAX_PLACEMENT_TRIES
        for queued in self.queue.heads():
            constraint = self._find_constraint(queued, now_s)
            if constraint is None:
                continue
            choice = self.placer.choose_engines(
                queued.request, constraint, now_s
            )
            if choice is None:
                tries_left -= constraint is UNCONSTRAINED
            elif not self._refuse_if_too_late(queued, choice, now_s):
                return self._grant(queued, choice, now_s)
            if not tries_left:
                break
        return None

    def _find_constraint(
        self, queued: QueuedRequest, now_s: float
    ) -> Constraint | None:
        """Returns a request's constraint; ``None`` if it can't be placed now.

        A quarantined request is refused.
        """
        if self._refuse_if_quarantined(queued, now_s):
            return None
        return self._crash_constraint(queued.request, now_s)

    def _refuse_if_too_late(
        self, queued: QueuedRequest, choice: Choice, now_s: float
    ) -> bool:
        """Refuses a request whose first token would miss its deadline."""
        first_token_at_s = (
            now_s
            + choice.first_token_s
            + self.reservations.first_token_margin.margin_s
        )
        if queued.request.is_resume or first_token_at_s <= queued.deadline_s:
            return False
        self.queue.remove(queued)
        self._refuse(queued, ErrorKind.DEADLINE_UNREACHABLE, now_s)
        return True

    def _refuse_if_quarantined(
        self, queued: QueuedRequest, now_s: float
    ) -> bool:
        if not self.crashes.must_refuse(queued.request, now_s):
            return False
        self.queue.remove(queued)
        self._refuse(queued, ErrorKind.REQUEST_QUARANTINED, now_s)
        return True

    def _crash_constraint(
        self, request: PlacementRequest, now_s: float
    ) -> Constraint | None:
        """Returns the constraint that earlier crashes put on a request.

        Returns:
            ``None`` while the request must wait for a disconnect to be
            resolved.
        """
        if self.crashes.must_wait(request.digest, now_s):
            return None
        suspects = self.crashes.suspects
        same_prompt = self.reservations.find_same_prompt(request.digest)
        is_suspect = self.crashes.is_suspect(request.digest, now_s)
        if same_prompt is not None and not suspects.is_proven(request.digest):
            return Constraint(
                needs_idle_prefill=is_suspect,
                needs_decode_without_suspect=is_suspect,
                prefill=same_prompt.granted.prefill,
                decode=same_prompt.granted.decode,
            )
        if is_suspect:
            return Constraint(
                needs_idle_prefill=True, needs_decode_without_suspect=True
            )
        return UNCONSTRAINED

    def _grant(
        self, queued: QueuedRequest, choice: Choice, now_s: float
    ) -> Granted:
        request = queued.request
        self.queue.remove_placed(queued)
        granted = Granted(
            request,
            choice.prefill.upstream_id,
            choice.decode.upstream_id,
            self.crashes.is_suspect(request.digest, now_s),
        )
        decode_occupancy = Occupancy(
            request.kv_pieces, choice.transfer_s, is_alone=granted.is_alone
        )
        choice.prefill.prefixes.store(request.blocks)
        choice.prefill.reserve(
            request.request_id,
            Occupancy(
                request.prompt_pieces,
                choice.prefill_s,
                is_alone=granted.is_alone,
            ),
            now_s,
        )
        self.reservations.reserve(
            granted,
            decode_occupancy,
            now_s,
            Stage.PREFILL,
            choice.first_token_s,
        )
        self._record_decision(
            request,
            now_s,
            'placed',
            f'prefill on {granted.prefill} in {choice.prefill_s:.3f} s, decode'
            f' on {granted.decode} at load {choice.decode.load:.2f},'
            f' queued for {now_s - queued.arrived_at_s:.3f} s',
        )
        return granted

    def _record_decision(
        self,
        request: PlacementRequest,
        now_s: float,
        decision: str,
        reason: str,
    ) -> None:
        self.decisions.add(
            DecisionRecord(
                request.request_id, request.attempt, now_s, decision, reason
            )
        )


__all__ = ('Cell',)
