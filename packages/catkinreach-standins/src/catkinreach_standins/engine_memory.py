"""KV memory of an engine: pieces occupied by exports, imports and decodes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from catkinreach_core.ids import Incarnation, RequestId, VmId

KV_PIECE_TOKENS = 2048
"""Tokens whose KV cache fits into one KV piece."""


class HoldingKind(Enum):
    """Purpose of a holding of KV memory."""

    EXPORT = 'export'
    IMPORT = 'import'
    DECODE = 'decode'


class Holder(msgspec.Struct, frozen=True):
    """The node process that holds memory on the engine.

    Attributes:
        vm: VM of the node.
        incarnation: Changes with each start of the node.
    """

    vm: VmId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Holding:
    """KV pieces that are occupied for a request.

    Attributes:
        key: Identifies the holding; the export or import id.
        request_id: Request that it belongs to.
        holder: Node process that holds it.
        kind: Its purpose.
        kv_pieces: Number of pieces that it occupies.
        since_s: Time on the monotonic clock from which its age counts.
        prompt: Tokens whose KV cache it stands for.
        used: Whether a transfer of this export has begun.
    """

    key: str
    request_id: RequestId
    holder: Holder
    kind: HoldingKind
    kv_pieces: int
    since_s: float
    prompt: tuple[int, ...] = ()
    used: bool = False


class OutOfMemoryError(Exception):
    """Too few KV pieces are free for a holding."""


def count_kv_pieces(tokens: int) -> int:
    """Returns the number of KV pieces for the KV cache of the tokens."""
    return max(1, -(-tokens // KV_PIECE_TOKENS))


class EngineMemory:
    """Tracks which holdings occupy the KV pieces of an engine."""

    def __init__(self, total_pieces: int) -> None:
        """Starts with all pieces free."""
        self._total_pieces = total_pieces
        self._holdings: dict[str, Holding] = {}

    @property
    def total_pieces(self) -> int:
        """Returns the number of pieces, free or not."""
        return self._total_pieces

    @property
    def free_pieces(self) -> int:
        """Returns the number of pieces that no holding occupies."""
        occupied = sum(holding.kv_pieces for holding in self._holdings.values())
        return self._total_pieces - occupied

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """Returns all holdings in the order in which they were added."""
        return tuple(self._holdings.values())

    def count_holdings(self, kind: HoldingKind) -> int:
        """Returns the number of holdings of a kind."""
        return sum(holding.kind is kind for holding in self._holdings.values())

    def get(self, key: str) -> Holding | None:
        """Returns the holding with a key, ``None`` if there is none."""
        return self._holdings.get(key)

    def add(self, holding: Holding) -> None:
        """Adds a holding, which occupies its pieces from now on.

        Raises:
            OutOfMemoryError: Too few pieces are free.
        """
        if holding.kv_pieces > self.free_pieces:
            raise OutOfMemoryError
        self._holdings[holding.key] = holding

    def change_kind(self, key: str, kind: HoldingKind, now_s: float) -> None:
        """Changes the kind of a holding; its age starts again from zero."""
        holding = self._holdings[key]
        self._holdings[key] = replace(holding, kind=kind, since_s=now_s)

    def mark_used(self, key: str) -> None:
        """Records that a transfer of an export has begun."""
        self._holdings[key] = replace(self._holdings[key], used=True)

    def release(self, key: str) -> Holding | None:
        """Removes the holding with a key and returns it, if there is one."""
        return self._holdings.pop(key, None)

    def release_request(self, request_id: RequestId) -> tuple[Holding, ...]:
        """Removes all holdings of a request and returns them."""
        released = tuple(
            holding
            for holding in self.holdings
            if holding.request_id == request_id
        )
        for holding in released:
            self.release(holding.key)
        return released

    def clear(self) -> None:
        """Removes all holdings."""
        self._holdings.clear()


__all__ = (
    'KV_PIECE_TOKENS',
    'EngineMemory',
    'Holder',
    'Holding',
    'HoldingKind',
    'OutOfMemoryError',
    'count_kv_pieces',
)
