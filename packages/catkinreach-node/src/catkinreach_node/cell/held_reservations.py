"""Reservations that an entry node holds in one cell."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.cell.placement_request import Granted, Stage

from .message_conversion import to_live_reservation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinreach_core.ids import RequestId
    from catkinreach_core.messages.cell import AttemptEnded, LiveReservation


@dataclass(slots=True)
class HeldReservation:
    """A reservation of this node and the stage that it has reached."""

    granted: Granted
    stage: Stage = Stage.PREFILL


class HeldReservations:
    """Holds at most one reservation of each request."""

    def __init__(self) -> None:
        """Starts without a reservation."""
        self._held: dict[RequestId, HeldReservation] = {}

    def __len__(self) -> int:
        """Returns the number of live reservations."""
        return len(self._held)

    @property
    def request_ids(self) -> tuple[RequestId, ...]:
        """Returns the requests that hold a reservation."""
        return tuple(self._held)

    def hold(self, granted: Granted, stage: Stage = Stage.PREFILL) -> None:
        """Adds a reservation; it replaces that of an earlier attempt."""
        self._held[granted.request.request_id] = HeldReservation(granted, stage)

    def drop(self, request_id: RequestId) -> None:
        """Removes the reservation of a request, if there is one."""
        self._held.pop(request_id, None)

    def record_prefill_end(self, request_id: RequestId) -> None:
        """Records that a request has reached its decode."""
        entry = self._held.get(request_id)
        if entry is not None:
            entry.stage = Stage.DECODE

    def record_end(self, message: AttemptEnded) -> None:
        """Removes a reservation unless it is of another attempt."""
        entry = self._held.get(message.request_id)
        if entry and entry.granted.request.attempt == message.attempt:
            del self._held[message.request_id]

    def with_stages(self) -> list[tuple[Granted, Stage]]:
        """Returns the reservations with the stages that they have reached."""
        return [(entry.granted, entry.stage) for entry in self._held.values()]

    def details_of(
        self, request_ids: Iterable[RequestId]
    ) -> tuple[LiveReservation, ...]:
        """Returns the message form of those reservations that are held."""
        return tuple(
            to_live_reservation(entry.granted, entry.stage)
            for request_id in request_ids
            if (entry := self._held.get(request_id)) is not None
        )


__all__ = ('HeldReservations',)
