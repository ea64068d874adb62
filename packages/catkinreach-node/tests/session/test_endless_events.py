"""An engine whose event never ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest.mock import Mock

import pytest

from catkinreach_node.session.engine_answers import EngineError
from catkinreach_node.session.engine_client import (
    MAX_EVENT_BYTES,
    _decode_events,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES = 16_384
EVENT = b'data: {"index":0,"token":"a"}\n\n'


def _response(chunks: list[bytes]) -> Any:
    async def iterate() -> AsyncIterator[bytes]:
        for chunk in chunks:
            yield chunk

    response = Mock()
    response.chunks = iterate
    return response


def _count_events(chunks: list[bytes]) -> int:
    async def run() -> int:
        batches = _decode_events(_response(chunks))
        return sum([len(batch) async for batch in batches])

    return asyncio.run(run())


# All bytes of it were kept.
def test_event_without_end_fills_the_memory() -> None:
    count = 2 * MAX_EVENT_BYTES // CHUNK_BYTES
    with pytest.raises(EngineError):
        _count_events([EVENT, *([b'x' * CHUNK_BYTES] * count)])


def test_events_in_pieces_are_refused() -> None:
    pieces = [EVENT[start : start + 1] for start in range(len(EVENT))]
    assert _count_events(pieces * 3) == 3
    assert _count_events([EVENT * 10_000]) == 10_000
