"""Runs an example deployment on the addresses in its settings.

``python -m catkinreach_standins.rehearsal --example=examples/ninepatch``
starts the stand-ins and every VM and prints a ready line. It stops them all
when it receives SIGTERM or SIGINT. The procedures under ``docs/operations/``
were tested against it.
"""

from __future__ import annotations

import json
import signal
import sys
import tempfile
from pathlib import Path

from absl import flags

from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet, load_node

from .bench.commands import (
    STANDINS_PACKAGE,
    balancer_flags,
    upstream_flags,
    upstream_module,
)
from .bench.plan import BenchOptions
from .bench.ports import LOOPBACK, is_listening
from .bench.processes import BenchProcess, wait_until
from .command_line import new_flag_values

START_TIMEOUT_S = 30.0
BALANCER_PORT_OFFSET = 1000
"""Offset of the balancer's port from that of the configuration service."""


class ExampleDeployment:
    """Processes of the deployment that an example directory describes."""

    def __init__(self, example: Path, logs: Path) -> None:
        """Reads the settings of the example; starts no process.

        Args:
            example: Directory of the example.
            logs: Directory for logs, journals and process ids.
        """
        self._example = example
        self._logs = logs
        text = (example / 'fleet.ini').read_text(encoding='utf-8')
        self._options = BenchOptions(fleet=text)
        self._fleet = load_fleet(text, revision=Revision(1), source='fleet')
        vms = json.loads((example / 'vms.json').read_text(encoding='utf-8'))
        self._nodes = [
            load_node(path.read_text(encoding='utf-8'), source=str(path))
            for path in (example / f'{vm["id"]}.ini' for vm in vms)
        ]
        self._processes: list[BenchProcess] = []

    @property
    def balancer_port(self) -> int:
        """Returns the port that callers connect to."""
        return self._nodes[0].config_service.port + BALANCER_PORT_OFFSET

    def start(self) -> None:
        """Starts the processes, waiting until each one listens."""
        service_port = self._nodes[0].config_service.port
        self._start_process(
            'config-service',
            f'{STANDINS_PACKAGE}.configservice',
            service_port,
            f'--port={service_port}',
            f'--config={self._example / "fleet.ini"}',
            f'--vms={self._example / "vms.json"}',
        )
        for upstream in self._fleet.upstreams.values():
            pool = self._fleet.pools[upstream.pool_id]
            name = upstream.upstream_id
            journal = self._logs / f'{name}.journal'
            command = upstream_flags(
                upstream,
                pool,
                self._options,
                capture=journal,
                journal=journal,
            )
            self._start_process(
                name, upstream_module(pool), upstream.port, *command
            )
        for node in self._nodes:
            path = self._example / f'{node.vm_id}.ini'
            self._start_process(
                node.vm_id,
                'catkinreach_node.run',
                node.caller_address.port,
                f'--settings={path}',
            )
        backends = [str(node.caller_address) for node in self._nodes]
        health = [str(node.operator_address) for node in self._nodes]
        self._start_process(
            'balancer',
            f'{STANDINS_PACKAGE}.balancer',
            self.balancer_port,
            *balancer_flags(self.balancer_port, backends, health),
        )

    def stop(self) -> None:
        """Stops the processes in reverse order of their start."""
        for process in reversed(self._processes):
            process.stop()

    def _start_process(
        self, name: str, module: str, port: int, *arguments: str
    ) -> None:
        process = BenchProcess(name, module, self._logs / f'{name}.log')
        self._processes.append(process)
        process.start(*arguments)
        (self._logs / f'{name}.pid').write_text(f'{process.pid}\n')
        if not wait_until(
            lambda: is_listening(port), timeout_s=START_TIMEOUT_S
        ):
            raise RuntimeError(f'{name} does not listen on {port}')


def _exit_on_signal(*_: object) -> None:
    raise SystemExit


def main(argv: list[str]) -> None:
    """Runs an example until the process receives SIGTERM or SIGINT."""
    values = new_flag_values()
    flags.DEFINE_string(
        'example', 'examples/ninepatch', 'example directory', flag_values=values
    )
    values(argv)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, _exit_on_signal)
    with tempfile.TemporaryDirectory(prefix='catkinreach-') as directory:
        deployment = ExampleDeployment(Path(values.example), Path(directory))
        try:
            deployment.start()
            sys.stdout.write(
                f'ready: callers {LOOPBACK}:{deployment.balancer_port}, '
                f'logs {directory}\n'
            )
            sys.stdout.flush()
            signal.pause()
        finally:
            deployment.stop()


if __name__ == '__main__':
    main(sys.argv)
