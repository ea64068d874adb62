"""Requests of callers on the example fleet, outside a running node."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from opentelemetry.trace import INVALID_SPAN

from catkinreach_core.ids import RequestId, Revision, RouteId, WorkspaceId
from catkinreach_core.settings import load_fleet
from catkinreach_node.session.context import SessionContext
from catkinreach_node.telemetry.hop_recorder import TraceScope

if TYPE_CHECKING:
    from catkinreach_core.settings.fleet import FleetSettings
    from catkinreach_node.http.messages import HttpRequest

EXAMPLES = Path(__file__).resolve().parents[5] / 'examples'


def read_example_fleet() -> str:
    """Returns the text of the example fleet's settings."""
    return (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()


def load_example_fleet(text: str) -> FleetSettings:
    """Returns the settings in a changed text of the example fleet."""
    return load_fleet(text, revision=Revision(1), source='fleet')


def make_session(
    settings: FleetSettings, route_id: RouteId, request: HttpRequest
) -> SessionContext:
    """Returns the session of a request that is accepted now."""
    route = settings.routes[route_id]
    return SessionContext(
        request=request,
        request_id=RequestId('r'),
        accepted_at_s=time.monotonic(),
        settings=settings,
        route=route,
        service=settings.services[route.service_id],
        workspace_id=WorkspaceId('w'),
        trace=TraceScope(INVALID_SPAN),
    )


__all__ = ('load_example_fleet', 'make_session', 'read_example_fleet')
