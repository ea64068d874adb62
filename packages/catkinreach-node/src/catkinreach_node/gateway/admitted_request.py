"""An admitted request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.gateway.metadata import ForwardMetadata

if TYPE_CHECKING:
    from catkinreach_core.gateway.catalog import (
        Route,
        ServiceTraits,
        WorkspacePolicy,
    )
    from catkinreach_core.gateway.crash_suspects import SuspectKey
    from catkinreach_core.gateway.metadata import KvHandle, RequestMetadata
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_core.ids import WorkspaceId

    from ..http.messages import HttpRequest


MAX_PRIORITY = 9
"""Least urgent priority; those beyond it count as this."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A caller's request after admission, with its route and deadline.

    Attributes:
        request: Method, target, headers and body.
        metadata: Metadata decoded from the request's headers.
        route: Route that matched.
        service: Service that runs the request.
        workspace: Workspace of the API key; ``None`` on public routes.
        suspect_keys: Keys by which other requests that crash upstreams like
            this one are known.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time at which the request times out.
        version: Version of the configuration at admission.
    """

    request: HttpRequest
    metadata: RequestMetadata
    route: Route
    service: ServiceTraits
    workspace: WorkspacePolicy | None
    suspect_keys: tuple[SuspectKey, ...]
    arrived_s: float
    deadline_s: float
    version: int

    @property
    def priority(self) -> int:
        """Returns the workspace's priority, or the route's if it has none."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def urgency(self) -> int:
        """Returns the place among waiting requests; 0 is the most urgent.

        Among workspaces of the same priority that of the route decides.
        """
        own, route = (
            min(priority, MAX_PRIORITY)
            for priority in (self.priority, self.route.priority)
        )
        return own * (MAX_PRIORITY + 1) + route

    @property
    def workspace_id(self) -> WorkspaceId | None:
        """Returns the id of the request's workspace, if any."""
        return None if self.workspace is None else self.workspace.workspace_id

    def forward_metadata(
        self,
        upstream: Upstream,
        now_s: float,
        *,
        source: KvHandle | None = None,
        resume_after: int | None = None,
    ) -> ForwardMetadata:
        """Returns the metadata that is sent to an upstream."""
        return ForwardMetadata(
            upstream_id=upstream.upstream_id,
            workspace_id=self.workspace_id,
            deadline_s=self.deadline_s - now_s,
            priority=self.priority,
            source=source,
            resume_after=resume_after,
        )


__all__ = ('AdmittedRequest',)
