"""Tests of the stand-in engine's KV memory."""

from __future__ import annotations

import pytest

from catkinreach_core.ids import Incarnation, RequestId, VmId
from catkinreach_standins.engine_memory import (
    EngineMemory,
    Holder,
    Holding,
    HoldingKind,
    OutOfMemoryError,
    count_kv_pieces,
)


def _holding(key: str, request_id: str, pieces: int) -> Holding:
    return Holding(
        key=key,
        request_id=RequestId(request_id),
        holder=Holder(VmId('vm-1'), Incarnation('one')),
        kind=HoldingKind.IMPORT,
        kv_pieces=pieces,
        since_s=0,
    )


@pytest.mark.parametrize(
    ('tokens', 'pieces'),
    [(0, 1), (1, 1), (2048, 1), (2049, 2)],
)
def test_kv_piece_count_rounds_up(tokens: int, pieces: int) -> None:
    assert count_kv_pieces(tokens) == pieces


def test_add_without_enough_free_pieces_raises() -> None:
    memory = EngineMemory(3)
    memory.add(_holding('first', 'request', 2))
    with pytest.raises(OutOfMemoryError):
        memory.add(_holding('second', 'request', 2))
    assert memory.free_pieces == 1


def test_release_request_frees_only_its_holdings() -> None:
    memory = EngineMemory(9)
    memory.add(_holding('first', 'mine', 2))
    memory.add(_holding('second', 'mine', 2))
    memory.add(_holding('third', 'other', 2))
    assert len(memory.release_request(RequestId('mine'))) == 2
    assert [holding.key for holding in memory.holdings] == ['third']
    assert memory.free_pieces == 7
