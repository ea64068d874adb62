"""Overlapping series of starts, stops, kills and changes of settings.

``python -m catkinreach_standins.platform.soak.start_series --first_seed=1``
runs them on front processes, without callers. A process whose predecessor still
drains is started beside it, and settings files are missing or half written for
a while. No process may end unless it was told to.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from absl import flags
from loguru import logger

from ...command_line import new_flag_values
from ..deployment import Deployment, eventually
from ..processes import make_fronts

if TYPE_CHECKING:
    from asyncio.subprocess import Process

    from ..processes import FrontProcess

MAX_PAUSE_S: Final = 1.2
MAX_PARTIAL_S: Final = 0.6
MAX_PROCESSES: Final = 3
"""Processes of one front that run side by side."""

READY_WITHIN_S: Final = 20.0
TRACEBACK: Final = 'Traceback'


class FrontSeries:
    """The series of one front."""

    def __init__(self, front: FrontProcess, rng: random.Random) -> None:
        """Starts without a process.

        Args:
            front: Front that is started and stopped.
            rng: Source of what is done, and when.
        """
        self._front = front
        self._rng = rng
        self._running: list[Process] = []
        self._signalled: set[int] = set()
        self._ended: list[Process] = []

    async def run(self, duration_s: float) -> None:
        """Starts the front, and acts on it until the time is over."""
        actions = (
            self._replace,
            self._replace,
            self._kill,
            self._reload,
            self._write_partly,
            self._remove_settings,
        )
        await self._launch()
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
            await self._rng.choice(actions)()

    async def find_violations(self) -> list[str]:
        """Returns what went wrong; the front must get ready."""
        name = f'front-{self._front.number}'
        self._front.settings_file.write_text(self._front.settings_text)
        violations = [
            f'{name} ended by itself with {process.returncode}'
            for process in (*self._running, *self._ended)
            if process.returncode is not None
            and process.pid not in self._signalled
        ]
        violations += [
            f'{name} ended with {process.returncode} after a signal'
            for process in (*self._running, *self._ended)
            if process.returncode
            not in {None, 0, -signal.SIGTERM, -signal.SIGKILL}
        ]
        try:
            await eventually(self._front.is_ready, within_s=READY_WITHIN_S)
        except TimeoutError:
            violations.append(f'{name} is not ready')
        if TRACEBACK in self._front.log:
            violations.append(f'{name} wrote a traceback')
        return violations

    async def _launch(self) -> None:
        for process in tuple(self._running):
            if process.returncode is not None:
                self._running.remove(process)
                self._ended.append(process)
        if len(self._running) < MAX_PROCESSES:
            self._running.append(await self._front.launch())

    async def _replace(self) -> None:
        """Sends SIGTERM to what runs, and starts another process beside it."""
        self._signal(signal.SIGTERM)
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
        await self._launch_unless_running()

    async def _kill(self) -> None:
        self._signal(signal.SIGKILL)
        await self._launch_unless_running()

    async def _reload(self) -> None:
        """Changes the settings; SIGHUP follows once the process handles it."""
        self._front.change_settings()
        if await self._front.is_ready():
            self._front.send_signal(signal.SIGHUP)

    async def _write_partly(self) -> None:
        text = self._front.settings_text
        length = self._rng.randrange(len(text))
        self._front.settings_file.write_text(text[:length])
        await self._launch_unless_running()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PARTIAL_S))
        self._front.settings_file.write_text(text)

    async def _remove_settings(self) -> None:
        self._front.settings_file.unlink(missing_ok=True)
        self._signal(signal.SIGTERM)
        await self._launch_unless_running()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PARTIAL_S))
        self._front.settings_file.write_text(self._front.settings_text)

    def _signal(self, number: signal.Signals) -> None:
        """Sends a signal to the latest process."""
        if self._running and self._running[-1].returncode is None:
            self._signalled.add(self._running[-1].pid)
            self._front.send_signal(number)

    async def _launch_unless_running(self) -> None:
        """Starts a process unless the latest one was told nothing yet."""
        if not self._running or self._running[-1].pid in self._signalled:
            await self._launch()


async def run_start_series(
    seed: int, *, front_count: int, duration_s: float, folder: Path
) -> list[str]:
    """Runs the series of all fronts side by side; returns the violations."""
    deployment = Deployment()
    await deployment.start()
    deployment.publish()
    fronts = make_fronts(front_count, deployment.store.port, folder)
    series = [
        FrontSeries(front, random.Random(f'{seed}/{front.number}'))
        for front in fronts
    ]
    try:
        await asyncio.gather(*(one.run(duration_s) for one in series))
        found = await asyncio.gather(*(one.find_violations() for one in series))
    finally:
        await asyncio.gather(*(front.kill() for front in fronts))
        await deployment.close()
    return [violation for violations in found for violation in violations]


def main(argv: list[str]) -> int:
    """Runs a range of seeds; returns 1 if one of them had a violation."""
    values = new_flag_values()
    flags.DEFINE_integer('first_seed', 1, 'first seed', flag_values=values)
    flags.DEFINE_integer('seeds', 1, 'number of seeds', flag_values=values)
    flags.DEFINE_float('duration_s', 8.0, 'seconds', flag_values=values)
    flags.DEFINE_integer('fronts', 6, 'number of fronts', flag_values=values)
    values(argv)
    logger.remove()
    failed = 0
    for seed in range(values.first_seed, values.first_seed + values.seeds):
        violations = asyncio.run(
            run_start_series(
                seed,
                front_count=values.fronts,
                duration_s=values.duration_s,
                folder=Path(tempfile.mkdtemp(prefix=f'starts-{seed}-')),
            )
        )
        failed += bool(violations)
        sys.stdout.write(f'seed {seed}: {violations or "no violation"}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{values.seeds} seeds, {failed} with violations\n')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
