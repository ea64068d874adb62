"""Checks that an order runs at most once and that its answer is true.

An order is a request that isn't idempotent. It is identified by its workspace
and its idempotency key.
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

    An order that was refused as ``not-run`` may run because of another call.
    The refusal is false only if the order ran after the refused call was sent
    and no other call of the order had been sent by then.
    """
    order_executions = [execution for execution in executions if execution.key]
    orders = [call for call in calls if call.kind is CallKind.ORDER]
    return [
        *_find_duplicate_executions(order_executions),
        *_find_false_refusals(orders, order_executions),
        *_find_missing_executions(orders, order_executions),
    ]


def _find_duplicate_executions(
    executions: list[Execution],
) -> Iterator[Violation]:
    counts = Counter(
        (execution.workspace, execution.key) for execution in executions
    )
    for (workspace, key), count in counts.items():
        if count > 1:
            yield Violation(
                rule=AT_MOST_ONCE,
                subject=f'{workspace}/{key}',
                detail=f'ran {count} times',
            )


def _find_false_refusals(
    orders: list[CallRecord], executions: list[Execution]
) -> Iterator[Violation]:
    for call in orders:
        if call.outcome != _NOT_RUN:
            continue
        others = [
            other
            for other in orders
            if other is not call and _order_id(other) == _order_id(call)
        ]
        for execution in executions:
            if (execution.workspace, execution.key) != _order_id(call):
                continue
            if not _may_have_caused(call, execution):
                continue
            if not any(_may_have_caused(other, execution) for other in others):
                yield Violation(
                    rule=NOT_RUN_IS_TRUE,
                    subject=f'{call.workspace}/{call.key}',
                    detail=f'refused with {call.code} as not-run, but it ran',
                    at_s=execution.at_s,
                )


def _find_missing_executions(
    orders: list[CallRecord], executions: list[Execution]
) -> Iterator[Violation]:
    order_ids = {
        (execution.workspace, execution.key) for execution in executions
    }
    for call in orders:
        if call.is_success and _order_id(call) not in order_ids:
            yield Violation(
                rule=ANSWER_IS_TRUE,
                subject=f'{call.workspace}/{call.key}',
                detail='answered as executed, but no upstream ran it',
            )


def _order_id(call: CallRecord) -> tuple[str, str]:
    return call.workspace, call.key


def _may_have_caused(call: CallRecord, execution: Execution) -> bool:
    """Returns whether a call of the order may have caused an execution.

    That is possible even after the end of the call.
    """
    return execution.at_s >= call.sent_s


__all__ = ('ANSWER_IS_TRUE', 'AT_MOST_ONCE', 'NOT_RUN_IS_TRUE', 'check_orders')
