"""Which fronts the callers of a soak start with, and what they record."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.settings.node import Address
from catkinreach_node.http.client import HttpClient
from catkinreach_standins.bench.ports import free_ports
from catkinreach_standins.platform.processes import FrontProcess, Ports
from catkinreach_standins.platform.soak.callers import Callers
from catkinreach_standins.platform.soak.history import (
    CallKind,
    CallRecord,
    History,
)
from catkinreach_standins.platform.soak.prompts import Prompts

if TYPE_CHECKING:
    from pathlib import Path

CALLERS_PER_FRONT = 4


@pytest.mark.parametrize('front_count', [3, 4])
def test_each_front_gets_callers_of_each_kind(
    tmp_path: Path, front_count: int
) -> None:
    # With 24 fronts, each got callers of one kind only.
    fronts = [
        FrontProcess(number, '', tmp_path, Ports())
        for number in range(front_count)
    ]
    (port,) = free_ports(1)
    for front in fronts:
        front.caller_address = Address(host='127.0.0.1', port=port)
    history = History(idle_limits=[(0.0, 0.1)])
    rng = random.Random(1)
    callers = Callers(fronts, history, rng, Prompts(rng), rng)

    async def run() -> None:
        running = asyncio.ensure_future(
            callers.run(CALLERS_PER_FRONT * front_count)
        )
        while not history.calls:  # noqa: ASYNC110 - one turn is enough
            await asyncio.sleep(0)
        callers.is_stopped = True
        await running

    asyncio.run(run())
    assert {(call.front, call.kind) for call in history.calls} == {
        (number, kind) for number in range(front_count) for kind in CallKind
    }


def test_call_has_the_build_of_its_front(tmp_path: Path) -> None:
    front = FrontProcess(0, '', tmp_path, Ports())
    (port,) = free_ports(1)
    front.caller_address = Address(host='127.0.0.1', port=port)
    front.build = tmp_path / 'build-51a398b'
    rng = random.Random(1)
    callers = Callers([front], History(), rng, Prompts(rng), rng)

    async def run() -> CallRecord:
        call = await callers.call(HttpClient(), CallKind.READ, 0)
        return await callers.call(HttpClient(), CallKind.READ, 0, earlier=call)

    assert asyncio.run(run()).build == front.build
