"""Frees what engines hold for requests that are gone."""

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
from catkinreach_core.messages.cell import HoldingsAnswer, HoldingsQuery
from catkinreach_core.settings.node import Address

from ..peers.transport import PeerUnreachableError
from ..session.engine_client import EngineError

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
REFUSALS_TO_BE_DEAD = 2


class ReportedHolder(msgspec.Struct, frozen=True):
    """Holder of a holding, as engines name it."""

    vm: VmId
    incarnation: Incarnation


class ReportedHolding(msgspec.Struct, frozen=True):
    """One holding, as engines report it."""

    request_id: RequestId
    holder: ReportedHolder
    kind: str
    kv_pieces: int
    age_s: float


class HoldingsPage(msgspec.Struct, frozen=True):
    """Answer of an engine to a read of its holdings."""

    holdings: tuple[ReportedHolding, ...]


class OrphanSweeper:
    """Asks the holders of unclaimed holdings and cancels what is gone."""

    def __init__(
        self,
        context: NodeContext,
        engines: EngineClient,
        live_attempts: LiveAttempts,
    ) -> None:
        """Uses the peers to ask and the engines' client to cancel."""
        self._context = context
        self._engines = engines
        self._live_attempts = live_attempts
        self._heard_s: dict[HolderId, float] = {}
        self._refusals: dict[HolderId, int] = {}
        self.freed = 0

    async def sweep(
        self, cell: Cell, view: EngineView, page: HoldingsPage
    ) -> None:
        """Counts what others hold on an engine and frees what is gone."""
        unclaimed = _unclaimed(cell, view, page)
        view.foreign_places = sum(
            held.kind != EXPORT_KIND for held in unclaimed
        )
        view.foreign_pieces = sum(held.kv_pieces for held in unclaimed)
        by_holder: dict[HolderId, list[EngineHolding]] = {}
        for held in unclaimed:
            by_holder.setdefault(held.holder, []).append(held)
        for holder, holdings in by_holder.items():
            report = await self._ask(holder, view.upstream_id, holdings)
            for held in find_orphans(holdings, report):
                await self._free(view, held)

    async def _ask(
        self,
        holder: HolderId,
        upstream_id: UpstreamId,
        holdings: Iterable[EngineHolding],
    ) -> HolderReport:
        now_s = time.monotonic()
        self._heard_s.setdefault(holder, now_s)
        request_ids = tuple(held.request_id for held in holdings)
        if holder.vm == self._context.settings.vm_id:
            answer = self._live_attempts.answer(upstream_id, request_ids)
            return self._report(holder, answer)
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
            return await self._report_silent(holder)
        return self._report(holder, answer)

    def _report(self, holder: HolderId, answer: HoldingsAnswer) -> HolderReport:
        self._heard_s[holder] = time.monotonic()
        self._refusals.pop(holder, None)
        if answer.incarnation != holder.incarnation:
            return HolderReport(HolderState.DEAD)
        return HolderReport(HolderState.ANSWERED, frozenset(answer.live))

    async def _report_silent(self, holder: HolderId) -> HolderReport:
        """Tells a dead process from a silent one.

        A refused connection shows that the VM runs and the process does not;
        a network partition gives no answer at all.
        """
        entry = self._context.state.vms.entry(holder.vm)
        is_refused = entry is not None and await _is_refused(entry.peer_address)
        count = self._refusals.get(holder, 0) + 1 if is_refused else 0
        self._refusals[holder] = count
        if count >= REFUSALS_TO_BE_DEAD:
            return HolderReport(HolderState.DEAD)
        return HolderReport(
            HolderState.SILENT,
            is_listed=entry is not None and entry.state is VmState.LIVE,
            silent_s=time.monotonic() - self._heard_s[holder],
        )

    async def _free(self, view: EngineView, held: EngineHolding) -> None:
        try:
            await self._engines.cancel(view.upstream, held.request_id)
        except EngineError:
            return
        self.freed += 1
        logger.info(
            'cell: freed {} of {} on {}.',
            held.kind,
            held.request_id,
            held.upstream_id,
        )


async def _is_refused(peer_address: str) -> bool:
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


def _unclaimed(
    cell: Cell, view: EngineView, page: HoldingsPage
) -> tuple[EngineHolding, ...]:
    claimed = {
        attempt_id(one.request_id, one.granted.request.attempt)
        for one in cell.reserved.values()
        if view.upstream_id in {one.granted.prefill, one.granted.decode}
    }
    return tuple(
        EngineHolding(
            upstream_id=view.upstream_id,
            request_id=one.request_id,
            holder=HolderId(one.holder.vm, one.holder.incarnation),
            kind=one.kind,
            kv_pieces=one.kv_pieces,
            age_s=one.age_s,
        )
        for one in page.holdings
        if one.request_id not in claimed
    )


__all__ = ('HoldingsPage', 'OrphanSweeper')
