"""Reservations of a cell and the results of attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .placement_request import Stage

if TYPE_CHECKING:
    from ..ids import RequestId, UpstreamId, VmId
    from .engine_view import EngineView
    from .placement_request import Granted


class FailureKind(Enum):
    """How an attempt ended early.

    ``DISCONNECTED`` is a connection lost after the call was sent,
    ``UNREACHABLE`` one that could not be opened, ``REFUSED`` an answer that
    refused the call, ``STALLED`` a call or stream that timed out.
    """

    DISCONNECTED = 'broke'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    STALLED = 'stalled'


@dataclass(frozen=True, slots=True)
class Failure:
    """The upstream that failed an attempt, with the kind of failure."""

    upstream_id: UpstreamId
    kind: FailureKind


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        is_complete: Whether the engine sent the end of the answer.
        tokens: Tokens that this attempt produced.
        token_s: Mean time between them, 0 if unknown.
        failure: What failed, if anything did.
    """

    is_complete: bool
    tokens: int = 0
    token_s: float = 0.0
    failure: Failure | None = None


@dataclass(slots=True)
class Reservation:
    """Places of one request on a prefill engine and a decode engine.

    Attributes:
        granted: The decision that reserved them.
        at_s: When it was made, on the owner's monotonic clock.
        confirmed_at_s: When the entry VM last confirmed the reservation.
        stage: Stage that the request has reached.
        expected_s: Expected time to the first token, 0 if unknown.
    """

    granted: Granted
    at_s: float
    confirmed_at_s: float
    stage: Stage = Stage.PREFILL
    expected_s: float = 0.0

    @property
    def request_id(self) -> RequestId:
        """Returns the id of the request."""
        return self.granted.request.request_id

    @property
    def vm_id(self) -> VmId:
        """Returns the entry VM that runs the request."""
        return self.granted.request.vm_id

    def is_on(self, view: EngineView) -> bool:
        """Returns whether the request runs on an engine at this stage."""
        if self.stage is Stage.PREFILL:
            return self.granted.prefill == view.upstream_id
        return self.granted.decode == view.upstream_id


__all__ = ('AttemptResult', 'Failure', 'FailureKind', 'Reservation')
