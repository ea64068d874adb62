"""Checks that each caller gets the whole answer to its own request, once."""

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
    """Returns answers that are wrong, duplicated, truncated or misdirected.

    An interrupted answer must be a prefix of the expected one. A misdirected
    answer belongs to another request.
    """
    call_list = list(calls)
    violations = [
        violation for call in call_list for violation in _check_call(call)
    ]
    ids = Counter(call.request_id for call in call_list if call.request_id)
    violations += [
        Violation(
            rule=RULE, subject=request_id, detail=f'sent to {count} callers'
        )
        for request_id, count in ids.items()
        if count > 1
    ]
    return violations


def _check_call(call: CallRecord) -> Iterator[Violation]:
    if call.extra_bytes:
        yield _new_violation(
            call, f'{call.extra_bytes} bytes after the end of the answer'
        )
    if call.kind is CallKind.MODEL:
        yield from _check_model_call(call)
    elif call.is_success and call.served_workspace != call.workspace:
        yield _new_violation(
            call,
            f'{call.workspace!r} got the answer of {call.served_workspace!r}',
        )


def _check_model_call(call: CallRecord) -> Iterator[Violation]:
    expected = expected_answer(call.prompt, call.max_tokens)
    if call.is_success and call.text != expected:
        yield _new_violation(call, _describe_difference(call.text, expected))
    elif call.end is not CallEnd.ANSWERED and not expected.startswith(
        call.text
    ):
        yield _new_violation(
            call,
            'interrupted answer: ' + _describe_difference(call.text, expected),
        )


def _describe_difference(text: str, expected: str) -> str:
    tokens, expected_tokens = text.split(), expected.split()
    for index, token in enumerate(tokens):
        if index >= len(expected_tokens) or token != expected_tokens[index]:
            return f'token {index} is {token}, a token was duplicated or lost'
    return f'{len(tokens)} of {len(expected_tokens)} tokens'


def _new_violation(call: CallRecord, detail: str) -> Violation:
    subject = call.request_id or f'{call.kind.value} of {call.workspace}'
    return Violation(
        rule=RULE, subject=subject, detail=detail, at_s=call.ended_s
    )


__all__ = ('check_answers',)
