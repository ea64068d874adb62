"""Faults by which engines leave, refuse requests, or want fewer of them."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from .engine_versions import replace_software
from .plan import FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ..upstream import UpstreamStandin
    from .plan import Fault
    from .soak_deployment import SoakDeployment


LIMITS_PER_S = (0.0, 0.4, 1.0, 2.2, 6.0)
"""Limits that an engine may name."""


class EngineFaults:
    """Makes the stand-ins of upstreams leave, or refuse requests."""

    def __init__(self, deployment: SoakDeployment) -> None:
        """Injects nothing yet."""
        self._deployment = deployment
        self._leave_locks = {
            name: asyncio.Lock() for name in deployment.upstreams
        }

    async def inject(self, fault: Fault) -> None:
        """Injects one fault; returns when it has ended."""
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.LEAVE: self._leave,
            FaultKind.LEAVE_FOR_OTHER: self._leave_for_other,
            FaultKind.REPLACE_VERSION: self._leave_for_other,
            FaultKind.ASK_PAUSE: self._ask_pause,
            FaultKind.ASK_PAUSE_ALL: self._ask_pause_all,
            FaultKind.REFUSE: self._refuse,
            FaultKind.NAME_LIMIT: self._name_limit,
        }
        await handlers[fault.kind](fault)

    async def _leave(self, fault: Fault) -> None:
        """Leaves with work running; starts anew under the same id."""
        upstream = self._deployment.upstreams[fault.target]
        async with self._leave_locks[fault.target]:
            upstream.availability.is_leaving = True
            await asyncio.sleep(fault.duration_s)
            upstream.availability.start_anew(keeps_id=True)
            self._deployment.publish_upstream(upstream)

    async def _leave_for_other(self, fault: Fault) -> None:
        """Leaves with work running; another id takes its address."""
        upstream = self._deployment.upstreams[fault.target]
        async with self._leave_locks[fault.target]:
            upstream.availability.is_leaving = True
            self._deployment.publish_upstream(upstream, state='draining')
            await asyncio.sleep(fault.duration_s)
            self._deployment.remove_upstream(upstream)
            if fault.kind is FaultKind.REPLACE_VERSION:
                replace_software(upstream)
            upstream.availability.start_anew(keeps_id=False)
            self._deployment.publish_upstream(upstream)

    async def _ask_pause(self, fault: Fault) -> None:
        _set_pause(self._deployment.upstreams[fault.target], fault.duration_s)
        await asyncio.sleep(fault.duration_s)

    async def _ask_pause_all(self, fault: Fault) -> None:
        service = self._deployment.upstreams[fault.target].service
        for upstream in self._deployment.upstreams.values():
            if upstream.service == service:
                _set_pause(upstream, fault.duration_s)
        await asyncio.sleep(fault.duration_s)

    async def _name_limit(self, fault: Fault) -> None:
        availability = self._deployment.upstreams[fault.target].availability
        rng = random.Random(f'{fault.target}/{fault.at_s}')
        availability.limit_per_s = rng.choice(LIMITS_PER_S)
        await asyncio.sleep(fault.duration_s)
        availability.limit_per_s = None

    async def _refuse(self, fault: Fault) -> None:
        availability = self._deployment.upstreams[fault.target].availability
        availability.is_refusing = True
        await asyncio.sleep(fault.duration_s)
        availability.is_refusing = False


def _set_pause(upstream: UpstreamStandin, pause_s: float) -> None:
    """Lets an upstream refuse requests for so long, or longer."""
    availability = upstream.availability
    availability.paused_until_s = max(
        availability.paused_until_s, time.monotonic() + pause_s
    )


__all__ = ('EngineFaults',)
