"""Few nodes of a large fleet read the store; all apply its changes in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.catalog import Catalog
from catkinreach_core.gateway.feed import (
    CatalogPublished,
    ChangeBatch,
    DomainEvacuated,
    HistoryLost,
    Listing,
    StoreUnavailable,
    UpstreamPublished,
    UpstreamRemoved,
)
from catkinreach_core.gateway.store_position import era_of, make_position
from catkinreach_core.ids import FailureDomainId, Revision, UpstreamId
from catkinreach_node.gateway.store_task import StoreTask
from catkinreach_standins.fakes.gateway import make_upstream
from catkinreach_standins.platform.deployment import BOUNDS, eventually
from catkinreach_standins.platform.fake_fleet import FakeFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from catkinreach_core.gateway.feed import Change
    from catkinreach_core.settings.node import Address
    from catkinreach_node.gateway.node import Node

NODES = 40
START = Revision(10)
DOMAIN = FailureDomainId('tw-central-a')
SETTLE_S = 4.5
"""Two watches of a node that found no readers yet, and half a second."""

QUIET_S = 2.0
CATALOG = Catalog(
    version=7, routes={}, services={}, workspaces={}, has_workspaces=False
)
MAX_CALLS_PER_READER_S = 3.0


class FakeStore:
    """Keeps changes in memory and answers the watches of all nodes."""

    def __init__(self) -> None:
        """Starts without changes."""
        self.changes: list[tuple[Revision, Change]] = []
        self.calls: list[str] = []
        self.refused: set[str] = set()
        self.is_compacted = False
        self.start = START
        self.changed = asyncio.Condition()

    @property
    def revision(self) -> Revision:
        """Returns the revision of the last change."""
        return self.changes[-1][0] if self.changes else self.start

    async def restore(self, *, lost: int, era: int) -> None:
        """Comes back without its last changes; ends the watches."""
        async with self.changed:
            kept = [change for _, change in self.changes[:-lost]]
            self.start = make_position(era, START)
            self.changes = []
            for change in kept:
                revision = Revision(self.revision + 1)
                self.changes.append((revision, change))
            self.changed.notify_all()

    async def publish(self, change: Change) -> None:
        """Adds a change and ends the watches that wait for one."""
        await self.publish_together(change)

    async def publish_together(self, *changes: Change) -> None:
        """Adds changes that one answer to a watch holds."""
        async with self.changed:
            for change in changes:
                revision = Revision(self.revision + 1)
                self.changes.append((revision, change))
            self.changed.notify_all()


class FakeFeed:
    """The store as one node sees it."""

    def __init__(self, store: FakeStore, host: str) -> None:
        """Starts without calls."""
        self._store = store
        self._host = host
        self.call_count = 0
        self.received_bytes = 0

    def close(self) -> None:
        """Has no connections."""

    def set_address(self, address: Address) -> None:
        """Has no address."""

    async def list_all(self) -> Listing:
        """Returns a listing of what was published."""
        self._count()
        changes = [change for _, change in self._store.changes]
        return Listing(changes=changes, revision=self._store.revision)

    async def watch(self, after: Revision, wait_s: float) -> ChangeBatch:
        """Returns the changes after a revision; waits for the first one."""
        self._count()
        store = self._store
        async with store.changed:
            try:
                async with asyncio.timeout(wait_s):
                    await store.changed.wait_for(lambda: store.revision > after)
            except TimeoutError:
                pass
        if self._host in store.refused:
            raise StoreUnavailable('refused')
        if era_of(after) < era_of(store.revision):
            raise HistoryLost
        changes = [change for at, change in store.changes if at > after]
        if changes and store.is_compacted:
            raise HistoryLost
        return ChangeBatch(changes=changes, revision=store.revision)

    def _count(self) -> None:
        if self._host in self._store.refused:
            raise StoreUnavailable('refused')
        self._store.calls.append(self._host)


def _run(
    scenario: Callable[[FakeFleet, FakeStore], Awaitable[None]],
) -> None:
    async def run() -> None:
        fleet = FakeFleet(NODES)
        store = FakeStore()
        tasks = [
            asyncio.ensure_future(StoreTask(node, FakeFeed(store, host)).run())
            for host, node in fleet.nodes.items()
        ]
        beats = asyncio.ensure_future(_keep_hearing(fleet))
        try:
            await asyncio.sleep(SETTLE_S)
            await scenario(fleet, store)
        finally:
            for task in (*tasks, beats):
                task.cancel()

    asyncio.run(run())


async def _keep_hearing(fleet: FakeFleet) -> None:
    while True:
        fleet.let_all_hear()
        await asyncio.sleep(0.5)


async def _wait_for_all(
    nodes: Collection[Node], has_change: Callable[[Node], bool]
) -> None:
    """Waits until all nodes have a change, as long as the bound allows."""

    async def have_all() -> bool:
        return all(map(has_change, nodes))

    await eventually(have_all, within_s=BOUNDS.apply_within_s)


def _is_evacuated(node: Node) -> bool:
    return DOMAIN in node.view.evacuated


def test_only_readers_call_the_store() -> None:
    async def scenario(_: FakeFleet, store: FakeStore) -> None:
        store.calls.clear()
        await asyncio.sleep(QUIET_S)
        callers = set(store.calls)
        assert 1 <= len(callers) <= 3
        assert len(store.calls) <= 3 * MAX_CALLS_PER_READER_S * QUIET_S

    _run(scenario)


def test_change_reaches_all_nodes_without_further_calls() -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        store.calls.clear()
        await store.publish(DomainEvacuated(DOMAIN))
        await _wait_for_all(fleet.nodes.values(), _is_evacuated)
        await store.publish(UpstreamPublished(make_upstream('new')))
        await _wait_for_all(
            fleet.nodes.values(),
            lambda node: node.view.find_upstream(UpstreamId('new')) is not None,
        )
        assert len(set(store.calls)) <= 3

    _run(scenario)


@pytest.mark.parametrize('are_readers_refused', [False, True])
def test_change_applies_in_time_after_the_store_is_restored(
    *, are_readers_refused: bool
) -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        store.calls.clear()
        await asyncio.sleep(1.0)
        readers = set(store.calls)
        for number in range(4):
            entry = make_upstream(f'new-{number}')
            await store.publish(UpstreamPublished(entry))
        await asyncio.sleep(1.0)
        store.refused.update(readers if are_readers_refused else ())
        await store.restore(lost=3, era=1)
        await asyncio.sleep(BOUNDS.apply_within_s)
        await store.publish(DomainEvacuated(DOMAIN))
        others = [
            node for host, node in fleet.nodes.items() if host not in readers
        ]
        nodes = others if are_readers_refused else fleet.nodes.values()
        await _wait_for_all(nodes, _is_evacuated)
        assert {era_of(node.revision) for node in nodes} == {1}

    _run(scenario)


@pytest.mark.parametrize('fault', ['cut', 'refused', 'both'])
def test_change_applies_in_time_when_all_readers_fail(fault: str) -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        store.calls.clear()
        await asyncio.sleep(1.0)
        readers = set(store.calls)
        if fault != 'refused':
            fleet.cut.update(readers)
        if fault != 'cut':
            store.refused.update(readers)
        await store.publish(DomainEvacuated(DOMAIN))
        others = [
            node for host, node in fleet.nodes.items() if host not in readers
        ]
        assert others
        await _wait_for_all(others, _is_evacuated)

    _run(scenario)


def test_lost_datagrams_delay_a_change_within_the_bound() -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        fleet.loss = 0.5
        await store.publish(DomainEvacuated(DOMAIN))
        await _wait_for_all(fleet.nodes.values(), _is_evacuated)

    _run(scenario)


def test_node_that_the_store_refuses_learns_from_readers() -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        store.calls.clear()
        await asyncio.sleep(1.0)
        store.refused.update(fleet.nodes.keys() - set(store.calls))
        await store.publish(DomainEvacuated(DOMAIN))
        await _wait_for_all(fleet.nodes.values(), _is_evacuated)

    _run(scenario)


def test_change_applies_though_readers_had_to_list_again() -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        store.is_compacted = True
        await store.publish(DomainEvacuated(DOMAIN))
        await _wait_for_all(fleet.nodes.values(), _is_evacuated)

    _run(scenario)


def test_removal_beside_a_configuration_waits_for_its_read() -> None:
    # Each VM had to read the configuration, on links of a few Mbit/s for
    # seconds, before it learned which engine leaves.
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        others = await _refuse_all_but_readers(fleet, store)
        await store.publish_together(
            CatalogPublished(CATALOG),
            UpstreamRemoved(UpstreamId('leaving')),
        )
        await _wait_for_all(others, lambda node: not _knows_leaving(node))
        assert all(node.revision < store.revision for node in others)

    _run(scenario)


def test_removal_behind_an_unread_configuration_was_not_applied() -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        others = await _refuse_all_but_readers(fleet, store)
        await store.publish(CatalogPublished(CATALOG))
        await asyncio.sleep(1.0)
        await store.publish(UpstreamRemoved(UpstreamId('leaving')))
        await _wait_for_all(others, lambda node: not _knows_leaving(node))
        assert all(node.revision < store.revision for node in others)

    _run(scenario)


def test_removal_told_early_hid_that_the_upstream_is_back() -> None:
    async def scenario(fleet: FakeFleet, store: FakeStore) -> None:
        others = await _refuse_all_but_readers(fleet, store)
        await store.publish_together(
            CatalogPublished(CATALOG),
            UpstreamRemoved(UpstreamId('leaving')),
            UpstreamPublished(make_upstream('leaving')),
            DomainEvacuated(DOMAIN),
        )
        await _wait_for_all(others, _is_evacuated)
        assert all(map(_knows_leaving, others))

    _run(scenario)


async def _refuse_all_but_readers(
    fleet: FakeFleet, store: FakeStore
) -> list[Node]:
    """Lets only the readers read on; returns the other nodes."""
    await store.publish(UpstreamPublished(make_upstream('leaving')))
    await _wait_for_all(fleet.nodes.values(), _knows_leaving)
    # After a change each node reads the store once.
    await asyncio.sleep(QUIET_S)
    store.calls.clear()
    await asyncio.sleep(1.0)
    others = fleet.nodes.keys() - set(store.calls)
    assert others
    store.refused.update(others)
    return [fleet.nodes[host] for host in others]


def _knows_leaving(node: Node) -> bool:
    return node.view.find_upstream(UpstreamId('leaving')) is not None
