"""Faults of front processes: signals, and changed settings."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING, Final

from ..builds import ROOT
from ..hostile_clients import Misbehaviour, hostile_crowd
from .history import Disruption, DisruptionKind
from .plan import FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping
    from pathlib import Path

    from ..processes import FrontProcess
    from .history import History
    from .plan import Fault

STOP_TIMEOUT_S: Final = 5.0
"""Time limit from SIGTERM to exit: the stop grace of a front plus 1 s."""

PAUSE_RECOVERY_S: Final = 1.0
"""Time after a pause in which calls may still be late because of it."""

EXIT_POLL_S: Final = 0.05

CROWD_CLIENTS: Final = 40


class FrontFaults:
    """Sends signals to front processes, and starts them again."""

    def __init__(
        self,
        fronts: Mapping[str, FrontProcess],
        history: History,
        choose_build: Callable[[], Path] = lambda: ROOT,
    ) -> None:
        """Injects nothing yet.

        Args:
            fronts: The processes by name.
            history: Record of the run.
            choose_build: Returns the checkout that a process starts from.
        """
        self._choose_build = choose_build
        self._fronts = fronts
        self._history = history
        self._restart_locks = {name: asyncio.Lock() for name in fronts}
        self._pause_locks = {name: asyncio.Lock() for name in fronts}

    async def inject(self, fault: Fault) -> None:
        """Injects one fault; returns when it has ended."""
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.ROLL: self._roll,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.CHANGE_SETTINGS: self._change_settings,
            FaultKind.CROWD: self._crowd,
        }
        # The remaining kinds are a stop with a second signal.
        await handlers.get(fault.kind, self._roll)(fault)

    async def _kill(self, fault: Fault) -> None:
        front = self._fronts[fault.target]
        async with self._restart_locks[fault.target]:
            disruption = self._add_disruption(front, DisruptionKind.KILLED)
            await front.kill()
            await asyncio.sleep(fault.duration_s)
            disruption.until_s = time.monotonic()
            await self._start(front)

    async def _roll(self, fault: Fault) -> None:
        """Stops a process, with a second signal if there is one."""
        front = self._fronts[fault.target]
        async with self._restart_locks[fault.target]:
            disruption = self._add_disruption(front, DisruptionKind.STOPPING)
            front.send_signal(signal.SIGTERM)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._wait_exit(fault))
                group.create_task(self._signal_again(front, fault))
            disruption.until_s = time.monotonic()
            await self._start(front)

    async def _signal_again(self, front: FrontProcess, fault: Fault) -> None:
        """Sends the second signal of a stop while the process drains."""
        if fault.kind is FaultKind.ROLL:
            return
        await asyncio.sleep(fault.duration_s)
        if fault.kind is FaultKind.STOP_DRAINING:
            front.send_signal(signal.SIGTERM)
        elif fault.kind is FaultKind.RELOAD_DRAINING:
            front.change_settings()
            front.send_signal(signal.SIGHUP)
        else:
            disruption = self._add_disruption(front, DisruptionKind.KILLED)
            await front.kill()
            disruption.until_s = time.monotonic()

    async def _wait_exit(self, fault: Fault) -> None:
        """Waits for a process to exit after SIGTERM.

        An exit code other than 0, or no exit within the time limit, is a
        violation. Time in which the process is paused doesn't count.
        """
        front = self._fronts[fault.target]
        remaining_s = STOP_TIMEOUT_S
        while front.is_running and remaining_s > 0:
            started_s = time.monotonic()
            await asyncio.sleep(EXIT_POLL_S)
            if not self._pause_locks[fault.target].locked():
                remaining_s -= time.monotonic() - started_s
        allowed_codes = {0}
        if fault.kind is FaultKind.KILL_DRAINING:
            allowed_codes.add(-signal.SIGKILL)
        if front.is_running:
            self._add_violation(
                f'{fault.target} did not exit in time after SIGTERM'
            )
            await front.kill()
        elif front.exit_code not in allowed_codes:
            self._add_violation(
                f'{fault.target} exited with code {front.exit_code}'
            )

    async def _start(self, front: FrontProcess) -> None:
        """Starts a process again and waits until it listens.

        It doesn't wait for readiness, which other faults may delay.
        """
        front.build = self._choose_build()
        await front.launch()
        try:
            await front.wait_listening()
        except TimeoutError:
            self._add_violation(
                f'front {front.number} does not listen after a restart'
            )

    async def _pause(self, fault: Fault) -> None:
        front = self._fronts[fault.target]
        async with self._pause_locks[fault.target]:
            disruption = self._add_disruption(front, DisruptionKind.PAUSED)
            front.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            front.send_signal(signal.SIGCONT)
            disruption.until_s = time.monotonic() + PAUSE_RECOVERY_S

    async def _reload(self, fault: Fault) -> None:
        """Sends SIGHUP, except while the process is restarted.

        Until the process has set its SIGHUP handler, the signal would end it.
        """
        if not self._restart_locks[fault.target].locked():
            self._fronts[fault.target].send_signal(signal.SIGHUP)

    async def _change_settings(self, fault: Fault) -> None:
        self._fronts[fault.target].change_settings()
        await self._reload(fault)

    async def _crowd(self, fault: Fault) -> None:
        """Runs a crowd of clients; none of their requests may run."""
        front = self._fronts[fault.target]
        entrances = (
            (front.caller_address, '/nowhere/x'),
            (front.ready_address, '/ready'),
            (front.metrics_address, '/metrics'),
        )
        rng = random.Random(f'{fault.target}/{fault.at_s}')
        address, path = rng.choice(entrances)
        kind = rng.choice(tuple(Misbehaviour))
        async with hostile_crowd(kind, address, path, CROWD_CLIENTS):
            await asyncio.sleep(fault.duration_s)

    def _add_disruption(
        self, front: FrontProcess, kind: DisruptionKind
    ) -> Disruption:
        disruption = Disruption(
            front.number, kind, time.monotonic(), float('inf')
        )
        self._history.disruptions.append(disruption)
        return disruption

    def _add_violation(self, text: str) -> None:
        self._history.violations.append(text)


__all__ = ('FrontFaults',)
