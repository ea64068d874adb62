"""Every caller gets the whole answer to its own request, once."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..answer import expected_answer
from .records import CallEnd, CallKind, Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .records import CallRecord

RULE = 'whole-answer'


def check_answers(calls: Iterable[CallRecord]) -> list[Violation]:
    """Returns answers that are wrong, doubled, short or another's.

    An answer that broke off has to be a prefix of the known one.
    """
    listed = list(calls)
    violations = [found for call in listed for found in _of_call(call)]
    ids = Counter(call.request_id for call in listed if call.request_id)
    violations += [
        Violation(
            rule=RULE, subject=request_id, detail=f'answered {count} callers'
        )
        for request_id, count in ids.items()
        if count > 1
    ]
    return violations


def _of_call(call: CallRecord) -> Iterator[Violation]:
    if call.extra_bytes:
        yield _violation(call, f'{call.extra_bytes} bytes after the end')
    if call.kind is CallKind.MODEL:
        yield from _of_model_call(call)
    elif call.is_success and call.served_workspace != call.workspace:
        yield _violation(
            call, f'{call.workspace!r} got that of {call.served_workspace!r}'
        )


def _of_model_call(call: CallRecord) -> Iterator[Violation]:
    expected = expected_answer(call.prompt, call.max_tokens)
    if call.is_success and call.text != expected:
        yield _violation(call, _difference(call.text, expected))
    elif call.end is not CallEnd.ANSWERED and not expected.startswith(
        call.text
    ):
        yield _violation(
            call, 'broken answer: ' + _difference(call.text, expected)
        )


def _difference(text: str, expected: str) -> str:
    got, wanted = text.split(), expected.split()
    for index, token in enumerate(got):
        if index >= len(wanted) or token != wanted[index]:
            return f'token {index} is {token}, a token was doubled or lost'
    return f'{len(got)} of {len(wanted)} tokens'


def _violation(call: CallRecord, detail: str) -> Violation:
    subject = call.request_id or f'{call.kind.value} of {call.workspace}'
    return Violation(
        rule=RULE, subject=subject, detail=detail, at_s=call.ended_s
    )


__all__ = ('check_answers',)
