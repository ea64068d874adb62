"""Plans the links of a deployment's fault proxy and controls their faults."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec

from ..faultproxy.faults import (
    ANY_SOURCE,
    LinkFaults,
    LinkPlan,
    OneTimeFault,
    OneTimeFaultRequest,
    SetFaultsRequest,
)
from .calls import http_call
from .plan import with_ports
from .ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinreach_core.settings.fleet import FleetSettings

    from .plan import NodePlan

PLATFORM = 'platform'
CALLERS = 'callers'
NODES = 'nodes'


def caller_link(vm_id: str) -> str:
    """Returns the name of the link from callers to a node."""
    return f'{CALLERS}>{vm_id}'


def peer_link(vm_id: str) -> str:
    """Returns the name of the link from the other nodes to a node."""
    return f'peers>{vm_id}'


def platform_link(vm_id: str) -> str:
    """Returns the name of a node's link to the configuration service."""
    return f'{vm_id}>{PLATFORM}'


def upstream_link(upstream_id: str) -> str:
    """Returns the name of the link from all nodes to an upstream."""
    return f'{NODES}>{upstream_id}'


class ProxyLinks:
    """Plans the links of the fault proxy and sets their faults.

    Attributes:
        control_port: Port on which the fault proxy receives commands.
    """

    def __init__(self) -> None:
        """Chooses the control port; there are no links yet."""
        self.control_port = free_ports(1)[0]
        self._plans: dict[str, LinkPlan] = {}

    @classmethod
    def for_fleet(
        cls,
        settings: FleetSettings,
        nodes: Sequence[NodePlan],
        config_port: int,
    ) -> ProxyLinks:
        """Plans the link to each upstream and the links of each node."""
        links = cls()
        for upstream in settings.upstreams.values():
            links.plan_link(upstream_link(upstream.upstream_id), upstream.port)
        for node in nodes:
            links.plan_node(node, config_port)
        return links

    @property
    def plans(self) -> list[LinkPlan]:
        """Returns the planned links."""
        return list(self._plans.values())

    def port_of(self, name: str) -> int:
        """Returns the port on which a link listens."""
        return self._plans[name].port

    def plan_link(
        self, name: str, port: int, *, is_peer: bool = False
    ) -> LinkPlan:
        """Plans a link to a port on loopback."""
        plan = LinkPlan(
            name=name,
            port=free_ports(1)[0],
            target=f'{LOOPBACK}:{port}',
            is_peer=is_peer,
        )
        self._plans[name] = plan
        return plan

    def plan_node(self, node: NodePlan, config_port: int) -> list[LinkPlan]:
        """Plans a node's links: from callers, from peers, to the platform."""
        return [
            self.plan_link(caller_link(node.vm_id), node.caller_port),
            self.plan_link(peer_link(node.vm_id), node.peer_port, is_peer=True),
            self.plan_link(platform_link(node.vm_id), config_port),
        ]

    def published_text(self, text: str) -> str:
        """Returns the fleet configuration with each upstream behind its link.

        The port of an upstream is replaced by the port of its link.
        """
        link_ports = {
            int(plan.target.rpartition(':')[2]): plan.port
            for plan in self._plans.values()
            if plan.name.startswith(NODES)
        }
        return with_ports(text, link_ports)

    def add_link(self, plan: LinkPlan) -> None:
        """Adds a planned link to the running fault proxy."""
        self._call_proxy('PUT', '/standin/links', plan)

    def set_faults(
        self, link: str, faults: LinkFaults, source: str = ANY_SOURCE
    ) -> None:
        """Replaces the faults of a link, by default for every source."""
        request = SetFaultsRequest(link=link, source=source, faults=faults)
        self._call_proxy('PUT', '/standin/faults', request)

    def inject_once(
        self, link: str, fault: OneTimeFault, source: str = ANY_SOURCE
    ) -> None:
        """Applies a one-time fault to open connections of a link."""
        request = OneTimeFaultRequest(link=link, source=source, act=fault)
        self._call_proxy('POST', '/standin/act', request)

    def heal(self) -> None:
        """Removes the faults of every link."""
        self._call_proxy('POST', '/standin/heal', None)

    def record(self) -> dict[str, Any]:
        """Returns the traffic record of each link."""
        _, body = http_call(self.control_port, 'GET', '/standin/record')
        document: dict[str, Any] = json.loads(body)
        return document

    def _call_proxy(self, method: str, path: str, document: object) -> None:
        body = msgspec.json.encode(document)
        status, answer = http_call(self.control_port, method, path, body)
        if status != 200:  # noqa: PLR2004 - HTTP 200 OK
            raise RuntimeError(
                f'fault proxy refused the call: {status} {answer!r}'
            )


__all__ = (
    'CALLERS',
    'NODES',
    'PLATFORM',
    'ProxyLinks',
    'caller_link',
    'peer_link',
    'platform_link',
    'upstream_link',
)
