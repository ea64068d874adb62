"""Streams of events, whatever is in them and however they are cut."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.gateway.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)
from catkinreach_standins.fakes.fuzz_inputs import (
    damaged_bytes,
    fuzz_settings,
    stored_inputs,
)

CORPUS = Path(__file__).parent / 'corpus' / 'events'
VALID = b'id: 1\ndata: one\n\nid: 2\nx: 3\ndata: two\n\ndata: none\n\nid: 4\nda'
PARTS = st.one_of(
    st.sampled_from(
        (
            b'id:',
            b'id: 7',
            b'id: ' + b'9' * 5_000,
            b'id: \xb2',
            b'id: -1',
            b'\n',
            b'\n\n',
            b'\r\n\r\n',
            b'data: x',
            b'\0',
            b'x' * MAX_EVENT_BYTES,
        )
    ),
    st.binary(max_size=12),
)
STREAMS = st.one_of(damaged_bytes(VALID), st.lists(PARTS).map(b''.join))
MAX_ID = 10**15


def _check(stream: bytes, cuts: list[int]) -> None:
    splitter = EventSplitter()
    passed = b''
    edges = sorted({0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)})
    for start, end in pairwise(edges):
        try:
            events = splitter.feed(stream[start:end])
        except EventTooLongError:
            return
        for event in events:
            passed += event.data
            assert event.event_id is None or 0 <= event.event_id < MAX_ID
        assert len(splitter.rest) <= MAX_EVENT_BYTES
    assert passed + splitter.rest == stream


@fuzz_settings()
@given(stream=STREAMS, cuts=st.lists(st.integers(0, 200_000), max_size=6))
@example(stream=b'id: ' + b'9' * 5_000 + b'\n\n', cuts=[])
def test_odd_stream_raises_another_error_or_loses_bytes(
    stream: bytes, cuts: list[int]
) -> None:
    _check(stream, cuts)


@pytest.mark.parametrize('name', stored_inputs(CORPUS))
def test_stored_stream_raises_another_error_again(name: str) -> None:
    stream = stored_inputs(CORPUS)[name]
    _check(stream, [])
    _check(stream, list(range(1, min(60, len(stream)))))
