"""Table of a cell's reservations, updated from reports of entry nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .crash_watch import RunningPrompt
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
"""Age from which a reservation that its entry VM doesn't list is released."""

MAX_UNCONFIRMED_S = 5.0
"""Time after an entry VM last listed a reservation until it is released."""


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
        self._request_by_digest: dict[str, RequestId] = {}

    @property
    def reserved(self) -> dict[RequestId, Reservation]:
        """Returns the live reservations by request."""
        return self._reserved

    def find_same_prompt(self, digest: str) -> Reservation | None:
        """Returns a live reservation for the same prompt, if there is one."""
        request_id = self._request_by_digest.get(digest)
        return None if request_id is None else self._reserved.get(request_id)

    def reserve(
        self,
        granted: Granted,
        occupancy: Occupancy,
        now_s: float,
        stage: Stage,
        expected_s: float = 0.0,
    ) -> None:
        """Adds a reservation and reserves its capacity on the decode engine.

        Args:
            granted: The decision to reserve.
            occupancy: Capacity that it takes on the decode engine.
            now_s: Monotonic clock.
            stage: Stage that the request has reached.
            expected_s: Expected time to the first token, 0 if unknown.
        """
        request = granted.request
        view = self._view_of(granted.decode)
        if view is not None:
            view.reserve(request.request_id, occupancy, now_s)
        self._reserved[request.request_id] = Reservation(
            granted, now_s, now_s, stage, expected_s
        )
        if request.digest:
            self._request_by_digest[request.digest] = request.request_id

    def release(self, request_id: RequestId, now_s: float) -> None:
        """Releases all that a request has reserved."""
        reservation = self._reserved.pop(request_id, None)
        if reservation is None:
            return
        for upstream_id in (
            reservation.granted.prefill,
            reservation.granted.decode,
        ):
            view = self._view_of(upstream_id)
            if view is not None:
                view.release(request_id, now_s)
        digest = reservation.granted.request.digest
        if self._request_by_digest.get(digest) == request_id:
            del self._request_by_digest[digest]

    def record_prefill_end(
        self, request_id: RequestId, attempt: int, cached: int, now_s: float
    ) -> None:
        """Records the end of a prefill and the cached tokens that it used."""
        reservation = self._find(request_id, attempt)
        if reservation is None or reservation.stage is not Stage.PREFILL:
            return
        reservation.stage = Stage.DECODE
        view = self._view_of(reservation.granted.prefill)
        if view is None:
            return
        request = reservation.granted.request
        expected = view.prefixes.cached_tokens(request.blocks)
        view.prefixes.correct_after_prefill(request.blocks, expected, cached)
        started_at_s = max(reservation.at_s, view.work_since_s)
        view.observe_prefill_time(
            view.prefill_s(request.prompt_tokens - cached), now_s - started_at_s
        )
        view.ramp.count_completion()
        view.release(request_id, now_s)

    def record_first_token(
        self, request_id: RequestId, attempt: int, now_s: float
    ) -> None:
        """Records the first token of an attempt."""
        reservation = self._find(request_id, attempt)
        if reservation is None:
            return
        view = self._view_of(reservation.granted.decode)
        if view is None:
            return
        if reservation.expected_s:
            self.first_token_margin.observe(
                expected_s=reservation.expected_s,
                actual_s=now_s - reservation.at_s,
            )
        view.finish_work(request_id, now_s)
        view.end_exclusive_use(request_id)
        self._crashes.record_first_token(reservation.granted.request)

    def end_attempt(
        self,
        request_id: RequestId,
        attempt: int,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        """Records the end of an attempt and releases its reservation."""
        reservation = self._find(request_id, attempt)
        if reservation is None:
            return
        if result.failure is not None:
            self._record_failure(reservation, result.failure, now_s)
        view = self._view_of(reservation.granted.decode)
        if view is not None and result.is_complete:
            view.ramp.count_completion()
            view.observe_token_s(result.token_s)
        self._refund_unused_tokens(reservation, result)
        self.release(request_id, now_s)

    def restore(self, granted: Granted, stage: Stage, now_s: float) -> None:
        """Restores a reservation that an earlier owner granted."""
        if granted.request.request_id in self._reserved:
            return
        occupancy = Occupancy(granted.request.kv_pieces, 0.0, is_working=False)
        self.reserve(granted, occupancy, now_s, stage)

    def confirm_live(
        self, vm_id: VmId, live: Collection[RequestId], now_s: float
    ) -> None:
        """Confirms the reservations that a VM lists and releases its others."""
        for reservation in tuple(self._reserved.values()):
            if reservation.vm_id != vm_id:
                continue
            if reservation.request_id in live:
                reservation.confirmed_at_s = now_s
            elif now_s - reservation.at_s > UNCLAIMED_S:
                self.release(reservation.request_id, now_s)

    def release_unconfirmed(self, now_s: float) -> None:
        """Releases reservations not confirmed for ``MAX_UNCONFIRMED_S``.

        Holdings that the engines still report go on counting as used.
        """
        for reservation in tuple(self._reserved.values()):
            if now_s - reservation.confirmed_at_s > MAX_UNCONFIRMED_S:
                self.release(reservation.request_id, now_s)

    def _find(self, request_id: RequestId, attempt: int) -> Reservation | None:
        reservation = self._reserved.get(request_id)
        if (
            reservation is None
            or reservation.granted.request.attempt != attempt
        ):
            return None
        return reservation

    def _record_failure(
        self, reservation: Reservation, failure: Failure, now_s: float
    ) -> None:
        view = self._view_of(failure.upstream_id)
        if view is None:
            return
        if failure.kind in {FailureKind.DISCONNECTED, FailureKind.UNREACHABLE}:
            view.health = Health.DOWN
        if (
            failure.kind is not FailureKind.DISCONNECTED
            or not reservation.is_on(view)
        ):
            return
        self._crashes.record_disconnect(
            Crash(view.upstream_id, view.boot),
            view.upstream.domain_id,
            [
                RunningPrompt(
                    other.granted.request.digest,
                    other.granted.request.blocks,
                    view.is_alone(other.request_id),
                )
                for other in self._reserved.values()
                if other.is_on(view) and other.granted.request.digest
            ],
            now_s,
        )

    def _refund_unused_tokens(
        self, reservation: Reservation, result: AttemptResult
    ) -> None:
        request = reservation.granted.request
        unused_tokens = max(0, request.max_tokens - result.tokens)
        self._queue.refund(
            request.workspace_id, OUTPUT_TOKEN_COST * unused_tokens
        )


__all__ = ('ReservationTable',)
