"""Decisions of one cell's owner: who waits, who runs where, who is refused.

Times are the owner's monotonic clock and are passed in.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

from ..errors import ErrorKind
from .ask import Granted, Refused, Stage
from .crash_watch import CrashWatch
from .engine_view import Health, Occupancy
from .explain import DecisionRecord, DecisionRing
from .forecast import Forecast
from .placer import UNBOUND, Constraint, Placer
from .queue import OUTPUT_TOKEN_COST, FairQueue, Waiting
from .reservations import FailureKind, Reservation
from .suspects import Crash

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..ids import RequestId, UpstreamId, VmId, WorkspaceId
    from ..settings.fleet import QueueBounds
    from .ask import Ask, Decision
    from .engine_view import EngineView
    from .placer import Choice
    from .reservations import Ending, Failure

HEADS_TRIED = 8
PATIENCE_OVER_UNLOADED = 2.0
UNCLAIMED_S = 2.0
SILENT_S = 5.0


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
        self.forecast = Forecast()
        self.first_token_s = first_token_s
        self.outage = ''
        self.opens_at_s = 0.0
        self._weight_of = weight_of
        self._order = itertools.count()
        self._refusals: list[tuple[float, int, Waiting, ErrorKind]] = []
        self._due: list[Decision] = []
        self._reserved: dict[RequestId, Reservation] = {}
        self._running: dict[str, RequestId] = {}

    @property
    def reserved(self) -> dict[RequestId, Reservation]:
        """Returns the live reservations by request."""
        return self._reserved

    @property
    def views(self) -> tuple[EngineView, ...]:
        """Returns every engine of the cell."""
        return (*self.placer.prefill, *self.placer.decode)

    def view(self, upstream_id: UpstreamId) -> EngineView | None:
        """Returns the engine of a name."""
        return self.placer.views.get(upstream_id)

    def submit(self, ask: Ask, now_s: float) -> None:
        """Queues a request; the decision comes out of ``pump``."""
        self.withdraw(ask.request_id, now_s)
        arrived_at_s = now_s - ask.age_s
        unloaded_s = self.placer.unloaded_s(ask) + self.forecast.margin_s
        patience_s = max(
            self.first_token_s, PATIENCE_OVER_UNLOADED * unloaded_s
        )
        waits_from_s = max(arrived_at_s, self.opens_at_s)
        item = Waiting(ask, arrived_at_s, waits_from_s + patience_s)
        if self.outage:
            detail = f'{self.outage} has no upstream that takes work'
            self._refuse(item, ErrorKind.DEPENDENCY_OUT, now_s, detail)
            return
        shed = self.queue.push(item, self._weight_of(ask.workspace_id))
        if shed is not None:
            shed.is_gone = True
            self._refuse(shed, ErrorKind.QUEUE_FULL, now_s)
        if shed is not item:
            self._set_refusal(item, unloaded_s, now_s)

    def pump(self, now_s: float) -> list[Decision]:
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
        while self._refusals and self._refusals[0][2].is_gone:
            heapq.heappop(self._refusals)
        return self._refusals[0][0] if self._refusals else None

    def withdraw(self, request_id: RequestId, now_s: float) -> None:
        """Forgets a request that waits or holds places."""
        item = self.queue.find(request_id)
        if item is not None:
            self.queue.remove(item)
        self._free(request_id, now_s)

    def prefilled(
        self, request_id: RequestId, attempt: int, cached: int, now_s: float
    ) -> None:
        """Takes the end of a prefill with the cached tokens it found."""
        known = self._find(request_id, attempt)
        if known is None or known.stage is not Stage.PREFILL:
            return
        known.stage = Stage.DECODE
        view = self.view(known.granted.prefill)
        if view is None:
            return
        ask = known.granted.ask
        expected = view.prefixes.cached_tokens(ask.blocks)
        view.prefixes.correct(ask.blocks, expected, cached)
        started_at_s = max(known.at_s, view.work_since_s)
        view.observe_pace(
            view.prefill_s(ask.prompt_tokens - cached), now_s - started_at_s
        )
        view.ramp.complete()
        view.free(request_id, now_s)

    def started(
        self, request_id: RequestId, attempt: int, now_s: float
    ) -> None:
        """Takes the first token of an attempt."""
        known = self._find(request_id, attempt)
        if known is None:
            return
        view = self.view(known.granted.decode)
        if view is None:
            return
        if known.expected_s:
            self.forecast.observe(
                expected_s=known.expected_s, actual_s=now_s - known.at_s
            )
        view.finish_work(request_id, now_s)
        view.open_to_others(request_id)
        self.crashes.suspects.clear(known.granted.ask.digest)

    def end(
        self, request_id: RequestId, attempt: int, ending: Ending, now_s: float
    ) -> None:
        """Takes the end of an attempt and frees its places."""
        known = self._find(request_id, attempt)
        if known is None:
            return
        if ending.failure is not None:
            self._take_failure(known, ending.failure, now_s)
        view = self.view(known.granted.decode)
        if view is not None and ending.is_complete:
            view.ramp.complete()
            view.observe_token_s(ending.token_s)
        self._settle(known, ending)
        self._free(request_id, now_s)

    def answered(self, view: EngineView, boot: str, now_s: float) -> None:
        """Takes an answer of an engine to a poll."""
        self.crashes.answered(view.upstream_id, boot, now_s)
        view.see_boot(boot)
        if view.health is Health.DOWN:
            view.health = Health.UP

    def silent(
        self, view: EngineView, now_s: float, *, is_refused: bool
    ) -> None:
        """Takes a poll that got no answer."""
        view.health = Health.DOWN
        if is_refused:
            self.crashes.gone(view.upstream_id, now_s)

    def restore(self, granted: Granted, stage: Stage, now_s: float) -> None:
        """Takes a reservation that an earlier owner handed out."""
        if granted.ask.request_id in self._reserved:
            return
        work = Occupancy(granted.ask.kv_pieces, 0.0, is_working=False)
        self._hold(granted, work, now_s, stage)

    def confirm(
        self, vm_id: VmId, live: Collection[RequestId], now_s: float
    ) -> None:
        """Takes what an entry VM holds and frees what it has lost."""
        for known in tuple(self._reserved.values()):
            if known.vm_id != vm_id:
                continue
            if known.request_id in live:
                known.confirmed_at_s = now_s
            elif now_s - known.at_s > UNCLAIMED_S:
                self._free(known.request_id, now_s)

    def drop_silent(self, now_s: float) -> None:
        """Frees the reservations of VMs that have long been silent.

        Holdings that the engines still report keep their places taken.
        """
        for known in tuple(self._reserved.values()):
            if now_s - known.confirmed_at_s > SILENT_S:
                self._free(known.request_id, now_s)

    def _find(self, request_id: RequestId, attempt: int) -> Reservation | None:
        known = self._reserved.get(request_id)
        if known is None or known.granted.ask.attempt != attempt:
            return None
        return known

    def _set_refusal(
        self, item: Waiting, unloaded_s: float, now_s: float
    ) -> None:
        timeout_s = now_s + self.queue.bounds.max_age_s
        due_s, kind = timeout_s, ErrorKind.QUEUE_TIMEOUT
        if not item.ask.is_resume:
            hopeless_s = item.deadline_s - unloaded_s
            if hopeless_s < timeout_s:
                due_s, kind = hopeless_s, ErrorKind.DEADLINE_UNREACHABLE
        heapq.heappush(self._refusals, (due_s, next(self._order), item, kind))

    def _refuse_late(self, now_s: float) -> None:
        while self._refusals and self._refusals[0][0] <= now_s:
            _, _, item, kind = heapq.heappop(self._refusals)
            if item.is_gone:
                continue
            self.queue.remove(item)
            if not self.placer.has_engines:
                kind = ErrorKind.NO_UPSTREAM
            self._refuse(item, kind, now_s)

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
        if now_s < self.opens_at_s or not len(self.queue):
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
        first_at_s = now_s + choice.first_token_s + self.forecast.margin_s
        if item.ask.is_resume or first_at_s <= item.deadline_s:
            return False
        self.queue.remove(item)
        self._refuse(item, ErrorKind.DEADLINE_UNREACHABLE, now_s)
        return True

    def _is_refused_early(self, item: Waiting, now_s: float) -> bool:
        suspects = self.crashes.suspects
        kind = None
        if suspects.is_quarantined(item.ask.digest, now_s):
            kind = ErrorKind.REQUEST_QUARANTINED
        if kind is None:
            return False
        self.queue.remove(item)
        self._refuse(item, kind, now_s)
        return True

    def _constraint(self, ask: Ask, now_s: float) -> Constraint | None:
        if self.crashes.must_wait(ask.digest, now_s):
            return None
        suspects = self.crashes.suspects
        twin = self._reserved.get(self._running.get(ask.digest, ask.request_id))
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
        self._hold(granted, work, now_s, Stage.PREFILL)
        self._reserved[ask.request_id].expected_s = choice.first_token_s
        self._note(
            ask,
            now_s,
            'placed',
            f'{granted.prefill} in {choice.prefill_s:.3f} s, {granted.decode}'
            f' at load {choice.decode.load:.2f},'
            f' waited {now_s - item.arrived_at_s:.3f} s',
        )
        return granted

    def _hold(
        self, granted: Granted, work: Occupancy, now_s: float, stage: Stage
    ) -> None:
        ask = granted.ask
        view = self.view(granted.decode)
        if view is not None:
            view.hold(ask.request_id, work, now_s)
        self._reserved[ask.request_id] = Reservation(
            granted, now_s, now_s, stage
        )
        if ask.digest:
            self._running[ask.digest] = ask.request_id

    def _free(self, request_id: RequestId, now_s: float) -> None:
        known = self._reserved.pop(request_id, None)
        if known is None:
            return
        for upstream_id in (known.granted.prefill, known.granted.decode):
            view = self.view(upstream_id)
            if view is not None:
                view.free(request_id, now_s)
        digest = known.granted.ask.digest
        if self._running.get(digest) == request_id:
            del self._running[digest]

    def _take_failure(
        self, known: Reservation, failure: Failure, now_s: float
    ) -> None:
        view = self.view(failure.upstream_id)
        if view is None:
            return
        if failure.kind in {FailureKind.BROKE, FailureKind.UNREACHABLE}:
            view.health = Health.DOWN
        if failure.kind is not FailureKind.BROKE or not known.is_on(view):
            return
        self.crashes.broke(
            Crash(view.upstream_id, view.boot),
            view.upstream.domain_id,
            [
                (one.granted.ask.digest, view.is_alone(one.request_id))
                for one in self._reserved.values()
                if one.is_on(view) and one.granted.ask.digest
            ],
            now_s,
        )

    def _settle(self, known: Reservation, ending: Ending) -> None:
        ask = known.granted.ask
        unused_tokens = max(0, ask.max_tokens - ending.tokens)
        self.queue.refund(ask.workspace_id, OUTPUT_TOKEN_COST * unused_tokens)

    def _note(self, ask: Ask, now_s: float, verdict: str, why: str) -> None:
        self.decisions.add(
            DecisionRecord(ask.request_id, ask.attempt, now_s, verdict, why)
        )


__all__ = ('Cell',)
