"""Task that probes the other nodes and acknowledges their probes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.membership.timing import (
    DIRECT_TIMEOUT_S,
    INDIRECT_TIMEOUT_S,
)
from catkinreach_core.messages.membership import (
    Ack,
    IndirectAck,
    Ping,
    PingRequest,
)

from ..peers.transport import PeerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from catkinreach_core.ids import VmId
    from catkinreach_core.messages.membership import (
        HeartbeatState,
        MemberUpdate,
    )

    from ..peers.transport import PeerTransport
    from .core import FleetCore

TICK_S = 0.1
MAX_LEAVE_NOTICES = 16
"""Maximum number of members that a leaving node sends a heartbeat to."""

_PROBE_TIMEOUT_S = DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S


class HeartbeatTask:
    """Sends and receives the messages of the failure detector."""

    def __init__(self, core: FleetCore, transport: PeerTransport) -> None:
        """Starts to acknowledge probes; ``run`` sends probes."""
        self._core = core
        self._transport = transport
        self._tasks: set[asyncio.Task[None]] = set()
        self._listeners: list[Callable[[VmId, HeartbeatState], None]] = []
        self._logged_statuses: dict[VmId, str] = {}
        transport.on_call(Ping, self._handle_ping)
        transport.on_call(PingRequest, self._handle_ping_request)

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'membership'

    def on_heartbeat(
        self, listener: Callable[[VmId, HeartbeatState], None]
    ) -> None:
        """Adds a listener for peers' heartbeats, called after the update."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Probes until cancelled."""
        try:
            while True:
                self._tick(time.monotonic())
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._tasks:
                task.cancel()

    async def hand_over(self) -> None:
        """Reports to other nodes that this node acquires no more shards."""
        self._core.ownership.begin_leaving()
        peers = self._core.detector.alive[:MAX_LEAVE_NOTICES]
        # Number 0 belongs to no probe of the detector, so that a missing ack
        # causes no suspicion.
        await asyncio.gather(*(self._probe(0, peer) for peer in peers))

    def status(self) -> Mapping[str, object]:
        """Returns the status of the members and the connectivity."""
        return {
            'members': self._core.detector.statuses,
            'connected': self._core.is_connected,
        }

    def _tick(self, now_s: float) -> None:
        plan = self._core.detector.tick(now_s)
        for number, target in plan.pings:
            self._start_task(self._probe(number, target))
        for number, target, helpers in plan.indirect:
            for helper in helpers:
                self._start_task(self._request_probe(number, target, helper))
        self._log_changes()

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, number: int, target: VmId) -> None:
        now_s = time.monotonic()
        ping = Ping(
            number=number,
            digest=self._core.build_heartbeat(now_s),
            news=self._core.detector.updates_for(target),
        )
        try:
            ack = await self._transport.call(
                target, ping, Ack, timeout_s=_PROBE_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            return
        now_s = time.monotonic()
        self._core.detector.receive_ack(number, ack.digest.member, now_s)
        self._process_heartbeat(target, ack.digest, ack.news, now_s)

    async def _handle_ping(self, sender: VmId, ping: Ping) -> Ack:
        now_s = time.monotonic()
        detector = self._core.detector
        updates = detector.updates_for(sender)
        detector.receive_heartbeat(ping.digest.member, now_s)
        self._process_heartbeat(sender, ping.digest, ping.news, now_s)
        return Ack(
            number=ping.number,
            digest=self._core.build_heartbeat(now_s),
            news=updates,
        )

    async def _request_probe(
        self, number: int, target: VmId, helper: VmId
    ) -> None:
        request = PingRequest(number=number, target=target)
        try:
            ack = await self._transport.call(
                helper, request, IndirectAck, timeout_s=INDIRECT_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            return
        self._core.detector.receive_indirect_ack(ack, time.monotonic())

    async def _handle_ping_request(
        self, _: VmId, request: PingRequest
    ) -> IndirectAck:
        ping = Ping(
            number=request.number,
            digest=self._core.build_heartbeat(time.monotonic()),
        )
        try:
            ack = await self._transport.call(
                request.target, ping, Ack, timeout_s=INDIRECT_TIMEOUT_S
            )
        except PeerUnreachableError as error:
            raise CatkinreachError(
                ErrorKind.PEER_PROTOCOL, 'the probed node did not respond'
            ) from error
        return IndirectAck(
            number=request.number,
            target=request.target,
            incarnation=ack.digest.member.incarnation,
        )

    def _process_heartbeat(
        self,
        sender: VmId,
        heartbeat: HeartbeatState,
        updates: tuple[MemberUpdate, ...],
        now_s: float,
    ) -> None:
        self._core.detector.receive_updates(updates, now_s)
        self._core.apply_heartbeat(sender, heartbeat, now_s)
        for listener in self._listeners:
            listener(sender, heartbeat)

    def _log_changes(self) -> None:
        statuses = self._core.detector.statuses
        for vm_id, status in statuses.items():
            if self._logged_statuses.get(vm_id, 'unheard') != status:
                logger.info('membership: {} is {}.', vm_id, status)
        self._logged_statuses = statuses


__all__ = ('HeartbeatTask',)
