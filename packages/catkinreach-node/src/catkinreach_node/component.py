"""What the parts of a node share, and what each part offers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from catkinreach_core.ids import Incarnation, ShardId, VmId
    from catkinreach_core.ownership.tenure import OwnershipView, Tenure
    from catkinreach_core.settings.node import NodeSettings

    from .config.state import FleetState
    from .http.client import HttpClient
    from .operator.api import OperatorApi
    from .peers.transport import PeerTransport
    from .telemetry.hop_recorder import HopRecorder


class TenureFeed(Protocol):
    """Tells parts of the beginning and end of this node's tenures."""

    @property
    def remembers_terms(self) -> bool:
        """Tells whether this node's votes name the owners of now."""

    def on_tenure(
        self,
        shard_prefix: str,
        started: Callable[[Tenure], None],
        ended: Callable[[Tenure], None],
    ) -> None:
        """Calls back when a tenure begins and when it has ended.

        ``ended`` may come late, after a pause of the process: whoever acts
        as owner asks ``tenure_of`` right before.
        """

    def successor_of(self, shard: ShardId) -> VmId | None:
        """Returns the VM that is to own the shard once this one leaves."""


@dataclass(frozen=True, slots=True)
class NodeContext:
    """What every part may use.

    Attributes:
        settings: Start-up settings of the process.
        incarnation: Id of this process's life.
        state: Accepted settings and VM list.
        client: Connections to upstreams and the platform.
        transport: Messages to the other nodes.
        ownership: Who decides for a shard.
        tenures: Tells when this node's tenures begin and end.
        api: Operators' actions; a part adds its own.
        hops: Spans and latencies of the requests' hops.
    """

    settings: NodeSettings
    incarnation: Incarnation
    state: FleetState
    client: HttpClient
    transport: PeerTransport
    ownership: OwnershipView
    tenures: TenureFeed
    api: OperatorApi
    hops: HopRecorder


class NodeComponent(Protocol):
    """A task with its state; parts talk by messages and typed calls."""

    @property
    def name(self) -> str:
        """Returns the key of the part in the status document."""

    async def run(self) -> None:
        """Runs until cancelled."""

    async def hand_over(self) -> None:
        """Gives what the part owns to other nodes before the node leaves."""

    def status(self) -> Mapping[str, object]:
        """Returns what operators see of the part, ready for JSON."""


__all__ = ('NodeComponent', 'NodeContext', 'TenureFeed')
