"""Interface of a node's components and the context that they share."""

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


class TenureNotifier(Protocol):
    """Notifies components when this node's tenures start and end."""

    @property
    def has_collected_terms(self) -> bool:
        """Returns whether this voter has had time to learn current terms."""

    def on_tenure(
        self,
        shard_prefix: str,
        started: Callable[[Tenure], None],
        ended: Callable[[Tenure], None],
    ) -> None:
        """Registers callbacks for the start and the end of tenures.

        ``ended`` may be called late, after a pause of the process, so code
        that acts as the owner checks ``tenure_of`` right before.
        """

    def successor_of(self, shard: ShardId) -> VmId | None:
        """Returns the VM that should own the shard after this node leaves."""


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Shared objects that each component of a node may use.

    Attributes:
        settings: Start-up settings of the process.
        incarnation: Id of this run of the process.
        state: Accepted fleet settings and VM list.
        client: HTTP client for upstreams and the platform.
        transport: Messages to and from the other nodes.
        ownership: Current owner of each shard.
        tenures: Notifies components of this node's tenures.
        api: Operator API, to which each component adds its actions.
        hops: Recorder of the spans and latencies of requests.
    """

    settings: NodeSettings
    incarnation: Incarnation
    state: FleetState
    client: HttpClient
    transport: PeerTransport
    ownership: OwnershipView
    tenures: TenureNotifier
    api: OperatorApi
    hops: HopRecorder


class NodeComponent(Protocol):
    """A long-running task of the node, with its state.

    Components communicate by peer messages and method calls.
    """

    @property
    def name(self) -> str:
        """Returns the component's key in the status document."""

    async def run(self) -> None:
        """Runs until cancelled."""

    async def hand_over(self) -> None:
        """Transfers the owned state to other nodes before the node leaves."""

    def status(self) -> Mapping[str, object]:
        """Returns the component's part of the status document."""


__all__ = ('NodeComponent', 'NodeContext', 'TenureNotifier')
