"""Tests that the ledger runs a key once.

If an earlier owner may have run the key, the outcome must be unknown.
"""

from __future__ import annotations

import pytest

from catkinreach_core.errors import CatkinreachError, ErrorKind, Outcome
from catkinreach_core.ids import RequestId, RouteId, WorkspaceId
from catkinreach_core.messages.orders import OrderAnswer, OrderCall
from catkinreach_core.orders.key_time import key_created_at_s
from catkinreach_core.orders.ledger import (
    COVER_MARGIN_S,
    LedgerDecision,
    OrderKey,
    OrderLedger,
)
from catkinreach_ctl.load.idempotency import uuid7

START_S = 1_000_000.0
WINDOW_S = 600.0
LATER_S = START_S + 10
ANSWER = OrderAnswer(status=200, body=b'done')


def _key(created_at: float) -> str:
    return uuid7(int(created_at * 1000), 7)


def _call(key: str, *, body: bytes = b'{}', attempt: str = 'a') -> OrderCall:
    return OrderCall(
        workspace_id=WorkspaceId('sunday-bee'),
        key=key,
        attempt=RequestId(attempt),
        route_id=RouteId('claims'),
        method='POST',
        target='/bee/claims',
        headers=(),
        body=body,
    )


@pytest.fixture
def ledger() -> OrderLedger:
    return OrderLedger.from_start(START_S)


def _refusal(
    ledger: OrderLedger, call: OrderCall, at_s: float
) -> tuple[ErrorKind, Outcome]:
    with pytest.raises(CatkinreachError) as caught:
        ledger.decide(call, WINDOW_S, at_s)
    return caught.value.kind, caught.value.outcome


def test_creation_time_is_read_from_uuid7_only() -> None:
    assert key_created_at_s(_key(12.345)) == 12.345
    assert key_created_at_s('thin-path') is None
    assert key_created_at_s('6ba7b810-9dad-11d1-80b4-00c04fd430c8') is None


def test_new_key_runs_once_and_is_replayed(ledger: OrderLedger) -> None:
    call = _call(_key(LATER_S))
    order = OrderKey(call.workspace_id, call.key)
    decisions = [ledger.decide(call, WINDOW_S, LATER_S) for _ in range(2)]
    ledger.store_answer(order, ANSWER)
    decisions.append(ledger.decide(call, WINDOW_S, LATER_S + 1))
    assert decisions == [
        LedgerDecision.RUN,
        LedgerDecision.WAIT,
        LedgerDecision.REPLAY,
    ]
    assert ledger.answer_of(order) == ANSWER


@pytest.mark.parametrize(
    ('key', 'kind', 'outcome'),
    [
        (_key(START_S), ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN),
        (
            _key(START_S + COVER_MARGIN_S),
            ErrorKind.OUTCOME_UNKNOWN,
            Outcome.UNKNOWN,
        ),
        ('opaque', ErrorKind.OUTCOME_UNKNOWN, Outcome.UNKNOWN),
        (_key(LATER_S + 1), ErrorKind.BAD_REQUEST, Outcome.NOT_RUN),
        (
            _key(LATER_S - WINDOW_S - 1),
            ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
            Outcome.UNKNOWN,
        ),
    ],
)
def test_key_outside_the_covered_time_is_refused(
    ledger: OrderLedger, key: str, kind: ErrorKind, outcome: Outcome
) -> None:
    assert _refusal(ledger, _call(key), LATER_S) == (kind, outcome)


def test_opaque_key_runs_once_the_window_is_covered(
    ledger: OrderLedger,
) -> None:
    at_s = START_S + COVER_MARGIN_S + WINDOW_S + 1
    call = _call('opaque')
    assert ledger.decide(call, WINDOW_S, at_s) is LedgerDecision.RUN


def test_key_with_another_body_is_refused(ledger: OrderLedger) -> None:
    key = _key(LATER_S)
    ledger.decide(_call(key), WINDOW_S, LATER_S)
    refusal = _refusal(ledger, _call(key, body=b'[]'), LATER_S)
    assert refusal[0] is ErrorKind.IDEMPOTENCY_KEY_REUSED


def test_late_copy_of_a_refused_attempt_does_not_run(
    ledger: OrderLedger,
) -> None:
    call = _call(_key(LATER_S))
    ledger.decide(call, WINDOW_S, LATER_S)
    ledger.drop_order(OrderKey(call.workspace_id, call.key), call.attempt)
    assert _refusal(ledger, call, LATER_S)[1] is Outcome.NOT_RUN
    again = _call(call.key, attempt='b')
    assert ledger.decide(again, WINDOW_S, LATER_S) is LedgerDecision.RUN


def test_successor_continues_a_ledger(ledger: OrderLedger) -> None:
    done, running = _call(_key(LATER_S)), _call(_key(LATER_S + 0.1))
    for call in (done, running):
        ledger.decide(call, WINDOW_S, LATER_S)
    ledger.store_answer(OrderKey(done.workspace_id, done.key), ANSWER)
    successor = OrderLedger.from_entries(ledger.covers_from_s, ledger.entries())
    assert successor.decide(done, WINDOW_S, LATER_S + 1) is (
        LedgerDecision.REPLAY
    )
    assert successor.decide(running, WINDOW_S, LATER_S + 1) is (
        LedgerDecision.WAIT
    )
    fresh = _call(_key(LATER_S - 5))
    assert successor.decide(fresh, WINDOW_S, LATER_S + 1) is LedgerDecision.RUN


def test_orders_older_than_the_window_are_evicted(ledger: OrderLedger) -> None:
    ledger.decide(_call(_key(LATER_S)), WINDOW_S, LATER_S)
    late_s = LATER_S + WINDOW_S + COVER_MARGIN_S + 1
    ledger.decide(_call(_key(late_s)), WINDOW_S, late_s)
    assert ledger.entry_count == 1
