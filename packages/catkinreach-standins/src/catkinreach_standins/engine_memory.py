"""KV memory of an engine: pieces held by exports, imports and decodes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from catkinreach_core.ids import Incarnation, RequestId, VmId

PIECE_TOKENS = 2048


class HoldingKind(Enum):
    """What a holding of KV memory is for."""

    EXPORT = 'export'
    IMPORT = 'import'
    DECODE = 'decode'


class Holder(msgspec.Struct, frozen=True):
    """The entry VM, and its incarnation, that a holding belongs to."""

    vm: VmId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Holding:
    """KV pieces held under one key since a monotonic time in seconds."""

    key: str
    request_id: RequestId
    holder: Holder
    kind: HoldingKind
    kv_pieces: int
    since_s: float
    prompt: tuple[int, ...] = ()
    used: bool = False


class OutOfMemoryError(Exception):
    """No KV pieces are free for a holding."""


def pieces_for(tokens: int) -> int:
    """Return the number of KV pieces that hold the tokens."""
    return max(1, -(-tokens // PIECE_TOKENS))


class EngineMemory:
    """KV pieces of one engine."""

    def __init__(self, total_pieces: int) -> None:
        """Start with all pieces free."""
        self._total = total_pieces
        self._holdings: dict[str, Holding] = {}

    @property
    def total_pieces(self) -> int:
        """Pieces that the engine has."""
        return self._total

    @property
    def free_pieces(self) -> int:
        """Pieces that no holding has."""
        held = sum(holding.kv_pieces for holding in self._holdings.values())
        return self._total - held

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """All holdings, oldest first."""
        return tuple(self._holdings.values())

    def count(self, kind: HoldingKind) -> int:
        """Return the number of holdings of a kind."""
        return sum(held.kind is kind for held in self._holdings.values())

    def get(self, key: str) -> Holding | None:
        """Return the holding under a key."""
        return self._holdings.get(key)

    def add(self, holding: Holding) -> None:
        """Take pieces.

        Raises:
            OutOfMemoryError: too few pieces are free.
        """
        if holding.kv_pieces > self.free_pieces:
            raise OutOfMemoryError
        self._holdings[holding.key] = holding

    def change_kind(self, key: str, kind: HoldingKind, now_s: float) -> None:
        """Turn a holding into another kind, with its age reset."""
        held = self._holdings[key]
        self._holdings[key] = replace(held, kind=kind, since_s=now_s)

    def mark_used(self, key: str) -> None:
        """Record that a transfer has read an export."""
        self._holdings[key] = replace(self._holdings[key], used=True)

    def release(self, key: str) -> Holding | None:
        """Free the holding under a key, if there is one."""
        return self._holdings.pop(key, None)

    def release_request(self, request_id: RequestId) -> tuple[Holding, ...]:
        """Free all holdings of a request and return them."""
        released = tuple(
            held for held in self.holdings if held.request_id == request_id
        )
        for held in released:
            self.release(held.key)
        return released

    def clear(self) -> None:
        """Free everything."""
        self._holdings.clear()


__all__ = (
    'PIECE_TOKENS',
    'EngineMemory',
    'Holder',
    'Holding',
    'HoldingKind',
    'OutOfMemoryError',
    'pieces_for',
)
