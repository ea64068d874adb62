"""Components of a node that fail with an error nobody expected."""

from __future__ import annotations

import asyncio
import gc

import pytest

from catkinreach_node import app
from catkinreach_node.cell.cell_owner import CellOwner
from catkinreach_node.engine_orders.task import EngineOrdersTask
from catkinreach_node.fleet.heartbeats import HeartbeatTask
from catkinreach_node.fleet.ownership import OwnershipTask
from catkinreach_node.fleet.relay import RelayTask
from catkinreach_node.limits.task import LimitTask
from catkinreach_node.orders.task import OrdersTask
from catkinreach_standins.fakes.node_apps import running_node
from catkinreach_standins.platform.deployment import eventually

FAILURES = 2
WITHIN_S = 10.0


class Work:
    """Work that fails some times before it goes on."""

    def __init__(self, failures: int) -> None:
        """Takes the number of failures."""
        self._left = failures
        self.calls = 0

    def __call__(self, *_: object) -> None:
        """Fails, or does nothing."""
        self.calls += 1
        if self._left:
            self._left -= 1
            raise LookupError('nobody expected this')


@pytest.fixture(autouse=True)
def _quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(app, 'READINESS_NOTICE_S', 0.01)


# The component was over for good, and nothing told of it.
@pytest.mark.parametrize(
    ('owner', 'name', 'task'),
    [
        (HeartbeatTask, '_tick', 'membership'),
        (RelayTask, '_tick', 'configuration'),
        (OwnershipTask, '_tick', 'ownership'),
        (LimitTask, '_probe_owners', 'limits'),
    ],
)
def test_failing_component_ends(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, task: str
) -> None:
    work = Work(FAILURES)
    monkeypatch.setattr(owner, name, work)

    async def goes_on() -> bool:
        return work.calls > FAILURES

    async def run() -> None:
        async with running_node() as node:
            await eventually(goes_on, within_s=WITHIN_S)
            counter = f'catkinreach_task_failures_total{{task="{task}"}}'
            assert f'{counter} {FAILURES}' in node.exposition()

    asyncio.run(run())


# The process ended at once, with the requests in flight.
@pytest.mark.parametrize('owner', [LimitTask, OrdersTask, CellOwner])
def test_failing_hand_over_ends_the_drain(
    monkeypatch: pytest.MonkeyPatch, owner: type
) -> None:
    handed_over: list[object] = []

    async def fail(component: object) -> None:
        handed_over.append(component)
        raise LookupError('nobody expected this')

    async def note(component: object) -> None:
        handed_over.append(component)

    monkeypatch.setattr(owner, 'hand_over', fail)
    monkeypatch.setattr(EngineOrdersTask, 'hand_over', note)

    async def run() -> None:
        async with running_node():
            await asyncio.sleep(0)

    asyncio.run(run())
    assert [type(component) for component in handed_over] == [
        owner,
        EngineOrdersTask,
    ]


def test_failing_background_work_leaves_no_line() -> None:
    async def work() -> None:
        raise LookupError('nobody expected this')

    async def run() -> None:
        async with running_node() as node:
            # Until the first turn of the node's own task.
            await asyncio.sleep(0)
            await asyncio.wait({asyncio.create_task(work())})
            gc.collect()
            counter = 'catkinreach_task_failures_total{task="background"}'
            assert f'{counter} 1' in node.exposition()

    asyncio.run(run())
