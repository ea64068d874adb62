"""Runs nodes and stand-ins of a fleet as local processes on free ports."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet

from .calls import http_call
from .commands import (
    STANDINS_PACKAGE,
    balancer_flags,
    upstream_flags,
    upstream_module,
)
from .deployment_control import DeploymentControl
from .links import (
    ProxyLinks,
    caller_link,
    peer_link,
    platform_link,
)
from .plan import (
    OPERATOR_KEY,
    BenchOptions,
    NodePlan,
    node_text,
    plan_nodes,
    with_free_ports,
)
from .ports import LOOPBACK, free_ports
from .process_set import START_TIMEOUT_S, ProcessSet
from .processes import wait_until

if TYPE_CHECKING:
    from catkinreach_core.settings.fleet import FleetSettings, Upstream

_HTTP_OK = 200


class Deployment(DeploymentControl, ProcessSet):
    """Runs the processes of one deployment, also as a context manager.

    Attributes:
        settings: Settings of the fleet; upstreams have the ports on which
            their stand-ins listen.
        fleet_text: Fleet configuration that is published at the start. With a
            fault proxy its upstreams have the ports of their links.
        nodes: The planned nodes.
        links: The fault proxy's links, ``None`` without a proxy.
    """

    def __init__(self, options: BenchOptions) -> None:
        """Chooses the ports; starts no process."""
        self._options = options
        ProcessSet.__init__(self)
        text = with_free_ports(options.fleet, _load_settings(options.fleet))
        self.settings = _load_settings(text)
        self.nodes = plan_nodes(self.settings, options.node_count)
        self.config_port, self.balancer_port = free_ports(2)
        self.links = (
            ProxyLinks.for_fleet(self.settings, self.nodes, self.config_port)
            if options.has_proxy
            else None
        )
        self.fleet_text = (
            text if self.links is None else self.links.published_text(text)
        )

    def __enter__(self) -> Deployment:
        """Starts every process and waits until the nodes are ready."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stops every process."""
        self.stop()

    def start(self) -> None:
        """Starts every process and waits until the nodes are ready."""
        if self.links is not None:
            self._start_proxy(self.links)
        self._start_config_service()
        upstreams = self.settings.upstreams.values()
        for upstream in upstreams:
            self.start_upstream(upstream)
        for upstream in upstreams:
            self.wait_listening(upstream.upstream_id, upstream.port)
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_ready(node)
        if self._options.has_balancer:
            self._start_balancer()

    def start_upstream(self, upstream: Upstream, *extra_flags: str) -> None:
        """Starts the stand-in process of an upstream."""
        pool = self.settings.pools[upstream.pool_id]
        name = upstream.upstream_id
        self.spawn(
            name,
            upstream_module(pool),
            *upstream_flags(
                upstream,
                pool,
                self._options,
                capture=self.capture_path(name),
                journal=self.journal_path(name),
            ),
            *extra_flags,
        )

    def start_node(self, node: NodePlan) -> None:
        """Starts the process of a node."""
        path = self.directory / f'{node.vm_id}.ini'
        text = node_text(
            node,
            self.link_port(platform_link(node.vm_id), self.config_port),
            self._options.node_sections,
            event_log=str(self.event_log_path(node.vm_id)),
        )
        path.write_text(text, encoding='utf-8')
        self.spawn(node.vm_id, 'catkinreach_node.run', f'--settings={path}')

    def wait_ready(self, node: NodePlan) -> None:
        """Waits until the readiness check of a node succeeds.

        Raises:
            RuntimeError: the node exited or was not ready in time.
        """
        if not wait_until(
            lambda: self._is_ready(node), timeout_s=START_TIMEOUT_S
        ):
            logs = '\n'.join(map(self.describe_process, self.processes))
            raise RuntimeError(f'{node.vm_id} is not ready:\n{logs}')

    def vm_entries(self) -> list[dict[str, str]]:
        """Returns the VM list with an entry for every planned node."""
        return [
            {
                'id': node.vm_id,
                'peer_address': self._peer_address(node),
                'failure_domain': node.failure_domain,
                'state': 'live',
            }
            for node in self.nodes
        ]

    def link_port(self, link: str, direct_port: int) -> int:
        """Returns the port on which a link of the fault proxy listens.

        Without a fault proxy it is ``direct_port``, the target of the link.
        """
        return direct_port if self.links is None else self.links.port_of(link)

    def _peer_address(self, node: NodePlan) -> str:
        port = self.link_port(peer_link(node.vm_id), node.peer_port)
        return f'{LOOPBACK}:{port}'

    def _start_proxy(self, links: ProxyLinks) -> None:
        path = self.directory / 'links.json'
        path.write_bytes(msgspec.json.encode(links.plans))
        self.spawn(
            'faultproxy',
            f'{STANDINS_PACKAGE}.faultproxy',
            f'--port={links.control_port}',
            f'--links={path}',
            f'--seed={self._options.seed}',
        )

    def _start_config_service(self) -> None:
        config = self.directory / 'fleet.ini'
        config.write_text(self.fleet_text, encoding='utf-8')
        vms = self.directory / 'vms.json'
        vms.write_text(json.dumps(self.vm_entries()), encoding='utf-8')
        self.spawn(
            'config-service',
            f'{STANDINS_PACKAGE}.configservice',
            f'--port={self.config_port}',
            f'--config={config}',
            f'--vms={vms}',
        )

    def _start_balancer(self) -> None:
        ports = [
            node.caller_port
            if self._options.is_balancer_direct
            else self.link_port(caller_link(node.vm_id), node.caller_port)
            for node in self.nodes
        ]
        health = [f'{LOOPBACK}:{node.operator_port}' for node in self.nodes]
        backends = [f'{LOOPBACK}:{port}' for port in ports]
        self.spawn(
            'balancer',
            f'{STANDINS_PACKAGE}.balancer',
            *balancer_flags(self.balancer_port, backends, health),
        )
        self.wait_listening('balancer', self.balancer_port)

    def _is_ready(self, node: NodePlan) -> bool:
        if not self.processes[node.vm_id].is_running:
            log = self.log_of(node.vm_id)
            raise RuntimeError(f'{node.vm_id} exited during start-up:\n{log}')
        try:
            status, _ = http_call(node.operator_port, 'GET', '/ready')
        except OSError:
            return False
        return status == _HTTP_OK


def _load_settings(text: str) -> FleetSettings:
    return load_fleet(text, revision=Revision(1), source='fleet')


__all__ = (
    'OPERATOR_KEY',
    'BenchOptions',
    'Deployment',
    'NodePlan',
    'http_call',
)
