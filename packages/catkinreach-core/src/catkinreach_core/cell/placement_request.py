"""Placement requests to a cell and the decisions on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from ..placement.policy import KV_PIECE_TOKENS

if TYPE_CHECKING:
    from ..errors import ErrorKind
    from ..ids import RequestId, UpstreamId, VmId, WorkspaceId


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request for a place on a prefill engine and one on a decode engine.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
        vm_id: Entry VM that runs it.
        workspace_id: Workspace it runs for; ``None`` on open routes.
        prompt_tokens: Tokens to prefill, answer so far included.
        max_tokens: Upper bound of the tokens still to come.
        blocks: Keys of the prompt's prefix blocks.
        digest: Digest of the caller's prompt.
        age_s: Time since the caller's request was accepted.
        is_resume: Whether the caller has part of the answer or an earlier
            attempt failed.
        excluded: Upstreams that failed this request.
    """

    request_id: RequestId
    attempt: int
    vm_id: VmId
    workspace_id: WorkspaceId | None
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...] = ()
    digest: str = ''
    age_s: float = 0.0
    is_resume: bool = False
    excluded: tuple[UpstreamId, ...] = ()

    @property
    def kv_pieces(self) -> int:
        """Returns the KV pieces that the whole answer may fill."""
        return -(-(self.prompt_tokens + self.max_tokens) // KV_PIECE_TOKENS)

    @property
    def prompt_pieces(self) -> int:
        """Returns the KV pieces that are transferred."""
        return max(1, -(-self.prompt_tokens // KV_PIECE_TOKENS))


class Stage(Enum):
    """Stage that a reservation has reached."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class Granted:
    """Decision that reserved places on two engines for a request.

    Attributes:
        request: The request.
        prefill: Engine that prefills.
        decode: Engine that decodes.
        is_alone: Whether it runs alone, as a suspect of a crash.
    """

    request: PlacementRequest
    prefill: UpstreamId
    decode: UpstreamId
    is_alone: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision that refused a request before any of it ran."""

    request: PlacementRequest
    kind: ErrorKind
    detail: str


Decision: TypeAlias = Granted | Refused

__all__ = ('Decision', 'Granted', 'PlacementRequest', 'Refused', 'Stage')
