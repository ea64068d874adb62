"""The table of answers as a Markdown page."""

from __future__ import annotations

from .errors import ERROR_RESPONSES, ErrorKind, Outcome

_INTRODUCTION = """\
# Errors

Every refusal is `application/problem+json` (RFC 9457) with `title`, `status`,
`detail`, and two members of our own: `code`, an entry of this closed list, and
`outcome`:

| outcome | meaning |
|---|---|
| `not-run` | nothing of the request ran; it may be sent again |
| `unknown` | it may have run; repeat it only under the same Idempotency-Key |
| `run` | it ran |

The outcome below is the usual one; an answer may say another where more is
known. `Retry-After` is in seconds. After the first byte of a streamed answer
an error is the last event of the stream, `event: error`, with the same
document.

| code | status | outcome | Retry-After | meaning |
|---|---|---|---|---|
"""


def errors_page() -> str:
    """Returns the page; it is committed as ``docs/errors.md``."""
    return _INTRODUCTION + ''.join(map(_row, ErrorKind))


def _row(kind: ErrorKind) -> str:
    answer = ERROR_RESPONSES[kind]
    retry = '' if answer.retry_after_s is None else str(answer.retry_after_s)
    outcome: Outcome = answer.outcome
    return (
        f'| `{kind.value}` | {answer.status} | `{outcome.value}` '
        f'| {retry} | {answer.title} |\n'
    )


__all__ = ('errors_page',)
