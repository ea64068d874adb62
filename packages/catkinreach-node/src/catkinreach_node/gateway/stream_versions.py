"""Finds the software version at which a stream began.

A node that served the stream, or was told of it, knows. One that has just
started asks its peers; if these were all restarted too, it asks the engines
which of them hold the stream's prompt.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum
from typing import TYPE_CHECKING

from catkinreach_core.errors import ErrorKind
from catkinreach_core.gateway.stream_origins import reading_hosts

from .decision_log import Event
from .held_prompt_reads import HeldPromptReads
from .origin_link import OriginLink
from .version_proof import VersionProof

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinreach_core.gateway.feed import ChangeBatch
    from catkinreach_core.ids import RequestId, ServiceId, SoftwareVersion

    from .admitted_request import AdmittedRequest
    from .node import Node
    from .stream_context import StreamContext


VIEW_POLL_S = 0.05

HEAR_PEERS_S = 0.6
"""Time in which a VM that starts hears most of its peers."""


class VersionSource(Enum):
    """Who told at which version a stream began."""

    RECORD = 'own record'
    SOLE = 'only one version served'
    PEER = 'peer'
    ENGINE = 'engine'
    NOBODY = 'nobody'


class StreamVersions:
    """Records and finds the versions of streams."""

    def __init__(self, node: Node) -> None:
        """Starts without streams."""
        self._node = node
        self._held = HeldPromptReads(node)
        self._proof = VersionProof(node)
        self._link = OriginLink(node, self._find_held, self._proof.sole_version)

    def use_store(
        self, read_changes: Callable[[], Awaitable[ChangeBatch]]
    ) -> None:
        """Sets the read that proves what this VM knows of versions."""
        self._proof.read_changes = read_changes

    async def run(self) -> None:
        """Asks the engines once, if the whole fleet has started anew.

        Later they drop the prompts of before for those of new streams.
        """
        node = self._node
        await self._wait_for_view()
        await asyncio.sleep(HEAR_PEERS_S)
        catalog = node.view.catalog
        if catalog is None or not self._has_fleet_restarted:
            return
        for service in catalog.services.values():
            if service.engine and self._reads_engines(service.service_id):
                await self._held.read_at_start(service.service_id)

    async def _wait_for_view(self) -> None:
        while True:
            if self._node.view.is_complete:
                return
            await asyncio.sleep(VIEW_POLL_S)

    @property
    def _has_fleet_restarted(self) -> bool:
        """Returns whether no peer has run for longer than a short time."""
        node = self._node
        peers = tuple(node.members.responsive(node.clock()))
        return len(node.peer_reports.counting_s(peers, node.clock())) == len(
            peers
        )

    def _reads_engines(self, service_id: ServiceId) -> bool:
        hosts = self._reading_hosts(service_id)
        return not hosts or self._node.settings.host in hosts

    def _reading_hosts(self, service_id: ServiceId) -> tuple[str, ...]:
        node = self._node
        peers = node.members.responsive(node.clock())
        return reading_hosts(service_id, (node.settings.host, *peers))

    def record(self, context: StreamContext, version: SoftwareVersion) -> None:
        """Pins a stream that begins, or goes on, to a version; tells peers."""
        context.pin.version = version
        self._record(context.admitted.metadata.origin, version)

    async def pin(self, context: StreamContext) -> None:
        """Pins a stream that its caller resumes to the version that began it.

        Raises:
            CatkinreachError: if that version isn't known.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(context.attempts.remaining_s):
                context.pin.version = await self.find(context.admitted)
        if context.pin.version is None:
            raise context.attempts.error(
                ErrorKind.NO_UPSTREAM,
                'it is not known at which software version the stream began',
            )

    async def find(self, admitted: AdmittedRequest) -> SoftwareVersion | None:
        """Returns the version of a stream that its caller resumes, if known."""
        version, source = await self._search(admitted)
        self._node.log.write(
            Event.STREAM_VERSION,
            request=admitted.metadata.request_id,
            resumes=admitted.metadata.resumes,
            software_version=version,
            source=source.value,
        )
        return version

    def _record(self, origin: RequestId, version: SoftwareVersion) -> None:
        if origin:
            self._link.record(origin, version)

    async def _search(
        self, admitted: AdmittedRequest
    ) -> tuple[SoftwareVersion | None, VersionSource]:
        origin = admitted.metadata.origin
        service_id = admitted.service.service_id
        version = self._link.find(origin)
        if version is not None:
            return version, VersionSource.RECORD
        version = await self._proof.sole_version(service_id)
        if version is not None:
            return version, VersionSource.SOLE
        version = await self._link.ask(origin, service_id)
        if version is not None:
            return version, VersionSource.PEER
        version = await self._ask_engines(
            service_id, admitted.metadata.own_part
        )
        if version is not None:
            self._record(origin, version)
            return version, VersionSource.ENGINE
        return None, VersionSource.NOBODY

    async def _ask_engines(
        self, service_id: ServiceId, part: str
    ) -> SoftwareVersion | None:
        """Asks the engines, or in a large fleet the VMs that do so for all."""
        if part and not self._reads_engines(service_id):
            answer = await self._link.ask_readers(
                self._reading_hosts(service_id), service_id, part
            )
            if answer.is_answered:
                return answer.version
        return await self._find_held(service_id, part)

    async def _find_held(
        self, service_id: ServiceId, part: str
    ) -> SoftwareVersion | None:
        """Asks the engines; an engine that isn't known may hold the part."""
        version = await self._held.find(service_id, part)
        if version is None or not await self._proof.holds(service_id, version):
            return None
        return version


__all__ = ('StreamVersions',)
