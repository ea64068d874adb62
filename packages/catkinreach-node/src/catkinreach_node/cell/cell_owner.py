"""Component that runs the cells whose shards this node owns."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.cell.configured_cell import ConfiguredCell
from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.fleet_list import VmState
from catkinreach_core.messages.cell import (
    AttemptEnded,
    FirstTokenReceived,
    PlaceReply,
    PlaceRequest,
    PrefillFinished,
    RequestWithdrawn,
    ReservationRenewal,
    ReservationRenewalReply,
)
from catkinreach_core.ownership.shards import cell_shard
from catkinreach_core.settings.fleet import QueuePolicy, ServiceKind

from ..component import NodeComponent
from .message_conversion import to_placement_request
from .owned_cell import OwnedCell

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.cell.placement_request import (
        Granted,
        PlacementRequest,
    )
    from catkinreach_core.ids import ShardId, VmId
    from catkinreach_core.ownership.tenure import Tenure
    from catkinreach_core.settings.fleet import FleetSettings, Service

    from ..component import NodeContext

OWNERSHIP_CHECK_INTERVAL_S = 0.25
"""Time between two checks of which cells this node owns."""


class CellOwner(NodeComponent):
    """Starts, runs and stops the cells whose shards this node owns.

    It passes the calls and reports of entry nodes to the cell that they name.
    """

    def __init__(self, context: NodeContext) -> None:
        """Registers the handlers for the messages of entry nodes."""
        self._context = context
        self._owned: dict[ShardId, OwnedCell] = {}
        self._is_leaving = False
        transport = context.transport
        transport.on_call(PlaceRequest, self._on_place)
        transport.on_call(ReservationRenewal, self._on_renewal)
        transport.on_message(RequestWithdrawn, self._on_request_withdrawn)
        transport.on_message(PrefillFinished, self._on_prefill_finished)
        transport.on_message(FirstTokenReceived, self._on_first_token)
        transport.on_message(AttemptEnded, self._on_attempt_ended)
        context.state.on_change(self._apply_settings)

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'cells'

    @property
    def owned(self) -> tuple[OwnedCell, ...]:
        """Returns the cells that this node owns now."""
        return tuple(self._owned.values())

    async def run(self) -> None:
        """Starts and stops cells as the ownership of their shards changes."""
        while True:
            with suppress(CatkinreachError):
                self._sync_ownership(self._context.state.settings)
            await asyncio.sleep(OWNERSHIP_CHECK_INTERVAL_S)

    async def hand_over(self) -> None:
        """Stops all cells; their queued requests retry with the next owner."""
        self._is_leaving = True
        for shard in tuple(self._owned):
            self._release(shard)

    async def place(self, shard: ShardId, request: PlacementRequest) -> Granted:
        """Queues a request of any node; returns the engines granted to it.

        Raises:
            CatkinreachError: ``NO_OWNER`` or a refusal of the request.
        """
        return await self._require_cell(shard).place(request)

    def handle_renewal(
        self, sender: VmId, message: ReservationRenewal
    ) -> ReservationRenewalReply:
        """Records the reservations that an entry node reports as live.

        Raises:
            CatkinreachError: ``NO_OWNER``.
        """
        return self._require_cell(message.shard).handle_renewal(sender, message)

    def record_report(
        self,
        message: PrefillFinished
        | FirstTokenReceived
        | AttemptEnded
        | RequestWithdrawn,
    ) -> None:
        """Records a report on a reservation; ignores cells owned elsewhere."""
        owned = self._owned.get(message.shard)
        if owned is None:
            return
        if isinstance(message, RequestWithdrawn):
            owned.withdraw(message.request_id)
        else:
            owned.record_report(message)

    def status(self) -> Mapping[str, object]:
        """Returns the state of the owned cells: term, queue and engines."""
        return {
            shard: _cell_status(owned) for shard, owned in self._owned.items()
        }

    async def _on_place(
        self, sender: VmId, message: PlaceRequest
    ) -> PlaceReply:
        del sender
        granted = await self.place(
            message.shard, to_placement_request(message.ask)
        )
        return PlaceReply(
            prefill=granted.prefill,
            decode=granted.decode,
            is_alone=granted.is_alone,
        )

    async def _on_renewal(
        self, sender: VmId, message: ReservationRenewal
    ) -> ReservationRenewalReply:
        return self.handle_renewal(sender, message)

    def _on_request_withdrawn(
        self, sender: VmId, message: RequestWithdrawn
    ) -> None:
        del sender
        self.record_report(message)

    def _on_prefill_finished(
        self, sender: VmId, message: PrefillFinished
    ) -> None:
        del sender
        self.record_report(message)

    def _on_first_token(
        self, sender: VmId, message: FirstTokenReceived
    ) -> None:
        del sender
        self.record_report(message)

    def _on_attempt_ended(self, sender: VmId, message: AttemptEnded) -> None:
        del sender
        self.record_report(message)

    def _require_cell(self, shard: ShardId) -> OwnedCell:
        """Returns an owned cell after a check that the shard is still owned.

        Raises:
            CatkinreachError: ``NO_OWNER``.
        """
        with suppress(CatkinreachError):
            self._sync_shard(self._context.state.settings, shard)
        owned = self._owned.get(shard)
        if owned is None:
            raise CatkinreachError(ErrorKind.NO_OWNER)
        return owned

    def _sync_ownership(self, settings: FleetSettings) -> None:
        """Starts and stops cells by their ownership; makes due decisions."""
        services = _model_services(settings)
        for shard in {*services, *self._owned}:
            self._sync_shard(settings, shard)
        live_vms = {
            entry.id
            for entry in self._context.state.vms.vms
            if entry.state is VmState.LIVE
        }
        for owned in self._owned.values():
            owned.cell.reservations.release_unconfirmed(time.monotonic())
            owned.place_if_all_reported(live_vms)
            owned.process_decisions()

    def _sync_shard(self, settings: FleetSettings, shard: ShardId) -> None:
        """Starts, replaces or stops a cell by the tenure of its shard."""
        service = _model_services(settings).get(shard)
        tenure = self._context.ownership.tenure_of(shard, time.monotonic())
        owned = self._owned.get(shard)
        if tenure is None or service is None or self._is_leaving:
            self._release(shard)
            return
        if owned is not None and owned.tenure.term == tenure.term:
            return
        self._release(shard)
        policy = settings.queue.policy
        configured_cell = ConfiguredCell(
            settings,
            service,
            reserves_decode=policy is not QueuePolicy.NO_RESERVATION,
        )
        self._owned[shard] = OwnedCell(
            configured_cell, tenure, lambda: self._is_still_owner(tenure)
        )
        logger.info('cell: became owner of {} in term {}.', shard, tenure.term)

    def _is_still_owner(self, tenure: Tenure) -> bool:
        now_s = time.monotonic()
        current = self._context.ownership.tenure_of(tenure.shard, now_s)
        return current is not None and current.term == tenure.term

    def _release(self, shard: ShardId) -> None:
        owned = self._owned.pop(shard, None)
        if owned is not None:
            owned.close()
            logger.info('cell: released ownership of {}.', shard)

    def _apply_settings(self) -> None:
        for owned in self._owned.values():
            owned.configured_cell.apply_settings(self._context.state.settings)
            owned.process_decisions()


def _model_services(settings: FleetSettings) -> dict[ShardId, Service]:
    return {
        cell_shard(service.service_id): service
        for service in settings.services.values()
        if service.kind is ServiceKind.MODEL
    }


def _cell_status(owned: OwnedCell) -> dict[str, object]:
    cell = owned.cell
    now_s = time.monotonic()
    return {
        'term': owned.tenure.term,
        'waiting': len(cell.queue),
        'waiting_tokens': cell.queue.tokens,
        'reserved': len(cell.reserved),
        'placed': owned.placed,
        'refused': owned.refused,
        'busy_s': owned.busy_s,
        'outage': cell.unavailable_dependency,
        'quarantined': sorted(cell.crashes.suspects.quarantined(now_s)),
        'suspects': cell.crashes.suspects.suspect_count,
        'engines': {
            view.upstream_id: {
                'health': view.health.value,
                'in_service': view.is_in_service,
                'used_places': view.used_places,
                'places': view.places,
                'foreign_places': view.foreign_places,
                'free_pieces': view.free_pieces,
                'completed': view.ramp.completed,
                'pace': view.time_factor,
            }
            for view in cell.views
        },
    }


__all__ = ('CellOwner',)
