"""Reservations on engines that accept a connection."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_core.cell.reservations import AttemptResult, Failure

from .engine_answers import EngineError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    from catkinreach_core.settings.fleet import FleetSettings

    from .engine_client import EngineClient
    from .interfaces import Reservation


@asynccontextmanager
async def reserve_reachable(
    pending_reservation: AbstractAsyncContextManager[Reservation],
    settings: FleetSettings,
    engines: EngineClient,
) -> AsyncIterator[Reservation]:
    """Waits for a reservation and connects to its engines once.

    Args:
        pending_reservation: Waits for the reservation and releases it.
        settings: Settings that the request was accepted with.
        engines: Client for the engines.

    Raises:
        CatkinreachError: if the request is refused.
        EngineError: if an engine can't be connected to; the reservation is
            released.
    """
    async with pending_reservation as reservation:
        await _check_engines(reservation, settings, engines)
        yield reservation


async def _check_engines(
    reservation: Reservation, settings: FleetSettings, engines: EngineClient
) -> None:
    placement = reservation.placement
    for upstream_id in (placement.prefill, placement.decode):
        upstream = settings.upstreams.get(upstream_id)
        if upstream is None:
            return  # The attempt reports an engine that it can't know.
        try:
            await engines.check_connect(upstream)
        except EngineError as error:
            failure = Failure(upstream_id, error.kind)
            reservation.report_end(
                AttemptResult(is_complete=False, failure=failure)
            )
            raise


__all__ = ('reserve_reachable',)
