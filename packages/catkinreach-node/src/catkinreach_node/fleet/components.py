"""Builds the fleet components of a node: membership, relay, ownership."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from .core import FleetCore
from .event_log import EventLog
from .heartbeats import HeartbeatTask
from .lists import ListExchange
from .ownership import OwnershipTask
from .relay import RelayTask

if TYPE_CHECKING:
    from catkinreach_core.ids import Incarnation
    from catkinreach_core.settings.node import NodeSettings

    from ..component import NodeComponent
    from ..config.state import FleetState
    from ..http.client import HttpClient
    from ..peers.transport import PeerTransport


@dataclass(frozen=True, slots=True)
class FleetComponents:
    """Membership, configuration relay and shard ownership of a node."""

    core: FleetCore
    heartbeats: HeartbeatTask
    relay: RelayTask
    ownership: OwnershipTask

    @property
    def first_components(self) -> tuple[NodeComponent, ...]:
        """Returns the components that hand over before all others."""
        return (self.heartbeats, self.relay)

    @property
    def last_components(self) -> tuple[NodeComponent, ...]:
        """Returns the components that hand over after all others."""
        return (self.ownership,)

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        incarnation: Incarnation,
        state: FleetState,
        transport: PeerTransport,
        client: HttpClient,
    ) -> FleetComponents:
        """Builds the components of a process that has just started."""
        core = FleetCore(
            settings.vm_id,
            incarnation,
            state,
            now_s=time.monotonic(),
            wall_s=time.time(),
        )
        if settings.event_log:
            log = EventLog(Path(settings.event_log))
            core.ownership.on_event(log.write)
        lists = ListExchange(core, state, transport)
        heartbeats = HeartbeatTask(core, transport)
        relay = RelayTask(
            core,
            state,
            transport,
            client,
            lists,
            service=settings.config_service,
        )
        heartbeats.on_heartbeat(relay.receive_heartbeat)
        return cls(
            core=core,
            heartbeats=heartbeats,
            relay=relay,
            ownership=OwnershipTask(core, transport, lists),
        )


__all__ = ('FleetComponents',)
