"""Runs a plan open-loop: sending never waits for earlier answers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .caller import Caller
    from .observation import Observation
    from .plan import PlannedRequest


class Progress(Protocol):
    """Progress bar that counts ended requests."""

    def update(self, count: float | None = 1, /) -> bool | None:
        """Increases the count of ended requests."""


async def run_plan(
    plan: Sequence[PlannedRequest], caller: Caller, progress: Progress
) -> list[Observation]:
    """Sends each request at its intended time and waits until all ended."""
    start_s = time.monotonic()

    def clock() -> float:
        return time.monotonic() - start_s

    async def send(planned: PlannedRequest) -> Observation:
        observation = await caller.send_request(planned, clock)
        progress.update()
        return observation

    tasks = []
    for planned in plan:
        await asyncio.sleep(max(0.0, planned.at_s - clock()))
        tasks.append(asyncio.create_task(send(planned)))
    return await asyncio.gather(*tasks)


__all__ = ('Progress', 'run_plan')
