"""Calls of a node to one plain upstream: reads, and orders of an owner."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from catkinreach_core.ids import RequestId, RouteId, WorkspaceId
from catkinreach_core.messages.orders import OrderCall
from catkinreach_node.config.state import FleetState
from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.orders.runner import OrderRunner
from catkinreach_node.session.interfaces import UnlimitedGrant
from catkinreach_node.session.plain import PlainForwarder, PlainStage
from catkinreach_node.telemetry.hop_recorder import HopRecorder

from .sessions import load_example_fleet, make_session, read_example_fleet

if TYPE_CHECKING:
    from catkinreach_core.settings.fleet import FleetSettings
    from catkinreach_core.settings.node import Address
    from catkinreach_node.http.client import HttpClient

READ_PATH = '/bee/status'
ORDER_PATH = '/bee/claims'


def _fleet(address: Address) -> tuple[str, FleetSettings]:
    """Returns the text and settings of a fleet with one plain upstream."""
    text = read_example_fleet()
    text = re.sub(r'\[upstream bee-app-[23]\]\n(.+\n)+', '', text)
    text = text.replace('127.0.0.1:19101', str(address))
    return text, load_example_fleet(text)


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
    session = make_session(
        settings, RouteId('status'), HttpRequest('GET', READ_PATH)
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
