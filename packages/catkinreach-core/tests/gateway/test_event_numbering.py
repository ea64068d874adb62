"""Which event may follow the last one of a stream."""

from __future__ import annotations

import pytest

from catkinreach_core.gateway.event_numbering import EventNumbering


@pytest.mark.parametrize(
    ('resume_after', 'numbers'), [(None, [1, 2]), (None, [0, 1, 2]), (1, [2])]
)
def test_gap_in_numbers_that_begin_at_zero_is_taken_for_none(
    resume_after: int | None, numbers: list[int]
) -> None:
    # Only numbers from 1 counted as one by one.
    numbering = EventNumbering(resume_after)
    for number in numbers:
        numbering.note(number)
    assert [numbering.goes_on_at(one, 2) for one in (1, 2, 3, 4)] == [
        False,
        False,
        True,
        False,
    ]


@pytest.mark.parametrize('numbers', [[4], [4, 8], [1, 8]])
def test_later_number_follows_where_numbers_skip(numbers: list[int]) -> None:
    numbering = EventNumbering(None)
    for number in numbers:
        numbering.note(number)
    last = numbers[-1]
    found = [numbering.goes_on_at(last + step, last) for step in (0, 1, 4)]
    assert found == [False, True, True]
