"""Task that acquires, renews and releases the leases of the node."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.messages.leases import (
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
)
from catkinreach_core.ownership.events import LeaseEvent, LeaseEventKind
from catkinreach_core.ownership.tenure import OwnershipView, Tenure

from ..peers.transport import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from catkinreach_core.ids import ShardId, VmId
    from catkinreach_core.ownership.holder import OutgoingMessage

    from ..peers.transport import PeerTransport
    from .core import FleetCore
    from .lists import ListExchange

TICK_S = 0.1
REQUEST_TIMEOUT_S = 1.0
MAX_SUSPENSION_S = 0.5
"""Advance of the wall clock over the monotonic one after which the machine
counts as suspended: the monotonic clock may have been stopped."""

_MS_PER_S = 1000
_UNLOGGED_KINDS = frozenset((LeaseEventKind.EXTENDED,))


class OwnershipTask(OwnershipView):
    """Sends and receives lease messages and provides the ownership view."""

    def __init__(
        self, core: FleetCore, transport: PeerTransport, lists: ListExchange
    ) -> None:
        """Starts to handle lease requests; ``run`` sends this node's own."""
        self._core = core
        self._leases = core.ownership
        self._transport = transport
        self._lists = lists
        self._tasks: set[asyncio.Task[None]] = set()
        self._clock_offset_s = time.time() - time.monotonic()
        self._event_counts = dict.fromkeys(LeaseEventKind, 0)
        self._leases.on_event(self._record_event)
        transport.on_call(LeaseRequest, self._handle_request)
        transport.on_message(LeaseRelease, self._handle_release)

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'ownership'

    @property
    def is_voting(self) -> bool:
        """Returns whether this node votes on leases."""
        return self._leases.is_voting

    @property
    def has_collected_terms(self) -> bool:
        """Returns whether the voter has had time to learn current terms."""
        return self._leases.has_collected_terms

    def tenure_of(self, shard: ShardId, now_s: float) -> Tenure | None:
        """Returns this node's tenure if it may act as owner right now."""
        if self._suspended_s() > MAX_SUSPENSION_S:
            return None
        return self._leases.tenure_of(shard, now_s)

    def owner_of(self, shard: ShardId) -> VmId | None:
        """Returns the likely owner of the shard, a hint that may be stale."""
        return self._leases.owner_of(shard)

    def successor_of(self, shard: ShardId) -> VmId | None:
        """Returns the VM that should own the shard after this node leaves."""
        return self._leases.candidate_of(shard)

    def on_tenure(
        self,
        shard_prefix: str,
        started: Callable[[Tenure], None],
        ended: Callable[[Tenure], None],
    ) -> None:
        """Adds callbacks for the start and the end of tenures."""
        self._leases.on_tenure(shard_prefix, started, ended)

    async def run(self) -> None:
        """Acquires and renews leases until cancelled."""
        try:
            while True:
                self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            self._lists.close()
            for task in self._tasks:
                task.cancel()

    async def hand_over(self) -> None:
        """Releases every lease, so that successors acquire them at once."""
        self._send(self._leases.release_all(time.monotonic()))
        await asyncio.sleep(TICK_S)

    def status(self) -> Mapping[str, object]:
        """Returns the owned shards and the state of the voter."""
        return {
            'voting': self._leases.is_voting,
            'leaving': self._leases.is_leaving,
            'lists': self._leases.history.revisions,
            'owned': sorted(self._leases.held),
            'events': {
                kind.value: count for kind, count in self._event_counts.items()
            },
        }

    def _tick(self) -> None:
        now_s = time.monotonic()
        suspension_s = self._suspended_s()
        if suspension_s > MAX_SUSPENSION_S:
            logger.warning(
                'ownership: suspended for {:.1f} s; dropping all leases.',
                suspension_s,
            )
            self._leases.drop_leases(now_s)
        if abs(suspension_s) > MAX_SUSPENSION_S:
            self._clock_offset_s = time.time() - now_s
        self._send(self._leases.tick(now_s, int(time.time() * _MS_PER_S)))

    def _suspended_s(self) -> float:
        return time.time() - time.monotonic() - self._clock_offset_s

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        for item in outgoing:
            if isinstance(item.message, LeaseRelease):
                self._transport.send(item.target, item.message)
                continue
            task = asyncio.create_task(
                self._send_request(item.target, item.message)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_request(self, voter: VmId, request: LeaseRequest) -> None:
        try:
            reply = await self._transport.call(
                voter, request, LeaseReply, timeout_s=REQUEST_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            return
        self._leases.receive_reply(voter, reply, time.monotonic())
        self._lists.fetch_missing(voter, reply.lists)

    async def _handle_request(
        self, requester: VmId, request: LeaseRequest
    ) -> LeaseReply:
        self._lists.fetch_missing(requester, request.lists)
        return self._leases.handle_request(requester, request, time.monotonic())

    def _handle_release(self, holder: VmId, release: LeaseRelease) -> None:
        self._leases.receive_release(holder, release, time.monotonic())

    def _record_event(self, event: LeaseEvent) -> None:
        self._event_counts[event.kind] += 1
        if event.kind not in _UNLOGGED_KINDS:
            logger.debug(
                'ownership: {} {} in term {}.',
                event.shard,
                event.kind.value,
                event.term,
            )


__all__ = ('OwnershipTask',)
