"""Interface between the queue and the placement policies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..ids import RequestId, UpstreamId, WorkspaceId
    from ..settings.fleet import Upstream

KV_PIECE_TOKENS = 2048
"""Tokens whose KV cache fills one piece."""


@dataclass(frozen=True, slots=True)
class WorkItem:
    """The parts of a request that a placement policy may use.

    Attributes:
        request_id: The request.
        workspace_id: Workspace it runs for; ``None`` on open routes.
        prompt_tokens: Length of the prompt.
        max_tokens: Upper bound of the answer's length.
        blocks: Keys of the prompt's prefix blocks.
        digest: Digest of the whole prompt.
        attempt: Number of the attempt, from 0.
        excluded: Upstreams that failed the attempt before.
    """

    request_id: RequestId
    workspace_id: WorkspaceId | None
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...] = ()
    digest: str = ''
    attempt: int = 0
    excluded: tuple[UpstreamId, ...] = ()

    @property
    def kv_pieces(self) -> int:
        """Returns the KV pieces that the whole request may fill."""
        return -(-(self.prompt_tokens + self.max_tokens) // KV_PIECE_TOKENS)


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstreams chosen for a request."""

    prefill: UpstreamId
    decode: UpstreamId


class PlacementPolicy(Protocol):
    """Chooses upstreams among candidates that may take work."""

    def place(
        self,
        work: WorkItem,
        prefill: Sequence[Upstream],
        decode: Sequence[Upstream],
    ) -> Placement | None:
        """Returns a placement, or ``None`` if the request has to wait."""


__all__ = ('KV_PIECE_TOKENS', 'Placement', 'PlacementPolicy', 'WorkItem')
