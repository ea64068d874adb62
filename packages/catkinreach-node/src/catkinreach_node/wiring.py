"""Builds all components and stages of a node and connects them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .cell.baseline_scheduler import BaselineScheduler
from .cell.cell_actions import CellActions
from .cell.cell_owner import CellOwner
from .cell.cell_scheduler import CellScheduler
from .cell.engine_poller import EnginePoller
from .cell.live_attempts import LiveAttempts
from .cell.orphan_sweeper import OrphanSweeper
from .component import NodeContext
from .config.state import FleetState
from .engine_orders.task import EngineOrdersTask
from .fleet.components import FleetComponents
from .http.client import HttpClient
from .limits.admissions import admission_sink
from .limits.task import LimitTask
from .operator.api import OperatorApi
from .orders.runner import OrderRunner
from .orders.task import OrdersTask
from .peers.transport import PeerTransport
from .session.accept import AcceptStage
from .session.engine_answers import Holder
from .session.engine_client import EngineClient
from .session.model import ModelStage
from .session.plain import PlainForwarder, PlainStage
from .supervisor import Supervisor
from .telemetry.hop_recorder import HopRecorder
from .telemetry.metrics import Metrics
from .telemetry.traces import Tracing
from .tls.node_tls import NodeTls

if TYPE_CHECKING:
    from catkinreach_core.ids import Incarnation, VmId
    from catkinreach_core.settings.node import Address, NodeSettings

    from .component import NodeComponent
    from .fleet.relay import RelayTask


@dataclass(frozen=True, slots=True)
class NodeWiring:
    """The components, stages and shared objects of one node.

    Attributes:
        context: Objects that the components share.
        components: All components, in the order of their hand-over.
        relay: Component that reads or pulls the fleet settings and VM list.
        limits: Component that enforces the limits of the workspaces.
        orders: Component that runs orders.
        accept: First stage of callers' requests.
        tracing: Exporter of spans.
        tls: TLS contexts of the node.
        supervisor: Lets the node's tasks go on after unexpected errors.
    """

    context: NodeContext
    components: tuple[NodeComponent, ...]
    relay: RelayTask
    limits: LimitTask
    orders: OrdersTask
    accept: AcceptStage
    tracing: Tracing
    tls: NodeTls
    supervisor: Supervisor


def wire_node(settings: NodeSettings, incarnation: Incarnation) -> NodeWiring:
    """Builds a node from its start-up settings; nothing listens yet."""
    tls = NodeTls.from_settings(settings)
    tracing = Tracing.from_settings(settings.traces, settings.vm_id)
    hops = HopRecorder(Metrics(), tracing.tracer)
    supervisor = Supervisor(hops.metrics)
    context, fleet = _build_context(
        settings, incarnation, hops, tls, supervisor
    )
    engines = EngineClient(
        context.client, Holder(vm=settings.vm_id, incarnation=incarnation)
    )
    cells = _build_cells(context, engines)
    limits = LimitTask(context, admission_sink(settings.event_log))
    forwarder = PlainForwarder(context.client, context.hops)
    orders = OrdersTask(context, OrderRunner(context.state, forwarder, limits))
    return NodeWiring(
        context=context,
        components=(
            *fleet.first_components,
            limits,
            orders,
            *cells.components,
            EngineOrdersTask(context),
            *fleet.last_components,
        ),
        relay=fleet.relay,
        limits=limits,
        orders=orders,
        accept=AcceptStage(
            context.state,
            ModelStage(cells.scheduler, limits, engines, context.hops),
            PlainStage(forwarder, limits, orders),
            context.hops,
            is_confirmed=lambda: fleet.relay.is_confirmed,
        ),
        tracing=tracing,
        tls=tls,
        supervisor=supervisor,
    )


def _build_context(
    settings: NodeSettings,
    incarnation: Incarnation,
    hops: HopRecorder,
    tls: NodeTls,
    supervisor: Supervisor,
) -> tuple[NodeContext, FleetComponents]:
    state = FleetState()

    def peer_address(vm_id: VmId) -> Address | None:
        entry = state.vms.entry(vm_id)
        return None if entry is None else entry.address

    transport = PeerTransport(
        settings.vm_id,
        incarnation,
        peer_address,
        tls=tls.peer_client,
        supervisor=supervisor,
    )
    client = HttpClient()
    fleet = FleetComponents.from_settings(
        settings, incarnation, state, transport, client
    )
    context = NodeContext(
        settings=settings,
        incarnation=incarnation,
        state=state,
        client=client,
        transport=transport,
        ownership=fleet.ownership,
        tenures=fleet.ownership,
        api=OperatorApi(settings.operator_key_digest),
        hops=hops,
    )
    return context, fleet


@dataclass(frozen=True, slots=True)
class _CellComponents:
    components: tuple[NodeComponent, ...]
    scheduler: CellScheduler


def _build_cells(
    context: NodeContext, engines: EngineClient
) -> _CellComponents:
    live_attempts = LiveAttempts(context.incarnation)
    live_attempts.register_handler(context.transport)
    owner = CellOwner(context)
    CellActions(owner).add_to(context.api)
    poller = EnginePoller(
        context, owner, OrphanSweeper(context, engines, live_attempts)
    )
    baseline = BaselineScheduler(context, live_attempts)
    scheduler = CellScheduler(context, owner, live_attempts, baseline)
    return _CellComponents((owner, poller, baseline, scheduler), scheduler)


__all__ = ('NodeWiring', 'wire_node')
