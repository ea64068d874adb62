"""Gateway processes, started through the deploy file ``deploy/front.py``.

A front VM is a VM of the platform that runs one gateway. Each process stands
for one front VM and has a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_node.http.connection import (
    ClientConnection,
    ConnectError,
    ExchangeError,
)
from catkinreach_node.http.messages import HttpRequest

from ..bench.ports import free_ports
from .builds import ROOT
from .deployment import Deployment, eventually

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import AsyncIterator

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0

SETTINGS_TEMPLATE = """\
node-name=front-{number}
zone=zone-a
ip={host}
listen.front={host}:{front}
listen.ready={host}:{ready}
internal-ports={peer},{peer}
seeds={seeds}
platform.address=127.0.0.1:{store}
limits.memory-mb=150
limits.max-fds=4100
bounds.grace-s=4
bounds.budget-ratio=0.2
bounds.retry-slack=58
bounds.budget-window-s=10
bounds.quota-window-s=8
bounds.config-apply-ms=2000
bounds.quota-over=0.25
bounds.quota-slack=190000
"""


class FrontProcess:
    """Stands for a front VM: its settings file and its gateway process.

    Attributes:
        number: Number of the VM; the host is ``127.0.0.(10 + number)``.
        caller_address: Address for callers.
        ready_address: Address of the readiness check.
        metrics_address: Address of the metrics.
        peer_address: Address for peer gateways.
        settings_file: File that the process reads its settings from.
        settings_text: Text that was written to it last.
        build: Checkout that the next process is started from.
    """

    def __init__(
        self, number: int, settings_text: str, folder: Path, ports: Ports
    ) -> None:
        """Writes the settings file."""
        host = f'127.0.0.{10 + number}'
        self.number = number
        self.caller_address = Address(host=host, port=ports.front)
        self.ready_address = Address(host=host, port=ports.ready)
        self.peer_address = Address(host=host, port=ports.peer)
        self.settings_file = folder / f'boot-{number}.conf'
        self._log_file = folder / f'front-{number}.jsonl'
        self.metrics_address = Address(host=host, port=ports.metrics)
        self.build = ROOT
        self._process: Process | None = None
        self._predecessors: list[Process] = []
        self._client = HttpClient()
        self.settings_text = settings_text
        self.settings_file.write_text(settings_text)

    @property
    def log(self) -> str:
        """Returns the output so far, also that of earlier processes."""
        return self._log_file.read_text(encoding='utf-8')

    @property
    def peak_memory_kb(self) -> int:
        """Returns the peak of the running process's resident memory."""
        assert self._process is not None  # noqa: S101 - narrows the type
        file = Path(f'/proc/{self._process.pid}/status')
        lines = file.read_text(encoding='utf-8').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1])

    @property
    def open_descriptors(self) -> int:
        """Returns the number of descriptors that the process has open."""
        assert self._process is not None  # noqa: S101 - narrows the type
        return len(list(Path(f'/proc/{self._process.pid}/fd').iterdir()))

    @property
    def is_running(self) -> bool:
        """Returns whether the process exists, paused or not."""
        return self._process is not None and self.exit_code is None

    @property
    def exit_code(self) -> int | None:
        """Returns the exit code of the latest process, if it has ended."""
        return None if self._process is None else self._process.returncode

    @property
    def predecessor_exit_codes(self) -> list[int | None]:
        """Returns the exit codes of processes that ran beside a later one."""
        return [process.returncode for process in self._predecessors]

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        await self.launch()
        await eventually(self.is_ready, within_s=START_TIMEOUT_S)

    async def launch(self, **options: Any) -> Process:
        """Starts the process and doesn't wait until it is ready.

        A process that still runs goes on beside it.

        Args:
            **options: Further arguments of the call that starts it.

        Returns:
            The new process.
        """
        if self._process is not None and self.is_running:
            self._predecessors.append(self._process)
        with self._log_file.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.build / 'deploy' / 'front.py'),
                f'--metrics_port={self.metrics_address.port}',
                **{'stdout': output, 'stderr': output, **options},
                env={
                    **os.environ,
                    'CATKINREACH_BOOT': str(self.settings_file),
                },
            )
        return self._process

    async def wait_exit(self, *, within_s: float) -> int | None:
        """Waits until the process has ended; returns its exit code.

        Raises:
            TimeoutError: if it goes on for longer.
        """

        async def has_exited() -> bool:
            return not self.is_running

        await eventually(has_exited, within_s=within_s)
        return self.exit_code

    async def wait_ready_unharmed(self, *, within_s: float) -> None:
        """Waits until the process is ready; checks that none ended before.

        Raises:
            AssertionError: if there is a traceback in its output.
            TimeoutError: if it isn't ready within the time limit.
        """
        await eventually(self.is_ready, within_s=within_s)
        if not self.is_running or 'Traceback' in self.log:
            raise AssertionError(f'unexpected end or error: {self.log}')

    async def wait_listening(self) -> None:
        """Waits until callers can connect or the process has ended."""
        await eventually(self._is_listening, within_s=START_TIMEOUT_S)

    async def is_ready(self) -> bool:
        """Returns whether the process reports readiness to the balancer."""
        try:
            async with asyncio.timeout(1.0):
                status, _ = await self._client.call_raw(
                    self.ready_address, HttpRequest('GET', '/ready')
                )
        except (ConnectError, ExchangeError, TimeoutError):
            return False
        return status == 200  # noqa: PLR2004 - HTTP's OK

    async def read_metrics(self) -> str:
        """Returns the body that the metrics address serves."""
        _, body = await self._client.call_raw(
            self.metrics_address, HttpRequest('GET', '/metrics')
        )
        return body.decode()

    def change_settings(self) -> None:
        """Writes the settings file again, with the seeds in reverse order."""
        lines = self.settings_text.splitlines()
        seeds = next(line for line in lines if line.startswith('seeds='))
        hosts = seeds.removeprefix('seeds=').split(',')
        self.set_field('seeds', ','.join(reversed(hosts)))

    def set_field(self, name: str, text: str) -> None:
        """Writes the settings file again, with another value of a field."""
        self.settings_text = ''.join(
            f'{name}={text}\n' if line.startswith(f'{name}=') else f'{line}\n'
            for line in self.settings_text.splitlines()
        )
        self.settings_file.write_text(self.settings_text)

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs.

        The asyncio method would reap a process that has just ended, and its
        exit code would be lost.
        """
        if self._process is not None and self.is_running:
            with suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def stop(self) -> int:
        """Sends SIGTERM and returns the exit code."""
        assert self._process is not None  # noqa: S101 - narrows the type
        self.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def kill(self) -> None:
        """Sends SIGKILL to what runs, and waits for its end."""
        processes = [*self._predecessors]
        if self._process is not None:
            processes.append(self._process)
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self._client.close()
        self._client = HttpClient()

    async def _is_listening(self) -> bool:
        try:
            connection = await ClientConnection.open(self.caller_address)
        except ConnectError:
            return not self.is_running
        connection.close()
        return True


class Ports:
    """Ports that all front VMs have in common, as on the platform.

    Attributes:
        front: Port for callers.
        ready: Port of the readiness check.
        peer: Port for peer gateways.
        metrics: Port of the metrics.
    """

    def __init__(self) -> None:
        """Chooses free ports."""
        self.front, self.ready, self.peer, self.metrics = free_ports(4)


def make_fronts(
    count: int, store_port: int, folder: Path
) -> list[FrontProcess]:
    """Returns front VMs, whose settings name the first three as seeds."""
    ports = Ports()
    hosts = [f'127.0.0.{10 + number}' for number in range(count)]
    seeds = ','.join(f'{host}:{ports.ready}' for host in hosts[:3])
    return [
        FrontProcess(
            number,
            SETTINGS_TEMPLATE.format(
                number=number,
                host=host,
                front=ports.front,
                ready=ports.ready,
                peer=ports.peer,
                seeds=seeds,
                store=store_port,
            ),
            folder,
            ports,
        )
        for number, host in enumerate(hosts)
    ]


@asynccontextmanager
async def running_fronts(
    count: int,
    folder: Path,
    *,
    grace_s: int | None = None,
    fields: dict[str, str] | None = None,
    build: Path = ROOT,
) -> AsyncIterator[tuple[Deployment, list[FrontProcess]]]:
    """Runs front processes in front of the stand-ins of a deployment.

    Args:
        count: Number of front VMs.
        folder: Folder for their settings and logs.
        grace_s: Stop grace; ``None`` for that of the settings template.
        fields: Other fields of the settings template to change.
        build: Checkout that they are started from.
    """
    deployment = Deployment()
    await deployment.start()
    deployment.publish()
    fronts = make_fronts(count, deployment.store.port, folder)
    if grace_s is not None:
        for front in fronts:
            front.set_field('bounds.grace-s', str(grace_s))
    for front in fronts:
        front.build = build
        for name, text in (fields or {}).items():
            front.set_field(name, text)
    try:
        await asyncio.gather(*(front.start() for front in fronts))
        yield deployment, fronts
    finally:
        await asyncio.gather(*(front.kill() for front in fronts))
        deployment.client.close()
        await deployment.close()


@asynccontextmanager
async def prepared_front(folder: Path) -> AsyncIterator[FrontProcess]:
    """Runs the stand-ins; yields a front VM whose process isn't started."""
    deployment = Deployment()
    await deployment.start()
    deployment.publish()
    (front,) = make_fronts(1, deployment.store.port, folder)
    try:
        yield front
    finally:
        await front.kill()
        await deployment.close()


__all__ = ('FrontProcess', 'make_fronts', 'prepared_front', 'running_fronts')
