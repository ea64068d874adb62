"""Between the cell's core types and its peer messages."""

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
    Ended,
    LiveReservation,
    PlaceAsk,
)


def to_place_ask(ask: PlacementRequest) -> PlaceAsk:
    """Returns the message of an ask."""
    return PlaceAsk(
        request_id=ask.request_id,
        attempt=ask.attempt,
        vm_id=ask.vm_id,
        workspace_id=ask.workspace_id,
        prompt_tokens=ask.prompt_tokens,
        max_tokens=ask.max_tokens,
        blocks=ask.blocks,
        digest=ask.digest,
        age_s=ask.age_s,
        is_resume=ask.is_resume,
        excluded=ask.excluded,
    )


def to_placement_request(message: PlaceAsk) -> PlacementRequest:
    """Returns the ask of a message."""
    return PlacementRequest(**msgspec.structs.asdict(message))


def to_reservation(live: LiveReservation) -> tuple[Granted, Stage]:
    """Returns the reservation that an entry node described."""
    granted = Granted(to_placement_request(live.ask), live.prefill, live.decode)
    return granted, Stage(live.stage)


def to_attempt_result(message: Ended) -> AttemptResult:
    """Returns the ending of a message."""
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
    'to_place_ask',
    'to_placement_request',
    'to_reservation',
)
