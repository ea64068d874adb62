"""Reservations on engines that accept a connection."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_core.cell.reservations import AttemptResult, Failure

from .engine_answers import EngineError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    from catkinreach_core.ids import UpstreamId
    from catkinreach_core.settings.fleet import FleetSettings

    from .engine_client import EngineClient
    from .interfaces import Reservation


@asynccontextmanager
async def reserve_reachable(
    pending_reservation: AbstractAsyncContextManager[Reservation],
    settings: FleetSettings,
    engines: EngineClient,
    on_unknown: Callable[[UpstreamId], None],
) -> AsyncIterator[Reservation]:
    """Waits for a reservation and connects to its engines once.

    Args:
        pending_reservation: Waits for the reservation and releases it.
        settings: Settings that the request was accepted with.
        engines: Client for the engines.
        on_unknown: Called with an engine that these settings don't have.

    Raises:
        CatkinreachError: if the request is refused.
        EngineError: if an engine can't be connected to, or isn't in the
            settings; the reservation is released.
    """
    async with pending_reservation as reservation:
        await _check_engines(reservation, settings, engines, on_unknown)
        yield reservation


async def _check_engines(
    reservation: Reservation,
    settings: FleetSettings,
    engines: EngineClient,
    on_unknown: Callable[[UpstreamId], None],
) -> None:
    placement = reservation.placement
    for upstream_id in (placement.prefill, placement.decode):
        upstream = settings.upstreams.get(upstream_id)
        if upstream is None:
            on_unknown(upstream_id)
            raise EngineError(
                0, f'engine {upstream_id} is unknown to the request'
            )
        try:
            await engines.check_connect(upstream)
        except EngineError as error:
            failure = Failure(upstream_id, error.kind)
            reservation.report_end(
                AttemptResult(is_complete=False, failure=failure)
            )
            raise


__all__ = ('reserve_reachable',)
