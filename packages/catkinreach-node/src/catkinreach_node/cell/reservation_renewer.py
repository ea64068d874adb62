"""Renewal of an entry node's reservations with the owner of one cell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.messages.cell import (
    ReservationRenewal,
    ReservationRenewalReply,
)

from ..peers.transport import PeerUnreachableError

if TYPE_CHECKING:
    from catkinreach_core.ids import RequestId, ShardId, VmId

    from ..component import NodeContext
    from .cell_owner import CellOwner
    from .held_reservations import HeldReservations
    from .owner_reachability import OwnerReachability
    from .replicated_state import ReplicatedState

RENEW_TIMEOUT_S = 0.3


class ReservationRenewer:
    """Renews the held reservations; stores the state in the replies."""

    def __init__(
        self,
        context: NodeContext,
        local_owner: CellOwner,
        shard: ShardId,
        *,
        reachability: OwnerReachability,
        held: HeldReservations,
        replicated: ReplicatedState,
    ) -> None:
        """Starts without a known owner."""
        self._context = context
        self._local_owner = local_owner
        self._shard = shard
        self._reachability = reachability
        self._held = held
        self._replicated = replicated
        self._known_owner: VmId | None = None
        self._requested_details: tuple[RequestId, ...] = ()

    async def renew(self) -> None:
        """Renews the reservations, then sends the details asked for."""
        owner = self._reachability.known_owner()
        if owner is None:
            return
        if owner != self._known_owner:
            self._known_owner = owner
            self._replicated.request_full_renewal()
        try:
            reply = await self._send_renewal(owner)
        except PeerUnreachableError:
            self._reachability.mark_unreachable(owner)
            return
        except CatkinreachError:
            return
        self._reachability.mark_reached()
        self._replicated.apply_reply(reply)
        if reply.unknown:
            self._requested_details = reply.unknown
            await self._renew_with_details(owner)

    async def _renew_with_details(self, owner: VmId) -> None:
        try:
            self._replicated.apply_reply(await self._send_renewal(owner))
        except (PeerUnreachableError, CatkinreachError):
            return
        finally:
            self._requested_details = ()

    async def _send_renewal(self, owner: VmId) -> ReservationRenewalReply:
        message = self._replicated.add_to(
            ReservationRenewal(
                shard=self._shard,
                incarnation=self._context.incarnation,
                live=self._held.request_ids,
                told=self._held.details_of(self._requested_details),
            )
        )
        if owner == self._context.settings.vm_id:
            return self._local_owner.handle_renewal(owner, message)
        return await self._context.transport.call(
            owner, message, ReservationRenewalReply, timeout_s=RENEW_TIMEOUT_S
        )


__all__ = ('ReservationRenewer',)
