"""A node within the process of a test, without a fleet."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.ids import Incarnation
from catkinreach_core.settings import load_node
from catkinreach_core.settings.node import Address
from catkinreach_node.app import NodeApp
from catkinreach_node.wiring import wire_node

from ..bench.ports import LOOPBACK, free_ports
from .sessions import EXAMPLES

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.settings.node import NodeSettings


def make_node_settings() -> NodeSettings:
    """Returns the settings of a node on free ports of loopback."""
    text = (EXAMPLES / 'ninepatch' / 'vm-1.ini').read_text()
    caller, operator, peer, config = (
        Address(LOOPBACK, port) for port in free_ports(4)
    )
    return msgspec.structs.replace(
        load_node(text, source='vm-1.ini'),
        caller_address=caller,
        operator_address=operator,
        peer_address=peer,
        config_service=config,
    )


@asynccontextmanager
async def running_node(
    settings: NodeSettings | None = None,
) -> AsyncIterator[NodeApp]:
    """Runs a node until the end of the context, and drains it.

    Raises:
        AssertionError: if the node ends before.
    """
    wiring = wire_node(settings or make_node_settings(), Incarnation('i'))
    node = NodeApp(wiring)
    running = asyncio.create_task(node.run())
    try:
        yield node
        if running.done():
            raise AssertionError('the node has ended')
    finally:
        node.drain()
        await running


__all__ = ('make_node_settings', 'running_node')
