"""A deployment of an example text as processes on free ports."""

from __future__ import annotations

import http.client
import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from catkinreach_core.ids import Revision
from catkinreach_core.keys import key_digest
from catkinreach_core.settings import load_fleet
from catkinreach_core.settings.fleet import PoolRole

from .ports import LOOPBACK, free_ports
from .processes import BenchProcess, wait_until

if TYPE_CHECKING:
    from catkinreach_core.settings.fleet import FleetSettings, Upstream

START_LIMIT_S = 30.0
OPERATOR_KEY = 'demo-operator-key'
_STANDINS = 'catkinreach_standins'
_HTTP_OK = 200


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
    """

    fleet: str
    node_count: int = 3
    engine_flags: tuple[str, ...] = ()
    seed: int = 1
    has_balancer: bool = True
    node_sections: dict[str, dict[str, str]] = field(default_factory=dict)


class Deployment:
    """Processes of one deployment; use it as a context manager."""

    def __init__(self, options: BenchOptions) -> None:
        """Plans the ports; nothing runs yet."""
        self._options = options
        self._directory = tempfile.TemporaryDirectory(prefix='catkinreach-')
        self._path = Path(self._directory.name)
        self.processes: dict[str, BenchProcess] = {}
        self.settings = _load(options.fleet)
        self.fleet_text = self._with_free_ports(options.fleet)
        self.settings = _load(self.fleet_text)
        self.nodes = self._plan_nodes()
        self.config_port, self.balancer_port = free_ports(2)

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
        self._start_config_service()
        for upstream in self.settings.upstreams.values():
            self.start_upstream(upstream)
        for node in self.nodes:
            self.start_node(node)
        if self._options.has_balancer:
            self._start_balancer()
        for node in self.nodes:
            self.wait_ready(node)

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

    def start_upstream(self, upstream: Upstream) -> None:
        """Starts the stand-in of an upstream."""
        pool = self.settings.pools[upstream.pool_id]
        name = upstream.upstream_id
        if pool.role is PoolRole.PLAIN:
            self._spawn(name, f'{_STANDINS}.plain', f'--port={upstream.port}')
            return
        self._spawn(
            name,
            f'{_STANDINS}.engine',
            f'--name={name}',
            f'--port={upstream.port}',
            f'--role={pool.role.value}',
            f'--model={pool.model}',
            f'--places={upstream.places}',
            f'--kv_pieces={upstream.kv_pieces}',
            f'--seed={self._options.seed}',
            f'--{"" if upstream.is_fencing else "no"}fencing',
            *self._options.engine_flags,
        )

    def start_node(self, node: NodePlan) -> None:
        """Starts the process of a node."""
        path = self._path / f'{node.vm_id}.ini'
        path.write_text(self._node_text(node), encoding='utf-8')
        self._spawn(node.vm_id, 'catkinreach_node.run', f'--settings={path}')

    def wait_ready(self, node: NodePlan) -> None:
        """Waits until a node says that it is ready."""
        if not wait_until(lambda: self._is_ready(node), limit_s=START_LIMIT_S):
            log = self.log_of(node.vm_id)
            raise RuntimeError(f'{node.vm_id} is not ready:\n{log}')

    def operator_call(
        self, node: NodePlan, method: str, path: str
    ) -> tuple[int, Any]:
        """Calls a node's operator address with the operator key."""
        status, body = http_call(
            node.operator_port,
            method,
            path,
            headers={'authorization': f'Bearer {OPERATOR_KEY}'},
        )
        return status, json.loads(body)

    def publish_config(self, text: str) -> None:
        """Publishes a new revision of the fleet's text."""
        http_call(self.config_port, 'PUT', '/standin/config', text.encode())

    def publish_vms(self, vms: list[dict[str, str]]) -> None:
        """Publishes a new revision of the VM list."""
        http_call(
            self.config_port,
            'PUT',
            '/standin/vms',
            json.dumps(vms).encode(),
        )

    def vm_entries(self) -> list[dict[str, str]]:
        """Returns the entries of the VM list for all planned nodes."""
        return [
            {
                'id': node.vm_id,
                'peer_address': f'{LOOPBACK}:{node.peer_port}',
                'failure_domain': node.failure_domain,
                'state': 'live',
            }
            for node in self.nodes
        ]

    def standin_call(
        self, port: int, method: str, path: str, document: object = None
    ) -> Any:
        """Calls the control address of a stand-in."""
        body = b'' if document is None else json.dumps(document).encode()
        _, answer = http_call(port, method, path, body)
        return json.loads(answer) if answer else None

    def _with_free_ports(self, text: str) -> str:
        upstreams = self.settings.upstreams.values()
        ports = free_ports(len(upstreams))
        for upstream, port in zip(upstreams, ports, strict=True):
            text = text.replace(
                f'address = {upstream.host}:{upstream.port}\n',
                f'address = {LOOPBACK}:{port}\n',
            )
        return text

    def _plan_nodes(self) -> list[NodePlan]:
        domains = sorted(self.settings.failure_domains)
        ports = iter(free_ports(3 * self._options.node_count))
        return [
            NodePlan(
                vm_id=f'vm-{number + 1}',
                failure_domain=domains[number % len(domains)],
                caller_port=next(ports),
                operator_port=next(ports),
                peer_port=next(ports),
            )
            for number in range(self._options.node_count)
        ]

    def _start_config_service(self) -> None:
        config = self._path / 'fleet.ini'
        config.write_text(self.fleet_text, encoding='utf-8')
        vms = self._path / 'vms.json'
        vms.write_text(json.dumps(self.vm_entries()), encoding='utf-8')
        self._spawn(
            'config-service',
            f'{_STANDINS}.configservice',
            f'--port={self.config_port}',
            f'--config={config}',
            f'--vms={vms}',
        )

    def _start_balancer(self) -> None:
        backends = ','.join(
            f'{LOOPBACK}:{node.caller_port}' for node in self.nodes
        )
        self._spawn(
            'balancer',
            f'{_STANDINS}.balancer',
            f'--port={self.balancer_port}',
            f'--backends={backends}',
        )

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        if name not in self.processes:
            self.processes[name] = BenchProcess(
                name, module, self._path / f'{name}.log'
            )
        self.processes[name].start(*arguments)

    def _node_text(self, node: NodePlan) -> str:
        sections = {
            'node': {
                'id': node.vm_id,
                'failure_domain': node.failure_domain,
                'caller_address': f'{LOOPBACK}:{node.caller_port}',
                'operator_address': f'{LOOPBACK}:{node.operator_port}',
                'peer_address': f'{LOOPBACK}:{node.peer_port}',
                'config_service': f'{LOOPBACK}:{self.config_port}',
                'operator_key_digest': f'sha256:{key_digest(OPERATOR_KEY)}',
            },
            **self._options.node_sections,
        }
        return ''.join(
            f'[{name}]\n'
            + ''.join(f'{key} = {text}\n' for key, text in options.items())
            for name, options in sections.items()
        )

    def _is_ready(self, node: NodePlan) -> bool:
        if not self.processes[node.vm_id].is_running:
            log = self.log_of(node.vm_id)
            raise RuntimeError(f'{node.vm_id} ended:\n{log}')
        try:
            status, _ = http_call(node.operator_port, 'GET', '/ready')
        except OSError:
            return False
        return status == _HTTP_OK


def http_call(
    port: int,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Calls a process on loopback; returns the status and the body."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _load(text: str) -> FleetSettings:
    return load_fleet(text, revision=Revision(1), source='fleet')


__all__ = (
    'OPERATOR_KEY',
    'BenchOptions',
    'Deployment',
    'NodePlan',
    'http_call',
)
