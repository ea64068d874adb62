"""Plan of a deployment: options, nodes, ports and start-up settings."""

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
    """Id, failure domain and ports of a node."""

    vm_id: str
    failure_domain: str
    caller_port: int
    operator_port: int
    peer_port: int


@dataclass(slots=True)
class BenchOptions:
    """Options of a deployment.

    Attributes:
        fleet: Fleet configuration; the addresses of upstreams are replaced.
        node_count: Number of nodes, one for each entry VM.
        engine_flags: Extra flags of every engine stand-in.
        seed: Random seed of the stand-ins.
        has_balancer: Whether to start a balancer in front of the nodes.
        node_sections: Extra sections of every node's start-up settings; the
            options of ``node`` are merged into the planned ones.
        has_proxy: Whether every link passes through a fault proxy.
        is_balancer_direct: Whether the balancer bypasses the fault proxy, so
            that it can detect nodes that refuse connections.
        has_capture: Whether upstreams record every byte that they receive.
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
    """Returns nodes with free ports, distributed over failure domains."""
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
    """Returns the fleet configuration with a free port per upstream."""
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
    """Returns the fleet configuration with upstream ports replaced.

    Args:
        text: The fleet configuration.
        ports: New ports by old port; the host becomes loopback.
    """
    return re.sub(
        r'^(address = .*):(\d+)$',
        lambda match: (
            f'address = {LOOPBACK}:{ports[int(match[2])]}'
            if int(match[2]) in ports
            else match[0]
        ),
        text,
        flags=re.MULTILINE,
    )


def node_text(
    node: NodePlan,
    config_port: int,
    extra_sections: dict[str, dict[str, str]],
    *,
    event_log: str = '',
) -> str:
    """Returns the INI text of a node's start-up settings."""
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
            **extra_sections.get('node', {}),
        },
        **{
            name: extra_sections[name]
            for name in extra_sections
            if name != 'node'
        },
    }
    return ''.join(
        f'[{name}]\n'
        + ''.join(f'{key} = {value}\n' for key, value in options.items())
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
