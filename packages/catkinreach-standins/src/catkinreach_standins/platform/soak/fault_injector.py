"""Injects the planned faults, each in a task of its own."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from ...faultproxy.faults import DirectionFaults, LinkFaults, OneTimeFault
from ..store import StoreFault
from ..upstream_behaviour import Behaviour
from .engine_faults import EngineFaults
from .front_faults import FrontFaults
from .history import STORE_LINK, LinkDisruption
from .plan import ENGINE_KINDS, FaultKind, TargetKind

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from .config_faults import ConfigPublisher
    from .history import History
    from .plan import Fault
    from .prompts import Prompts
    from .soak_deployment import SoakDeployment

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
RESTORE_S: Final = 0.3
"""Time for which the store is away before it comes back from a copy."""

WRITE_AGAIN_S: Final = 0.8
"""Time until what it lost is written again; within the grace for entries."""

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
        publisher: ConfigPublisher,
        rng: random.Random,
        choose_build: Callable[[], Path],
    ) -> None:
        """Injects nothing yet."""
        self._deployment = deployment
        self._prompts = prompts
        self._history = history
        self._rng = rng
        self._publisher = publisher
        self._front_faults = FrontFaults(
            deployment.fronts, history, choose_build
        )
        self._engine_faults = EngineFaults(deployment)

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
                await self._front_faults.inject(fault)
            case TargetKind.LINK:
                await self._inject_link_fault(fault)
            case TargetKind.STORE:
                await self._inject_store_fault(fault)
            case TargetKind.UPSTREAM:
                await self._inject_upstream_fault(fault)
            case TargetKind.CALLERS:
                await self._send_crashing_requests(fault)

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
        match fault.kind:
            case FaultKind.STORE_COMPACTS:
                store.compact()
            case FaultKind.STORE_RESTORED:
                await self._restore_store(fault.duration_s)
            case FaultKind.CONFIGURE:
                self._publisher.publish()
            case FaultKind.CHANGE_LIMITS:
                self._publisher.publish_other_limits()
                await asyncio.sleep(fault.duration_s)
                self._publisher.publish()
            case FaultKind.LARGE_CONFIG:
                self._publisher.publish_large()
                await asyncio.sleep(fault.duration_s)
                self._publisher.publish()
            case _:
                disruption = LinkDisruption(
                    STORE_LINK, time.monotonic(), float('inf')
                )
                self._history.link_disruptions.append(disruption)
                store.fault = _STORE_FAULTS[fault.kind]
                await asyncio.sleep(fault.duration_s)
                store.fault = StoreFault.NONE
                disruption.until_s = time.monotonic()

    async def _restore_store(self, age_s: float) -> None:
        """Lets the store lose what is written in a time, then write it again.

        It is away until it has come back from the copy.
        """
        store = self._deployment.store
        copy = store.copy()
        await asyncio.sleep(age_s)
        disruption = LinkDisruption(STORE_LINK, time.monotonic(), float('inf'))
        self._history.link_disruptions.append(disruption)
        lost = store.copy()
        store.fault = StoreFault.RESET
        store.restore(copy)
        await asyncio.sleep(RESTORE_S)
        store.fault = StoreFault.NONE
        await asyncio.sleep(WRITE_AGAIN_S)
        store.write_again(lost, copy)
        disruption.until_s = time.monotonic()

    async def _inject_upstream_fault(self, fault: Fault) -> None:
        if fault.kind in (*ENGINE_KINDS, FaultKind.NAME_LIMIT):
            await self._engine_faults.inject(fault)
            return
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


__all__ = ('FaultInjector',)
