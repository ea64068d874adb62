"""Lifecycle of the node process: start, serve, drain and stop."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.ids import Incarnation

from .http.body_memory import BodyMemory
from .http.server import HttpServer
from .operator.lifecycle import LifecycleActions
from .operator.page_action import PageAction
from .port_wait import open_when_free
from .session.unanswered import UnansweredRequests
from .wiring import wire_node

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from catkinreach_core.settings.node import NodeSettings

    from .component import NodeComponent
    from .wiring import NodeWiring

DRAIN_TIMEOUT_S = 600.0
HAND_OVER_TIMEOUT_S = 5.0
READINESS_NOTICE_S = 1.0
"""Time for load balancers to notice that the node is no longer ready."""


class NodeApp:
    """The process of one node: its servers, components and shutdown."""

    def __init__(self, wiring: NodeWiring) -> None:
        """Takes the assembled node; nothing listens yet."""
        self._wiring = wiring
        self._context = wiring.context
        self._body_memory = BodyMemory()
        self._caller_server = HttpServer(
            wiring.accept.serve,
            name='callers',
            memory=self._body_memory,
            on_unanswered=UnansweredRequests(wiring.context.hops.metrics).note,
        )
        wiring.context.hops.metrics.add_gauge(
            'body_memory_bytes', lambda: self._body_memory.used_bytes
        )
        self._operator_server = HttpServer(
            self._context.api.serve, name='operator'
        )
        api = self._context.api
        LifecycleActions(self, wiring.components).add_to(api)
        PageAction(api, self._context.state).add_to(api)
        self._drain_requested = asyncio.Event()
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Returns whether the node accepts requests."""
        return (
            self._caller_server.is_listening
            and self._wiring.relay.is_synced
            and self._wiring.limits.is_ready
            and not self._is_draining
        )

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> NodeApp:
        """Returns a node built from its start-up settings."""
        return cls(wire_node(settings, Incarnation(uuid.uuid4().hex)))

    def summary(self) -> Mapping[str, object]:
        """Returns the members of the status document for the whole node."""
        context = self._context
        return {
            'vm': context.settings.vm_id,
            'incarnation': context.incarnation,
            'failure_domain': context.settings.domain_id,
            'config_revision': context.state.revision,
            'vm_list_revision': context.state.vms.revision,
            'running': self._caller_server.request_counter.running,
            'connections': self._caller_server.connection_count,
            'draining': self._is_draining,
            'peer_bytes_sent': context.transport.sent_bytes,
            'peer_frames_sent': context.transport.sent_frames,
        }

    def exposition(self) -> str:
        """Returns the node's metrics in the Prometheus text format."""
        return self._context.hops.metrics.exposition()

    def drain(self) -> None:
        """Starts a graceful shutdown; requests in flight are completed."""
        if not self._is_draining:
            logger.info('node: draining.')
        self._is_draining = True
        self._drain_requested.set()

    async def run(self) -> None:
        """Serves until the node is drained."""
        supervisor = self._wiring.supervisor
        supervisor.watch_loop(asyncio.get_running_loop())
        tasks = [
            asyncio.create_task(supervisor.keep_running(name, work), name=name)
            for name, work in self._background_work().items()
        ]
        ports = [
            asyncio.create_task(open_when_free(open_port, _PortLog(name)))
            for name, open_port in self._ports().items()
        ]
        try:
            await self._drain_requested.wait()
            for port in ports:
                port.cancel()
            await self._leave_fleet()
        finally:
            for task in (*ports, *tasks):
                task.cancel()
            self._close()
        logger.info('node: stopped.')

    def _background_work(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the work that goes on until the node stops, by name."""
        return {
            **{
                component.name: component.run
                for component in self._wiring.components
            },
            'tls': self._wiring.tls.run,
        }

    def _ports(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns what opens each port of the node, by its name."""
        settings = self._context.settings
        tls = self._wiring.tls
        return {
            'peer': lambda: self._context.transport.start(
                settings.peer_address, tls.peer_server
            ),
            'operator': lambda: self._operator_server.start(
                settings.operator_address, tls.operators
            ),
            'caller': lambda: self._caller_server.start(
                settings.caller_address, tls.callers
            ),
        }

    async def _leave_fleet(self) -> None:
        """Stops accepting, hands over owned state, waits for open requests.

        The node accepts requests until load balancers have noticed that it is
        not ready. A request that still arrives on an open connection after
        that is served, and the connection is closed after the response.
        """
        if self._caller_server.is_listening:
            await asyncio.sleep(READINESS_NOTICE_S)
        await self._caller_server.stop_accepting()
        self._caller_server.close_idle_connections()
        for component in self._wiring.components:
            with self._wiring.supervisor.guard(component.name):
                await _hand_over(component)
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self._caller_server.wait_connections_closed()
                await self._wiring.orders.wait_idle()
        except TimeoutError:
            logger.error('node: drain timed out with requests in flight.')

    def _close(self) -> None:
        self._caller_server.close()
        self._operator_server.close()
        self._context.transport.close()
        self._context.client.close()
        self._wiring.tracing.close()


class _PortLog:
    """Logs that a port of the node has to be waited for."""

    def __init__(self, name: str) -> None:
        """Takes the name of the port."""
        self._name = name

    def on_held(self, error: OSError) -> None:
        """Logs why the port can't be opened yet."""
        logger.warning('node: the {} port is in use: {}.', self._name, error)

    def on_free(self) -> None:
        """Logs that the port is open now."""
        logger.info('node: the {} port is open.', self._name)


async def _hand_over(component: NodeComponent) -> None:
    try:
        async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
            await component.hand_over()
    except TimeoutError:
        logger.error('node: hand-over of {} timed out.', component.name)


__all__ = ('NodeApp',)
