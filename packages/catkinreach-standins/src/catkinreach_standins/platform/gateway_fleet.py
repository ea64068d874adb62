"""Runs several gateways, and the stand-ins of the platform, in one process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from msgspec import structs

from catkinreach_core.ids import VmId
from catkinreach_core.settings.node import Address
from catkinreach_node.gateway.app import GatewayApp
from catkinreach_node.http.connection import ConnectError, RefusedError
from catkinreach_node.platform.store import StoreClient
from catkinreach_node.platform.wire import PlatformDialect

from .deployment import START_TIMEOUT_S, Deployment, eventually

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.gateway.node import Node
    from catkinreach_node.gateway.settings import GatewaySettings
    from catkinreach_node.http.connection import ClientConnection

FIRST_HOST_NUMBER = 2
"""The clients of a test connect from ``127.0.0.1``, which is no gateway's."""

CONNECT_TIMEOUT_S = 0.15


class FleetGateway:
    """One of several gateways, which may be cut off from all upstreams.

    Attributes:
        node: State of the gateway.
        caller_address: Address for callers.
        peer_address: Address for peer gateways.
    """

    def __init__(self, settings: GatewaySettings) -> None:
        """Prepares a gateway."""
        self.app = GatewayApp(
            settings,
            dialect=PlatformDialect(),
            feed=StoreClient(settings.store_address),
            reload=lambda: None,
        )
        self.node: Node = self.app._node  # noqa: SLF001 - for tests
        self.caller_address = settings.caller_address
        self.peer_address = settings.peer_address
        self._open = self.node.pool._open  # noqa: SLF001 - for tests

    def cut_off(self, *, is_refused: bool) -> None:
        """Lets connects to upstreams fail, and closes the idle connections.

        Args:
            is_refused: Whether connects are refused; else they time out.
        """

        async def fail(upstream: Upstream) -> ClientConnection:
            self.node.reach.record_failed(upstream.upstream_id)
            if is_refused:
                raise RefusedError(f'{upstream.address} refuses')
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectError(f'{upstream.address} is silent')

        pool = self.node.pool
        for known in self.node.view.known_upstreams:
            pool.drop(known.upstream.upstream_id)
        pool._open = fail  # type: ignore[method-assign]  # noqa: SLF001

    def reconnect(self) -> None:
        """Lets connects succeed again."""
        self.node.pool._open = self._open  # type: ignore[method-assign]  # noqa: SLF001


@asynccontextmanager
async def running_fleet(
    count: int,
) -> AsyncIterator[tuple[Deployment, list[FleetGateway]]]:
    """Runs gateways that have heard each other, and the stand-ins.

    Args:
        count: Number of gateways.
    """
    deployment = Deployment()
    await deployment.start()
    deployment.publish()
    numbers = range(FIRST_HOST_NUMBER, FIRST_HOST_NUMBER + count)
    hosts = tuple(f'127.0.0.{number}' for number in numbers)
    gateways = [
        FleetGateway(_settings(deployment, host, hosts)) for host in hosts
    ]
    tasks = [asyncio.ensure_future(one.app.run()) for one in gateways]

    async def have_met() -> bool:
        return all(
            one.node.view.is_complete
            and len(one.node.view.known_upstreams) == len(deployment.upstreams)
            and one.node.members.count == count
            for one in gateways
        )

    try:
        await eventually(have_met, within_s=START_TIMEOUT_S)
        yield deployment, gateways
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        deployment.client.close()
        await deployment.close()


def _settings(
    deployment: Deployment, host: str, hosts: tuple[str, ...]
) -> GatewaySettings:
    settings = deployment.settings()

    def at_host(address: Address) -> Address:
        return Address(host=host, port=address.port)

    return structs.replace(
        settings,
        vm_id=VmId(f'front-{host}'),
        host=host,
        peer_hosts=hosts,
        caller_address=at_host(settings.caller_address),
        ready_address=at_host(settings.ready_address),
        peer_address=at_host(settings.peer_address),
        metrics_address=at_host(settings.metrics_address),
    )


__all__ = ('FleetGateway', 'running_fleet')
