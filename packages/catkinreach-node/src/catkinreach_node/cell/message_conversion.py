"""Converts between the core types of a cell and its peer messages."""

from __future__ import annotations

import msgspec

from catkinreach_core.cell.placement_request import (
    Granted,
    PlacementRequest,
    Stage,
)
from catkinreach_core.cell.reservations import (
    AttemptResult,
    Failure,
    FailureKind,
)
from catkinreach_core.messages.cell import (
    AttemptEnded,
    LiveReservation,
    PlacementDetails,
)


def to_placement_details(request: PlacementRequest) -> PlacementDetails:
    """Returns the message form of a placement request."""
    return PlacementDetails(
        request_id=request.request_id,
        attempt=request.attempt,
        vm_id=request.vm_id,
        workspace_id=request.workspace_id,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        blocks=request.blocks,
        digest=request.digest,
        age_s=request.age_s,
        is_resume=request.is_resume,
        excluded=request.excluded,
    )


def to_placement_request(message: PlacementDetails) -> PlacementRequest:
    """Returns the placement request in a message."""
    return PlacementRequest(**msgspec.structs.asdict(message))


def to_reservation(reservation: LiveReservation) -> tuple[Granted, Stage]:
    """Returns the reservation in a renewal and the stage it has reached."""
    granted = Granted(
        to_placement_request(reservation.ask),
        reservation.prefill,
        reservation.decode,
    )
    return granted, Stage(reservation.stage)


def to_live_reservation(granted: Granted, stage: Stage) -> LiveReservation:
    """Returns the message form of a reservation that has reached a stage."""
    return LiveReservation(
        ask=to_placement_details(granted.request),
        prefill=granted.prefill,
        decode=granted.decode,
        stage=stage.value,
    )


def to_attempt_result(message: AttemptEnded) -> AttemptResult:
    """Returns the attempt's result in a report of its end."""
    failure = None
    if message.failed is not None:
        failure = Failure(message.failed, FailureKind(message.failure))
    return AttemptResult(
        is_complete=message.is_complete,
        tokens=message.tokens,
        token_s=message.token_s,
        failure=failure,
    )


__all__ = (
    'to_attempt_result',
    'to_live_reservation',
    'to_placement_details',
    'to_placement_request',
    'to_reservation',
)
