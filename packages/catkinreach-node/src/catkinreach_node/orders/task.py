"""Forwards an order from the node that received it to its key's owner."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from loguru import logger

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.ids import WorkspaceId
from catkinreach_core.messages.orders import (
    OrderAnswer,
    OrderCall,
    OrderFinished,
    OrderHandover,
    OrderHandoverAck,
)
from catkinreach_core.ownership.shards import ORDER_PREFIX, order_shard

from ..peers.transport import PeerUnreachableError
from ..telemetry.hops import Hop
from .runner import response_from_answer
from .service import OrderService

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinreach_core.ids import VmId

    from ..component import NodeContext
    from ..http.messages import HttpResponse
    from ..session.context import SessionContext
    from .runner import OrderRunner

KEY_HEADER: Final = 'idempotency-key'
MAX_KEY_CHARACTERS: Final = 255
MAX_BODY_BYTES: Final = 1024 * 1024
CALL_TIMEOUT_S: Final = 3.0
"""Timeout of one call to the owner of a key."""

OWNER_RETRY_S: Final = 0.1
"""Pause before the next call to the owner."""

ANSWER_TIMEOUT_S: Final = 60.0
"""Longest time for which calls to owners are retried."""

NO_OWNER_TIMEOUT_S: Final = 10.0
"""Time after which a ``NO_OWNER`` refusal ends the retries."""

HANDOVER_TIMEOUT_S: Final = 1.0
_CREDENTIAL_HEADERS: Final = frozenset({'authorization', 'cookie'})


class OrdersTask:
    """Serves orders through the owners of their keys.

    It also runs the orders of the shards that this node owns.
    """

    def __init__(self, context: NodeContext, runner: OrderRunner) -> None:
        """Registers the message and tenure handlers."""
        self._context = context
        self._service = OrderService(context, runner)
        transport = context.transport
        transport.on_call(OrderCall, self._service.respond)
        transport.on_call(OrderHandover, self._service.store_handover)
        transport.on_message(OrderFinished, self._service.receive_finished)
        context.tenures.on_tenure(
            ORDER_PREFIX, self._service.open_ledger, self._service.close_ledger
        )

    @property
    def name(self) -> str:
        """Returns the key of the component in the status document."""
        return 'orders'

    async def serve(self, session: SessionContext) -> HttpResponse:
        """Returns the answer to an order from the owner of its key.

        The call to the owner may be retried because the owner runs a key
        once. Without an owner the outcome is unknown: the caller may have
        resent a key that ran before.

        Raises:
            CatkinreachError: A refusal or failure; its outcome is ``not-run``
                only if the owner reported that or no node was called yet.
        """
        with self._context.hops.measure(Hop.ORDER, session.trace):
            return await self._await_answer(_order_call(session))

    async def _await_answer(self, call: OrderCall) -> HttpResponse:
        shard = order_shard(call.workspace_id, call.key)
        started_s = time.monotonic()
        answered_s = started_s
        while True:
            owner = self._context.ownership.owner_of(shard)
            answer = (
                None if owner is None else await self._call_owner(owner, call)
            )
            now_s = time.monotonic()
            if answer is not None and not _is_without_owner(answer):
                return response_from_answer(answer)
            if now_s - started_s > ANSWER_TIMEOUT_S:
                break
            if answer is not None and now_s - answered_s > NO_OWNER_TIMEOUT_S:
                break
            await asyncio.sleep(OWNER_RETRY_S)
        raise CatkinreachError(ErrorKind.NO_OWNER, outcome=Outcome.UNKNOWN)

    async def run(self) -> None:
        """Waits until cancelled; message handlers do the work."""
        await asyncio.Event().wait()

    async def hand_over(self) -> None:
        """Sends the ledgers to the successors of this node's shards."""
        async with asyncio.TaskGroup() as group:
            for handover in self._service.close():
                successor = self._context.tenures.successor_of(handover.shard)
                if successor is not None:
                    group.create_task(self._send_handover(successor, handover))

    async def wait_idle(self) -> None:
        """Waits until this node runs no order, whichever node received it."""
        await self._service.wait_idle()

    def status(self) -> Mapping[str, object]:
        """Returns the number of orders by decision and of ledgers."""
        return {**self._service.counts, 'ledgers': self._service.ledger_count}

    async def _call_owner(
        self, owner: VmId, call: OrderCall
    ) -> OrderAnswer | None:
        try:
            if owner == self._context.settings.vm_id:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    return await self._service.respond(owner, call)
            return await self._context.transport.call(
                owner, call, OrderAnswer, timeout_s=CALL_TIMEOUT_S
            )
        except (PeerUnreachableError, CatkinreachError, TimeoutError):
            return None

    async def _send_handover(
        self, successor: VmId, handover: OrderHandover
    ) -> None:
        try:
            await self._context.transport.call(
                successor,
                handover,
                OrderHandoverAck,
                timeout_s=HANDOVER_TIMEOUT_S,
            )
        except (PeerUnreachableError, CatkinreachError):
            logger.warning(
                'orders: {} did not accept the handover of {}.',
                successor,
                handover.shard,
            )


def _is_without_owner(answer: OrderAnswer) -> bool:
    return (
        answer.kind == ErrorKind.NO_OWNER.value
        and answer.outcome == Outcome.UNKNOWN.value
    )


def _order_call(session: SessionContext) -> OrderCall:
    request = session.request
    key = (request.header(KEY_HEADER) or '').strip()
    if not key:
        raise CatkinreachError(ErrorKind.IDEMPOTENCY_KEY_MISSING)
    if len(key) > MAX_KEY_CHARACTERS:
        raise CatkinreachError(
            ErrorKind.BAD_REQUEST, 'The Idempotency-Key is too long.'
        )
    if len(request.body) > MAX_BODY_BYTES:
        raise CatkinreachError(ErrorKind.TOO_LARGE)
    return OrderCall(
        workspace_id=session.workspace_id or WorkspaceId(''),
        key=key,
        attempt=session.request_id,
        route_id=session.route.route_id,
        method=request.method,
        target=request.target,
        headers=tuple(
            (name, text)
            for name, text in request.headers
            if name not in _CREDENTIAL_HEADERS
        ),
        body=request.body,
    )


__all__ = ('OrdersTask',)
