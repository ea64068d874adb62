"""Injects the planned faults, each in a task of its own."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING, Final

from ...faultproxy.faults import DirectionFaults, LinkFaults, OneTimeFault
from ..config import make_config
from ..store import StoreFault
from ..upstream_behaviour import Behaviour
from .history import Disruption, DisruptionKind, LinkDisruption
from .plan import FaultKind, TargetKind

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from ..processes import FrontProcess
    from .history import History
    from .plan import Fault
    from .prompts import Prompts
    from .soak_deployment import SoakDeployment

STOP_TIMEOUT_S: Final = 5.0
"""Time limit from SIGTERM to exit: the stop grace of a front plus 1 s."""

PAUSE_RECOVERY_S: Final = 1.0
"""Time after a pause in which calls may still be late because of it."""

LINK_DELAY_S: Final = 0.15
"""Delay of a slow link, and the upper bound of its jitter."""

SCRIPT_LENGTH: Final = 12
"""Number of behaviours that one fault adds to an upstream's script."""

_LINK_FAULTS: Final = {
    FaultKind.CUT: LinkFaults(cut=True),
    FaultKind.STALL: LinkFaults(
        up=DirectionFaults(stall=True), down=DirectionFaults(stall=True)
    ),
    FaultKind.LOSE_UP: LinkFaults(up=DirectionFaults(vanish=True)),
    FaultKind.LOSE_DOWN: LinkFaults(down=DirectionFaults(vanish=True)),
    FaultKind.DELAY: LinkFaults(
        up=DirectionFaults(delay_s=LINK_DELAY_S, jitter_s=LINK_DELAY_S),
        down=DirectionFaults(delay_s=LINK_DELAY_S, jitter_s=LINK_DELAY_S),
    ),
}
_STORE_FAULTS: Final = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_LIMITS: StoreFault.RATE_LIMITED,
    FaultKind.STORE_RESETS: StoreFault.RESET,
    FaultKind.STORE_SILENT: StoreFault.SILENT,
}


class FaultInjector:
    """Injects the faults of a plan into a deployment, and ends them."""

    def __init__(
        self,
        deployment: SoakDeployment,
        prompts: Prompts,
        history: History,
        rng: random.Random,
    ) -> None:
        """Injects nothing yet."""
        self._deployment = deployment
        self._prompts = prompts
        self._history = history
        self._rng = rng
        self._config_version = 5
        self._restart_locks = {
            name: asyncio.Lock() for name in deployment.fronts
        }
        self._pause_locks = {name: asyncio.Lock() for name in deployment.fronts}

    async def run(self, plan: Sequence[Fault]) -> None:
        """Starts each fault at its time; returns when all have ended."""
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                wait_s = started_s + fault.at_s - time.monotonic()
                await asyncio.sleep(max(0.0, wait_s))
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        match fault.kind.target_kind:
            case TargetKind.FRONT:
                await self._inject_front_fault(fault)
            case TargetKind.LINK:
                await self._inject_link_fault(fault)
            case TargetKind.STORE:
                await self._inject_store_fault(fault)
            case TargetKind.UPSTREAM:
                await self._inject_upstream_fault(fault)
            case TargetKind.CALLERS:
                await self._send_crashing_requests(fault)

    async def _inject_front_fault(self, fault: Fault) -> None:
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.ROLL: self._roll,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
        }
        await handlers[fault.kind](fault)

    async def _kill(self, fault: Fault) -> None:
        front = self._deployment.fronts[fault.target]
        async with self._restart_locks[fault.target]:
            disruption = self._add_disruption(front, DisruptionKind.KILLED)
            await front.kill()
            await asyncio.sleep(fault.duration_s)
            disruption.until_s = time.monotonic()
            await self._start(front)

    async def _roll(self, fault: Fault) -> None:
        front = self._deployment.fronts[fault.target]
        async with self._restart_locks[fault.target]:
            disruption = self._add_disruption(front, DisruptionKind.STOPPING)
            await self._stop(fault.target)
            disruption.until_s = time.monotonic()
            await self._start(front)

    async def _stop(self, name: str) -> None:
        """Stops a process by SIGTERM.

        An exit code other than 0, or no exit within the time limit, is a
        violation. Time in which the process is paused doesn't count.
        """
        front = self._deployment.fronts[name]
        front.send_signal(signal.SIGTERM)
        remaining_s = STOP_TIMEOUT_S
        while front.is_running and remaining_s > 0:
            started_s = time.monotonic()
            await asyncio.sleep(0.05)
            if not self._pause_locks[name].locked():
                remaining_s -= time.monotonic() - started_s
        if front.is_running:
            self._add_violation(f'{name} did not exit in time after SIGTERM')
            await front.kill()
        elif front.exit_code != 0:
            self._add_violation(f'{name} exited with code {front.exit_code}')

    async def _start(self, front: FrontProcess) -> None:
        """Starts a process again and waits until it listens.

        It doesn't wait for readiness, which other faults may delay.
        """
        await front.launch()
        try:
            await front.wait_listening()
        except TimeoutError:
            self._add_violation(
                f'front {front.number} does not listen after a restart'
            )

    async def _pause(self, fault: Fault) -> None:
        front = self._deployment.fronts[fault.target]
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
        front = self._deployment.fronts[fault.target]
        if not self._restart_locks[fault.target].locked():
            front.send_signal(signal.SIGHUP)

    async def _inject_link_fault(self, fault: Fault) -> None:
        link = self._deployment.links[fault.target]
        disruption = LinkDisruption(
            fault.target, time.monotonic(), float('inf')
        )
        self._history.link_disruptions.append(disruption)
        if fault.kind is FaultKind.RESET:
            link.inject_once(OneTimeFault.RESET, '')
        else:
            link.set_faults('', _LINK_FAULTS[fault.kind])
            await asyncio.sleep(fault.duration_s)
            link.set_faults('', LinkFaults())
        disruption.until_s = time.monotonic()

    async def _inject_store_fault(self, fault: Fault) -> None:
        store = self._deployment.store
        if fault.kind is FaultKind.STORE_COMPACTS:
            store.compact()
        elif fault.kind is FaultKind.CONFIGURE:
            self._config_version += 1
            store.put('op/config', make_config(self._config_version))
        else:
            store.fault = _STORE_FAULTS[fault.kind]
            await asyncio.sleep(fault.duration_s)
            store.fault = StoreFault.NONE

    async def _inject_upstream_fault(self, fault: Fault) -> None:
        upstream = self._deployment.upstreams[fault.target]
        if fault.kind is FaultKind.MISBEHAVE:
            behaviours = tuple(Behaviour)
            upstream.script.extend(
                self._rng.choice(behaviours) for _ in range(SCRIPT_LENGTH)
            )
            return
        if fault.kind is FaultKind.DRAIN:
            self._deployment.publish_upstream(upstream, state='draining')
        else:
            self._deployment.remove_upstream(upstream)
        await asyncio.sleep(fault.duration_s)
        self._deployment.publish_upstream(upstream)

    async def _send_crashing_requests(self, fault: Fault) -> None:
        """Makes prompts crashing; they stay so until the end of the run."""
        self._prompts.has_crashing = True
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


__all__ = ('FaultInjector',)
