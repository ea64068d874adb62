"""Life cycle of a gateway process: servers, background tasks and shutdown."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.gateway.connection_crowds import ProcessLimits

from ..http.body_memory import BodyMemory
from ..http.server import HttpServer
from ..http.server_bounds import ServerBounds
from .decision_log import Event
from .ingress import Ingress
from .node import Node
from .peer_link import PeerLink
from .ports import GatewayPort
from .probe_task import ProbeTask
from .shutdown import LINGER_S
from .side_servers import SideServers
from .snapshot_link import SnapshotLink
from .stage_order_task import StageOrderTask
from .store_task import StoreTask
from .unanswered_requests import UnansweredRequests

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.gateway.catalog import Catalog
    from catkinreach_core.gateway.feed import StoreFeed
    from catkinreach_core.settings.node import Address

    from .dialect import Dialect
    from .settings import GatewaySettings

STOP_MARGIN_S = 0.4
"""The process exits this long before the supervisor would kill it."""

LAST_REQUEST_S = 1.0
"""Time before the end of the process in which callers can't connect."""

LISTEN_POLL_S = 0.1

ANSWER_MARGIN_S = 0.15
"""Time between the last deadline of a request and the end of the process."""

SETTINGS_POLL_S = 0.5

RELOADED_FIELDS = frozenset({'peer_hosts', 'store_address'})
"""Settings that apply while the process runs."""

BODY_MEMORY_SHARE = 0.35
"""Part of the process's memory for the bodies of requests."""


