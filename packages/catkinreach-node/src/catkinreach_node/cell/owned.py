"""One cell that this node owns, with the requests that await its decision."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from catkinreach_core.cell.placement_request import Granted
from catkinreach_core.cell.suspects import Crash
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.messages.cell import (
    FirstTokenReceived,
    PrefillFinished,
    QuarantinedPrompt,
    ReservationRenewalReply,
    SuspectedPrompt,
    WarmupProgress,
)

from .convert import to_ending, to_granted

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.cell.configured_cell import ConfiguredCell
    from catkinreach_core.cell.placement_request import PlacementRequest
    from catkinreach_core.ids import RequestId, VmId
    from catkinreach_core.messages.cell import AttemptEnded, ReservationRenewal
    from catkinreach_core.ownership.tenure import Tenure

QUEUED_PUMP_S = 0.02
"""Longest time between two looks at a queue that is not empty."""

REBUILD_S = 1.0
"""Time for the entry nodes to tell a new owner what they hold."""


class OwnedCell:
    """Feeds events to a cell and hands its decisions to those who wait."""

    def __init__(
        self,
        membership: ConfiguredCell,
        tenure: Tenure,
        may_act: Callable[[], bool] = lambda: True,
    ) -> None:
        """Starts a tenure; nothing is placed until it is rebuilt.

        Args:
            membership: The cell.
            tenure: This node's ownership of it.
            may_act: Tells, right before a decision, whether it still holds.
        """
        self._may_act = may_act
        self.membership = membership
        self.cell = membership.cell
        self.tenure = tenure
        self.cell.placement_starts_at_s = time.monotonic() + REBUILD_S
        self._waiters: dict[RequestId, asyncio.Future[Granted]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._told: object = None
        self._version = 0
        self._rebuilt_from: set[VmId] = set()
        self.placed = 0
        self.refused = 0
        self.busy_s = 0.0

    async def place(self, ask: PlacementRequest) -> Granted:
        """Returns the places of a request once it has its turn.

        Raises:
            CatkinreachError: a refusal before anything ran.
        """
        self._answer(
            ask.request_id, CatkinreachError(ErrorKind.NO_OWNER, 'asked again')
        )
        waiter: asyncio.Future[Granted] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[ask.request_id] = waiter
        self.cell.submit(ask, time.monotonic())
        self.pump()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.cell.withdraw(ask.request_id, time.monotonic())
            raise
        finally:
            if self._waiters.get(ask.request_id) is waiter:
                del self._waiters[ask.request_id]

    def pump(self) -> None:
        """Makes every decision that is due and sets the next alarm.

        A process that was paused may have lost its tenure and not know yet.
        """
        if not self._may_act():
            return
        started_s = time.perf_counter()
        for decision in self.cell.process_queue(time.monotonic()):
            if isinstance(decision, Granted):
                self.placed += 1
                self._answer(decision.request.request_id, decision)
            else:
                self.refused += 1
                self._answer(
                    decision.request.request_id,
                    CatkinreachError(decision.kind, decision.detail),
                )
        self.busy_s += time.perf_counter() - started_s
        self._set_timer()

    def withdraw(self, request_id: RequestId) -> None:
        """Forgets a request whose caller is gone."""
        self.cell.withdraw(request_id, time.monotonic())
        self._answer(request_id, CatkinreachError(ErrorKind.NO_OWNER))
        self.pump()

    def take(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        """Takes an entry node's report on a reservation."""
        ledger = self.cell.reservations
        now_s = time.monotonic()
        request_id, attempt = message.request_id, message.attempt
        if isinstance(message, PrefillFinished):
            ledger.record_prefill_end(
                request_id, attempt, message.cached_tokens, now_s
            )
        elif isinstance(message, FirstTokenReceived):
            ledger.record_first_token(request_id, attempt, now_s)
        else:
            ledger.end_attempt(request_id, attempt, to_ending(message), now_s)
        self.pump()

    def renew(
        self, sender: VmId, message: ReservationRenewal
    ) -> ReservationRenewalReply:
        """Takes what an entry node holds."""
        now_s = time.monotonic()
        cell = self.cell
        for one in message.told:
            granted, stage = to_granted(one)
            cell.reservations.restore(granted, stage, now_s)
        cell.reservations.confirm_live(sender, frozenset(message.live), now_s)
        self._learn(message, now_s)
        unknown = tuple(
            request_id
            for request_id in message.live
            if request_id not in cell.reserved
        )
        if not unknown:
            self._rebuilt_from.add(sender)
        self.pump()
        return self._renewed(message.seen, unknown, now_s)

    def open_if_rebuilt(self, vms: set[VmId]) -> None:
        """Begins to place once every entry node has told what it holds."""
        if vms <= self._rebuilt_from:
            self.cell.placement_starts_at_s = 0.0
            self.pump()

    def close(self) -> None:
        """Sends everyone who waits to the next owner."""
        if self._timer is not None:
            self._timer.cancel()
        for request_id in tuple(self._waiters):
            self._answer(request_id, CatkinreachError(ErrorKind.NO_OWNER))

    def _learn(self, message: ReservationRenewal, now_s: float) -> None:
        suspects = self.cell.crashes.suspects
        for prompt in message.quarantined:
            suspects.quarantine(prompt.digest, prompt.left_s, now_s)
        for one in message.suspected:
            suspects.record_crash(
                one.digest,
                Crash(one.upstream_id, one.boot),
                was_alone=False,
                now_s=now_s,
            )
        for engine in message.warm:
            view = self.cell.view(engine.upstream_id)
            if view is not None and view.boot in {'', engine.boot}:
                view.boot = engine.boot
                view.ramp.merge_completed(engine.completed)

    def _renewed(
        self, seen: int, unknown: tuple[RequestId, ...], now_s: float
    ) -> ReservationRenewalReply:
        news = self._news(now_s)
        told = (
            news.warm,
            tuple(one.digest for one in news.quarantined),
            news.suspected,
        )
        if told != self._told:
            self._told = told
            self._version += 1
        if seen == self._version:
            return ReservationRenewalReply(
                term=self.tenure.term, version=self._version, unknown=unknown
            )
        return msgspec.structs.replace(
            news, version=self._version, unknown=unknown
        )

    def _news(self, now_s: float) -> ReservationRenewalReply:
        suspects = self.cell.crashes.suspects
        return ReservationRenewalReply(
            term=self.tenure.term,
            warm=tuple(
                WarmupProgress(
                    upstream_id=view.upstream_id,
                    boot=view.boot,
                    completed=view.ramp.completed_up_to(view.upstream.places),
                )
                for view in self.cell.views
                if view.boot and view.ramp.completed
            ),
            quarantined=tuple(
                QuarantinedPrompt(digest=digest, left_s=left_s)
                for digest, left_s in suspects.quarantined(now_s).items()
            ),
            suspected=tuple(
                SuspectedPrompt(
                    digest=digest,
                    upstream_id=crash.upstream_id,
                    boot=crash.boot,
                )
                for digest, crash in suspects.suspicions()
            ),
        )

    def _answer(
        self, request_id: RequestId, answer: Granted | CatkinreachError
    ) -> None:
        waiter = self._waiters.get(request_id)
        if waiter is None or waiter.done():
            if isinstance(answer, Granted):
                logger.debug('cell: nobody waits for {}.', request_id)
            return
        if isinstance(answer, Granted):
            waiter.set_result(answer)
        else:
            waiter.set_exception(answer)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_s = self.cell.next_due_s()
        if due_s is None:
            return
        wait_s = min(QUEUED_PUMP_S, max(0.0, due_s - time.monotonic()))
        self._timer = asyncio.get_running_loop().call_later(wait_s, self.pump)


__all__ = ('REBUILD_S', 'OwnedCell')
