"""Errors of the closed list as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from catkinreach_core.errors import ERROR_RESPONSES

from .messages import PROBLEM_TYPE, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.errors import CatkinreachError


def problem_document(error: CatkinreachError) -> dict[str, str | int]:
    """Returns the members of the problem document of an error."""
    answer = ERROR_RESPONSES[error.kind]
    return {
        'type': 'about:blank',
        'title': answer.title,
        'status': answer.status,
        'detail': error.detail,
        'code': error.kind.value,
        'outcome': error.outcome.value,
    }


def whole_seconds(advice_s: float) -> str:
    """Returns the text of a ``Retry-After`` header by RFC 9110."""
    return str(max(1, math.ceil(advice_s)))


def problem_response(
    error: CatkinreachError,
    spell_advice: Callable[[float], str] = whole_seconds,
) -> HttpResponse:
    """Returns the answer that the table gives for an error.

    Args:
        error: The error.
        spell_advice: Returns the text of its ``Retry-After`` header.
    """
    answer = ERROR_RESPONSES[error.kind]
    headers = []
    if error.retry_after_s is not None:
        headers.append(('retry-after', spell_advice(error.retry_after_s)))
    return HttpResponse.from_json(
        answer.status,
        problem_document(error),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


__all__ = ('problem_document', 'problem_response', 'whole_seconds')