class GatewayApp:
    """Runs the servers and tasks of a gateway process until it is stopped."""

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        dialect: Dialect,
        feed: StoreFeed,
        reload: Callable[[], GatewaySettings | None],
    ) -> None:
        """Prepares the process.

        Args:
            settings: Start-up settings.
            dialect: Encodes and decodes requests and replies.
            feed: Client of the configuration store.
            reload: Returns the new settings, or ``None`` if none changed.
        """
        self._node = Node(settings, dialect)
        self._feed = feed
        self._node.metrics.add_gauge('store_calls', lambda: feed.call_count)
        self._reload = reload
        self._body_memory = _body_memory(settings.memory_bytes)
        self._node.metrics.add_gauge(
            'body_memory_bytes', lambda: self._body_memory.used_bytes
        )
        limits = ProcessLimits(
            memory_bytes=settings.memory_bytes,
            body_bytes=self._body_memory.max_bytes,
            descriptors=settings.max_descriptors,
        )
        self._max_connections = limits.max_connections
        self._ingress = HttpServer(
            Ingress(self._node).serve,
            name='ingress',
            bounds=ServerBounds(max_connections=self._max_connections),
            memory=self._body_memory,
            on_unanswered=UnansweredRequests(self._node, 'ingress').note,
        )
        self._snapshots = SnapshotLink(self._node)
        self._side = SideServers(
            self._node,
            self._body_memory,
            self._snapshots,
            lambda: self._ingress.is_listening,
        )
        self._add_connection_gauges()
        self._node.apply_limits = self._apply_limits
        self._peers = PeerLink(self._node)
        self._store = StoreTask(self._node, feed)
        self._probes = ProbeTask(self._node)
        self._orders = StageOrderTask(self._node)
        self._stop_requested = asyncio.Event()

    def _add_connection_gauges(self) -> None:
        """Adds gauges of each server's connections."""
        servers = {'ingress': self._ingress, **self._side.servers}
        for name, server in servers.items():
            gauges: dict[str, Callable[[], float]] = {
                'open': partial(getattr, server, 'connection_count'),
                'replaced': partial(getattr, server, 'replaced_count'),
                'refused': partial(getattr, server, 'refused_count'),
            }
            for kind, read in gauges.items():
                self._node.metrics.add_gauge(f'connections_{kind}_{name}', read)

    def stop(self) -> None:
        """Starts a graceful shutdown; a second signal changes nothing."""
        if not self._node.shutdown.is_begun:
            self._node.begin_stop(self._drain_s - ANSWER_MARGIN_S)
            self._ingress.announce_stop()
        self._stop_requested.set()

    @property
    def _drain_s(self) -> float:
        """Returns the time from the stop signal to the end of the process."""
        return self._node.settings.bounds.stop_grace_s - STOP_MARGIN_S

    async def run(self) -> None:
        """Serves requests until the process is stopped and drained."""
        settings = self._node.settings
        log = self._node.log
        log.write(Event.START, vm=settings.vm_id, domain=settings.domain_id)
        try:
            await self._serve_until_drained()
        finally:
            self._close()
        log.write(Event.STOP, vm=settings.vm_id)

    async def _serve_until_drained(self) -> None:
        # The ports are opened side by side: a predecessor that drains may hold
        # any of them.
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(
                    self._node.supervisor.keep_running(name, work)
                )
                for name, work in self._background_work().items()
            ]
            ports = [
                group.create_task(self._open_port(name, server, address))
                for name, server, address in self._ports()
            ]
            await self._stop_requested.wait()
            for port in ports:
                port.cancel()
            if self._ingress.is_listening:
                await self._drain()
            for task in tasks:
                task.cancel()

    def _ports(self) -> list[tuple[str, HttpServer, Address]]:
        """Returns the name, server and address of each port."""
        caller_address = self._node.settings.caller_address
        addresses = self._side.addresses
        return [
            ('ingress', self._ingress, caller_address),
            *(
                (name, server, addresses[name])
                for name, server in self._side.servers.items()
            ),
        ]

    def _background_work(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the work that goes on until the process stops, by name."""
        return {
            'store': self._store.run,
            'peers': self._peers.run,
            'snapshots': self._snapshots.run,
            'probes': self._probes.run,
            'paths': self._node.paths.run,
            'stream-versions': self._node.stream_versions.run,
            'orders': self._orders.run,
            'settings': self._watch_settings,
        }

    async def _open_port(
        self, name: str, server: HttpServer, address: Address
    ) -> None:
        """Lets a server listen as soon as its port is free."""
        port = GatewayPort(name, address, self._node.log)
        await self._node.supervisor.keep_running(
            f'{name}-port', lambda: port.open(lambda: server.start(address))
        )

    async def _drain(self) -> None:
        """Waits for running requests, within the stop grace."""
        grace_s = self._drain_s
        self._node.log.write(
            Event.STOPPING,
            running=self._ingress.request_counter.running,
            grace_s=grace_s,
        )
        ends_at_s = self._node.clock() + grace_s
        await asyncio.sleep(min(LINGER_S, grace_s / 2))
        await self._listen_while_needed(ends_at_s - LAST_REQUEST_S)
        await self._ingress.stop_accepting()
        self._ingress.close_idle_connections()
        try:
            async with asyncio.timeout(ends_at_s - self._node.clock()):
                await self._ingress.wait_connections_closed()
                await self._side.wait_relays_ended()
        except TimeoutError:
            self._node.log.write(
                Event.STOPPING, running=self._ingress.request_counter.running
            )

    async def _listen_while_needed(self, until_s: float) -> None:
        """Takes new connections until enough other VMs do.

        Args:
            until_s: Latest time until which it does.
        """
        shutdown = self._node.shutdown
        if not shutdown.is_needed:
            return
        self._node.log.write(Event.STOPPING, outcome='listening on')
        while shutdown.is_needed:
            await asyncio.sleep(LISTEN_POLL_S)
            if self._node.clock() > until_s:
                break
        self._node.log.write(
            Event.STOPPING,
            outcome='listening ends',
            is_needed=shutdown.is_needed,
        )

    def _close(self) -> None:
        with self._node.supervisor.guard('peers'):
            self._peers.close()
        self._ingress.close()
        self._side.close()
        self._node.pool.close()
        self._node.control_http.close()
        self._feed.close()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            try:
                settings = self._reload()
            except Exception as error:  # noqa: BLE001 - the old settings stay
                logger.opt(raw=True).debug('{}', error)
                self._node.log.write(
                    Event.RELOAD, outcome='kept', reason=str(error)
                )
                continue
            if settings is not None:
                self._apply_settings(settings)

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Applies what can change while the process runs; logs the rest."""
        self._node.members.set_seeds(settings.peer_hosts)
        self._feed.set_address(settings.store_address)
        started_with = self._node.settings
        self._node.log.write(
            Event.RELOAD,
            outcome='taken',
            needs_restart=[
                name
                for name in settings.__struct_fields__
                if name not in RELOADED_FIELDS
                and getattr(settings, name) != getattr(started_with, name)
            ],
        )

    def _apply_limits(self, catalog: Catalog) -> None:
        limits = catalog.limits
        self._ingress.set_bounds(
            ServerBounds(
                head_timeout_s=limits.head_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
                max_body_bytes=limits.max_body_bytes,
                max_head_bytes=limits.max_head_bytes,
                max_connections=self._max_connections,
            )
        )


def _body_memory(memory_bytes: int) -> BodyMemory:
    """Returns the bodies' share of the memory of a process."""
    if not memory_bytes:
        return BodyMemory()
    return BodyMemory(int(memory_bytes * BODY_MEMORY_SHARE))


__all__ = ('GatewayApp',)
