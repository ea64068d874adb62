"""Runs the orders of the shards that this node owns."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.messages.orders import (
    OrderAnswer,
    OrderCall,
    OrderEntry,
    OrderFinished,
    OrderHandover,
    OrderHandoverAck,
)
from catkinreach_core.orders.ledger import (
    LedgerDecision,
    OrderKey,
    OrderLedger,
)
from catkinreach_core.ownership.shards import order_shard

from .runner import answer_from_error

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_core.ids import ShardId, VmId
    from catkinreach_core.ownership.tenure import Tenure

    from ..component import NodeContext
    from .runner import OrderRunner

ENTRIES_PER_PART: Final = 200
"""Largest number of orders in one message of a handover."""

BYTES_PER_PART: Final = 512 * 1024
"""Largest total size of the answers in one message of a handover."""


@dataclass(slots=True)
class _OwnedLedger:
    """Ledger of a shard that this node owns.

    Attributes:
        term: Term of the tenure.
        ledger: Orders of the shard.
        futures: Answers that calls wait for, by order.
        successor: VM to which the ledger is handed over, ``None`` before that.
    """

    term: int
    ledger: OrderLedger
    futures: dict[OrderKey, asyncio.Future[OrderAnswer]] = field(
        default_factory=dict
    )
    successor: VmId | None = None


class OrderService:
    """Runs orders while this node's tenure of their shard lasts."""

    def __init__(self, context: NodeContext, runner: OrderRunner) -> None:
        """Starts without ledgers."""
        self._context = context
        self._runner = runner
        self._owned: dict[ShardId, _OwnedLedger] = {}
        self._stored_handovers: dict[ShardId, dict[int, OrderHandover]] = {}
        self._stored_answers: dict[ShardId, list[OrderFinished]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False
        self._counts = {'run': 0, 'replayed': 0, 'refused': 0, 'unknown': 0}

    @property
    def counts(self) -> dict[str, int]:
        """Returns the number of orders by decision."""
        return dict(self._counts)

    @property
    def ledger_count(self) -> int:
        """Returns the number of ledgers of this node."""
        return len(self._owned)

    async def respond(
        self,
        sender: VmId,  # noqa: ARG002 - part of the protocol
        call: OrderCall,
    ) -> OrderAnswer:
        """Runs an order, waits for its running copy or replays its answer."""
        try:
            return await self._respond(call)
        except CatkinreachError as error:
            is_unknown = error.outcome is not Outcome.NOT_RUN
            self._counts['unknown' if is_unknown else 'refused'] += 1
            return answer_from_error(error)

    def open_ledger(self, tenure: Tenure) -> None:
        """Opens the ledger of a tenure that has just begun."""
        self._ledger_of(tenure)

    def close_ledger(self, tenure: Tenure) -> None:
        """Drops the ledger of a tenure that has ended."""
        owned = self._owned.get(tenure.shard)
        if owned is not None and owned.term == tenure.term:
            del self._owned[tenure.shard]

    async def wait_idle(self) -> None:
        """Waits until no order runs, whichever node received it."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def store_handover(
        self,
        sender: VmId,  # noqa: ARG002 - part of the protocol
        handover: OrderHandover,
    ) -> OrderHandoverAck:
        """Stores a part of a predecessor's ledger until the tenure begins."""
        parts = self._stored_handovers.setdefault(handover.shard, {})
        if any(part.term != handover.term for part in parts.values()):
            parts.clear()
            self._stored_answers.pop(handover.shard, None)
        parts[handover.part] = handover
        return OrderHandoverAck()

    def receive_finished(
        self,
        sender: VmId,  # noqa: ARG002 - part of the protocol
        finished: OrderFinished,
    ) -> None:
        """Stores the answer of an order that the predecessor was running.

        It may arrive before the tenure begins.
        """
        owned = self._owned.get(finished.shard)
        if owned is not None:
            self._apply_finished(owned, finished)
        elif finished.shard in self._stored_handovers:
            self._stored_answers.setdefault(finished.shard, []).append(finished)

    def _apply_finished(
        self, owned: _OwnedLedger, finished: OrderFinished
    ) -> None:
        order = OrderKey(finished.workspace_id, finished.key)
        if finished.answer.outcome == Outcome.NOT_RUN.value:
            owned.ledger.drop_order(order, finished.attempt)
        self._finish_order(owned, order, finished.answer)

    def close(self) -> list[OrderHandover]:
        """Stops accepting orders; returns the ledgers of current tenures."""
        self._is_closed = True
        handovers: list[OrderHandover] = []
        for shard, owned in self._owned.items():
            tenure = self._tenure(shard)
            if tenure is not None and tenure.term == owned.term:
                owned.successor = self._context.tenures.successor_of(shard)
                handovers.extend(_split_handover(shard, owned))
        return handovers

    async def _respond(self, call: OrderCall) -> OrderAnswer:
        shard = order_shard(call.workspace_id, call.key)
        tenure = self._tenure(shard)
        if tenure is None or self._is_closed:
            raise CatkinreachError(ErrorKind.NO_OWNER, outcome=Outcome.UNKNOWN)
        owned = self._ledger_of(tenure)
        resend_window_s = self._context.state.settings.resend_window_s
        decision = owned.ledger.decide(call, resend_window_s, time.time())
        order = OrderKey(call.workspace_id, call.key)
        if decision is LedgerDecision.RUN:
            self._counts['run'] += 1
            self._start_order(shard, owned, call)
        if decision is LedgerDecision.REPLAY:
            self._counts['replayed'] += 1
            answer = owned.ledger.answer_of(order)
            if answer is not None:
                return answer
        future = owned.futures.get(order)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            owned.futures[order] = future
        return await asyncio.shield(future)

    def _start_order(
        self, shard: ShardId, owned: _OwnedLedger, call: OrderCall
    ) -> None:
        order = OrderKey(call.workspace_id, call.key)
        loop = asyncio.get_running_loop()
        owned.futures[order] = loop.create_future()
        task = asyncio.create_task(self._run_order(shard, owned, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_order(
        self, shard: ShardId, owned: _OwnedLedger, call: OrderCall
    ) -> None:
        order = OrderKey(call.workspace_id, call.key)

        def is_owner() -> bool:
            """Returns whether the order may be sent.

            After a handover it may, because the successor knows it as running.
            """
            tenure = self._tenure(shard)
            is_current = tenure is not None and tenure.term == owned.term
            return is_current or owned.successor is not None

        try:
            answer = await self._runner.run(call, is_owner)
        except CatkinreachError as error:
            answer = answer_from_error(error)
            if error.outcome is Outcome.NOT_RUN:
                owned.ledger.drop_order(order, call.attempt)
        except BaseException:
            answer = answer_from_error(CatkinreachError(ErrorKind.INTERNAL))
            self._finish_order(owned, order, answer)
            raise
        self._finish_order(owned, order, answer)
        if owned.successor is not None:
            self._context.transport.send(
                owned.successor,
                OrderFinished(
                    shard=shard,
                    workspace_id=call.workspace_id,
                    key=call.key,
                    attempt=call.attempt,
                    answer=answer,
                ),
            )

    def _finish_order(
        self, owned: _OwnedLedger, order: OrderKey, answer: OrderAnswer
    ) -> None:
        owned.ledger.store_answer(order, answer)
        future = owned.futures.pop(order, None)
        if future is not None and not future.done():
            future.set_result(answer)

    def _tenure(self, shard: ShardId) -> Tenure | None:
        return self._context.ownership.tenure_of(shard, time.monotonic())

    def _ledger_of(self, tenure: Tenure) -> _OwnedLedger:
        owned = self._owned.get(tenure.shard)
        if owned is None or owned.term != tenure.term:
            owned = _OwnedLedger(tenure.term, self._new_ledger(tenure))
            self._owned[tenure.shard] = owned
            for finished in self._stored_answers.pop(tenure.shard, ()):
                self._apply_finished(owned, finished)
        return owned

    def _new_ledger(self, tenure: Tenure) -> OrderLedger:
        parts = self._stored_handovers.pop(tenure.shard, {})
        if _is_complete(parts, tenure):
            first = next(iter(parts.values()))
            entries: list[OrderEntry] = []
            for number in sorted(parts):
                entries.extend(parts[number].entries)
            return OrderLedger.from_entries(first.covers_from_s, entries)
        age_s = time.monotonic() - tenure.started_at_s
        return OrderLedger.from_start(time.time() - max(0.0, age_s))


def _is_complete(parts: dict[int, OrderHandover], tenure: Tenure) -> bool:
    if not parts:
        return False
    first = next(iter(parts.values()))
    return (
        first.term == tenure.predecessor_term and len(parts) == first.part_count
    )


def _split_handover(
    shard: ShardId, owned: _OwnedLedger
) -> Iterator[OrderHandover]:
    batches: list[list[OrderEntry]] = [[]]
    size = 0
    for entry in owned.ledger.entries():
        length = len(entry.answer.body) if entry.answer else 0
        is_full = len(batches[-1]) >= ENTRIES_PER_PART
        if batches[-1] and (is_full or size + length > BYTES_PER_PART):
            batches.append([])
            size = 0
        batches[-1].append(entry)
        size += length
    for number, batch in enumerate(batches):
        yield OrderHandover(
            shard=shard,
            term=owned.term,
            covers_from_s=owned.ledger.covers_from_s,
            part=number,
            part_count=len(batches),
            entries=tuple(batch),
        )


__all__ = ('OrderService',)
