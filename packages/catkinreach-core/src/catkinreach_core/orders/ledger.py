"""Ledger of the orders that the owner of an order shard runs or ran.

All times are Unix times in seconds of the owner's wall clock: keys contain
such times and can't be compared with another kind of clock.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from ..errors import CatkinreachError, ErrorKind, Outcome
from ..messages.orders import OrderAnswer, OrderEntry
from .key_time import key_created_at_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import RequestId, WorkspaceId
    from ..messages.orders import OrderCall

MAX_KEY_LEAD_S: Final = 0.5
"""How far a key's creation time may be ahead of the owner's clock."""

VM_CLOCK_ERROR_S: Final = 0.25
"""Largest error of a VM's wall clock."""

COVER_MARGIN_S: Final = MAX_KEY_LEAD_S + 2 * VM_CLOCK_ERROR_S
"""Tenure age from which no predecessor can have run a key created now."""

MAX_ENTRIES: Final = 20_000
"""Largest number of orders in one ledger."""

MAX_STORED_BYTES: Final = 32 * 1024 * 1024
"""Largest total size of the answers in one ledger."""

MAX_ANSWER_BYTES: Final = 256 * 1024
"""Largest answer that is stored for resends."""

MAX_REFUSED: Final = 4096
"""Largest number of refused attempts stored so that late copies don't run."""


class LedgerDecision(Enum):
    """How the owner handles an order."""

    RUN = 'run'
    WAIT = 'wait'
    REPLAY = 'replay'


class OrderKey(NamedTuple):
    """An idempotency key within its workspace."""

    workspace_id: WorkspaceId
    key: str


@dataclass(slots=True)
class _Entry:
    digest: str
    kept_from_s: float
    answer: OrderAnswer | None = None


class OrderLedger:
    """Orders of one shard during one tenure of its owner."""

    def __init__(self, covers_from_s: float) -> None:
        """Covers every order whose key was created after ``covers_from_s``."""
        self._covers_from_s = covers_from_s
        self._entries: OrderedDict[OrderKey, _Entry] = OrderedDict()
        self._refused: OrderedDict[RequestId, None] = OrderedDict()
        self._stored_bytes = 0

    @property
    def covers_from_s(self) -> float:
        """Returns the Unix time from which the ledger has every order."""
        return self._covers_from_s

    @property
    def entry_count(self) -> int:
        """Returns the number of orders in the ledger."""
        return len(self._entries)

    @classmethod
    def from_start(cls, started_wall_s: float) -> OrderLedger:
        """Returns the ledger of an owner without a handover."""
        return cls(started_wall_s + COVER_MARGIN_S)

    @classmethod
    def from_entries(
        cls, covers_from_s: float, entries: Iterable[OrderEntry]
    ) -> OrderLedger:
        """Returns a ledger that continues with a predecessor's orders."""
        ledger = cls(covers_from_s)
        for entry in entries:
            order = OrderKey(entry.workspace_id, entry.key)
            ledger._entries[order] = _Entry(entry.digest, entry.kept_from_s)
            if entry.answer is not None:
                ledger.store_answer(order, entry.answer)
        return ledger

    def decide(
        self, call: OrderCall, resend_window_s: float, wall_s: float
    ) -> LedgerDecision:
        """Decides how to handle an order; ``RUN`` records it as running.

        Raises:
            CatkinreachError: The order must not run; the outcome states
                whether it may have run before.
        """
        self._evict(wall_s - resend_window_s)
        order = OrderKey(call.workspace_id, call.key)
        entry = self._entries.get(order)
        if entry is not None:
            return _decide_known(entry, call)
        self._check_key_time(call, resend_window_s, wall_s)
        if call.attempt in self._refused:
            raise CatkinreachError(
                ErrorKind.NO_OWNER, 'This attempt was refused before.'
            )
        if self._is_full:
            raise CatkinreachError(
                ErrorKind.QUEUE_FULL, 'The ledger of the order shard is full.'
            )
        self._entries[order] = _Entry(order_digest(call), wall_s)
        return LedgerDecision.RUN

    def answer_of(self, order: OrderKey) -> OrderAnswer | None:
        """Returns the answer of a finished order, ``None`` while it runs."""
        entry = self._entries.get(order)
        return None if entry is None else entry.answer

    def store_answer(self, order: OrderKey, answer: OrderAnswer) -> None:
        """Stores the answer of an order that ran or may have run."""
        entry = self._entries.get(order)
        if entry is None or entry.answer is not None:
            return
        if len(answer.body) > MAX_ANSWER_BYTES:
            answer = _oversized_answer()
        entry.answer = answer
        self._stored_bytes += len(answer.body)

    def drop_order(self, order: OrderKey, attempt: RequestId) -> None:
        """Removes an order that certainly did not run."""
        self._entries.pop(order, None)
        self._refused[attempt] = None
        while len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)

    def entries(self) -> list[OrderEntry]:
        """Returns all orders for the successor."""
        return [
            OrderEntry(
                workspace_id=order.workspace_id,
                key=order.key,
                digest=entry.digest,
                kept_from_s=entry.kept_from_s,
                answer=entry.answer,
            )
            for order, entry in self._entries.items()
        ]

    @property
    def _is_full(self) -> bool:
        return (
            len(self._entries) >= MAX_ENTRIES
            or self._stored_bytes >= MAX_STORED_BYTES
        )

    def _check_key_time(
        self, call: OrderCall, resend_window_s: float, wall_s: float
    ) -> None:
        created_at_s = key_created_at_s(call.key)
        if created_at_s is None:
            if wall_s - resend_window_s <= self._covers_from_s:
                raise CatkinreachError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    'An earlier owner may have run the order; UUIDv7 keys'
                    ' would tell new orders from resent ones.',
                )
        elif created_at_s > wall_s + MAX_KEY_LEAD_S:
            raise CatkinreachError(
                ErrorKind.BAD_REQUEST,
                'The creation time of the Idempotency-Key is in the future.',
            )
        elif created_at_s < wall_s - resend_window_s:
            raise CatkinreachError(ErrorKind.IDEMPOTENCY_KEY_EXPIRED)
        elif created_at_s <= self._covers_from_s:
            raise CatkinreachError(
                ErrorKind.OUTCOME_UNKNOWN,
                'An earlier owner may have run the order.',
            )

    def _evict(self, until_s: float) -> None:
        """Removes orders older than the resend window and its margin."""
        until_s -= COVER_MARGIN_S
        while self._entries:
            order, entry = next(iter(self._entries.items()))
            if entry.kept_from_s >= until_s:
                return
            del self._entries[order]
            if entry.answer is not None:
                self._stored_bytes -= len(entry.answer.body)


def order_digest(call: OrderCall) -> str:
    """Returns a digest of method, target and body."""
    head = f'{call.method} {call.target} {len(call.body)}\n'.encode()
    return hashlib.sha256(head + call.body).hexdigest()


def _decide_known(entry: _Entry, call: OrderCall) -> LedgerDecision:
    if entry.digest != order_digest(call):
        raise CatkinreachError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
    if entry.answer is None:
        return LedgerDecision.WAIT
    return LedgerDecision.REPLAY


def _oversized_answer() -> OrderAnswer:
    return OrderAnswer(
        kind=ErrorKind.OUTCOME_UNKNOWN.value,
        detail='The order ran; its answer was too long to store.',
        outcome=Outcome.RUN.value,
    )


__all__ = ('COVER_MARGIN_S', 'LedgerDecision', 'OrderKey', 'OrderLedger')
