"""What the stages know of one request."""

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
    """One request on its way through the stages.

    Attributes:
        request: The caller's request.
        request_id: Unique over the fleet.
        accepted_at_s: Monotonic clock when the request was complete.
        settings: Settings in force when it was accepted.
        route: Route it takes.
        service: Service behind the route.
        workspace_id: Workspace it runs for; ``None`` on open routes.
        trace: Span that the hops of the request are children of.
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
