"""Workloads as typed data: who sends what, how often and how long."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

from catkinreach_core.ids import WorkspaceId

if TYPE_CHECKING:
    from random import Random


class RequestKind(Enum):
    """What a request asks for."""

    MODEL = 'model'
    ORDER = 'order'
    READ = 'read'


class TokenRange(Struct, frozen=True):
    """Uniform range of token counts, both ends included."""

    low: int
    high: int

    @property
    def mean(self) -> float:
        """Returns the expected count."""
        return (self.low + self.high) / 2

    def draw(self, rng: Random) -> int:
        """Returns a random count."""
        return rng.randint(self.low, self.high)


NO_TOKENS = TokenRange(0, 0)


class RequestClass(Struct, frozen=True, kw_only=True):
    """One class of requests.

    Attributes:
        name: Name in results.
        kind: What it asks for.
        share: Part of all requests, relative to the other classes.
        path: Path it is sent to.
        method: HTTP method.
        prefix_tokens: Length of the prefix shared with other requests.
        prefix_count: Different prefixes in each workspace.
        unique_tokens: Length of the part that no other request has.
        output_tokens: Length of the answer.
        is_streamed: Whether the answer is streamed.
    """

    name: str
    kind: RequestKind
    share: float
    path: str
    method: str = 'POST'
    prefix_tokens: int = 0
    prefix_count: int = 1
    unique_tokens: TokenRange = NO_TOKENS
    output_tokens: TokenRange = NO_TOKENS
    is_streamed: bool = True


class WorkspaceShare(Struct, frozen=True):
    """Part of all requests that a workspace sends."""

    workspace_id: WorkspaceId
    share: float


class Workload(Struct, frozen=True, kw_only=True):
    """The traffic of one deployment."""

    name: str
    model: str
    classes: tuple[RequestClass, ...]
    workspaces: tuple[WorkspaceShare, ...]

    @property
    def model_classes(self) -> tuple[RequestClass, ...]:
        """Returns the classes that run on engines."""
        return tuple(
            one for one in self.classes if one.kind is RequestKind.MODEL
        )

    @property
    def model_share(self) -> float:
        """Returns the part of requests that run on engines."""
        every = sum(one.share for one in self.classes)
        return sum(one.share for one in self.model_classes) / every


class Surge(Struct, frozen=True, kw_only=True):
    """A workspace that sends several times its usual rate for a while."""

    workspace_id: WorkspaceId
    factor: float
    from_s: float = 0.0
    until_s: float = float('inf')

    def factor_at(self, workspace_id: WorkspaceId, at_s: float) -> float:
        """Returns the factor on a workspace's rate at a time."""
        is_active = self.from_s <= at_s < self.until_s
        if workspace_id == self.workspace_id and is_active:
            return self.factor
        return 1.0


__all__ = (
    'NO_TOKENS',
    'RequestClass',
    'RequestKind',
    'Surge',
    'TokenRange',
    'Workload',
    'WorkspaceShare',
)
