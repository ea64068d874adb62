"""An order runs at most once, and what callers are told of it is true."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .records import CallKind, Violation

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .records import CallRecord, Execution

AT_MOST_ONCE = 'at-most-once'
NOT_RUN_IS_TRUE = 'not-run-is-true'
ANSWER_IS_TRUE = 'answer-is-true'
_NOT_RUN = 'not-run'


def check_orders(
    calls: Iterable[CallRecord], executions: Iterable[Execution]
) -> list[Violation]:
    """Returns orders that ran twice and refusals that are untrue.

    A key that was refused ``not-run`` may run by a later call; the refusal
    is untrue only if an execution falls within the refused call and no other
    call with that key was under way at that moment.
    """
    runs = [run for run in executions if run.key]
    orders = [call for call in calls if call.kind is CallKind.ORDER]
    return [
        *_double_runs(runs),
        *_untrue_refusals(orders, runs),
        *_missing_runs(orders, runs),
    ]


def _double_runs(runs: list[Execution]) -> Iterator[Violation]:
    counts = Counter((run.workspace, run.key) for run in runs)
    for (workspace, key), count in counts.items():
        if count > 1:
            yield Violation(
                rule=AT_MOST_ONCE,
                subject=f'{workspace}/{key}',
                detail=f'ran {count} times',
            )


def _untrue_refusals(
    orders: list[CallRecord], runs: list[Execution]
) -> Iterator[Violation]:
    for call in orders:
        if call.outcome != _NOT_RUN:
            continue
        others = [
            other
            for other in orders
            if other is not call and _slot(other) == _slot(call)
        ]
        for run in runs:
            if (run.workspace, run.key) != _slot(call):
                continue
            if not _may_cause(call, run):
                continue
            if not any(_may_cause(other, run) for other in others):
                yield Violation(
                    rule=NOT_RUN_IS_TRUE,
                    subject=f'{call.workspace}/{call.key}',
                    detail=f'refused {call.code} as not-run, but it ran',
                    at_s=run.at_s,
                )


def _missing_runs(
    orders: list[CallRecord], runs: list[Execution]
) -> Iterator[Violation]:
    slots = {(run.workspace, run.key) for run in runs}
    for call in orders:
        if call.is_success and _slot(call) not in slots:
            yield Violation(
                rule=ANSWER_IS_TRUE,
                subject=f'{call.workspace}/{call.key}',
                detail='answered as run, but no upstream ran it',
            )


def _slot(call: CallRecord) -> tuple[str, str]:
    return call.workspace, call.key


def _may_cause(call: CallRecord, run: Execution) -> bool:
    """A run after the send may stem from the call, even late."""
    return run.at_s >= call.sent_s


__all__ = ('ANSWER_IS_TRUE', 'AT_MOST_ONCE', 'NOT_RUN_IS_TRUE', 'check_orders')
