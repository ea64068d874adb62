"""Generates the Markdown page of error kinds."""

from __future__ import annotations

from .errors import ERROR_RESPONSES, ErrorKind, Outcome

_INTRODUCTION = """\
# Errors

Every refusal is `application/problem+json` (RFC 9457) with `title`, `status`,
`detail`, and two extension members: `code`, one of the codes below, and
`outcome`, which says whether the request was executed:

| outcome | meaning |
|---|---|
| `not-run` | nothing of the request was executed; it is safe to send again |
| `unknown` | it may have run; resend it only with the same Idempotency-Key |
| `run` | it was executed |

The outcome below is the default; a response has a more exact one where the
router knows it. `Retry-After` is in seconds. After the first byte of a
streamed response an error is the last event of the stream, `event: error`,
with the same document.

| code | status | outcome | Retry-After | meaning |
|---|---|---|---|---|
"""


def render_errors_page() -> str:
    """Returns the text of the page that is committed as ``docs/errors.md``."""
    return _INTRODUCTION + ''.join(map(_table_row, ErrorKind))


def _table_row(kind: ErrorKind) -> str:
    response = ERROR_RESPONSES[kind]
    retry = (
        '' if response.retry_after_s is None else str(response.retry_after_s)
    )
    outcome: Outcome = response.outcome
    return (
        f'| `{kind.value}` | {response.status} | `{outcome.value}` '
        f'| {retry} | {response.title} |\n'
    )


__all__ = ('render_errors_page',)
