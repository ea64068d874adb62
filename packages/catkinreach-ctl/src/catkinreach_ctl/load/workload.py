"""Workloads of the load tool: request classes and workspaces, by share."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import Struct

from catkinreach_core.ids import WorkspaceId

if TYPE_CHECKING:
    from random import Random


class RequestKind(Enum):
    """Kind of service that a request uses.

    ``MODEL`` is a completion of an engine; ``ORDER`` (with an idempotency
    key) and ``READ`` go to plain services.
    """

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

    def sample(self, rng: Random) -> int:
        """Returns a random count of the range."""
        return rng.randint(self.low, self.high)


NO_TOKENS = TokenRange(0, 0)


class RequestClass(Struct, frozen=True, kw_only=True):
    """One class of requests.

    Attributes:
        name: Name in results.
        kind: Kind of service.
        share: Weight among all classes.
        path: Path of the request.
        method: HTTP method.
        prefix_tokens: Length of the prefix that requests share.
        prefix_count: Number of different prefixes of each workspace.
        unique_tokens: Length of the rest of the prompt.
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
    """Weight of a workspace among all workspaces."""

    workspace_id: WorkspaceId
    share: float


class Workload(Struct, frozen=True, kw_only=True):
    """Traffic of one deployment.

    Attributes:
        name: Name on the command line.
        model: Model that model requests name.
        classes: Classes of requests.
        workspaces: Workspaces that send them.
    """

    name: str
    model: str
    classes: tuple[RequestClass, ...]
    workspaces: tuple[WorkspaceShare, ...]

    @property
    def model_classes(self) -> tuple[RequestClass, ...]:
        """Returns the classes whose requests run on engines."""
        return tuple(
            request_class
            for request_class in self.classes
            if request_class.kind is RequestKind.MODEL
        )

    @property
    def model_share(self) -> float:
        """Returns the fraction of requests that run on engines."""
        total_share = sum(request_class.share for request_class in self.classes)
        return (
            sum(request_class.share for request_class in self.model_classes)
            / total_share
        )


class Surge(Struct, frozen=True, kw_only=True):
    """A workspace that sends several times its usual rate for a while.

    Attributes:
        workspace_id: The workspace.
        factor: Factor on its usual rate.
        from_s: Start of the surge, from the start of the run.
        until_s: End of the surge, from the start of the run.
    """

    workspace_id: WorkspaceId
    factor: float
    from_s: float = 0.0
    until_s: float = float('inf')

    def factor_at(self, workspace_id: WorkspaceId, at_s: float) -> float:
        """Returns the factor on the rate of a workspace at a time."""
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
