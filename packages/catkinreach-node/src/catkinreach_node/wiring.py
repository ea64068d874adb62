"""Builds the parts and stages of a node; the one place that names them all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from catkinreach_core.ownership.static import StaticOwnership
from catkinreach_core.settings.node import Address

from .config.state import FleetState
from .http.client import HttpClient
from .operator.api import OperatorApi
from .parts import NodeContext
from .peers.transport import PeerTransport
from .session.accept import AcceptStage
from .session.engine_client import EngineClient, Holder
from .session.model import ModelStage
from .session.plain import PlainForwarder, PlainStage
from .session.seams import LocalScheduler, UnlimitedLimiter

if TYPE_CHECKING:
    from catkinreach_core.ids import Incarnation, VmId
    from catkinreach_core.settings.node import NodeSettings

    from .parts import NodePart


@dataclass(frozen=True, slots=True)
class NodeWiring:
    """Everything that a node is made of."""

    context: NodeContext
    parts: tuple[NodePart, ...]
    accept: AcceptStage


def wire_node(settings: NodeSettings, incarnation: Incarnation) -> NodeWiring:
    """Builds a node from its start-up settings; nothing listens yet."""
    context = _build_context(settings, incarnation)
    return NodeWiring(context=context, parts=(), accept=_build_stages(context))


def _build_context(
    settings: NodeSettings, incarnation: Incarnation
) -> NodeContext:
    state = FleetState()

    def peer_address(vm_id: VmId) -> Address | None:
        entry = state.vms.entry(vm_id)
        if entry is None:
            return None
        host, _, port = entry.peer_address.rpartition(':')
        return Address(host, int(port))

    return NodeContext(
        settings=settings,
        incarnation=incarnation,
        state=state,
        client=HttpClient(),
        transport=PeerTransport(settings.vm_id, incarnation, peer_address),
        ownership=StaticOwnership(
            settings.vm_id, incarnation, lambda: state.vms
        ),
        api=OperatorApi(settings.operator_key_digest),
    )


def _build_stages(context: NodeContext) -> AcceptStage:
    limiter = UnlimitedLimiter()
    engines = EngineClient(
        context.client,
        Holder(vm=context.settings.vm_id, incarnation=context.incarnation),
    )
    return AcceptStage(
        context.state,
        ModelStage(LocalScheduler.round_robin(), limiter, engines),
        PlainStage(PlainForwarder(context.client), limiter),
    )


__all__ = ('NodeWiring', 'wire_node')
