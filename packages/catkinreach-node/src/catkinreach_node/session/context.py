"""State of one request that its stages share."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.ids import RequestId

if TYPE_CHECKING:
    from catkinreach_core.ids import WorkspaceId
    from catkinreach_core.settings.fleet import FleetSettings, Route, Service

    from ..http.messages import HttpRequest
    from ..telemetry.hop_recorder import TraceScope


@dataclass(slots=True)
class SessionContext:
    """One request with its route, workspace and trace.

    Attributes:
        request: The caller's request.
        request_id: Id of the request, unique in the fleet.
        accepted_at_s: Monotonic time at which the whole request had arrived.
        settings: Settings that applied when it was accepted.
        route: Route that matches the request.
        service: Service that the route leads to.
        workspace_id: Workspace of the caller; ``None`` on open routes.
        trace: Parent span of the request's hops.
    """

    request: HttpRequest
    request_id: RequestId
    accepted_at_s: float
    settings: FleetSettings
    route: Route
    service: Service
    workspace_id: WorkspaceId | None
    trace: TraceScope


def new_request_id() -> RequestId:
    """Returns a random request id."""
    return RequestId(uuid.uuid4().hex)


__all__ = ('SessionContext', 'new_request_id')
