"""Brings the planned faults about; each one is a task of its own."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING, Final

from ...faultproxy.faults import DirectionFaults, LinkFaults, OneTimeFault
from ..config import config
from ..store import StoreFault
from ..upstream import Behaviour
from .history import Trouble, TroubleKind
from .plan import FaultKind, Subject

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from ..processes import FrontProcess
    from .history import History
    from .plan import Fault
    from .site import Site

STOP_LIMIT_S: Final = 5.0
"""Time that a process has to end after SIGTERM, its grace and a second."""

WAKE_S: Final = 1.0
"""Time after a pause in which its consequences may still be seen."""

DELAY_S: Final = 0.15
SCRIPT_LENGTH: Final = 3

_LINK_FAULTS: Final = {
    FaultKind.CUT: LinkFaults(cut=True),
    FaultKind.HOLD_BACK: LinkFaults(
        up=DirectionFaults(stall=True), down=DirectionFaults(stall=True)
    ),
    FaultKind.LOSE_UP: LinkFaults(up=DirectionFaults(vanish=True)),
    FaultKind.LOSE_DOWN: LinkFaults(down=DirectionFaults(vanish=True)),
    FaultKind.DELAY: LinkFaults(
        up=DirectionFaults(delay_s=DELAY_S, jitter_s=DELAY_S),
        down=DirectionFaults(delay_s=DELAY_S, jitter_s=DELAY_S),
    ),
}
_STORE_FAULTS: Final = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_LIMITS: StoreFault.RATE_LIMITED,
    FaultKind.STORE_RESETS: StoreFault.RESET,
    FaultKind.STORE_SILENT: StoreFault.SILENT,
}


class FaultInjector:
    """Does to a site what a plan says, and takes it back."""

    def __init__(
        self, site: Site, history: History, rng: random.Random
    ) -> None:
        """Does nothing yet."""
        self._site = site
        self._history = history
        self._rng = rng
        self._version = 5
        self._restarts = {name: asyncio.Lock() for name in site.fronts}
        self._pauses = {name: asyncio.Lock() for name in site.fronts}

    async def run(self, plan: Sequence[Fault]) -> None:
        """Begins each fault at its time; ends when all are over."""
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                due_s = began_s + fault.at_s - time.monotonic()
                await asyncio.sleep(max(0.0, due_s))
                group.create_task(self._do(fault))

    async def _do(self, fault: Fault) -> None:
        match fault.kind.subject:
            case Subject.FRONT:
                await self._do_to_front(fault)
            case Subject.LINK:
                await self._do_to_link(fault)
            case Subject.STORE:
                await self._do_to_store(fault)
            case Subject.UPSTREAM:
                await self._do_to_upstream(fault)

    async def _do_to_front(self, fault: Fault) -> None:
        act: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.ROLL: self._roll,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
        }
        await act[fault.kind](fault)

    async def _kill(self, fault: Fault) -> None:
        front = self._site.fronts[fault.target]
        async with self._restarts[fault.target]:
            trouble = self._note(front, TroubleKind.KILLED)
            await front.kill()
            await asyncio.sleep(fault.for_s)
            trouble.until_s = time.monotonic()
            await self._start(front)

    async def _roll(self, fault: Fault) -> None:
        front = self._site.fronts[fault.target]
        async with self._restarts[fault.target]:
            trouble = self._note(front, TroubleKind.STOPPING)
            await self._stop(fault.target)
            trouble.until_s = time.monotonic()
            await self._start(front)

    async def _stop(self, name: str) -> None:
        """Ends a process by SIGTERM; time in a pause doesn't count."""
        front = self._site.fronts[name]
        front.send_signal(signal.SIGTERM)
        left_s = STOP_LIMIT_S
        while front.is_running and left_s > 0:
            began_s = time.monotonic()
            await asyncio.sleep(0.05)
            if not self._pauses[name].locked():
                left_s -= time.monotonic() - began_s
        if front.is_running:
            self._report(f'{name} did not end after SIGTERM')
            await front.kill()
        elif front.exit_code != 0:
            self._report(f'{name} ended with {front.exit_code}')

    async def _start(self, front: FrontProcess) -> None:
        """Starts a process again; it may be paused or cut off meanwhile."""
        await front.launch()
        try:
            await front.wait_listening()
        except TimeoutError:
            self._report(f'front {front.number} does not listen after a start')

    async def _pause(self, fault: Fault) -> None:
        front = self._site.fronts[fault.target]
        async with self._pauses[fault.target]:
            trouble = self._note(front, TroubleKind.PAUSED)
            front.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            front.send_signal(signal.SIGCONT)
            trouble.until_s = time.monotonic() + WAKE_S

    async def _reload(self, fault: Fault) -> None:
        """Sends SIGHUP, once the process can have set up its handler."""
        front = self._site.fronts[fault.target]
        if not self._restarts[fault.target].locked():
            front.send_signal(signal.SIGHUP)

    async def _do_to_link(self, fault: Fault) -> None:
        link = self._site.links[fault.target]
        if fault.kind is FaultKind.RESET:
            link.act(OneTimeFault.RESET, '')
            return
        link.set_faults('', _LINK_FAULTS[fault.kind])
        await asyncio.sleep(fault.for_s)
        link.set_faults('', LinkFaults())

    async def _do_to_store(self, fault: Fault) -> None:
        store = self._site.store
        if fault.kind is FaultKind.STORE_COMPACTS:
            store.compact()
        elif fault.kind is FaultKind.CONFIGURE:
            self._version += 1
            store.put('op/config', config(self._version))
        else:
            store.fault = _STORE_FAULTS[fault.kind]
            await asyncio.sleep(fault.for_s)
            store.fault = StoreFault.NONE

    async def _do_to_upstream(self, fault: Fault) -> None:
        upstream = self._site.upstreams[fault.target]
        if fault.kind is FaultKind.MISBEHAVE:
            behaviours = tuple(Behaviour)
            upstream.script.extend(
                self._rng.choice(behaviours) for _ in range(SCRIPT_LENGTH)
            )
            return
        if fault.kind is FaultKind.DRAIN:
            self._site.list_upstream(upstream, state='draining')
        else:
            self._site.delist_upstream(upstream)
        await asyncio.sleep(fault.for_s)
        self._site.list_upstream(upstream)

    def _note(self, front: FrontProcess, kind: TroubleKind) -> Trouble:
        trouble = Trouble(front.number, kind, time.monotonic(), float('inf'))
        self._history.troubles.append(trouble)
        return trouble

    def _report(self, text: str) -> None:
        self._history.violations.append(text)


__all__ = ('FaultInjector',)
