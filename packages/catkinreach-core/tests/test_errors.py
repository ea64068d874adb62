"""Tests of the table of error responses."""

from __future__ import annotations

from catkinreach_core.errors import ERROR_RESPONSES, CatkinreachError, ErrorKind


def test_every_kind_has_a_response() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_error_takes_detail_and_outcome_from_table() -> None:
    error = CatkinreachError(ErrorKind.DRAINING)
    response = ERROR_RESPONSES[ErrorKind.DRAINING]
    assert error.detail == response.title
    assert error.outcome is response.outcome
