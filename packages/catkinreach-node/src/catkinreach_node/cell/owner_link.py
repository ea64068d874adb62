"""Link of an entry node to the owner of one cell.

The owner places the node's requests. While no owner is reachable, the node
places them locally, on its share of the engines last reported as warm.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from catkinreach_core.cell.placement_request import Granted, Stage
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.messages.cell import (
    AttemptEnded,
    FirstTokenReceived,
    PlaceReply,
    PlaceRequest,
    PrefillFinished,
    RequestWithdrawn,
)

from ..peers.transport import PeerUnreachableError
from .fallback import FallbackCell
from .held_reservations import HeldReservations
from .message_conversion import to_placement_details
from .owner_reachability import OwnerReachability
from .replicated_state import ReplicatedState
from .reservation_renewer import ReservationRenewer

if TYPE_CHECKING:
    from catkinreach_core.cell.placement_request import PlacementRequest
    from catkinreach_core.ids import ShardId, VmId
    from catkinreach_core.settings.fleet import Service

    from ..component import NodeContext
    from .cell_owner import CellOwner

COLD_ENGINES_AFTER_S = 4.0
"""Time without an owner after which nodes also use cold engines.

Each cold engine is then shared between a few nodes; see ``FallbackCell``.
"""

NO_OWNER_TIMEOUT_S = 0.3
"""Time for which a VM may answer ``NO_OWNER`` before it counts as lost."""

RETRY_INTERVAL_S = 0.02
CALL_SLACK_S = 2.0
"""Time that a placement call may take beyond the longest time in a queue."""


class OwnerLink:
    """Requests placement from a cell's owner and reports on reservations.

    It renews the node's reservations with the owner; see
    ``ReservationRenewer``. While no owner is reachable it places locally.
    """

    def __init__(
        self,
        context: NodeContext,
        local_owner: CellOwner,
        shard: ShardId,
        service: Service,
    ) -> None:
        """Starts without a reservation."""
        self._context = context
        self._local_owner = local_owner
        self._shard = shard
        self._fallback = FallbackCell(context, service)
        self._held = HeldReservations()
        self._replicated = ReplicatedState()
        self._reachability = OwnerReachability(context.ownership, shard)
        self._renewer = ReservationRenewer(
            context,
            local_owner,
            shard,
            reachability=self._reachability,
            held=self._held,
            replicated=self._replicated,
        )
        self.placed_locally = 0

    @property
    def held_count(self) -> int:
        """Returns the number of live reservations."""
        return len(self._held)

    @property
    def is_owner_unreachable(self) -> bool:
        """Returns whether no owner is known or reachable."""
        return self._reachability.reachable_owner() is None

    async def place(
        self, request: PlacementRequest, accepted_at_s: float
    ) -> Granted:
        """Returns the engines granted to a request once it leaves the queue.

        The owner drops what an earlier attempt holds; see ``report_kept``.

        Raises:
            CatkinreachError: a refusal before this attempt ran.
        """
        if self._replicated.is_quarantined(request.digest):
            raise CatkinreachError(ErrorKind.REQUEST_QUARANTINED)
        self._held.drop(request.request_id)
        granted = await self._place_with_retries(request, accepted_at_s)
        self._held.hold(granted)
        return granted

    def report_prefill(self, granted: Granted, cached_tokens: int) -> None:
        """Reports the end of a prefill to the owner."""
        self._held.record_prefill_end(granted.request.request_id)
        self._report(
            PrefillFinished(
                shard=self._shard,
                request_id=granted.request.request_id,
                attempt=granted.request.attempt,
                cached_tokens=cached_tokens,
            )
        )

    def report_first_token(self, granted: Granted) -> None:
        """Reports the first token of an attempt to the owner."""
        self._report(
            FirstTokenReceived(
                shard=self._shard,
                request_id=granted.request.request_id,
                attempt=granted.request.attempt,
            )
        )

    def report_kept(self, granted: Granted) -> None:
        """Holds an attempt in its decode that goes on beside a withdrawn one.

        The next renewal tells the owner.
        """
        self._held.hold(granted, Stage.DECODE)

    def report_end(self, message: AttemptEnded) -> None:
        """Reports the end of an attempt to the owner."""
        self._held.record_end(message)
        self._report(message)

    def make_end_report(
        self, granted: Granted, **fields: object
    ) -> AttemptEnded:
        """Returns a report of an attempt's end with the given fields."""
        return AttemptEnded(
            shard=self._shard,
            request_id=granted.request.request_id,
            attempt=granted.request.attempt,
            **fields,  # type: ignore[arg-type]
        )

    async def renew(self) -> None:
        """Renews this node's reservations; stores the state from the reply."""
        await self._renewer.renew()

    def retry_failed_engines(self) -> None:
        """Lets the fallback retry engines that failed."""
        self._fallback.retry_failed_engines()

    async def _place_with_retries(
        self, request: PlacementRequest, accepted_at_s: float
    ) -> Granted:
        no_owner_since_s: float | None = None
        max_age_s = self._context.state.settings.queue.max_age_s
        deadline_s = time.monotonic() + max_age_s + CALL_SLACK_S
        while (now_s := time.monotonic()) <= deadline_s:
            current = replace(request, age_s=now_s - accepted_at_s)
            owner = self._reachability.reachable_owner()
            if owner is None and self._can_place_locally():
                return await self._place_locally(current)
            if owner is None:
                await self._wait_for_owner(accepted_at_s)
                accepted_at_s = time.monotonic()
                continue
            try:
                return await self._request_from_owner(owner, current)
            except PeerUnreachableError:
                self._reachability.mark_unreachable(owner)
            except CatkinreachError as error:
                if error.kind is not ErrorKind.NO_OWNER:
                    raise
                no_owner_since_s = no_owner_since_s or now_s
                if now_s - no_owner_since_s > NO_OWNER_TIMEOUT_S:
                    self._reachability.mark_unreachable(owner)
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise CatkinreachError(ErrorKind.NO_OWNER)

    async def _request_from_owner(
        self, owner: VmId, request: PlacementRequest
    ) -> Granted:
        if owner == self._context.settings.vm_id:
            return await self._local_owner.place(self._shard, request)
        max_age_s = self._context.state.settings.queue.max_age_s
        call = asyncio.ensure_future(
            self._context.transport.call(
                owner,
                PlaceRequest(
                    shard=self._shard, ask=to_placement_details(request)
                ),
                PlaceReply,
                timeout_s=max_age_s + CALL_SLACK_S,
            )
        )
        owner_lost = asyncio.ensure_future(self._reachability.wait_until_lost())
        try:
            await asyncio.wait(
                {call, owner_lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if not call.done():
                raise PeerUnreachableError(owner)
            reply = call.result()
        except asyncio.CancelledError:
            self._withdraw(owner, request)
            raise
        finally:
            call.cancel()
            owner_lost.cancel()
        return Granted(request, reply.prefill, reply.decode, reply.is_alone)

    async def _wait_for_owner(self, accepted_at_s: float) -> None:
        """Waits until an owner is reachable or the node may place locally.

        A new fleet has no warm engine, so it can't place locally at first.

        Raises:
            CatkinreachError: ``NO_OWNER`` after the queue's longest wait.
        """
        max_age_s = self._context.state.settings.queue.max_age_s
        end_s = accepted_at_s + max_age_s
        while (
            self._reachability.reachable_owner() is None
            and not self._can_place_locally()
        ):
            if time.monotonic() > end_s:
                raise CatkinreachError(ErrorKind.NO_OWNER)
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _can_place_locally(self) -> bool:
        without_owner_s = self._reachability.without_owner_s
        return self._fallback.can_serve(
            self._replicated.warm_engines,
            may_use_cold=without_owner_s > COLD_ENGINES_AFTER_S,
        )

    async def _place_locally(self, request: PlacementRequest) -> Granted:
        self.placed_locally += 1
        return await self._fallback.place(request, self._held.with_stages())

    def _withdraw(self, owner: VmId, request: PlacementRequest) -> None:
        self._context.transport.send(
            owner,
            RequestWithdrawn(shard=self._shard, request_id=request.request_id),
        )

    def _report(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        self._fallback.record_report(message)
        owner = self._reachability.known_owner()
        if owner == self._context.settings.vm_id:
            self._local_owner.record_report(message)
        elif owner is not None:
            self._context.transport.send(owner, message)


__all__ = ('OwnerLink',)
