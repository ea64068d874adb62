"""What a deployment is made of: options, nodes, ports and texts."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkinreach_core.keys import key_digest

from .ports import LOOPBACK, free_ports

if TYPE_CHECKING:
    from catkinreach_core.settings.fleet import FleetSettings

OPERATOR_KEY = 'demo-operator-key'


@dataclass(frozen=True, slots=True)
class NodePlan:
    """Addresses of one node of the deployment."""

    vm_id: str
    failure_domain: str
    caller_port: int
    operator_port: int
    peer_port: int


@dataclass(slots=True)
class BenchOptions:
    """What a deployment is made of.

    Attributes:
        fleet: Text of the fleet's settings; addresses are replaced.
        node_count: Entry VMs to start.
        engine_flags: Extra flags of every engine.
        seed: Seed of the stand-ins.
        has_balancer: Whether a balancer stands before the nodes.
        node_sections: Further sections of every node's start-up settings;
            those of ``node`` join the planned ones.
        has_proxy: Whether a fault proxy stands on every link.
        is_balancer_direct: Whether the balancer connects to the nodes past
            the proxy, so that it sees which ones refuse connections.
        has_capture: Whether upstreams keep every byte that they receive.
    """

    fleet: str
    node_count: int = 3
    engine_flags: tuple[str, ...] = ()
    seed: int = 1
    has_balancer: bool = True
    node_sections: dict[str, dict[str, str]] = field(default_factory=dict)
    has_proxy: bool = False
    is_balancer_direct: bool = False
    has_capture: bool = False


def plan_nodes(settings: FleetSettings, count: int) -> list[NodePlan]:
    """Returns nodes spread over the failure domains, on free ports."""
    domains = sorted(settings.failure_domains)
    ports = iter(free_ports(3 * count))
    return [
        NodePlan(
            vm_id=f'vm-{number + 1}',
            failure_domain=domains[number % len(domains)],
            caller_port=next(ports),
            operator_port=next(ports),
            peer_port=next(ports),
        )
        for number in range(count)
    ]


def with_free_ports(text: str, settings: FleetSettings) -> str:
    """Returns the fleet's text with a free port for each upstream."""
    upstreams = settings.upstreams.values()
    ports = free_ports(len(upstreams))
    return with_ports(
        text,
        {
            upstream.port: port
            for upstream, port in zip(upstreams, ports, strict=True)
        },
    )


def with_ports(text: str, ports: dict[int, int]) -> str:
    """Returns the fleet's text with the ports of upstreams exchanged."""
    return re.sub(
        r'^(address = .*):(\d+)$',
        lambda found: (
            f'address = {LOOPBACK}:{ports[int(found[2])]}'
            if int(found[2]) in ports
            else found[0]
        ),
        text,
        flags=re.MULTILINE,
    )


def node_text(
    node: NodePlan,
    config_port: int,
    further: dict[str, dict[str, str]],
    *,
    event_log: str = '',
) -> str:
    """Returns the start-up settings of a node."""
    sections = {
        'node': {
            'id': node.vm_id,
            'failure_domain': node.failure_domain,
            'caller_address': f'{LOOPBACK}:{node.caller_port}',
            'operator_address': f'{LOOPBACK}:{node.operator_port}',
            'peer_address': f'{LOOPBACK}:{node.peer_port}',
            'config_service': f'{LOOPBACK}:{config_port}',
            'operator_key_digest': f'sha256:{key_digest(OPERATOR_KEY)}',
            **({'event_log': event_log} if event_log else {}),
            **further.get('node', {}),
        },
        **{name: further[name] for name in further if name != 'node'},
    }
    return ''.join(
        f'[{name}]\n'
        + ''.join(f'{key} = {text}\n' for key, text in options.items())
        for name, options in sections.items()
    )


__all__ = (
    'OPERATOR_KEY',
    'BenchOptions',
    'NodePlan',
    'node_text',
    'plan_nodes',
    'with_free_ports',
    'with_ports',
)
