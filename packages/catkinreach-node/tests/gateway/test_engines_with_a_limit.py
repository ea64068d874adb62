"""Engines that name the requests a second that they take from all VMs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.processes import running_fronts
from catkinreach_standins.platform.soak.history import (
    CallEnd,
    CallKind,
    CallRecord,
    History,
)
from catkinreach_standins.platform.soak.invariants import RunRecords
from catkinreach_standins.platform.soak.limit_checks import check_limits

if TYPE_CHECKING:
    from pathlib import Path

    from catkinreach_standins.platform.deployment import Deployment
    from catkinreach_standins.platform.processes import FrontProcess

FRONTS = 3
CALLS_PER_S = 16.0
DURATION_S = 8.5
"""Time to tell all fronts, the grace of a limit, and a whole window of it."""


class Load:
    """Calls fronts in turn at a steady rate, and records the calls."""

    def __init__(
        self, deployment: Deployment, fronts: list[FrontProcess], path: str
    ) -> None:
        """Prepares the calls of one route."""
        self._deployment = deployment
        self._fronts = fronts
        self._path = path
        self.history = History()

    async def run(self, duration_s: float) -> list[int]:
        """Makes calls for so long; returns their statuses."""
        async with asyncio.TaskGroup() as group:
            calls = []
            for number in range(int(duration_s * CALLS_PER_S)):
                calls.append(group.create_task(self._call(number)))
                await asyncio.sleep(1 / CALLS_PER_S)
        return [call.result() for call in calls]

    async def _call(self, number: int) -> int:
        front = self._fronts[number % len(self._fronts)]
        request = self._deployment.make_request(self._path)
        sent_s = time.monotonic()
        status, _ = await self._deployment.client.call_raw(
            front.caller_address, request
        )
        self.history.calls.append(
            CallRecord(
                request_id=request.header('request-id') or '',
                kind=CallKind.READ,
                front=front.number,
                sent_s=sent_s,
                ended_s=time.monotonic(),
                end=CallEnd.ANSWERED,
                status=status,
            )
        )
        return status


# An engine got as many requests as before it had named its limit.
@pytest.mark.parametrize(
    ('path', 'name', 'limit_per_s'),
    [
        ('/read/', 'a', 1.0),
        ('/order/', 'a', 2.2),
        ('/read/', 'a', 0.0),
        ('/stream/', 'd', 1.0),
    ],
)
def test_engine_gets_more_requests_than_it_named(
    tmp_path: Path, path: str, name: str, limit_per_s: float
) -> None:
    async def run() -> None:
        async with running_fronts(FRONTS, tmp_path) as (deployment, fronts):
            availability = deployment.upstreams[name].availability
            availability.limit_per_s = limit_per_s
            load = Load(deployment, fronts, path)
            statuses = await load.run(DURATION_S)
            records = RunRecords(
                history=load.history,
                runs={},
                sends={},
                logs={},
                availability=[availability],
            )
            assert list(check_limits(records)) == []
            assert set(statuses) == {200}

    asyncio.run(run())
