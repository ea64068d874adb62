"""Component that polls the engines of the cells that this node owns."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from catkinreach_core.cell.blocks import block_key
from catkinreach_core.cell.engine_view import Health
from catkinreach_core.documents import DocumentError, decode_json
from catkinreach_core.ranges import SequenceNumber

from ..component import NodeComponent
from ..http.connection import ClientConnection, ConnectError, ExchangeError
from ..http.messages import HttpRequest
from ..session.engine_client import upstream_address
from .orphan_sweeper import HoldingsPage

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping

    from catkinreach_core.cell.cell import Cell
    from catkinreach_core.cell.engine_view import EngineView
    from catkinreach_core.ids import UpstreamId
    from catkinreach_core.settings.fleet import Upstream

    from ..component import NodeContext
    from .cell_owner import CellOwner
    from .orphan_sweeper import OrphanSweeper
    from .owned_cell import OwnedCell

TICK_S = 0.1
"""Interval between two checks for due polls."""

URGENT_POLL_INTERVAL_S = 0.2
"""Interval while an engine is down or may have crashed."""

POLL_INTERVAL_S = 1.0
"""Interval while an engine is up, and between probes of dependencies."""

POLL_TIMEOUT_S = 0.8
BOOT_HEADER = 'x-engine-boot'


class CacheEvent(msgspec.Struct, frozen=True):
    """One event of an engine's prefix cache."""

    seq: SequenceNumber
    kind: str
    block: str


class CacheEventsPage(msgspec.Struct, frozen=True):
    """Response of an engine to a query of its cache events."""

    events: tuple[CacheEvent, ...]


@dataclass(slots=True)
class _PollState:
    """Polls of one engine.

    Attributes:
        due_s: Monotonic clock at which the next poll is due.
        last_seq: Number of the last cache event that was read.
        boot: Boot id of the engine that numbered the cache events.
        is_polling: Whether a poll is in progress.
    """

    due_s: float = 0.0
    last_seq: int = 0
    boot: str = ''
    is_polling: bool = False


class EnginePoller(NodeComponent):
    """Polls boot id, holdings and cache events of every engine.

    An engine that is down or may have crashed is polled more often. The
    component also probes the services that a cell's service depends on.
    """

    def __init__(
        self, context: NodeContext, owner: CellOwner, sweeper: OrphanSweeper
    ) -> None:
        """Passes the results to the owned cells and to ``sweeper``."""
        self._context = context
        self._owner = owner
        self._sweeper = sweeper
        self._states: dict[UpstreamId, _PollState] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._polls = 0

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'engine_polls'

    async def run(self) -> None:
        """Starts the polls and probes that are due, until cancelled."""
        last_probe_s = 0.0
        while True:
            now_s = time.monotonic()
            for owned in self._owner.owned:
                for view in owned.cell.views:
                    self._poll_if_due(owned, view, now_s)
            if now_s - last_probe_s >= POLL_INTERVAL_S:
                last_probe_s = now_s
                for owned in self._owner.owned:
                    self._spawn(self._probe_dependencies(owned))
            await asyncio.sleep(TICK_S)

    async def hand_over(self) -> None:
        """Does nothing: the component owns no shard."""

    def status(self) -> Mapping[str, object]:
        """Returns the number of polls and of freed holdings."""
        return {'polls': self._polls, 'freed': self._sweeper.freed}

    def _poll_if_due(
        self, owned: OwnedCell, view: EngineView, now_s: float
    ) -> None:
        state = self._states.setdefault(view.upstream_id, _PollState())
        is_urgent = (
            view.health is Health.DOWN
            or view.upstream_id in owned.cell.crashes.unresolved
        )
        due_s = min(state.due_s, now_s) if is_urgent else state.due_s
        if state.is_polling or now_s < due_s:
            return
        state.is_polling = True
        state.due_s = now_s + (
            URGENT_POLL_INTERVAL_S if is_urgent else POLL_INTERVAL_S
        )
        self._spawn(self._poll(owned, view, state))

    async def _poll(
        self, owned: OwnedCell, view: EngineView, state: _PollState
    ) -> None:
        self._polls += 1
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                boot, body = await self._fetch(view.upstream, '/v1/holdings')
                await self._read_cache_events(view, state, boot)
        except (ConnectError, ExchangeError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectError) and isinstance(
                error.__cause__, ConnectionRefusedError
            )
            self._record_failure(owned, view, is_refused=is_refused)
        else:
            owned.cell.record_poll_answer(view, boot, time.monotonic())
            with suppress(DocumentError):
                page = decode_json(body, HoldingsPage)
                await self._sweeper.sweep(owned.cell, view, page)
        finally:
            state.is_polling = False
        owned.process_decisions()

    def _record_failure(
        self, owned: OwnedCell, view: EngineView, *, is_refused: bool
    ) -> None:
        if view.health is Health.UP:
            logger.warning(
                'cell: engine {} did not answer a poll.', view.upstream_id
            )
        owned.cell.record_poll_failure(
            view, time.monotonic(), is_refused=is_refused
        )

    async def _read_cache_events(
        self, view: EngineView, state: _PollState, boot: str
    ) -> None:
        if boot != state.boot:
            state.boot, state.last_seq = boot, 0
        _, body = await self._fetch(
            view.upstream, f'/v1/cache-events?after={state.last_seq}'
        )
        with suppress(DocumentError):
            page = decode_json(body, CacheEventsPage)
            for event in page.events:
                state.last_seq = max(state.last_seq, event.seq)
                with suppress(ValueError):
                    _apply_cache_event(view, event)

    async def _fetch(
        self, upstream: Upstream, target: str
    ) -> tuple[str, bytes]:
        request = HttpRequest(method='GET', target=target)
        async with self._context.client.exchange(
            upstream_address(upstream), request
        ) as response:
            return response.header(BOOT_HEADER) or '', await response.read()

    async def _probe_dependencies(self, owned: OwnedCell) -> None:
        """Records a dependency of the service without a reachable upstream."""
        dependency = ''
        for name, upstreams in owned.configured_cell.dependencies().items():
            reachable = await asyncio.gather(
                *map(_accepts_connection, upstreams)
            )
            if not any(reachable):
                dependency = name
        _set_unavailable_dependency(owned.cell, dependency)
        owned.process_decisions()

    def _spawn(self, poll: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(poll)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _set_unavailable_dependency(cell: Cell, dependency: str) -> None:
    if cell.unavailable_dependency != dependency:
        logger.warning(
            'cell: unavailable dependency: {}.', dependency or 'none'
        )
        cell.unavailable_dependency = dependency


async def _accepts_connection(upstream: Upstream) -> bool:
    """Returns whether an upstream accepts a connection."""
    try:
        connection = await ClientConnection.open(upstream_address(upstream))
    except ConnectError:
        return False
    connection.close()
    return True


def _apply_cache_event(view: EngineView, event: CacheEvent) -> None:
    """Stores or evicts the block of an event.

    Raises:
        ValueError: if the block has no valid digest.
    """
    block = block_key(event.block)
    if event.kind == 'stored':
        view.prefixes.store((block,))
    else:
        view.prefixes.evict(block)


__all__ = ('CacheEvent', 'EnginePoller')
