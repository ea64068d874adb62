"""Task that brings the published text and VM list to this node."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeVar

import msgspec
from loguru import logger

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import Revision
from catkinreach_core.messages.relay import (
    Announcement,
    ConfigPull,
    ConfigPush,
    PublishedText,
)
from catkinreach_core.relay.confirmation import may_trust_keys

from ..config.accept import TextAcceptor
from ..http.client import ConnectError, ExchangeError
from ..peers.transport import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.ids import VmId
    from catkinreach_core.messages.membership import Digest
    from catkinreach_core.settings.node import Address

    from ..config.state import FleetState
    from ..http.client import HttpClient
    from ..peers.transport import PeerTransport
    from .core import FleetCore
    from .lists import ListExchange

TICK_S = 0.1
READ_LIMIT_S = 2.0
PULL_LIMIT_S = 3.0
FIRST_CONTACT_S = 2.0
"""How long a new process waits for peers before it counts as synced."""

ANNOUNCE_FANOUT = 8
_HTTP_OK = 200
_HTTP_UNCHANGED = 304


ReadT = TypeVar('ReadT')


class PublishedConfig(msgspec.Struct, frozen=True):
    """Answer of the configuration service to a read of the text."""

    revision: Revision
    text: str


class PublishedVms(msgspec.Struct, frozen=True):
    """Answer of the configuration service to a read of the VM list."""

    revision: Revision
    vms: tuple[VmEntry, ...]


class RelayPart:
    """Reads the service for the fleet, or learns from the peer that does."""

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
        """Answers peers' pulls from now on; ``run`` reads and pulls."""
        self._core = core
        self._state = state
        self._transport = transport
        self._client = client
        self._lists = lists
        self._service = service
        self._acceptor = TextAcceptor(state)
        self._started_at_s = time.monotonic()
        self._reading: asyncio.Task[None] | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._announced = (Revision(0), Revision(0))
        self._reads = 0
        self._failed_reads = 0
        self._last_failure = ''
        transport.on_call(ConfigPull, self._serve)
        transport.on_message(Announcement, self._receive_announcement)
        state.on_change(self._follow_state)

    @property
    def name(self) -> str:
        """Returns the key of the part in the status document."""
        return 'configuration'

    @property
    def is_synced(self) -> bool:
        """Tells whether no reachable peer holds anything newer.

        A new process asks its peers first, so that a stale service can't
        bring an old revision back through it.
        """
        if not self._state.has_settings or self._core.config_holders:
            return False
        waited_s = time.monotonic() - self._started_at_s
        if waited_s >= FIRST_CONTACT_S:
            return True
        listed = {one for one in self._state.vms.ids if one != self._core.vm_id}
        return bool(listed) and listed <= set(self._core.detector.alive)

    @property
    def is_confirmed(self) -> bool:
        """Tells whether callers' keys may still be trusted."""
        age_s = self._core.reads.age_s(time.monotonic())
        return may_trust_keys(age_s, is_connected=self._core.is_connected)

    async def run(self) -> None:
        """Reads and pulls until cancelled."""
        try:
            while True:
                self._tick(time.monotonic())
                await asyncio.sleep(TICK_S)
        finally:
            for task in (self._reading, self._pulling):
                if task is not None:
                    task.cancel()

    async def hand_over(self) -> None:
        """Has nothing to hand over."""

    def status(self) -> Mapping[str, object]:
        """Returns where the configuration comes from and how fresh it is."""
        age_s = self._core.reads.age_s(time.monotonic())
        return {
            'in_force': self._state.revision,
            'newest_held': self._state.held_revision,
            'refused': self._state.refusal,
            'reader': self._core.reads.is_reader,
            'reads': self._reads,
            'failed_reads': self._failed_reads,
            'last_failure': self._last_failure,
            'confirmed': self.is_confirmed,
            'confirmed_age_s': None if age_s is None else round(age_s, 3),
        }

    def receive_heartbeat(self, peer: VmId, digest: Digest) -> None:
        """Pulls at once what a heartbeat shows to be new."""
        self._lists.notice(peer, digest.lists)
        self._pull_if_behind()

    def _tick(self, now_s: float) -> None:
        self._pull_if_behind()
        if self._reading is not None and not self._reading.done():
            return
        reads = self._core.reads
        alive = self._core.detector.alive
        if reads.is_config_due(alive, now_s):
            self._reading = asyncio.create_task(self._read_config())
        elif reads.is_vms_due(alive, now_s):
            self._reading = asyncio.create_task(self._read_vms())

    def _pull_if_behind(self) -> None:
        holders = self._core.config_holders
        if not holders or (self._pulling and not self._pulling.done()):
            return
        newest = max(holders, key=self._core.config_of)
        self._pulling = asyncio.create_task(self._pull(newest))

    async def _read_config(self) -> None:
        target = f'/v1/config?after={self._state.held_revision}&wait_s=0'
        body = await self._read(target)
        if body is None:
            return
        now_s = time.monotonic()
        if body:
            published = self._decode(body, PublishedConfig)
            if published is None:
                return
            if published.revision < self._state.held_revision:
                self._fail('the service serves an old revision')
                return
            await self._acceptor.accept(
                PublishedText(published.revision, published.text)
            )
        self._core.reads.note_config_read(now_s)

    async def _read_vms(self) -> None:
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
        self._core.reads.note_vms_read(time.monotonic())

    def _decode(self, body: bytes, kind: type[ReadT]) -> ReadT | None:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            self._fail(f'malformed answer: {error}')
            return None

    async def _read(self, target: str) -> bytes | None:
        """Returns the body, empty if nothing changed, ``None`` on failure."""
        self._reads += 1
        try:
            async with asyncio.timeout(READ_LIMIT_S):
                status, body = await self._client.call_json(
                    self._service, 'GET', target
                )
        except (ConnectError, ExchangeError, TimeoutError) as error:
            self._fail(str(error) or 'no answer in time')
            return None
        if status == _HTTP_UNCHANGED:
            return b''
        if status != _HTTP_OK:
            self._fail(f'the service answered {status}')
            return None
        return body

    def _fail(self, reason: str) -> None:
        if self._core.reads.is_reader:
            logger.warning('config: service lost: {}.', reason)
        self._failed_reads += 1
        self._last_failure = reason
        self._core.reads.note_failure(time.monotonic())

    async def _pull(self, peer: VmId) -> None:
        pull = ConfigPull(after=self._state.held_revision)
        try:
            push = await self._transport.call(
                peer, pull, ConfigPush, timeout_s=PULL_LIMIT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            self._core.forget_config(peer)
            return
        for published in push.texts:
            await self._acceptor.accept(published)

    async def _serve(self, _: VmId, pull: ConfigPull) -> ConfigPush:
        return ConfigPush(
            texts=tuple(
                one for one in self._state.texts if one.revision > pull.after
            )
        )

    def _receive_announcement(self, peer: VmId, news: Announcement) -> None:
        self._core.note_config(peer, news.config)
        self._lists.notice(peer, news.lists)
        self._pull_if_behind()

    def _follow_state(self) -> None:
        self._core.follow_state(time.monotonic())
        revisions = (self._state.held_revision, self._state.vms.revision)
        if revisions == self._announced:
            return
        self._announced = revisions
        news = Announcement(
            config=revisions[0], lists=self._core.ownership.history.revisions
        )
        for peer in self._core.sample_alive(ANNOUNCE_FANOUT):
            self._transport.send(peer, news)


__all__ = ('RelayPart',)
