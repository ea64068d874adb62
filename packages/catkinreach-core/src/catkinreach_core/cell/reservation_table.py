"""Table of a cell's reservations, updated by reports of entry nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .engine_view import Health, Occupancy
from .first_token_margin import FirstTokenMargin
from .placement_request import Stage
from .queue import OUTPUT_TOKEN_COST
from .reservations import FailureKind, Reservation
from .suspects import Crash

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ..ids import RequestId, UpstreamId, VmId
    from .crash_watch import CrashWatch
    from .engine_view import EngineView
    from .placement_request import Granted
    from .queue import FairQueue
    from .reservations import AttemptResult, Failure

UNCLAIMED_S = 2.0
SILENT_S = 5.0


class ReservationTable:
    """Tracks the live reservations; each is released exactly once."""

    def __init__(
        self,
        view_of: Callable[[UpstreamId], EngineView | None],
        crashes: CrashWatch,
        queue: FairQueue,
    ) -> None:
        """Starts empty; ``view_of`` returns the state of an engine."""
        self.first_token_margin = FirstTokenMargin()
        self._view_of = view_of
        self._crashes = crashes
        self._queue = queue
        self._reserved: dict[RequestId, Reservation] = {}
        self._running: dict[str, RequestId] = {}

    @property
    def reserved(self) -> dict[RequestId, Reservation]:
        """Returns the live reservations by request."""
        return self._reserved

    def find_same_prompt(self, digest: str) -> Reservation | None:
        """Returns a live reservation for the same prompt, if there is one."""
        request_id = self._running.get(digest)
        return None if request_id is None else self._reserved.get(request_id)

    def reserve(
        self,
        granted: Granted,
        work: Occupancy,
        now_s: float,
        stage: Stage,
        expected_s: float = 0.0,
    ) -> None:
        """Adds a reservation and takes its place on the decode engine."""
        ask = granted.request
        view = self._view_of(granted.decode)
        if view is not None:
            view.hold(ask.request_id, work, now_s)
        self._reserved[ask.request_id] = Reservation(
            granted, now_s, now_s, stage, expected_s
        )
        if ask.digest:
            self._running[ask.digest] = ask.request_id

    def release(self, request_id: RequestId, now_s: float) -> None:
        """Releases all that a request has reserved."""
        known = self._reserved.pop(request_id, None)
        if known is None:
            return
        for upstream_id in (known.granted.prefill, known.granted.decode):
            view = self._view_of(upstream_id)
            if view is not None:
                view.free(request_id, now_s)
        digest = known.granted.request.digest
        if self._running.get(digest) == request_id:
            del self._running[digest]

    def record_prefill_end(
        self, request_id: RequestId, attempt: int, cached: int, now_s: float
    ) -> None:
        """Records the end of a prefill and the cached tokens that it used."""
        known = self._find(request_id, attempt)
        if known is None or known.stage is not Stage.PREFILL:
            return
        known.stage = Stage.DECODE
        view = self._view_of(known.granted.prefill)
        if view is None:
            return
        ask = known.granted.request
        expected = view.prefixes.cached_tokens(ask.blocks)
        view.prefixes.correct(ask.blocks, expected, cached)
        started_at_s = max(known.at_s, view.work_since_s)
        view.observe_work_time(
            view.prefill_s(ask.prompt_tokens - cached), now_s - started_at_s
        )
        view.ramp.complete()
        view.free(request_id, now_s)

    def record_first_token(
        self, request_id: RequestId, attempt: int, now_s: float
    ) -> None:
        """Records the first token of an attempt."""
        known = self._find(request_id, attempt)
        if known is None:
            return
        view = self._view_of(known.granted.decode)
        if view is None:
            return
        if known.expected_s:
            self.first_token_margin.observe(
                expected_s=known.expected_s, actual_s=now_s - known.at_s
            )
        view.finish_work(request_id, now_s)
        view.end_exclusive_use(request_id)
        self._crashes.suspects.mark_proven(known.granted.request.digest)

    def end_attempt(
        self,
        request_id: RequestId,
        attempt: int,
        ending: AttemptResult,
        now_s: float,
    ) -> None:
        """Records the end of an attempt and releases its places."""
        known = self._find(request_id, attempt)
        if known is None:
            return
        if ending.failure is not None:
            self._take_failure(known, ending.failure, now_s)
        view = self._view_of(known.granted.decode)
        if view is not None and ending.is_complete:
            view.ramp.complete()
            view.observe_token_s(ending.token_s)
        self._settle(known, ending)
        self.release(request_id, now_s)

    def restore(self, granted: Granted, stage: Stage, now_s: float) -> None:
        """Restores a reservation that an earlier owner granted."""
        if granted.request.request_id in self._reserved:
            return
        work = Occupancy(granted.request.kv_pieces, 0.0, is_working=False)
        self.reserve(granted, work, now_s, stage)

    def confirm_live(
        self, vm_id: VmId, live: Collection[RequestId], now_s: float
    ) -> None:
        """Confirms a VM's live reservations and releases its other ones."""
        for known in tuple(self._reserved.values()):
            if known.vm_id != vm_id:
                continue
            if known.request_id in live:
                known.confirmed_at_s = now_s
            elif now_s - known.at_s > UNCLAIMED_S:
                self.release(known.request_id, now_s)

    def release_unconfirmed(self, now_s: float) -> None:
        """Releases the reservations that a VM has not confirmed for long.

        Holdings that the engines still report keep their places taken.
        """
        for known in tuple(self._reserved.values()):
            if now_s - known.confirmed_at_s > SILENT_S:
                self.release(known.request_id, now_s)

    def _find(self, request_id: RequestId, attempt: int) -> Reservation | None:
        known = self._reserved.get(request_id)
        if known is None or known.granted.request.attempt != attempt:
            return None
        return known

    def _take_failure(
        self, known: Reservation, failure: Failure, now_s: float
    ) -> None:
        view = self._view_of(failure.upstream_id)
        if view is None:
            return
        if failure.kind in {FailureKind.DISCONNECTED, FailureKind.UNREACHABLE}:
            view.health = Health.DOWN
        if failure.kind is not FailureKind.DISCONNECTED or not known.is_on(
            view
        ):
            return
        self._crashes.record_disconnect(
            Crash(view.upstream_id, view.boot),
            view.upstream.domain_id,
            [
                (one.granted.request.digest, view.is_alone(one.request_id))
                for one in self._reserved.values()
                if one.is_on(view) and one.granted.request.digest
            ],
            now_s,
        )

    def _settle(self, known: Reservation, ending: AttemptResult) -> None:
        ask = known.granted.request
        unused_tokens = max(0, ask.max_tokens - ending.tokens)
        self._queue.refund(ask.workspace_id, OUTPUT_TOKEN_COST * unused_tokens)


__all__ = ('ReservationTable',)
