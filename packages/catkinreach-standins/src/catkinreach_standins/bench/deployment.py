"""A deployment of an example text as processes on free ports."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet

from .calls import http_call
from .commands import (
    STANDINS,
    balancer_flags,
    upstream_flags,
    upstream_module,
)
from .control import DeploymentControl
from .lease_logs import read_events
from .links import (
    ProxyLinks,
    caller_link,
    peer_link,
    platform_link,
    upstream_link,
)
from .plan import (
    OPERATOR_KEY,
    BenchOptions,
    NodePlan,
    node_text,
    plan_nodes,
    with_free_ports,
    with_ports,
)
from .ports import LOOPBACK, free_ports
from .processes import BenchProcess, wait_until

if TYPE_CHECKING:
    from catkinreach_core.ownership.events import LeaseEvent
    from catkinreach_core.settings.fleet import FleetSettings, Upstream

START_LIMIT_S = 30.0
_HTTP_OK = 200


class Deployment(DeploymentControl):
    """Processes of one deployment; use it as a context manager.

    Attributes:
        processes: Every process that was started, by name.
        settings: The fleet's text with the ports where upstreams listen.
        fleet_text: The text that was published first.
        nodes: The planned nodes.
        links: The fault proxy's links, ``None`` without a proxy.
    """

    def __init__(self, options: BenchOptions) -> None:
        """Plans the ports; nothing runs yet."""
        self._options = options
        self._directory = tempfile.TemporaryDirectory(prefix='catkinreach-')
        self._path = Path(self._directory.name)
        self.processes: dict[str, BenchProcess] = {}
        text = with_free_ports(options.fleet, _load(options.fleet))
        self.settings = _load(text)
        self.nodes = plan_nodes(self.settings, options.node_count)
        self.config_port, self.balancer_port = free_ports(2)
        self.links = self._plan_links() if options.has_proxy else None
        self.fleet_text = self._published_text(text)

    def __enter__(self) -> Deployment:
        """Starts every process and waits until the nodes are ready."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Ends every process."""
        self.stop()

    @property
    def directory(self) -> Path:
        """Returns the directory of logs and settings."""
        return self._path

    def start(self) -> None:
        """Starts every process and waits until the nodes are ready."""
        if self.links is not None:
            self._start_proxy(self.links)
        self._start_config_service()
        for upstream in self.settings.upstreams.values():
            self.start_upstream(upstream)
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_ready(node)
        if self._options.has_balancer:
            self._start_balancer()

    def stop(self) -> None:
        """Ends every process, the nodes first."""
        for process in reversed(self.processes.values()):
            if process.is_running:
                process.wake()
                process.kill()
        self._directory.cleanup()

    def log_of(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self._path / f'{name}.log').read_text(errors='replace')

    def event_log_path(self, node: NodePlan) -> Path:
        """Returns the file of the events of a node's leases."""
        return self._path / f'{node.vm_id}.events'

    def lease_events(self) -> list[LeaseEvent]:
        """Returns the events of all nodes' leases so far."""
        return read_events(self._path.glob('*.events'))

    def capture_path(self, upstream_id: str) -> Path:
        """Returns the file of the bytes that an upstream received."""
        return self._path / f'{upstream_id}.capture'

    def start_upstream(self, upstream: Upstream, *further_flags: str) -> None:
        """Starts the stand-in of an upstream."""
        pool = self.settings.pools[upstream.pool_id]
        name = upstream.upstream_id
        self._spawn(
            name,
            upstream_module(pool),
            *upstream_flags(
                upstream, pool, self._options, self.capture_path(name)
            ),
            *further_flags,
        )

    def start_node(self, node: NodePlan) -> None:
        """Starts the process of a node."""
        path = self._path / f'{node.vm_id}.ini'
        text = node_text(
            node,
            self.port_towards(platform_link(node.vm_id), self.config_port),
            self._options.node_sections,
            self.event_log_path(node),
        )
        path.write_text(text, encoding='utf-8')
        self._spawn(node.vm_id, 'catkinreach_node.run', f'--settings={path}')

    def wait_ready(self, node: NodePlan) -> None:
        """Waits until a node says that it is ready."""
        if not wait_until(lambda: self._is_ready(node), limit_s=START_LIMIT_S):
            log = self.log_of(node.vm_id)
            raise RuntimeError(f'{node.vm_id} is not ready:\n{log}')

    def vm_entries(self) -> list[dict[str, str]]:
        """Returns the entries of the VM list for all planned nodes."""
        return [
            {
                'id': node.vm_id,
                'peer_address': self._peer_address(node),
                'failure_domain': node.failure_domain,
                'state': 'live',
            }
            for node in self.nodes
        ]

    def wait_listening(self, name: str) -> None:
        """Waits until a stand-in has logged that it listens."""
        if not wait_until(
            lambda: 'ready ' in self.log_of(name), limit_s=START_LIMIT_S
        ):
            raise RuntimeError(f'{name} does not listen:\n{self.log_of(name)}')

    def port_towards(self, link: str, direct_port: int) -> int:
        """Returns the port of a link, or the direct one without a proxy."""
        return direct_port if self.links is None else self.links.port_of(link)

    def _peer_address(self, node: NodePlan) -> str:
        port = self.port_towards(peer_link(node.vm_id), node.peer_port)
        return f'{LOOPBACK}:{port}'

    def _plan_links(self) -> ProxyLinks:
        links = ProxyLinks()
        for upstream in self.settings.upstreams.values():
            links.plan(upstream_link(upstream.upstream_id), upstream.port)
        for node in self.nodes:
            links.plan_node(node, self.config_port)
        return links

    def _published_text(self, text: str) -> str:
        """Returns the text with the ports that the nodes are to use."""
        return with_ports(
            text,
            {
                upstream.port: self.port_towards(
                    upstream_link(upstream.upstream_id), upstream.port
                )
                for upstream in self.settings.upstreams.values()
            },
        )

    def _start_proxy(self, links: ProxyLinks) -> None:
        path = self._path / 'links.json'
        path.write_bytes(msgspec.json.encode(links.plans))
        self._spawn(
            'faultproxy',
            f'{STANDINS}.faultproxy',
            f'--port={links.control_port}',
            f'--links={path}',
            f'--seed={self._options.seed}',
        )

    def _start_config_service(self) -> None:
        config = self._path / 'fleet.ini'
        config.write_text(self.fleet_text, encoding='utf-8')
        vms = self._path / 'vms.json'
        vms.write_text(json.dumps(self.vm_entries()), encoding='utf-8')
        self._spawn(
            'config-service',
            f'{STANDINS}.configservice',
            f'--port={self.config_port}',
            f'--config={config}',
            f'--vms={vms}',
        )

    def _start_balancer(self) -> None:
        ports = (
            self.port_towards(caller_link(node.vm_id), node.caller_port)
            for node in self.nodes
        )
        health = [f'{LOOPBACK}:{node.operator_port}' for node in self.nodes]
        backends = [f'{LOOPBACK}:{port}' for port in ports]
        self._spawn(
            'balancer',
            f'{STANDINS}.balancer',
            *balancer_flags(self.balancer_port, backends, health),
        )
        self.wait_listening('balancer')

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        if name not in self.processes:
            self.processes[name] = BenchProcess(
                name, module, self._path / f'{name}.log'
            )
        self.processes[name].start(*arguments)

    def _is_ready(self, node: NodePlan) -> bool:
        if not self.processes[node.vm_id].is_running:
            log = self.log_of(node.vm_id)
            raise RuntimeError(f'{node.vm_id} ended:\n{log}')
        try:
            status, _ = http_call(node.operator_port, 'GET', '/ready')
        except OSError:
            return False
        return status == _HTTP_OK


def _load(text: str) -> FleetSettings:
    return load_fleet(text, revision=Revision(1), source='fleet')


__all__ = (
    'OPERATOR_KEY',
    'BenchOptions',
    'Deployment',
    'NodePlan',
    'http_call',
)
