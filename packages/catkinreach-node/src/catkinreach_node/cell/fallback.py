"""Placement by an entry node that can't reach the owner of a cell.

The node uses an equal share of each engine's places, less those of its own
requests, and avoids engines that no owner reported as warm. Engines refuse
requests beyond their places.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from catkinreach_core.cell.configured_cell import ConfiguredCell
from catkinreach_core.cell.engine_view import Health
from catkinreach_core.fleet_list import VmState
from catkinreach_core.ids import ShardId
from catkinreach_core.ownership.shards import cell_shard
from catkinreach_core.ownership.tenure import Tenure
from catkinreach_core.rendezvous import rank_vms

from .owned_cell import OwnedCell

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinreach_core.cell.placement_request import (
        Granted,
        PlacementRequest,
        Stage,
    )
    from catkinreach_core.ids import VmId
    from catkinreach_core.messages.cell import (
        AttemptEnded,
        FirstTokenReceived,
        PrefillFinished,
        WarmupProgress,
    )
    from catkinreach_core.settings.fleet import Service, Upstream

    from ..component import NodeContext

ENGINE_RETRY_S = 1.0
"""Time for which a failed engine gets no requests.

Nothing polls the engines of a fallback cell, so a retry is the only
check of a failed engine.
"""


class FallbackCell:
    """Places requests within this node's share while no owner is reachable.

    Every live VM has an equal share of each engine of the cell.
    """

    def __init__(self, context: NodeContext, service: Service) -> None:
        """Starts without a cell, which is built at its first use."""
        self._context = context
        self._service = service
        self._owned: OwnedCell | None = None
        self._down_since_s: dict[str, float] = {}

    def can_serve(
        self, warm: Iterable[WarmupProgress], *, may_use_cold: bool
    ) -> bool:
        """Returns whether both pools have an engine that this node may use.

        Engines that aren't in ``warm`` are used only with
        ``may_use_cold``. Each then serves one request at a time from each of
        as many nodes as it has cold places: those that rank first for it.
        """
        cell = self._updated_cell().cell
        for view in cell.views:
            is_assigned = may_use_cold and self._may_use_cold(view.upstream)
            view.ramp.set_cold_places(int(is_assigned))
        for engine in warm:
            known = cell.view(engine.upstream_id)
            if known is not None:
                known.ramp.merge_completed(engine.completed)
        return all(
            any(view.is_usable and view.places for view in pool)
            for pool in (cell.placer.prefill, cell.placer.decode)
        )

    async def place(
        self, request: PlacementRequest, held: Iterable[tuple[Granted, Stage]]
    ) -> Granted:
        """Returns engines within this node's share, less the held reservations.

        Raises:
            CatkinreachError: a refusal before anything ran.
        """
        owned = self._updated_cell()
        now_s = time.monotonic()
        for granted, stage in held:
            owned.cell.reservations.restore(granted, stage, now_s)
        return await owned.place(request)

    def record_report(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        """Records a report on a reservation."""
        if self._owned is not None:
            self._owned.record_report(message)

    def retry_failed_engines(self) -> None:
        """Makes engines usable again that failed ``ENGINE_RETRY_S`` ago."""
        if self._owned is None:
            return
        now_s = time.monotonic()
        for view in self._owned.cell.views:
            if view.health is Health.UP:
                self._down_since_s.pop(view.upstream_id, None)
                continue
            since_s = self._down_since_s.setdefault(view.upstream_id, now_s)
            if now_s - since_s > ENGINE_RETRY_S:
                view.health = Health.UP
        self._owned.process_decisions()

    def _may_use_cold(self, upstream: Upstream) -> bool:
        settings = self._context.state.settings
        pool = settings.pools[upstream.pool_id]
        ranked = rank_vms(ShardId(upstream.upstream_id), self._live_vms())
        return self._context.settings.vm_id in ranked[: pool.cold_places]

    def _live_vms(self) -> list[VmId]:
        return [
            entry.id
            for entry in self._context.state.vms.vms
            if entry.state is VmState.LIVE
        ]

    def _updated_cell(self) -> OwnedCell:
        settings = self._context.state.settings
        if self._owned is None:
            configured_cell = ConfiguredCell(
                settings, self._service, share=self._share()
            )
            self._owned = OwnedCell(configured_cell, self._tenure())
            self._owned.cell.placement_starts_at_s = 0.0
        self._owned.configured_cell.apply_settings(settings, self._share())
        return self._owned

    def _share(self) -> float:
        return 1.0 / max(1, len(self._live_vms()))

    def _tenure(self) -> Tenure:
        return Tenure(
            shard=cell_shard(self._service.service_id),
            owner=self._context.settings.vm_id,
            incarnation=self._context.incarnation,
            term=0,
            started_at_s=time.monotonic(),
            expires_at_s=math.inf,
        )


__all__ = ('FallbackCell',)
