"""Calls of a node to one plain upstream: reads, and orders of an owner."""

from __future__ import annotations

import re
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from opentelemetry.trace import INVALID_SPAN

from catkinreach_core.ids import RequestId, Revision, RouteId, WorkspaceId
from catkinreach_core.messages.orders import OrderCall
from catkinreach_core.settings import load_fleet
from catkinreach_node.config.state import FleetState
from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.orders.runner import OrderRunner
from catkinreach_node.session.context import SessionContext
from catkinreach_node.session.interfaces import UnlimitedGrant
from catkinreach_node.session.plain import PlainForwarder, PlainStage
from catkinreach_node.telemetry.hop_recorder import HopRecorder, TraceScope

if TYPE_CHECKING:
    from catkinreach_core.settings.fleet import FleetSettings
    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.client import HttpClient

EXAMPLES = Path(__file__).resolve().parents[5] / 'examples'
READ_PATH = '/bee/status'
ORDER_PATH = '/bee/claims'


def _fleet(address: Address) -> tuple[str, FleetSettings]:
    """Returns the text and settings of a fleet with one plain upstream."""
    text = (EXAMPLES / 'ninepatch' / 'fleet.ini').read_text()
    text = re.sub(r'\[upstream bee-app-[23]\]\n(.+\n)+', '', text)
    text = text.replace('127.0.0.1:19101', str(address))
    return text, load_fleet(text, revision=Revision(1), source='fleet')


class UnlimitedLimiter:
    """Admits each request."""

    async def admit(self, *_: object) -> UnlimitedGrant:
        """Admits a request."""
        return UnlimitedGrant()


async def read_plain(client: HttpClient, address: Address) -> str:
    """Returns the body of a read.

    Raises:
        CatkinreachError: as the caller gets it.
    """
    _, settings = _fleet(address)
    route = settings.routes[RouteId('status')]
    session = SessionContext(
        request=HttpRequest('GET', READ_PATH),
        request_id=RequestId('r'),
        accepted_at_s=time.monotonic(),
        settings=settings,
        route=route,
        service=settings.services[route.service_id],
        workspace_id=WorkspaceId('w'),
        trace=TraceScope(INVALID_SPAN),
    )
    forwarder = PlainForwarder(client, HopRecorder.untraced())
    no_orders: Any = None
    response = await PlainStage(forwarder, UnlimitedLimiter(), no_orders).serve(
        session
    )
    return response.body.decode()


async def run_order(client: HttpClient, address: Address) -> str:
    """Returns the body of an order's answer.

    Raises:
        CatkinreachError: as the owner of the key notes it.
    """
    text, settings = _fleet(address)
    state = FleetState()
    state.accept_settings(settings, text)
    forwarder = PlainForwarder(client, HopRecorder.untraced())
    runner = OrderRunner(state, forwarder, UnlimitedLimiter())
    call = OrderCall(
        workspace_id=WorkspaceId('w'),
        key='key',
        attempt=RequestId('r'),
        route_id=RouteId('claims'),
        method='POST',
        target=ORDER_PATH,
        headers=(),
        body=b'{}',
    )
    answer = await runner.run(call, lambda: True)
    return answer.body.decode()


__all__ = ('ORDER_PATH', 'READ_PATH', 'read_plain', 'run_order')
