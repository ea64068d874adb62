"""Front processes, kept running as the platform keeps them."""

from __future__ import annotations

import asyncio
import os
import signal
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

from .wire import encode_head, free_port, read_body, read_head

if TYPE_CHECKING:
    from .record import Record

ROOT = Path(__file__).resolve().parents[1]
RESTART_S = 1.0
OK = 200
READY_POLL_S = 1.0
MEMORY_POLL_S = 0.02

SETTINGS = """\
node-name=front-{number}
role=front
machine-class=front
serves=front,control
ip={host}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.control={host}:{control}
internal-ports={peer},{peer}
seeds={seeds}
bootstrap=true
in-loss-budget=false
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=150
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-ms=1200
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.stable-window-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=5000
bounds.budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-slack=58
bounds.quota-window-s=8
bounds.quota-over=0.25
bounds.quota-slack=190000
bounds.require-fence=true
bounds.lease-ms=3000
bounds.thaw-ms=300
platform.address={store}
platform.form=read
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
"""


class Front:
    """One front VM: a settings file and a process that is started again.

    Attributes:
        host: Address of the VM.
        port: Port for callers.
        ready_port: Port of the readiness check.
        is_ready: Whether it takes new channels, as the balancer sees it.
        own_ends: Times at which its process ended without a signal of ours.
        memory_kills: Times at which it was killed over its memory limit.
        peak_mb: Largest resident memory that was seen.
    """

    def __init__(
        self,
        number: int,
        settings: str,
        folder: Path,
        ports: tuple[int, int, int],
    ) -> None:
        """Writes the settings file."""
        self.number = number
        self.host = f'127.0.0.{10 + number}'
        self.port, self.ready_port, self._metrics_port = ports
        self.is_ready = False
        self.own_ends: list[float] = []
        self.memory_kills: list[float] = []
        self.peak_mb = 0.0
        self._settings_file = folder / f'boot-{number}.conf'
        self._settings_file.write_text(settings, encoding='utf-8')
        self._log = folder / f'front-{number}.log'
        self._process: asyncio.subprocess.Process | None = None
        self._ends_expected = False
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def log(self) -> str:
        """Returns what its processes wrote."""
        return self._log.read_text(encoding='utf-8', errors='replace')

    def start(self, record: Record, memory_mb: float | None = None) -> None:
        """Keeps the process running until ``stop``.

        Args:
            record: Record of the run.
            memory_mb: Resident memory over which it is killed, as the
                platform does; ``None`` to only measure it.
        """
        self._tasks = [
            asyncio.ensure_future(self._keep_running(record)),
            asyncio.ensure_future(self._poll_ready(record)),
            asyncio.ensure_future(self._watch_memory(record, memory_mb)),
        ]

    async def stop(self) -> None:
        """Ends the process."""
        self._ends_expected = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def _keep_running(self, record: Record) -> None:
        run = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        program, *words = run['roles']['front']['run'].split()
        words[-1] = f'--metrics_port={self._metrics_port}'
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['CATKINREACH_BOOT'] = str(self._settings_file)
        while True:
            with self._log.open('ab') as output:
                self._process = await asyncio.create_subprocess_exec(
                    program,
                    *words,
                    cwd=ROOT,
                    stdout=output,
                    stderr=output,
                    stdin=asyncio.subprocess.DEVNULL,
                    env=environment,
                )
            record.write(
                'front-started', front=self.number, pid=self._process.pid
            )
            code = await self._process.wait()
            self.is_ready = False
            if self.memory_kills and code == -signal.SIGKILL:
                record.write('front-killed-over-memory', front=self.number)
            else:
                self.own_ends.append(record.now_s)
                record.write('front-ended', front=self.number, code=code)
            await asyncio.sleep(RESTART_S)

    async def _poll_ready(self, record: Record) -> None:
        misses = 0
        while True:
            if await self._answers_ready():
                misses = 0
                if not self.is_ready:
                    record.write('front-ready', front=self.number)
                self.is_ready = True
            else:
                misses += 1
                if misses > 1 and self.is_ready:
                    record.write('front-not-ready', front=self.number)
                    self.is_ready = False
            await asyncio.sleep(READY_POLL_S if self.is_ready else 0.1)

    async def _answers_ready(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ready_port
                )
                writer.write(
                    encode_head('GET /ready HTTP/1.1', {'Host': self.host})
                )
                response = await read_head(reader)
                if response is None:
                    return False
                await read_body(reader, response)
                return response.status == OK
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def _watch_memory(
        self, record: Record, memory_mb: float | None
    ) -> None:
        while True:
            await asyncio.sleep(MEMORY_POLL_S)
            process = self._process
            if process is None or process.returncode is not None:
                continue
            resident_mb = _resident_mb(process.pid)
            self.peak_mb = max(self.peak_mb, resident_mb)
            if memory_mb is not None and resident_mb > memory_mb:
                self.memory_kills.append(record.now_s)
                record.write(
                    'over-memory', front=self.number, mb=round(resident_mb, 1)
                )
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


def _resident_mb(pid: int) -> float:
    with suppress(OSError):
        for line in Path(f'/proc/{pid}/status').read_text().splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
    return 0.0


def make_fronts(count: int, store: str, folder: Path) -> list[Front]:
    """Returns front VMs; the first three are the seeds."""
    hosts = [f'127.0.0.{10 + number}' for number in range(count)]
    front, ready, control, peer = (free_port(hosts[0]) for _ in range(4))
    metrics = [free_port(host) for host in hosts]
    seeds = ','.join(f'{host}:{control}' for host in hosts[:3])
    return [
        Front(
            number,
            SETTINGS.format(
                number=number,
                host=host,
                front=front,
                ready=ready,
                control=control,
                peer=peer,
                seeds=seeds,
                store=store,
            ),
            folder,
            (front, ready, metrics[number]),
        )
        for number, host in enumerate(hosts)
    ]
