"""Builds a cell from the fleet's settings and updates it with them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .cell import Cell
from .engine_view import EngineView
from .placer import Placer
from .ramp import SlowStart

if TYPE_CHECKING:
    from ..ids import PoolId, ServiceId, WorkspaceId
    from ..settings.fleet import FleetSettings, Service, Upstream


class ConfiguredCell:
    """Cell of one service, kept in line with the accepted settings."""

    def __init__(
        self,
        settings: FleetSettings,
        service: Service,
        *,
        share: float = 1.0,
        reserves_decode: bool = True,
    ) -> None:
        """Builds the cell; ``share`` is the part of the places it may use.

        With a share below 1 cold engines get no work unless their ramp is
        told otherwise.
        """
        self.service = service
        self._settings = settings
        self._share = share
        self._reserves_decode = reserves_decode
        self.cell = Cell(
            Placer([], [], reserves_decode=reserves_decode),
            settings.queue,
            first_token_s=settings.targets.first_token_s,
            weight_of=self._weight_of,
        )
        self.apply_settings(settings)

    @property
    def service_id(self) -> ServiceId:
        """Returns the service whose engines these are."""
        return self.service.service_id

    @property
    def settings(self) -> FleetSettings:
        """Returns the settings that the cell follows."""
        return self._settings

    def apply_settings(
        self, settings: FleetSettings, share: float = 0.0
    ) -> None:
        """Applies newer settings; engines that stay keep their state."""
        self._settings = settings
        self._share = share or self._share
        self.service = settings.services.get(self.service_id, self.service)
        cell = self.cell
        cell.queue.bounds = settings.queue
        cell.first_token_s = settings.targets.first_token_s
        cell.placer = Placer(
            self._views(self.service.prefill_pool),
            self._views(self.service.decode_pool),
            reserves_decode=self._reserves_decode,
        )

    def dependencies(self) -> dict[ServiceId, tuple[Upstream, ...]]:
        """Returns the usable upstreams of each service depended upon."""
        found: dict[ServiceId, tuple[Upstream, ...]] = {}
        for name in self.service.depends_on:
            other = self._settings.services[name]
            pools = (other.pool, other.prefill_pool, other.decode_pool)
            for pool_id in pools:
                if pool_id is not None:
                    found[name] = found.get(name, ()) + self._usable(pool_id)
        return found

    def _usable(self, pool_id: PoolId) -> tuple[Upstream, ...]:
        return tuple(
            one
            for one in self._settings.upstreams_of(pool_id)
            if self._settings.is_in_service(one)
        )

    def _views(self, pool_id: PoolId | None) -> list[EngineView]:
        known = self.cell.placer.views
        return [
            self._update(known.get(one.upstream_id), one)
            for one in self._settings.upstreams_of(pool_id)
        ]

    def _update(
        self, view: EngineView | None, upstream: Upstream
    ) -> EngineView:
        scaled = self._scaled(upstream)
        if view is None or _has_moved(view.upstream, upstream):
            pool = self._settings.pools[upstream.pool_id]
            view = EngineView(
                scaled,
                SlowStart(
                    cold_places=pool.cold_places if self._share >= 1 else 0,
                    warmup_requests=pool.warmup_requests,
                ),
            )
        is_in_service = self._settings.is_in_service(upstream)
        if is_in_service and not view.is_in_service:
            view.ramp.reset()
        view.upstream = scaled
        view.is_in_service = is_in_service
        return view

    def _scaled(self, upstream: Upstream) -> Upstream:
        if self._share >= 1:
            return upstream
        return msgspec.structs.replace(
            upstream,
            places=max(1, int(upstream.places * self._share)),
            kv_pieces=max(1, int(upstream.kv_pieces * self._share)),
        )

    def _weight_of(self, workspace_id: WorkspaceId | None) -> float:
        if workspace_id is None:
            return 1.0
        workspace = self._settings.workspaces.get(workspace_id)
        return workspace.weight if workspace is not None else 1.0


def _has_moved(known: Upstream, upstream: Upstream) -> bool:
    return (known.host, known.port) != (upstream.host, upstream.port)


__all__ = ('ConfiguredCell',)
