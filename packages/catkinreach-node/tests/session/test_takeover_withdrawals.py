"""A request that is cancelled while it withdraws a takeover."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from catkinreach_core.cell.retry_budget import RetryBudget
from catkinreach_core.ids import RequestId
from catkinreach_core.placement.policy import Placement
from catkinreach_node.session.interfaces import UntrackedReservation
from catkinreach_node.session.takeover import Takeover
from catkinreach_standins.fakes.model_runs import FIRST, OTHER, PREFILL

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from catkinreach_core.ids import UpstreamId
    from catkinreach_node.session.interfaces import Reservation


def test_cancelled_withdrawal_keeps_the_reservation() -> None:
    # The caller left in the turn in which its engine went on.
    live: set[UpstreamId] = set()

    @asynccontextmanager
    async def reserve(silent: UpstreamId) -> AsyncIterator[Reservation]:
        live.add(silent)
        try:
            yield UntrackedReservation(
                Placement(PREFILL, OTHER), RequestId('r')
            )
        finally:
            live.remove(silent)

    async def run() -> None:
        takeover = Takeover(reserve, RetryBudget(), is_possible=lambda _: True)
        assert not takeover.may_give_up(FIRST, 0.0)
        await asyncio.sleep(0)
        assert live
        withdrawing = asyncio.ensure_future(takeover.withdraw())
        await asyncio.sleep(0)
        withdrawing.cancel()
        await asyncio.wait({withdrawing})
        assert not live

    asyncio.run(run())
