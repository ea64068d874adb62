"""The owner's ledger: what ran, what runs, and what may run.

All times are Unix times in seconds of the owner's wall clock; keys carry
such times, so no other clock can be compared with them.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from ..errors import CatkinreachError, ErrorKind, Outcome
from ..messages.orders import OrderAnswer, OrderEntry
from .births import birth_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import RequestId, WorkspaceId
    from ..messages.orders import OrderCall

FUTURE_S: Final = 0.5
"""How far ahead of the owner's clock a key's birth may lie."""

VM_CLOCK_ERROR_S: Final = 0.25
"""Largest error of a VM's wall clock."""

COVER_MARGIN_S: Final = FUTURE_S + 2 * VM_CLOCK_ERROR_S
"""Age of a tenure from which no predecessor can have run a key born now."""

MAX_ENTRIES: Final = 20_000
"""Orders that one ledger keeps."""

MAX_KEPT_BYTES: Final = 32 * 1024 * 1024
"""Bytes of answers that one ledger keeps."""

MAX_ANSWER_BYTES: Final = 256 * 1024
"""Longest answer that is kept for resends."""

MAX_REFUSED: Final = 4096
"""Refused attempts that are remembered, so that late copies don't run."""


class LedgerDecision(Enum):
    """What the owner does with an order."""

    RUN = 'run'
    WAIT = 'wait'
    REPLAY = 'replay'


class OrderKey(NamedTuple):
    """An idempotency key; each workspace has its own."""

    workspace_id: WorkspaceId
    key: str


@dataclass(slots=True)
class _Entry:
    digest: str
    kept_from_s: float
    answer: OrderAnswer | None = None


class OrderLedger:
    """Orders of one shard during one tenure."""

    def __init__(self, covers_from_s: float) -> None:
        """Knows every order whose key was born after ``covers_from_s``."""
        self._covers_from_s = covers_from_s
        self._entries: OrderedDict[OrderKey, _Entry] = OrderedDict()
        self._refused: OrderedDict[RequestId, None] = OrderedDict()
        self._kept_bytes = 0

    @property
    def covers_from_s(self) -> float:
        """Returns the Unix time from which every order is known."""
        return self._covers_from_s

    @property
    def entry_count(self) -> int:
        """Returns the orders that are kept."""
        return len(self._entries)

    @classmethod
    def from_start(cls, started_wall_s: float) -> OrderLedger:
        """Returns the ledger of an owner that knows no predecessor."""
        return cls(started_wall_s + COVER_MARGIN_S)

    @classmethod
    def from_entries(
        cls, covers_from_s: float, entries: Iterable[OrderEntry]
    ) -> OrderLedger:
        """Returns a ledger that goes on with a predecessor's orders."""
        ledger = cls(covers_from_s)
        for one in entries:
            order = OrderKey(one.workspace_id, one.key)
            ledger._entries[order] = _Entry(one.digest, one.kept_from_s)
            if one.answer is not None:
                ledger.finish(order, one.answer)
        return ledger

    def decide(
        self, call: OrderCall, window_s: float, wall_s: float
    ) -> LedgerDecision:
        """Decides on an order; ``RUN`` notes it as running.

        Raises:
            CatkinreachError: the order must not run; its outcome says
                whether it may have run before.
        """
        self._evict(wall_s - window_s)
        order = OrderKey(call.workspace_id, call.key)
        entry = self._entries.get(order)
        if entry is not None:
            return _decide_known(entry, call)
        self._check_birth(call, window_s, wall_s)
        if call.attempt in self._refused:
            raise CatkinreachError(ErrorKind.NO_OWNER, 'The attempt is over.')
        if self._is_full:
            raise CatkinreachError(
                ErrorKind.QUEUE_FULL, 'The owner keeps too many orders.'
            )
        self._entries[order] = _Entry(order_digest(call), wall_s)
        return LedgerDecision.RUN

    def answer_of(self, order: OrderKey) -> OrderAnswer | None:
        """Returns the answer of a finished order."""
        entry = self._entries.get(order)
        return None if entry is None else entry.answer

    def finish(self, order: OrderKey, answer: OrderAnswer) -> None:
        """Keeps the answer of an order that ran or may have run."""
        entry = self._entries.get(order)
        if entry is None or entry.answer is not None:
            return
        if len(answer.body) > MAX_ANSWER_BYTES:
            answer = _forgotten_answer()
        entry.answer = answer
        self._kept_bytes += len(answer.body)

    def drop(self, order: OrderKey, attempt: RequestId) -> None:
        """Forgets an order that certainly did not run."""
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
            or self._kept_bytes >= MAX_KEPT_BYTES
        )

    def _check_birth(
        self, call: OrderCall, window_s: float, wall_s: float
    ) -> None:
        born_s = birth_of(call.key)
        if born_s is None:
            if wall_s - window_s <= self._covers_from_s:
                raise CatkinreachError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    'An earlier owner may have run the order; keys that are'
                    ' UUIDv7 tell new orders from resent ones.',
                )
        elif born_s > wall_s + FUTURE_S:
            raise CatkinreachError(
                ErrorKind.BAD_REQUEST,
                'The Idempotency-Key was born in the future.',
            )
        elif born_s < wall_s - window_s:
            raise CatkinreachError(ErrorKind.IDEMPOTENCY_KEY_EXPIRED)
        elif born_s <= self._covers_from_s:
            raise CatkinreachError(
                ErrorKind.OUTCOME_UNKNOWN,
                'An earlier owner may have run the order.',
            )

    def _evict(self, until_s: float) -> None:
        """Drops orders older than the window and its margins."""
        until_s -= COVER_MARGIN_S
        while self._entries:
            order, entry = next(iter(self._entries.items()))
            if entry.kept_from_s >= until_s:
                return
            del self._entries[order]
            if entry.answer is not None:
                self._kept_bytes -= len(entry.answer.body)


def order_digest(call: OrderCall) -> str:
    """Returns a digest that is equal for equal orders only."""
    head = f'{call.method} {call.target} {len(call.body)}\n'.encode()
    return hashlib.sha256(head + call.body).hexdigest()


def _decide_known(entry: _Entry, call: OrderCall) -> LedgerDecision:
    if entry.digest != order_digest(call):
        raise CatkinreachError(ErrorKind.IDEMPOTENCY_KEY_REUSED)
    if entry.answer is None:
        return LedgerDecision.WAIT
    return LedgerDecision.REPLAY


def _forgotten_answer() -> OrderAnswer:
    return OrderAnswer(
        kind=ErrorKind.OUTCOME_UNKNOWN.value,
        detail='The order ran; its answer was too long to keep.',
        outcome=Outcome.RUN.value,
    )


__all__ = ('COVER_MARGIN_S', 'LedgerDecision', 'OrderKey', 'OrderLedger')
