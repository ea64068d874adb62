"""Encoding of errors as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from catkinreach_core.errors import ERROR_RESPONSES

from .messages import PROBLEM_TYPE, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_core.errors import CatkinreachError


def problem_document(error: CatkinreachError) -> dict[str, str | int]:
    """Returns the problem document of an error."""
    error_response = ERROR_RESPONSES[error.kind]
    return {
        'type': 'about:blank',
        'title': error_response.title,
        'status': error_response.status,
        'detail': error.detail,
        'code': error.kind.value,
        'outcome': error.outcome.value,
    }


def format_whole_seconds(delay_s: float) -> str:
    """Returns a ``Retry-After`` value: whole seconds, as in RFC 9110."""
    return str(max(1, math.ceil(delay_s)))


def problem_response(
    error: CatkinreachError,
    format_retry_after: Callable[[float], str] = format_whole_seconds,
) -> HttpResponse:
    """Returns the error response with the status of its error kind.

    Args:
        error: The error to report to the client.
        format_retry_after: Formats the delay for the ``Retry-After`` header.
    """
    error_response = ERROR_RESPONSES[error.kind]
    headers = []
    if error.retry_after_s is not None:
        headers.append(('retry-after', format_retry_after(error.retry_after_s)))
    return HttpResponse.from_json(
        error_response.status,
        problem_document(error),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


__all__ = ('format_whole_seconds', 'problem_document', 'problem_response')
