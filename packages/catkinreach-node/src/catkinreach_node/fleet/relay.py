"""Task that fetches the published configuration text and VM list."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeVar

import msgspec
from loguru import logger

from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.errors import CatkinreachError
from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import Revision
from catkinreach_core.messages.relay import (
    ConfigPull,
    ConfigPush,
    PublishedText,
    RevisionAnnouncement,
)
from catkinreach_core.relay.confirmation import may_trust_keys

from ..config.updater import SettingsUpdater
from ..http.connection import ConnectError, ExchangeError
from ..peers.transport import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.ids import VmId
    from catkinreach_core.messages.membership import HeartbeatState
    from catkinreach_core.settings.node import Address

    from ..config.state import FleetState
    from ..http.client import HttpClient
    from ..peers.transport import PeerTransport
    from .core import FleetCore
    from .lists import ListExchange

TICK_S = 0.1
READ_TIMEOUT_S = 2.0
PULL_TIMEOUT_S = 3.0
INITIAL_SYNC_TIMEOUT_S = 2.0
"""Time after which a new process counts as synced although it has not reached
every listed peer."""

ANNOUNCE_FANOUT = 8
"""Number of peers to which a node announces new revisions."""

_HTTP_OK = 200
_HTTP_UNCHANGED = 304


ReadT = TypeVar('ReadT')


class PublishedConfig(msgspec.Struct, frozen=True):
    """Response of the configuration service to a read of the text."""

    revision: Revision
    text: str


class PublishedVms(msgspec.Struct, frozen=True):
    """Response of the configuration service to a read of the VM list."""

    revision: Revision
    vms: tuple[VmEntry, ...]


class RelayTask:
    """Reads the configuration service, or pulls from peers that read it."""

    def __init__(
        self,
        core: FleetCore,
        state: FleetState,
        transport: PeerTransport,
        client: HttpClient,
        lists: ListExchange,
        *,
        service: Address,
    ) -> None:
        """Starts to serve peers' pulls; ``run`` reads and pulls."""
        self._core = core
        self._state = state
        self._transport = transport
        self._client = client
        self._lists = lists
        self._service = service
        self._updater = SettingsUpdater(state)
        self._started_at_s = time.monotonic()
        self._read_task: asyncio.Task[None] | None = None
        self._pull_task: asyncio.Task[None] | None = None
        self._announced_revisions = (Revision(0), Revision(0))
        self._read_count = 0
        self._failed_read_count = 0
        self._last_failure = ''
        transport.on_call(ConfigPull, self._handle_pull)
        transport.on_message(RevisionAnnouncement, self._handle_announcement)
        state.on_change(self._apply_state)

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'configuration'

    @property
    def is_synced(self) -> bool:
        """Returns whether no reachable peer holds a newer text.

        A new process contacts its peers first, so that a stale
        configuration service can't bring an old revision back through it.
        """
        if not self._state.has_settings or self._core.peers_with_newer_config:
            return False
        waited_s = time.monotonic() - self._started_at_s
        if waited_s >= INITIAL_SYNC_TIMEOUT_S:
            return True
        listed = {
            vm_id for vm_id in self._state.vms.ids if vm_id != self._core.vm_id
        }
        return bool(listed) and listed <= set(self._core.detector.alive)

    @property
    def is_confirmed(self) -> bool:
        """Returns whether the API keys were confirmed recently enough."""
        age_s = self._core.read_policy.age_s(time.monotonic())
        return may_trust_keys(age_s, is_connected=self._core.is_connected)

    async def run(self) -> None:
        """Reads and pulls until cancelled."""
        try:
            while True:
                self._tick(time.monotonic())
                await asyncio.sleep(TICK_S)
        finally:
            for task in (self._read_task, self._pull_task):
                if task is not None:
                    task.cancel()

    async def hand_over(self) -> None:
        """Does nothing; this task owns no shards."""

    def status(self) -> Mapping[str, object]:
        """Returns the revisions, the reads and the age of the configuration."""
        age_s = self._core.read_policy.age_s(time.monotonic())
        return {
            'in_force': self._state.revision,
            'newest_held': self._state.received_revision,
            'refused': self._state.refusal,
            'reader': self._core.read_policy.is_reader,
            'reads': self._read_count,
            'failed_reads': self._failed_read_count,
            'last_failure': self._last_failure,
            'confirmed': self.is_confirmed,
            'confirmed_age_s': None if age_s is None else round(age_s, 3),
        }

    def receive_heartbeat(self, peer: VmId, heartbeat: HeartbeatState) -> None:
        """Pulls new lists and texts that a heartbeat reports."""
        self._lists.fetch_missing(peer, heartbeat.lists)
        self._pull_if_behind()

    def _tick(self, now_s: float) -> None:
        self._pull_if_behind()
        if self._read_task is not None and not self._read_task.done():
            return
        read_policy = self._core.read_policy
        alive = self._core.detector.alive
        if read_policy.is_config_due(alive, now_s):
            self._read_task = asyncio.create_task(self._read_config())
        elif read_policy.is_vm_list_due(alive, now_s):
            self._read_task = asyncio.create_task(self._read_vm_list())

    def _pull_if_behind(self) -> None:
        peers = self._core.peers_with_newer_config
        if not peers or (self._pull_task and not self._pull_task.done()):
            return
        newest_peer = max(peers, key=self._core.peer_config_revision)
        self._pull_task = asyncio.create_task(self._pull(newest_peer))

    async def _read_config(self) -> None:
        target = f'/v1/config?after={self._state.received_revision}&wait_s=0'
        body = await self._read(target)
        if body is None:
            return
        now_s = time.monotonic()
        if body:
            published = self._decode(body, PublishedConfig)
            if published is None:
                return
            if published.revision < self._state.received_revision:
                self._record_failure('the service returned an old revision')
                return
            await self._updater.update(
                PublishedText(published.revision, published.text)
            )
        self._core.read_policy.record_config_read(now_s)

    async def _read_vm_list(self) -> None:
        target = f'/v1/vms?after={self._state.vms.revision}&wait_s=0'
        body = await self._read(target)
        if body is None:
            return
        if body:
            published = self._decode(body, PublishedVms)
            if published is None:
                return
            vms = VmList(revision=published.revision, vms=published.vms)
            if self._state.accept_vms(vms):
                logger.info('config: VM list {} in force.', vms.revision)
        self._core.read_policy.record_vm_list_read(time.monotonic())

    def _decode(self, body: bytes, body_type: type[ReadT]) -> ReadT | None:
        try:
            return decode_json(body, body_type)
        except DocumentError as error:
            self._record_failure(f'malformed response: {error}')
            return None

    async def _read(self, target: str) -> bytes | None:
        """Returns the body, empty if unchanged, ``None`` on failure."""
        self._read_count += 1
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                status, body = await self._client.call_json(
                    self._service, 'GET', target
                )
        except (ConnectError, ExchangeError, TimeoutError) as error:
            self._record_failure(str(error) or 'no response in time')
            return None
        if status == _HTTP_UNCHANGED:
            return b''
        if status != _HTTP_OK:
            self._record_failure(f'the service returned status {status}')
            return None
        return body

    def _record_failure(self, reason: str) -> None:
        if self._core.read_policy.is_reader:
            logger.warning(
                'config: read of the configuration service failed: {}.', reason
            )
        self._failed_read_count += 1
        self._last_failure = reason
        self._core.read_policy.record_failure(time.monotonic())

    async def _pull(self, peer: VmId) -> None:
        pull = ConfigPull(after=self._state.received_revision)
        try:
            push = await self._transport.call(
                peer, pull, ConfigPush, timeout_s=PULL_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            self._core.forget_peer_config_revision(peer)
            return
        for published in push.texts:
            await self._updater.update(published)

    async def _handle_pull(self, _: VmId, pull: ConfigPull) -> ConfigPush:
        return ConfigPush(
            texts=tuple(
                text
                for text in self._state.published_texts
                if text.revision > pull.after
            )
        )

    def _handle_announcement(
        self, peer: VmId, announcement: RevisionAnnouncement
    ) -> None:
        self._core.set_peer_config_revision(peer, announcement.config)
        self._lists.fetch_missing(peer, announcement.lists)
        self._pull_if_behind()

    def _apply_state(self) -> None:
        self._core.apply_state(time.monotonic())
        revisions = (self._state.received_revision, self._state.vms.revision)
        if revisions == self._announced_revisions:
            return
        self._announced_revisions = revisions
        announcement = RevisionAnnouncement(
            config=revisions[0], lists=self._core.ownership.history.revisions
        )
        for peer in self._core.sample_alive(ANNOUNCE_FANOUT):
            self._transport.send(peer, announcement)


__all__ = ('RelayTask',)
