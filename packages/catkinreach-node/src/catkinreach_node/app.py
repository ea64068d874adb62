"""The life of one node: listen, serve, drain, stop."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.ids import Incarnation

from .http.server import HttpServer
from .operator.lifecycle import LifecycleActions
from .operator.page_action import PageAction
from .wiring import wire_node

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.settings.node import NodeSettings

    from .wiring import NodeWiring

DRAIN_LIMIT_S = 600.0
HAND_OVER_LIMIT_S = 5.0
NOTICE_S = 1.0
"""Time in which balancers see that the node is no longer ready."""


class NodeApp:
    """One entry VM's process."""

    def __init__(self, wiring: NodeWiring) -> None:
        """Takes the parts; nothing listens yet."""
        self._wiring = wiring
        self._context = wiring.context
        self._callers = HttpServer(wiring.accept.serve, name='callers')
        self._operators = HttpServer(self._context.api.serve, name='operator')
        api = self._context.api
        LifecycleActions(self, wiring.parts).add_to(api)
        PageAction(api, self._context.state).add_to(api)
        self._stopping = asyncio.Event()
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Tells whether the node takes requests."""
        return (
            self._wiring.relay.is_synced
            and self._wiring.limits.is_ready
            and not self._is_draining
        )

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> NodeApp:
        """Returns the node that the start-up settings describe."""
        return cls(wire_node(settings, Incarnation(uuid.uuid4().hex)))

    def summary(self) -> Mapping[str, object]:
        """Returns the node's own lines of the status document."""
        context = self._context
        return {
            'vm': context.settings.vm_id,
            'incarnation': context.incarnation,
            'failure_domain': context.settings.domain_id,
            'config_revision': context.state.revision,
            'vm_list_revision': context.state.vms.revision,
            'running': self._callers.request_counter.running,
            'connections': self._callers.connection_count,
            'draining': self._is_draining,
            'peer_bytes_sent': context.transport.sent_bytes,
            'peer_frames_sent': context.transport.sent_frames,
        }

    def exposition(self) -> str:
        """Returns the node's metrics as text."""
        return self._context.hops.metrics.exposition()

    def drain(self) -> None:
        """Begins a graceful shutdown; requests in flight are finished."""
        if not self._is_draining:
            logger.info('node: drains.')
        self._is_draining = True
        self._stopping.set()

    async def run(self) -> None:
        """Runs until drained."""
        tasks = [
            asyncio.create_task(part.run(), name=part.name)
            for part in self._wiring.parts
        ]
        tasks.append(asyncio.create_task(self._wiring.tls.run()))
        await self._listen()
        try:
            await self._stopping.wait()
            await self._leave()
        finally:
            for task in tasks:
                task.cancel()
            self._close()
        logger.info('node: stopped.')

    async def _listen(self) -> None:
        settings = self._context.settings
        tls = self._wiring.tls
        await self._context.transport.start(
            settings.peer_address, tls.peer_server
        )
        await self._operators.start(settings.operator_address, tls.operators)
        await self._callers.start(settings.caller_address, tls.callers)

    async def _leave(self) -> None:
        """Serves until balancers know, then ends connections and hands over.

        A request that still arrives on an open connection is served, and its
        connection is closed with the answer.
        """
        await asyncio.sleep(NOTICE_S)
        await self._callers.stop_accepting()
        self._callers.close_idle()
        for part in self._wiring.parts:
            try:
                async with asyncio.timeout(HAND_OVER_LIMIT_S):
                    await part.hand_over()
            except TimeoutError:
                logger.error('node: {} was not handed over.', part.name)
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await self._callers.request_counter.wait_idle()
                await self._wiring.orders.wait_idle()
        except TimeoutError:
            logger.error('node: drain limit reached with requests running.')

    def _close(self) -> None:
        self._callers.close()
        self._operators.close()
        self._context.transport.close()
        self._context.client.close()
        self._wiring.tracing.close()


__all__ = ('NodeApp',)
