"""Decisions of one cell's owner: who waits, who runs where, who is refused.

Times are the owner's monotonic clock and are passed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ErrorKind
from .crash_watch import CrashWatch
from .engine_view import Health, Occupancy
from .explain import DecisionRecord, DecisionRing
from .lateness import Lateness
from .placement_request import Granted, Refused, Stage
from .placer import UNBOUND, Constraint, Placer
from .queue import FairQueue, Waiting
from .reservation_table import ReservationTable

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ids import RequestId, UpstreamId, WorkspaceId
    from ..settings.fleet import QueueBounds
    from .engine_view import EngineView
    from .placement_request import Decision, PlacementRequest
    from .placer import Choice
    from .reservations import Reservation

HEADS_TRIED = 8
PATIENCE_OVER_UNLOADED = 2.0


class Cell:
    """Queue, reservations and suspects of one group of engines."""

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
            first_token_s: Target for the first token.
            weight_of: Weight of a workspace.
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
        self._lateness = Lateness()
        self._due: list[Decision] = []

    @property
    def reserved(self) -> dict[RequestId, Reservation]:
        """Returns the live reservations by request."""
        return self.reservations.reserved

    @property
    def views(self) -> tuple[EngineView, ...]:
        """Returns every engine of the cell."""
        return (*self.placer.prefill, *self.placer.decode)

    def view(self, upstream_id: UpstreamId) -> EngineView | None:
        """Returns the engine of a name."""
        return self.placer.views.get(upstream_id)

    def submit(self, ask: PlacementRequest, now_s: float) -> None:
        """Queues a request; the decision comes out of ``pump``."""
        self.withdraw(ask.request_id, now_s)
        arrived_at_s = now_s - ask.age_s
        unloaded_s = (
            self.placer.unloaded_s(ask) + self.reservations.forecast.margin_s
        )
        patience_s = max(
            self.first_token_s, PATIENCE_OVER_UNLOADED * unloaded_s
        )
        waits_from_s = max(arrived_at_s, self.placement_starts_at_s)
        item = Waiting(ask, arrived_at_s, waits_from_s + patience_s)
        if self.unavailable_dependency:
            detail = (
                f'{self.unavailable_dependency} has no upstream that takes work'
            )
            self._refuse(item, ErrorKind.DEPENDENCY_OUT, now_s, detail)
            return
        shed = self.queue.push(item, self._weight_of(ask.workspace_id))
        if shed is not None:
            shed.is_gone = True
            self._refuse(shed, ErrorKind.QUEUE_FULL, now_s)
        if shed is not item:
            self._lateness.add(
                item,
                unloaded_s=unloaded_s,
                max_age_s=self.queue.bounds.max_age_s,
                now_s=now_s,
            )

    def process_queue(self, now_s: float) -> list[Decision]:
        """Returns every decision that is due now."""
        self.crashes.expire(now_s)
        self.queue.advance(now_s)
        self._refuse_late(now_s)
        while (granted := self._place_next(now_s)) is not None:
            self._due.append(granted)
        decisions, self._due = self._due, []
        return decisions

    def next_due_s(self) -> float | None:
        """Returns when the next refusal falls due."""
        return self._lateness.next_due_s()

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Forgets a request that waits or holds places."""
        item = self.queue.find(request_id)
        if item is not None:
            self.queue.remove(item)
        self.reservations.release(request_id, now_s)

    def record_poll_answer(
        self, view: EngineView, boot: str, now_s: float
    ) -> None:
        """Takes an answer of an engine to a poll."""
        self.crashes.answered(view.upstream_id, boot, now_s)
        view.update_boot(boot)
        if view.health is Health.DOWN:
            view.health = Health.UP

    def record_poll_failure(
        self, view: EngineView, now_s: float, *, is_refused: bool
    ) -> None:
        """Takes a poll that got no answer."""
        view.health = Health.DOWN
        if is_refused:
            self.crashes.gone(view.upstream_id, now_s)

    def _refuse_late(self, now_s: float) -> None:
        for item, kind in self._lateness.pop_due(now_s):
            self.queue.remove(item)
            has_engines = self.placer.has_engines
            self._refuse(
                item, kind if has_engines else ErrorKind.NO_UPSTREAM, now_s
            )

    def _refuse(
        self, item: Waiting, kind: ErrorKind, now_s: float, detail: str = ''
    ) -> None:
        waited_s = now_s - item.arrived_at_s
        detail = detail or (
            f'after {waited_s:.3f} s with {len(self.queue)} waiting'
        )
        self._due.append(Refused(item.ask, kind, detail))
        self._note(item.ask, now_s, kind.value, detail)

    def _place_next(self, now_s: float) -> Granted | None:
        if now_s < self.placement_starts_at_s or not len(self.queue):
            return None
        if not self.placer.has_room(now_s):
            return None
        tries = HEADS_TRIED
        for item in self.queue.heads():
            bound = self._bound_of(item, now_s)
            if bound is None:
                continue
            choice = self.placer.choose(item.ask, bound, now_s)
            if choice is None:
                tries -= bound is UNBOUND
            elif not self._is_hopeless(item, choice, now_s):
                return self._grant(item, choice, now_s)
            if not tries:
                break
        return None

    def _bound_of(self, item: Waiting, now_s: float) -> Constraint | None:
        """Returns what binds a request; ``None`` if it can't be placed."""
        if self._is_refused_early(item, now_s):
            return None
        return self._constraint(item.ask, now_s)

    def _is_hopeless(self, item: Waiting, choice: Choice, now_s: float) -> bool:
        """Refuses a request whose first token would come too late."""
        first_at_s = (
            now_s + choice.first_token_s + self.reservations.forecast.margin_s
        )
        if item.ask.is_resume or first_at_s <= item.deadline_s:
            return False
        self.queue.remove(item)
        self._refuse(item, ErrorKind.DEADLINE_UNREACHABLE, now_s)
        return True

    def _is_refused_early(self, item: Waiting, now_s: float) -> bool:
        suspects = self.crashes.suspects
        if not suspects.is_quarantined(item.ask.digest, now_s):
            return False
        self.queue.remove(item)
        self._refuse(item, ErrorKind.REQUEST_QUARANTINED, now_s)
        return True

    def _constraint(
        self, ask: PlacementRequest, now_s: float
    ) -> Constraint | None:
        if self.crashes.must_wait(ask.digest, now_s):
            return None
        suspects = self.crashes.suspects
        twin = self.reservations.find_same_prompt(ask.digest)
        is_suspect = self.crashes.is_suspect(ask.digest, now_s)
        if twin is not None and not suspects.is_proven(ask.digest):
            return Constraint(
                is_alone_prefill=is_suspect,
                is_alone_decode=is_suspect,
                prefill=twin.granted.prefill,
                decode=twin.granted.decode,
            )
        if is_suspect:
            return Constraint(is_alone_prefill=True, is_alone_decode=True)
        return UNBOUND

    def _grant(self, item: Waiting, choice: Choice, now_s: float) -> Granted:
        ask = item.ask
        self.queue.take(item)
        granted = Granted(
            ask,
            choice.prefill.upstream_id,
            choice.decode.upstream_id,
            self.crashes.is_suspect(ask.digest, now_s),
        )
        work = Occupancy(
            ask.kv_pieces, choice.transfer_s, is_alone=granted.is_alone
        )
        choice.prefill.prefixes.store(ask.blocks)
        choice.prefill.hold(
            ask.request_id,
            Occupancy(
                ask.prompt_pieces, choice.prefill_s, is_alone=granted.is_alone
            ),
            now_s,
        )
        self.reservations.reserve(
            granted, work, now_s, Stage.PREFILL, choice.first_token_s
        )
        self._note(
            ask,
            now_s,
            'placed',
            f'{granted.prefill} in {choice.prefill_s:.3f} s, {granted.decode}'
            f' at load {choice.decode.load:.2f},'
            f' waited {now_s - item.arrived_at_s:.3f} s',
        )
        return granted

    def _note(
        self, ask: PlacementRequest, now_s: float, verdict: str, why: str
    ) -> None:
        self.decisions.add(
            DecisionRecord(ask.request_id, ask.attempt, now_s, verdict, why)
        )


__all__ = ('Cell',)
