"""What a node decides alone while it can't reach a cell's owner.

It uses its share of each engine's places, counts what it holds already, and
leaves engines alone that were not known to be warm. The engines refuse what
goes beyond their places.
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

from .owned import OwnedCell

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

DOWN_S = 1.0
"""Time after which an engine that failed is tried again."""


class FallbackCell:
    """A share of a cell under this node's own estimate."""

    def __init__(self, context: NodeContext, service: Service) -> None:
        """Builds the cell at its first use."""
        self._context = context
        self._service = service
        self._owned: OwnedCell | None = None
        self._down_since_s: dict[str, float] = {}

    def can_serve(
        self, warm: Iterable[WarmupProgress], *, may_use_cold: bool
    ) -> bool:
        """Tells whether both pools have an engine that this node may use.

        Engines that are not known as warm are used only with
        ``may_use_cold``, and then by as many nodes as they bear requests:
        those that rank first for the engine.
        """
        cell = self._prepare().cell
        for view in cell.views:
            is_lent = may_use_cold and self._is_lent(view.upstream)
            view.ramp.set_cold_places(int(is_lent))
        for engine in warm:
            known = cell.view(engine.upstream_id)
            if known is not None:
                known.ramp.merge_completed(engine.completed)
        return all(
            any(view.is_usable and view.places for view in pool)
            for pool in (cell.placer.prefill, cell.placer.decode)
        )

    async def place(
        self, ask: PlacementRequest, held: Iterable[tuple[Granted, Stage]]
    ) -> Granted:
        """Returns places in this node's share; ``held`` counts against it.

        Raises:
            CatkinreachError: a refusal before anything ran.
        """
        owned = self._prepare()
        now_s = time.monotonic()
        for granted, stage in held:
            owned.cell.reservations.restore(granted, stage, now_s)
        return await owned.place(ask)

    def take(
        self, message: PrefillFinished | FirstTokenReceived | AttemptEnded
    ) -> None:
        """Takes a report on a reservation."""
        if self._owned is not None:
            self._owned.take(message)

    def tick(self) -> None:
        """Tries engines again that failed a while ago."""
        if self._owned is None:
            return
        now_s = time.monotonic()
        for view in self._owned.cell.views:
            if view.health is Health.UP:
                self._down_since_s.pop(view.upstream_id, None)
                continue
            since_s = self._down_since_s.setdefault(view.upstream_id, now_s)
            if now_s - since_s > DOWN_S:
                view.health = Health.UP
        self._owned.pump()

    def _is_lent(self, upstream: Upstream) -> bool:
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

    def _prepare(self) -> OwnedCell:
        settings = self._context.state.settings
        if self._owned is None:
            membership = ConfiguredCell(
                settings, self._service, share=self._share()
            )
            self._owned = OwnedCell(membership, self._tenure())
            self._owned.cell.placement_starts_at_s = 0.0
        self._owned.membership.apply_settings(settings, self._share())
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
