"""Checks that an order runs at most once and is answered truthfully.

An order is a request that isn't idempotent; workspace and idempotency key
identify it.
"""

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
    """Returns orders that ran twice, false refusals and false answers.

    An order that was refused as ``not-run`` may run through another call. The
    refusal is false only if the order ran after the refused call was sent and
    no other call of the order had been sent by then.
    """
    runs = [run for run in executions if run.key]
    orders = [call for call in calls if call.kind is CallKind.ORDER]
    return [
        *_find_duplicate_runs(runs),
        *_find_false_refusals(orders, runs),
        *_find_missing_runs(orders, runs),
    ]


def _find_duplicate_runs(runs: list[Execution]) -> Iterator[Violation]:
    counts = Counter((run.workspace, run.key) for run in runs)
    for (workspace, key), count in counts.items():
        if count > 1:
            yield Violation(
                rule=AT_MOST_ONCE,
                subject=f'{workspace}/{key}',
                detail=f'ran {count} times',
            )


def _find_false_refusals(
    orders: list[CallRecord], runs: list[Execution]
) -> Iterator[Violation]:
    for call in orders:
        if call.outcome != _NOT_RUN:
            continue
        others = [
            other
            for other in orders
            if other is not call and _order_id(other) == _order_id(call)
        ]
        for run in runs:
            if (run.workspace, run.key) != _order_id(call):
                continue
            if not _may_have_caused(call, run):
                continue
            if not any(_may_have_caused(other, run) for other in others):
                yield Violation(
                    rule=NOT_RUN_IS_TRUE,
                    subject=f'{call.workspace}/{call.key}',
                    detail=f'refused with {call.code} as not-run, but it ran',
                    at_s=run.at_s,
                )


def _find_missing_runs(
    orders: list[CallRecord], runs: list[Execution]
) -> Iterator[Violation]:
    order_ids = {(run.workspace, run.key) for run in runs}
    for call in orders:
        if call.is_success and _order_id(call) not in order_ids:
            yield Violation(
                rule=ANSWER_IS_TRUE,
                subject=f'{call.workspace}/{call.key}',
                detail='answered as executed, but no upstream ran it',
            )


def _order_id(call: CallRecord) -> tuple[str, str]:
    return call.workspace, call.key


def _may_have_caused(call: CallRecord, run: Execution) -> bool:
    """Returns whether the call may have led to the run, even after its end."""
    return run.at_s >= call.sent_s


__all__ = ('ANSWER_IS_TRUE', 'AT_MOST_ONCE', 'NOT_RUN_IS_TRUE', 'check_orders')
