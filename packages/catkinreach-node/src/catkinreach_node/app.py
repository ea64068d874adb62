"""The parts of one node and how they are joined."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.ids import Incarnation
from catkinreach_core.settings.node import Address

from .config.follow import Follower, Resource
from .config.state import FleetState
from .http.client import HttpClient
from .http.messages import HttpResponse
from .http.server import HttpServer
from .operator.api import OperatorApi
from .peers.transport import PeerTransport
from .session.accept import AcceptStage
from .session.engine_client import EngineClient, Holder
from .session.model import ModelStage
from .session.plain import PlainForwarder, PlainStage
from .session.seams import LocalScheduler, UnlimitedLimiter

if TYPE_CHECKING:
    from catkinreach_core.ids import VmId
    from catkinreach_core.settings.node import NodeSettings

    from .http.messages import HttpRequest

DRAIN_LIMIT_S = 600.0


class NodeApp:
    """One entry VM's process."""

    def __init__(self, settings: NodeSettings) -> None:
        """Joins the parts; nothing listens yet."""
        self._settings = settings
        self._incarnation = Incarnation(uuid.uuid4().hex)
        self._client = HttpClient()
        self._state = FleetState()
        self._transport = PeerTransport(
            settings.vm_id, self._incarnation, self._peer_address
        )
        self._followers = [
            Follower(
                resource, settings.config_service, self._client, self._state
            )
            for resource in Resource
        ]
        self._accept = self._build_stages()
        self._callers = HttpServer(self._accept.serve, name='callers')
        self._operators = HttpServer(self._build_api().serve, name='operator')
        self._stopping = asyncio.Event()

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> NodeApp:
        """Returns the node that the start-up settings describe."""
        return cls(settings)

    def drain(self) -> None:
        """Begins a graceful shutdown; requests in flight are finished."""
        if not self._accept.is_draining:
            logger.info('node: drains.')
        self._accept.is_draining = True
        self._stopping.set()

    async def run(self) -> None:
        """Runs until drained."""
        tasks = [
            asyncio.create_task(follower.run()) for follower in self._followers
        ]
        await self._listen()
        try:
            await self._stopping.wait()
            await self._finish_requests()
        finally:
            for task in tasks:
                task.cancel()
            self._close()
        logger.info('node: stopped.')

    async def _listen(self) -> None:
        settings = self._settings
        await self._transport.start(settings.peer_address)
        await self._operators.start(settings.operator_address)
        await self._callers.start(settings.caller_address)

    async def _finish_requests(self) -> None:
        await self._callers.stop_accepting()
        try:
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await self._callers.activity.wait_idle()
        except TimeoutError:
            logger.error('node: drain limit reached with requests running.')

    def _close(self) -> None:
        self._callers.close()
        self._operators.close()
        self._transport.close()
        self._client.close()

    def _build_stages(self) -> AcceptStage:
        limiter = UnlimitedLimiter()
        engines = EngineClient(
            self._client,
            Holder(vm=self._settings.vm_id, incarnation=self._incarnation),
        )
        return AcceptStage(
            self._state,
            ModelStage(LocalScheduler.round_robin(), limiter, engines),
            PlainStage(PlainForwarder(self._client), limiter),
        )

    def _build_api(self) -> OperatorApi:
        api = OperatorApi(self._settings.operator_key_digest)
        api.add('GET', '/live', self._show_live, is_keyed=False)
        api.add('GET', '/ready', self._show_ready, is_keyed=False)
        api.add('GET', '/status', self._show_status)
        api.add('POST', '/drain', self._start_drain)
        return api

    def _peer_address(self, vm_id: VmId) -> Address | None:
        entry = self._state.vms.entry(vm_id)
        if entry is None:
            return None
        host, _, port = entry.peer_address.rpartition(':')
        return Address(host, int(port))

    def _show_live(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse.from_json(200, {'live': True})

    def _show_ready(self, _: HttpRequest) -> HttpResponse:
        is_ready = self._state.has_settings and not self._accept.is_draining
        return HttpResponse.from_json(
            200 if is_ready else 503, {'ready': is_ready}
        )

    def _show_status(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse.from_json(
            200,
            {
                'vm': self._settings.vm_id,
                'incarnation': self._incarnation,
                'failure_domain': self._settings.domain_id,
                'config_revision': self._state.revision,
                'vm_list_revision': self._state.vms.revision,
                'running': self._callers.activity.running,
                'connections': self._callers.connection_count,
                'draining': self._accept.is_draining,
                'peer_bytes_sent': self._transport.sent_bytes,
                'peer_frames_sent': self._transport.sent_frames,
            },
        )

    def _start_drain(self, _: HttpRequest) -> HttpResponse:
        self.drain()
        return HttpResponse.from_json(202, {'draining': True})


__all__ = ('NodeApp',)
