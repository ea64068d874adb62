"""Runs a gateway and the stand-ins of the platform in one process."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import TYPE_CHECKING

from catkinreach_core.ids import FailureDomainId, VmId
from catkinreach_core.settings.node import Address
from catkinreach_node.gateway.app import GatewayApp
from catkinreach_node.gateway.node import Node
from catkinreach_node.gateway.settings import GatewaySettings, SharedBounds
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import ClientConnection, ConnectError
from catkinreach_node.http.messages import HttpRequest
from catkinreach_node.platform.store import StoreClient
from catkinreach_node.platform.wire import PlatformDialect

from ..bench.ports import free_ports
from .config import HOST, KEY, MODEL_SERVICE, PLAIN_SERVICE, make_config
from .store import StoreStandin
from .upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02

BOUNDS = SharedBounds(
    stop_grace_s=2.0,
    apply_within_s=2.0,
    repeat_ratio=0.2,
    repeat_slack=58.0,
    repeat_window_s=10.0,
    quota_window_s=8.0,
    quota_excess_ratio=0.25,
    quota_slack=190_000.0,
)


async def eventually(
    check: Callable[[], Awaitable[bool]], *, within_s: float
) -> None:
    """Polls a condition until it holds.

    Args:
        check: Returns whether the condition holds.
        within_s: Time limit.

    Raises:
        TimeoutError: if it doesn't hold within the time limit.
    """
    async with asyncio.timeout(within_s):
        while True:
            if await check():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


def make_settings(
    front: Address,
    ready: Address,
    peer: Address,
    metrics: Address,
    store_port: int,
) -> GatewaySettings:
    """Returns the settings of a gateway without peers."""
    return GatewaySettings(
        vm_id=VmId('front-1'),
        domain_id=FailureDomainId('zone-a'),
        host=LOOPBACK,
        caller_address=front,
        ready_address=ready,
        peer_address=peer,
        metrics_address=metrics,
        store_address=Address(host=LOOPBACK, port=store_port),
        peer_hosts=(),
        bounds=BOUNDS,
    )


def idle_node() -> Node:
    """Returns the state of a gateway that listens on no address."""
    unused_address = Address(host=LOOPBACK, port=1)
    settings = make_settings(
        unused_address, unused_address, unused_address, unused_address, 1
    )
    return Node(settings, PlatformDialect())


class Deployment:
    """Stand-ins of the platform, and the addresses of one gateway.

    Attributes:
        store: Stand-in of the store.
        upstreams: Stand-ins of upstreams by id: plain ones ``a`` and ``b``,
            the prefill engine ``p``, the decode engines ``d`` and ``e``.
        caller_address: Address for callers.
        ready_address: Address of the readiness check.
        peer_address: Address for peer gateways.
        metrics_address: Address of the metrics.
        client: HTTP client for tests.
    """

    def __init__(self) -> None:
        """Chooses free ports for the gateway; nothing runs yet."""
        front, ready, peer, metrics = (
            Address(host=LOOPBACK, port=port) for port in free_ports(4)
        )
        self.store = StoreStandin()
        self.upstreams = {
            'a': UpstreamStandin('a', PLAIN_SERVICE),
            'b': UpstreamStandin('b', PLAIN_SERVICE),
            'p': UpstreamStandin('p', MODEL_SERVICE, 'prefill'),
            'd': UpstreamStandin('d', MODEL_SERVICE, 'decode'),
            'e': UpstreamStandin('e', MODEL_SERVICE, 'decode'),
        }
        self.caller_address, self.ready_address = front, ready
        self.peer_address, self.metrics_address = peer, metrics
        self.client = HttpClient()
        self._request_count = 0

    def settings(self) -> GatewaySettings:
        """Returns settings with which a gateway uses this deployment."""
        return make_settings(
            self.caller_address,
            self.ready_address,
            self.peer_address,
            self.metrics_address,
            self.store.port,
        )

    async def start(self) -> None:
        """Starts the store and the upstreams."""
        await self.store.start()
        for upstream in self.upstreams.values():
            await upstream.start()

    async def close(self) -> None:
        """Stops the store and the upstreams."""
        for upstream in self.upstreams.values():
            upstream.close()
        await self.store.close()

    def publish(self) -> None:
        """Writes the configuration and all upstreams to the store."""
        self.store.put('op/config', make_config(5))
        for upstream in self.upstreams.values():
            self.publish_upstream(upstream)

    def publish_upstream(
        self, upstream: UpstreamStandin, **changed: object
    ) -> None:
        """Writes an upstream's entry to the store.

        Args:
            upstream: Stand-in of the upstream.
            **changed: Members that replace those of its own entry.
        """
        key = f'servers/{upstream.upstream_id}'
        self.store.put(key, upstream.entry(**changed))

    def make_request(
        self,
        path: str,
        *,
        method: str = 'GET',
        key: str | None = KEY,
        body: bytes = b'',
        **headers: str,
    ) -> HttpRequest:
        """Returns a request to the gateway with a new request id.

        Args:
            path: Path with the query.
            method: HTTP method.
            key: API key of the caller; ``None`` for no key.
            body: Whole body.
            **headers: Further headers, with ``_`` in place of ``-``.
        """
        self._request_count += 1
        pairs = [
            ('request-id', f'r{self._request_count}'),
            ('deadline-ms', '3000'),
        ]
        if key is not None:
            pairs.append(('authorization', f'Bearer {key}'))
        pairs += [
            (name.replace('_', '-'), text) for name, text in headers.items()
        ]
        pairs.append(('host', HOST))
        return HttpRequest(method, path, pairs, body)

    async def wait_ready(self) -> None:
        """Waits until the gateway reports that it is ready."""
        await eventually(self.is_ready, within_s=START_TIMEOUT_S)

    async def is_ready(self) -> bool:
        """Returns whether the gateway listens and reports readiness."""
        request = HttpRequest('GET', '/ready')
        try:
            status, _ = await self.client.call_raw(self.ready_address, request)
        except ConnectError:
            return False
        return status == HTTPStatus.OK

    async def is_listening(self) -> bool:
        """Returns whether callers can connect."""
        try:
            connection = await ClientConnection.open(self.caller_address)
        except ConnectError:
            return False
        connection.close()
        return True


@asynccontextmanager
async def running_deployment(
    *, is_published: bool = True, deployment: Deployment | None = None
) -> AsyncIterator[tuple[Deployment, GatewayApp]]:
    """Runs a gateway and its stand-ins.

    Args:
        is_published: Whether the store holds the configuration and all
            upstreams from the start; the gateway is then ready at entry.
        deployment: Stand-ins to use; ``None`` for new ones.
    """
    deployment = deployment or Deployment()
    await deployment.start()
    if is_published:
        deployment.publish()
    settings = deployment.settings()
    gateway = GatewayApp(
        settings,
        dialect=PlatformDialect(),
        feed=StoreClient(settings.store_address),
        reload=lambda: None,
    )
    gateway_task = asyncio.ensure_future(gateway.run())
    try:
        if is_published:
            await deployment.wait_ready()
        await eventually(deployment.is_listening, within_s=START_TIMEOUT_S)
        yield deployment, gateway
    finally:
        gateway_task.cancel()
        await asyncio.wait({gateway_task})
        deployment.client.close()
        await deployment.close()


__all__ = (
    'Deployment',
    'eventually',
    'idle_node',
    'make_settings',
    'running_deployment',
)
