"""One cell that this node owns, with the requests that await a decision."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from catkinreach_core.cell.placement_request import Granted
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.messages.cell import (
    FirstTokenReceived,
    PrefillFinished,
)

from .message_conversion import to_attempt_result, to_reservation
from .shared_state import SharedState

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.cell.configured_cell import ConfiguredCell
    from catkinreach_core.cell.placement_request import PlacementRequest
    from catkinreach_core.ids import RequestId, VmId
    from catkinreach_core.messages.cell import (
        AttemptEnded,
        ReservationRenewal,
        ReservationRenewalReply,
    )
    from catkinreach_core.ownership.tenure import Tenure

QUEUE_CHECK_INTERVAL_S = 0.02
"""Longest time between two checks of a queue that isn't empty."""

REPORT_WAIT_S = 1.0
"""Longest time for which a new owner waits for reports before it places.

It can't count reservations that the previous owner granted until the entry
nodes have reported them.
"""


class OwnedCell:
    """Runs a cell for one tenure and answers its queued requests.

    It passes the messages of entry nodes to the cell and completes the
    waiting calls with the cell's decisions.

    Attributes:
        configured_cell: The cell with the settings that it follows.
        cell: The cell itself.
        tenure: This node's ownership of the cell.
        placed: Number of requests placed in the tenure.
        refused: Number of requests refused in the tenure.
        busy_s: Time that the decisions have taken.
    """

    def __init__(
        self,
        configured_cell: ConfiguredCell,
        tenure: Tenure,
        is_still_owner: Callable[[], bool] = lambda: True,
    ) -> None:
        """Starts a tenure; nothing is placed before entry nodes have reported.

        Args:
            configured_cell: The cell, which follows the settings.
            tenure: This node's ownership of it.
            is_still_owner: Returns whether the tenure still holds; called
                before each round of decisions.
        """
        self._is_still_owner = is_still_owner
        self.configured_cell = configured_cell
        self.cell = configured_cell.cell
        self.tenure = tenure
        self.cell.placement_starts_at_s = time.monotonic() + REPORT_WAIT_S
        self._waiters: dict[RequestId, asyncio.Future[Granted]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._shared_state = SharedState(self.cell, tenure.term)
        self._reported_vms: set[VmId] = set()
        self.placed = 0
        self.refused = 0
        self.busy_s = 0.0

    async def place(self, request: PlacementRequest) -> Granted:
        """Returns the engines granted to a request once it leaves the queue.

        Raises:
            CatkinreachError: a refusal before anything ran.
        """
        self._complete_call(
            request.request_id,
            CatkinreachError(
                ErrorKind.NO_OWNER, 'the request was submitted again'
            ),
        )
        waiter: asyncio.Future[Granted] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[request.request_id] = waiter
        self.cell.submit(request, time.monotonic())
        self.process_decisions()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.cell.withdraw(request.request_id, time.monotonic())
            raise
        finally:
            if self._waiters.get(request.request_id) is waiter:
                del self._waiters[request.request_id]

    def process_decisions(self) -> None:
        """Returns due decisions to their calls and sets the timer for the next.

        A paused process may have lost its tenure without having noticed, so
        ownership is checked first.
        """
        if not self._is_still_owner():
            return
        started_s = time.perf_counter()
        for decision in self.cell.process_queue(time.monotonic()):
            if isinstance(decision, Granted):
                self.placed += 1
                self._complete_call(decision.request.request_id, decision)
            else:
                self.refused += 1
                self._complete_call(
                    decision.request.request_id,
                    CatkinreachError(decision.kind, decision.detail),
                )
        self.busy_s += time.perf_counter() - started_s
        self._set_timer()

    def withdraw(self, request_id: RequestId) -> None:
        """Removes a request whose caller has disconnected."""
        self.cell.withdraw(request_id, time.monotonic())
        self._complete_call(request_id, CatkinreachError(ErrorKind.NO_OWNER))
        self.process_decisions()

    def record_report(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        """Records an entry node's report on a reservation."""
        reservations = self.cell.reservations
        now_s = time.monotonic()
        request_id, attempt = message.request_id, message.attempt
        if isinstance(message, PrefillFinished):
            reservations.record_prefill_end(
                request_id, attempt, message.cached_tokens, now_s
            )
        elif isinstance(message, FirstTokenReceived):
            reservations.record_first_token(request_id, attempt, now_s)
        else:
            reservations.end_attempt(
                request_id, attempt, to_attempt_result(message), now_s
            )
        self.process_decisions()

    def handle_renewal(
        self, sender: VmId, message: ReservationRenewal
    ) -> ReservationRenewalReply:
        """Records an entry node's reservations; returns the shared state.

        The reply names the reservations that are unknown to this owner; the
        node sends their details in its next call.
        """
        now_s = time.monotonic()
        cell = self.cell
        for live in message.told:
            granted, stage = to_reservation(live)
            cell.reservations.restore(granted, stage, now_s)
        cell.reservations.confirm_live(sender, frozenset(message.live), now_s)
        self._shared_state.merge(message, now_s)
        unknown = tuple(
            request_id
            for request_id in message.live
            if request_id not in cell.reserved
        )
        if not unknown:
            self._reported_vms.add(sender)
        self.process_decisions()
        reply = self._shared_state.make_reply(message.seen, now_s)
        return msgspec.structs.replace(reply, unknown=unknown)

    def place_if_all_reported(self, vms: set[VmId]) -> None:
        """Starts to place once all of ``vms`` have reported reservations."""
        if vms <= self._reported_vms:
            self.cell.placement_starts_at_s = 0.0
            self.process_decisions()

    def close(self) -> None:
        """Fails the queued requests with ``NO_OWNER``; their nodes retry."""
        if self._timer is not None:
            self._timer.cancel()
        for request_id in tuple(self._waiters):
            self._complete_call(
                request_id, CatkinreachError(ErrorKind.NO_OWNER)
            )

    def _complete_call(
        self, request_id: RequestId, answer: Granted | CatkinreachError
    ) -> None:
        """Returns or raises a decision in the call that waits for it."""
        waiter = self._waiters.get(request_id)
        if waiter is None or waiter.done():
            if isinstance(answer, Granted):
                logger.debug(
                    'cell: no call waits for the placement of {}.', request_id
                )
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
        wait_s = min(QUEUE_CHECK_INTERVAL_S, max(0.0, due_s - time.monotonic()))
        self._timer = asyncio.get_running_loop().call_later(
            wait_s, self.process_decisions
        )


__all__ = ('REPORT_WAIT_S', 'OwnedCell')
