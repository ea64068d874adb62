"""Orders that run while their ledger is handed over."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from catkinreach_core.ids import (
    Incarnation,
    RequestId,
    RouteId,
    VmId,
    WorkspaceId,
)
from catkinreach_core.messages.orders import (
    OrderAnswer,
    OrderCall,
    OrderEntry,
    OrderFinished,
    OrderHandover,
)
from catkinreach_core.orders.ledger import order_digest
from catkinreach_core.ownership.shards import order_shard
from catkinreach_core.ownership.tenure import Tenure
from catkinreach_node.orders.service import OrderService

if TYPE_CHECKING:
    from catkinreach_node.component import NodeContext
    from catkinreach_node.orders.runner import OrderRunner

RESEND_WINDOW_S = 60.0
ANSWER_WITHIN_S = 1.0
PREDECESSOR = VmId('vm-1')
SUCCESSOR = VmId('vm-2')
CALL = OrderCall(
    workspace_id=WorkspaceId('one'),
    key='key',
    attempt=RequestId('attempt'),
    route_id=RouteId('orders'),
    method='POST',
    target='/orders',
    headers=(),
    body=b'order',
)
SHARD = order_shard(CALL.workspace_id, CALL.key)
ANSWER = OrderAnswer(status=201, body=b'ran')


def _make_service() -> OrderService:
    """Returns the successor's service, whose tenure has begun or begins."""
    tenure = Tenure(
        shard=SHARD,
        owner=SUCCESSOR,
        incarnation=Incarnation('1'),
        term=2,
        started_at_s=time.monotonic(),
        expires_at_s=time.monotonic() + RESEND_WINDOW_S,
        predecessor_term=1,
    )
    context = SimpleNamespace(
        ownership=SimpleNamespace(tenure_of=lambda *_: tenure),
        state=SimpleNamespace(
            settings=SimpleNamespace(resend_window_s=RESEND_WINDOW_S)
        ),
    )
    runner = cast('OrderRunner', None)
    return OrderService(cast('NodeContext', context), runner)


def test_order_that_ends_before_the_tenure_begins_has_no_answer() -> None:
    # Its answer came between the handover and the tenure, and was dropped.
    async def run() -> OrderAnswer:
        service = _make_service()
        entry = OrderEntry(
            workspace_id=CALL.workspace_id,
            key=CALL.key,
            digest=order_digest(CALL),
            kept_from_s=time.time(),
        )
        handover = OrderHandover(
            shard=SHARD,
            term=1,
            covers_from_s=0.0,
            part=0,
            part_count=1,
            entries=(entry,),
        )
        await service.store_handover(PREDECESSOR, handover)
        finished = OrderFinished(
            shard=SHARD,
            workspace_id=CALL.workspace_id,
            key=CALL.key,
            attempt=CALL.attempt,
            answer=ANSWER,
        )
        service.receive_finished(PREDECESSOR, finished)
        async with asyncio.timeout(ANSWER_WITHIN_S):
            return await service.respond(SUCCESSOR, CALL)

    assert asyncio.run(run()) == ANSWER
