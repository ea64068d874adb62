"""Servers of a gateway process that aren't for callers.

They answer the platform's readiness check, scrapes of the metrics and peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..http.messages import HttpResponse
from ..http.server import HttpServer
from ..http.server_bounds import ServerBounds
from ..telemetry.metrics import METRICS_TYPE
from .relay_server import RelayServer
from .unanswered_requests import UnansweredRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.settings.node import Address

    from ..http.body_memory import BodyMemory
    from ..http.messages import HttpRequest
    from .node import Node
    from .snapshot_link import SnapshotLink

SIDE_BOUNDS = ServerBounds(
    max_connections=32, max_body_bytes=16 * 1024, body_timeout_s=5.0
)
"""Bounds of the addresses that are not for callers."""

PEER_BOUNDS = ServerBounds(
    max_connections=256, max_head_bytes=64 * 1024, body_timeout_s=5.0
)
"""Bounds of the address for peers, which may pass callers' requests on."""

PEER_WAIT_S = 0.5
"""Time after which a node without responsive peers reports that it is ready."""

READY = HttpResponse(200, [('content-type', 'text/plain')], b'ready\n')
NOT_READY = HttpResponse(503, [('content-type', 'text/plain')], b'not ready\n')


class SideServers:
    """The servers, by name."""

    def __init__(
        self,
        node: Node,
        memory: BodyMemory,
        snapshots: SnapshotLink,
        is_listening: Callable[[], bool],
    ) -> None:
        """Prepares the servers; none listens yet.

        Args:
            node: State of the process.
            memory: Memory for the bodies of all clients.
            snapshots: Answers peers.
            is_listening: Returns whether callers can connect.
        """
        self._node = node
        self._is_listening = is_listening
        self._snapshots = snapshots
        self._relay = RelayServer(node)
        self._started_s = node.clock()
        self.servers = {
            name: HttpServer(
                answer,
                name=name,
                bounds=bounds,
                memory=memory,
                on_unanswered=UnansweredRequests(node, name).note,
            )
            for name, answer, bounds in (
                ('ready', self._answer_ready, SIDE_BOUNDS),
                ('metrics', self._answer_metrics, SIDE_BOUNDS),
                ('peers', self._answer_peer, PEER_BOUNDS),
            )
        }

    @property
    def addresses(self) -> dict[str, Address]:
        """Returns the address of each server."""
        settings = self._node.settings
        return {
            'ready': settings.ready_address,
            'metrics': settings.metrics_address,
            'peers': settings.peer_address,
        }

    async def wait_relays_ended(self) -> None:
        """Waits until no request of a peer is being passed on."""
        peers = self.servers['peers']
        peers.close_idle_connections()
        await peers.wait_connections_closed()

    def close(self) -> None:
        """Closes all of them and their connections."""
        for server in self.servers.values():
            server.close()

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        del request
        node = self._node
        has_peer_loads = (
            bool(node.members.responsive(node.clock()))
            or node.clock() - self._started_s > PEER_WAIT_S
        )
        is_ready = (
            self._is_listening() and node.view.is_complete and has_peer_loads
        )
        return READY if is_ready and not node.shutdown.is_begun else NOT_READY

    async def _answer_peer(self, request: HttpRequest) -> HttpResponse:
        if self._relay.is_for_upstream(request):
            return await self._relay.answer(request)
        return await self._snapshots.answer(request)

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        del request
        text = self._node.metrics.exposition().encode()
        return HttpResponse(200, [('content-type', METRICS_TYPE)], text)


__all__ = ('SideServers',)
