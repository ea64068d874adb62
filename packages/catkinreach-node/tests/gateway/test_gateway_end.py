"""What a gateway leaves behind when it ends."""

from __future__ import annotations

import asyncio
import gc
from typing import TYPE_CHECKING

from catkinreach_core.gateway.metadata import KvHandle
from catkinreach_core.settings.node import Address
from catkinreach_node.gateway.store_task import BATCH_INTERVAL_S
from catkinreach_standins.platform.config import make_config
from catkinreach_standins.platform.deployment import (
    LOOPBACK,
    eventually,
    running_deployment,
)

if TYPE_CHECKING:
    from catkinreach_standins.platform.deployment import Deployment


def _connected_ports() -> set[int]:
    """Returns the ports to which clients in this process are connected."""
    writers = [
        found
        for found in gc.get_objects()
        if isinstance(found, asyncio.StreamWriter)
        and not found.transport.is_closing()
    ]
    peers = [writer.get_extra_info('peername') for writer in writers]
    return {peer[1] for peer in peers if peer}


def _port(address: str) -> int:
    return int(address.rpartition(':')[2])


def test_gateway_ends_without_closing_its_clients() -> None:
    # Unclosed stream writers wrote errors after the event loop had closed.
    assert asyncio.run(_connected_ports_after_the_end()) == set()


async def _connected_ports_after_the_end() -> set[int]:
    """Runs a gateway; returns the ports to which connections stay open."""
    async with running_deployment() as (deployment, gateway):
        engine = deployment.upstreams['p']
        address = Address(host=LOOPBACK, port=_port(engine.address))
        ports = {deployment.store.port, address.port}
        handle = KvHandle(engine=address, name='unused')
        gateway._node.release_handle(handle)
        await eventually(lambda: _has_received(deployment), within_s=5.0)
        deployment.store.put('op/config', make_config(6))
        await asyncio.sleep(BATCH_INTERVAL_S / 2)
    return _connected_ports() & ports


async def _has_received(deployment: Deployment) -> bool:
    return any(
        received.method == 'DELETE'
        for received in deployment.upstreams['p'].received
    )
