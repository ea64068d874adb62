"""Frees holdings of engines for requests that have ended."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from catkinreach_core.cell.holdings import (
    EXPORT_KIND,
    EngineHolding,
    HolderId,
    HolderReport,
    HolderState,
    find_orphans,
)
from catkinreach_core.errors import CatkinreachError
from catkinreach_core.fleet_list import VmState
from catkinreach_core.ids import Incarnation, RequestId, VmId, attempt_id
from catkinreach_core.json_ranges import Count, Seconds
from catkinreach_core.messages.cell import HoldingsAnswer, HoldingsQuery
from catkinreach_core.settings.node import Address

from ..peers.transport import PeerUnreachableError
from ..session.engine_answers import EngineError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinreach_core.cell.cell import Cell
    from catkinreach_core.cell.engine_view import EngineView
    from catkinreach_core.ids import UpstreamId

    from ..component import NodeContext
    from ..session.engine_client import EngineClient
    from .live_attempts import LiveAttempts

QUERY_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.3
REFUSALS_UNTIL_DEAD = 2
"""Refused connections in a row after which a process counts as dead."""


class ReportedHolder(msgspec.Struct, frozen=True):
    """Process that owns a holding, as engines report it."""

    vm: VmId
    incarnation: Incarnation


class ReportedHolding(msgspec.Struct, frozen=True):
    """One holding, as engines report it."""

    request_id: RequestId
    holder: ReportedHolder
    kind: str
    kv_pieces: Count
    age_s: Seconds


class HoldingsPage(msgspec.Struct, frozen=True):
    """Response of an engine to a query of its holdings."""

    holdings: tuple[ReportedHolding, ...]


class OrphanSweeper:
    """Cancels holdings whose requests have ended.

    Holdings without a reservation in the cell may belong to requests that
    were placed without this owner, so their holders are queried first.
    """

    def __init__(
        self,
        context: NodeContext,
        engines: EngineClient,
        live_attempts: LiveAttempts,
    ) -> None:
        """Starts without a queried holder; ``engines`` cancels the orphans."""
        self._context = context
        self._engines = engines
        self._live_attempts = live_attempts
        self._last_seen_s: dict[HolderId, float] = {}
        self._refused_connections: dict[HolderId, int] = {}
        self.freed = 0

    async def sweep(
        self, cell: Cell, view: EngineView, page: HoldingsPage
    ) -> None:
        """Records an engine's unreserved holdings and frees the orphans."""
        unreserved = _unreserved_holdings(cell, view, page)
        view.foreign_places = sum(
            holding.kind != EXPORT_KIND for holding in unreserved
        )
        view.foreign_pieces = sum(holding.kv_pieces for holding in unreserved)
        by_holder: dict[HolderId, list[EngineHolding]] = {}
        for holding in unreserved:
            by_holder.setdefault(holding.holder, []).append(holding)
        for holder, holdings in by_holder.items():
            report = await self._query_holder(
                holder, view.upstream_id, holdings
            )
            for holding in find_orphans(holdings, report):
                await self._free_holding(view, holding)

    async def _query_holder(
        self,
        holder: HolderId,
        upstream_id: UpstreamId,
        holdings: Iterable[EngineHolding],
    ) -> HolderReport:
        now_s = time.monotonic()
        self._last_seen_s.setdefault(holder, now_s)
        request_ids = tuple(holding.request_id for holding in holdings)
        if holder.vm == self._context.settings.vm_id:
            answer = self._live_attempts.holdings_answer(
                upstream_id, request_ids
            )
            return self._report_answer(holder, answer)
        query = HoldingsQuery(
            incarnation=holder.incarnation,
            upstream_id=upstream_id,
            request_ids=request_ids,
        )
        try:
            answer = await self._context.transport.call(
                holder.vm, query, HoldingsAnswer, timeout_s=QUERY_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError):
            return await self._report_unreachable(holder)
        return self._report_answer(holder, answer)

    def _report_answer(
        self, holder: HolderId, answer: HoldingsAnswer
    ) -> HolderReport:
        self._last_seen_s[holder] = time.monotonic()
        self._refused_connections.pop(holder, None)
        if answer.incarnation != holder.incarnation:
            return HolderReport(HolderState.DEAD)
        return HolderReport(HolderState.ANSWERED, frozenset(answer.live))

    async def _report_unreachable(self, holder: HolderId) -> HolderReport:
        """Distinguishes a dead process from an unreachable one.

        A refused connection shows that the VM runs and the process does not;
        during a network partition no connection attempt is answered at all.
        """
        entry = self._context.state.vms.entry(holder.vm)
        is_refused = entry is not None and await _refuses_connections(
            entry.peer_address
        )
        count = (
            self._refused_connections.get(holder, 0) + 1 if is_refused else 0
        )
        self._refused_connections[holder] = count
        if count >= REFUSALS_UNTIL_DEAD:
            return HolderReport(HolderState.DEAD)
        return HolderReport(
            HolderState.SILENT,
            is_listed=entry is not None and entry.state is VmState.LIVE,
            silent_s=time.monotonic() - self._last_seen_s[holder],
        )

    async def _free_holding(
        self, view: EngineView, holding: EngineHolding
    ) -> None:
        try:
            await self._engines.cancel(view.upstream, holding.request_id)
        except EngineError:
            return
        self.freed += 1
        logger.info(
            'cell: freed orphaned {} of {} on {}.',
            holding.kind,
            holding.request_id,
            holding.upstream_id,
        )


async def _refuses_connections(peer_address: str) -> bool:
    address = Address.from_text(peer_address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


def _unreserved_holdings(
    cell: Cell, view: EngineView, page: HoldingsPage
) -> tuple[EngineHolding, ...]:
    reserved = {
        attempt_id(entry.request_id, entry.granted.request.attempt)
        for entry in cell.reserved.values()
        if view.upstream_id in {entry.granted.prefill, entry.granted.decode}
    }
    return tuple(
        EngineHolding(
            upstream_id=view.upstream_id,
            request_id=entry.request_id,
            holder=HolderId(entry.holder.vm, entry.holder.incarnation),
            kind=entry.kind,
            kv_pieces=entry.kv_pieces,
            age_s=entry.age_s,
        )
        for entry in page.holdings
        if entry.request_id not in reserved
    )


__all__ = ('HoldingsPage', 'OrphanSweeper')
