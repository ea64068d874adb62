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
    AttemptEnded,
    LiveReservation,
    PlacementDetails,
)


def to_message(ask: PlacementRequest) -> PlacementDetails:
    """Returns the message of an ask."""
    return PlacementDetails(
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


def to_ask(message: PlacementDetails) -> PlacementRequest:
    """Returns the ask of a message."""
    return PlacementRequest(**msgspec.structs.asdict(message))


def to_granted(live: LiveReservation) -> tuple[Granted, Stage]:
    """Returns the reservation that an entry node described."""
    granted = Granted(to_ask(live.ask), live.prefill, live.decode)
    return granted, Stage(live.stage)


def to_ending(message: AttemptEnded) -> AttemptResult:
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


__all__ = ('to_ask', 'to_ending', 'to_granted', 'to_message')
