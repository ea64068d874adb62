"""Splitting of a byte stream into events."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from catkinreach_core.gateway.events import EventSplitter

STREAM = (
    b'id: 1\ndata: one\n\nid: 2\nx: 3\ndata: two\n\ndata: none\n\nid: 4\nda'
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(cuts: list[int]) -> None:
    splitter = EventSplitter()
    events = []
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in pairwise(edges):
        events += splitter.feed(STREAM[start:end])
    assert [event.event_id for event in events] == [1, 2, None]
    complete = b''.join(event.data for event in events)
    assert complete + splitter.rest == STREAM


@pytest.mark.parametrize('digits', [16, 400, 5000])
def test_event_id_with_too_many_digits_fails_the_stream(digits: int) -> None:
    # Python refuses to convert over 4,300 digits.
    data = b'id: ' + b'9' * digits + b'\ndata: x\n\n'
    (event,) = EventSplitter().feed(data)
    assert event.event_id is None
    assert event.data == data
