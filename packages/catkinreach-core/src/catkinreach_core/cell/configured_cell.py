"""Builds a cell from the fleet's settings and applies their changes."""

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
    """Cell of one service that follows the accepted settings."""

    def __init__(
        self,
        settings: FleetSettings,
        service: Service,
        *,
        share: float = 1.0,
        reserves_decode: bool = True,
    ) -> None:
        """Builds the cell from the settings.

        Args:
            settings: The accepted settings.
            service: The service whose engines the cell uses.
            share: Fraction of each engine's places and KV pieces that the
                cell may use. Below 1 a cold engine gets no work until
                ``SlowStart.set_cold_places`` raises its bound.
            reserves_decode: Whether a decode place is reserved before the
                prefill.
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
        """Returns the service that the cell's engines belong to."""
        return self.service.service_id

    @property
    def settings(self) -> FleetSettings:
        """Returns the settings that the cell follows."""
        return self._settings

    def apply_settings(
        self, settings: FleetSettings, share: float = 0.0
    ) -> None:
        """Applies newer settings; engines still listed keep their state.

        A ``share`` of 0 keeps the current one.
        """
        self._settings = settings
        self._share = share or self._share
        self.service = settings.services.get(self.service_id, self.service)
        cell = self.cell
        cell.queue.bounds = settings.queue
        cell.first_token_s = settings.targets.first_token_s
        cell.placer = Placer(
            self._engine_views(self.service.prefill_pool),
            self._engine_views(self.service.decode_pool),
            reserves_decode=self._reserves_decode,
        )

    def dependencies(self) -> dict[ServiceId, tuple[Upstream, ...]]:
        """Returns the upstreams in service of each dependency."""
        found: dict[ServiceId, tuple[Upstream, ...]] = {}
        for name in self.service.depends_on:
            other = self._settings.services[name]
            pools = (other.pool, other.prefill_pool, other.decode_pool)
            for pool_id in pools:
                if pool_id is not None:
                    found[name] = found.get(name, ()) + self._usable_upstreams(
                        pool_id
                    )
        return found

    def _usable_upstreams(self, pool_id: PoolId) -> tuple[Upstream, ...]:
        return tuple(
            upstream
            for upstream in self._settings.upstreams_of(pool_id)
            if self._settings.is_in_service(upstream)
        )

    def _engine_views(self, pool_id: PoolId | None) -> list[EngineView]:
        current = self.cell.placer.views
        return [
            self._update_view(current.get(upstream.upstream_id), upstream)
            for upstream in self._settings.upstreams_of(pool_id)
        ]

    def _update_view(
        self, view: EngineView | None, upstream: Upstream
    ) -> EngineView:
        scaled = self._scale_to_share(upstream)
        pool = self._settings.pools[upstream.pool_id]
        if view is None or _has_moved(view.upstream, upstream):
            view = EngineView(
                scaled,
                SlowStart(
                    cold_places=pool.cold_places if self._share >= 1 else 0,
                    warmup_requests=pool.warmup_requests,
                ),
            )
        view.ramp.set_warmup_requests(pool.warmup_requests)
        is_in_service = self._settings.is_in_service(upstream)
        if is_in_service and not view.is_in_service:
            view.ramp.reset()
        view.upstream = scaled
        view.is_in_service = is_in_service
        return view

    def _scale_to_share(self, upstream: Upstream) -> Upstream:
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


def _has_moved(previous: Upstream, upstream: Upstream) -> bool:
    return (previous.host, previous.port) != (upstream.host, upstream.port)


__all__ = ('ConfiguredCell',)
