"""Runs one of the examples on the addresses that its texts name.

``python -m catkinreach_standins.rehearsal --example=examples/ninepatch``
starts the stand-ins and every VM, says so, and ends them all when it is
ended itself. The pages under ``docs/operations/`` were followed against it.
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
    STANDINS,
    balancer_flags,
    upstream_flags,
    upstream_module,
)
from .bench.plan import BenchOptions
from .bench.ports import LOOPBACK, is_listening
from .bench.processes import BenchProcess, wait_until
from .command_line import new_flag_values

START_LIMIT_S = 30.0
BALANCER_OFFSET = 1000
"""Distance of the balancer's port above that of the configuration service."""


class Rehearsal:
    """The processes of one example directory."""

    def __init__(self, example: Path, logs: Path) -> None:
        """Reads the example's texts; nothing runs yet."""
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
        """Returns where callers connect."""
        return self._nodes[0].config_service.port + BALANCER_OFFSET

    def start(self) -> None:
        """Starts every process and waits until each one listens."""
        service = self._nodes[0].config_service.port
        self._spawn(
            'config-service',
            f'{STANDINS}.configservice',
            service,
            f'--port={service}',
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
            self._spawn(name, upstream_module(pool), upstream.port, *command)
        for node in self._nodes:
            path = self._example / f'{node.vm_id}.ini'
            self._spawn(
                node.vm_id,
                'catkinreach_node.run',
                node.caller_address.port,
                f'--settings={path}',
            )
        backends = [str(node.caller_address) for node in self._nodes]
        health = [str(node.operator_address) for node in self._nodes]
        self._spawn(
            'balancer',
            f'{STANDINS}.balancer',
            self.balancer_port,
            *balancer_flags(self.balancer_port, backends, health),
        )

    def stop(self) -> None:
        """Ends every process, the last one first."""
        for process in reversed(self._processes):
            process.stop()

    def _spawn(
        self, name: str, module: str, port: int, *arguments: str
    ) -> None:
        process = BenchProcess(name, module, self._logs / f'{name}.log')
        self._processes.append(process)
        process.start(*arguments)
        (self._logs / f'{name}.pid').write_text(f'{process.pid}\n')
        if not wait_until(lambda: is_listening(port), limit_s=START_LIMIT_S):
            raise RuntimeError(f'{name} does not listen on {port}')


def _leave(*_: object) -> None:
    raise SystemExit


def main(argv: list[str]) -> None:
    """Runs an example until SIGTERM or SIGINT."""
    values = new_flag_values()
    flags.DEFINE_string(
        'example', 'examples/ninepatch', 'directory', flag_values=values
    )
    values(argv)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _leave)
    with tempfile.TemporaryDirectory(prefix='catkinreach-') as directory:
        rehearsal = Rehearsal(Path(values.example), Path(directory))
        try:
            rehearsal.start()
            sys.stdout.write(
                f'ready: callers {LOOPBACK}:{rehearsal.balancer_port}, '
                f'logs {directory}\n'
            )
            sys.stdout.flush()
            signal.pause()
        finally:
            rehearsal.stop()


if __name__ == '__main__':
    main(sys.argv)
