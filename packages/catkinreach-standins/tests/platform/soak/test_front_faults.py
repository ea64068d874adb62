"""The soak's faults of real front processes, and the checks beside them."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.deployment import eventually
from catkinreach_standins.platform.soak.config_faults import ConfigPublisher
from catkinreach_standins.platform.soak.front_faults import FrontFaults
from catkinreach_standins.platform.soak.history import DisruptionKind, History
from catkinreach_standins.platform.soak.kept_connections import (
    check_kept_connections,
)
from catkinreach_standins.platform.soak.plan import (
    DRAINING_KINDS,
    Fault,
    FaultKind,
)
from catkinreach_standins.platform.soak.soak_deployment import (
    running_soak_deployment,
)
from catkinreach_standins.platform.store import StoreStandin

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.platform.processes import FrontProcess

SECOND_SIGNAL_S = 0.5
RELOAD_TIMEOUT_S = 5.0
TAKEN = '"outcome":"taken"'


def test_draining_front_takes_a_second_signal(tmp_path: Path) -> None:
    history = History()

    async def run() -> None:
        kinds = sorted(DRAINING_KINDS, key=lambda kind: kind.name)
        async with running_soak_deployment(
            len(kinds), tmp_path, 1
        ) as deployment:
            faults = FrontFaults(deployment.fronts, history)
            await asyncio.gather(
                *(
                    faults.inject(Fault(kind, name, 0.0, SECOND_SIGNAL_S))
                    for kind, name in zip(kinds, deployment.fronts, strict=True)
                )
            )
            for front in deployment.fronts.values():
                assert await _becomes_ready(front)

    asyncio.run(run())
    assert not history.violations
    killed, *others = [
        disruption
        for disruption in history.disruptions
        if disruption.kind is DisruptionKind.KILLED
    ]
    assert not others
    stopping = {
        disruption.front: disruption.until_s - disruption.from_s
        for disruption in history.disruptions
        if disruption.kind is DisruptionKind.STOPPING
    }
    assert stopping.pop(killed.front) < 2 * SECOND_SIGNAL_S
    assert min(stopping.values()) > 2 * SECOND_SIGNAL_S


def test_front_that_ends_otherwise_is_found(tmp_path: Path) -> None:
    history = History()

    async def run() -> None:
        async with running_soak_deployment(1, tmp_path, 1) as deployment:
            (name,) = deployment.fronts
            roll = Fault(FaultKind.ROLL, name, 0.0, 0.0)
            rolling = asyncio.ensure_future(
                FrontFaults(deployment.fronts, history).inject(roll)
            )
            await asyncio.sleep(SECOND_SIGNAL_S)
            deployment.fronts[name].send_signal(signal.SIGKILL)
            await rolling

    asyncio.run(run())
    assert history.violations == ['front-0 exited with code -9']


def test_all_fronts_are_killed_at_once(tmp_path: Path) -> None:
    history = History()

    async def run() -> None:
        async with running_soak_deployment(2, tmp_path, 1) as deployment:
            kill = Fault(FaultKind.KILL_ALL, 'front-0', 0.0, 3.0)
            await FrontFaults(deployment.fronts, history).inject(kill)
            for front in deployment.fronts.values():
                assert await _becomes_ready(front)

    asyncio.run(run())
    assert not history.violations
    first, second = history.disruptions
    assert {first.front, second.front} == {0, 1}
    assert first.kind is second.kind is DisruptionKind.KILLED
    assert second.from_s < first.until_s


def test_changed_settings_are_taken(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_soak_deployment(2, tmp_path, 1) as deployment:
            change = Fault(FaultKind.CHANGE_SETTINGS, 'front-0', 0.0, 0.0)
            await FrontFaults(deployment.fronts, History()).inject(change)
            front = deployment.fronts['front-0']

            async def is_taken() -> bool:
                return TAKEN in front.log

            await eventually(is_taken, within_s=RELOAD_TIMEOUT_S)
            assert TAKEN not in deployment.fronts['front-1'].log

    asyncio.run(run())


@pytest.mark.parametrize('is_published', [True, False])
def test_connection_that_closes_before_the_new_limit_is_found(
    tmp_path: Path, *, is_published: bool
) -> None:
    history = History()

    async def run() -> None:
        async with running_soak_deployment(1, tmp_path, 1) as deployment:
            store = deployment.store if is_published else StoreStandin()
            publisher = ConfigPublisher(store, history, random.Random(1))
            await check_kept_connections(
                deployment.fronts.values(), publisher, history
            )

    asyncio.run(run())
    expected = [] if is_published else ['front 0 closed a connection']
    found = [text.partition(' within')[0] for text in history.violations]
    assert found == expected


async def _becomes_ready(front: FrontProcess) -> bool:
    """Returns whether a front becomes ready in time."""
    try:
        await eventually(front.is_ready, within_s=RELOAD_TIMEOUT_S)
    except TimeoutError:
        return False
    return True
