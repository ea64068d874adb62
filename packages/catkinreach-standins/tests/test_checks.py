"""Tests that each check accepts valid records and finds violations."""

from __future__ import annotations

import msgspec

from catkinreach_standins.answer import expected_answer
from catkinreach_standins.checks.answers import check_answers
from catkinreach_standins.checks.fleet import (
    check_keys,
    check_no_new_work,
    check_queue,
    check_revisions,
)
from catkinreach_standins.checks.holdings import (
    check_holdings,
    check_holdings_after_run,
)
from catkinreach_standins.checks.orders import check_orders
from catkinreach_standins.checks.rates import (
    AdmittedSpan,
    admitted_requests,
    check_rate,
)
from catkinreach_standins.checks.records import (
    CallEnd,
    CallKind,
    CallRecord,
    EngineStep,
    Execution,
    HoldingSample,
    QueueSample,
    RevisionSample,
    Violation,
)

PROMPT = tuple(range(40))
ANSWER = expected_answer(PROMPT, 8)
MODEL_CALL = CallRecord(
    kind=CallKind.MODEL,
    workspace='a',
    sent_s=1.0,
    ended_s=2.0,
    status=200,
    prompt=PROMPT,
    max_tokens=8,
    text=ANSWER,
    request_id='r1',
)
ORDER_CALL = CallRecord(
    kind=CallKind.ORDER,
    workspace='a',
    sent_s=1.0,
    ended_s=2.0,
    status=200,
    key='k',
    served_workspace='a',
    request_id='o1',
)
EXECUTION = Execution(workspace='a', key='k', at_s=1.5)


def _rules(violations: list[Violation]) -> set[str]:
    return {violation.rule for violation in violations}


def test_valid_answers_pass() -> None:
    tokens = ANSWER.split(' ')
    interrupted = msgspec.structs.replace(
        MODEL_CALL,
        end=CallEnd.INTERRUPTED,
        text=' '.join(tokens[:3]) + ' ',
        request_id='r2',
    )
    assert not check_answers([MODEL_CALL, interrupted, ORDER_CALL])


def test_duplicated_lost_and_swapped_answers_are_found() -> None:
    tokens = ANSWER.split(' ')
    duplicated = ' '.join([*tokens[:2], tokens[1], *tokens[2:]])
    lost = ' '.join([*tokens[:2], *tokens[3:]])
    other_answer = expected_answer((1, 2, 3), 8)
    for text in (duplicated, lost, other_answer, ANSWER[:20]):
        invalid = msgspec.structs.replace(MODEL_CALL, text=text)
        assert _rules(check_answers([invalid])) == {'whole-answer'}
    swapped = msgspec.structs.replace(ORDER_CALL, served_workspace='b')
    assert check_answers([swapped])


def test_answer_given_twice_is_found() -> None:
    assert check_answers([MODEL_CALL, MODEL_CALL])
    assert check_answers([msgspec.structs.replace(MODEL_CALL, extra_bytes=3)])


def test_interrupted_answer_with_a_wrong_token_is_found() -> None:
    invalid = msgspec.structs.replace(
        MODEL_CALL, end=CallEnd.INTERRUPTED, text='wrong '
    )
    assert check_answers([invalid])


def test_valid_orders_pass() -> None:
    refused = msgspec.structs.replace(
        ORDER_CALL, status=503, outcome='not-run', sent_s=0.1, ended_s=0.2
    )
    assert not check_orders([refused, ORDER_CALL], [EXECUTION])


def test_duplicate_run_is_found() -> None:
    assert _rules(check_orders([ORDER_CALL], [EXECUTION, EXECUTION])) == {
        'at-most-once'
    }


def test_false_not_run_is_found() -> None:
    refused = msgspec.structs.replace(ORDER_CALL, status=503, outcome='not-run')
    assert _rules(check_orders([refused], [EXECUTION])) == {'not-run-is-true'}


def test_answer_without_a_run_is_found() -> None:
    assert _rules(check_orders([ORDER_CALL], [])) == {'answer-is-true'}


def test_leaked_holding_is_found() -> None:
    held_in_grace = HoldingSample(upstream='e', request_id='r1', at_s=6.9)
    assert not check_holdings([held_in_grace], {'r1': 2.0})
    leaked = msgspec.structs.replace(held_in_grace, at_s=7.1)
    assert check_holdings([leaked], {'r1': 2.0})
    assert check_holdings_after_run([leaked], 2.0)
    assert not check_holdings_after_run([held_in_grace], 2.0)


def test_only_a_window_over_its_bound_is_found() -> None:
    burst = [AdmittedSpan(0.0, 0.0, 1.0)] * 5
    at_rate = [AdmittedSpan(at / 2, at / 2, 1.0) for at in range(1, 21)]
    valid = check_rate([*burst, *at_rate], workspace='a', rate=2, burst=5)
    assert not valid
    invalid = AdmittedSpan(7.1, 7.1, 0.5)
    assert check_rate(
        [*burst, *at_rate, invalid], workspace='a', rate=2, burst=5
    )


def test_burst_after_an_idle_time_is_found() -> None:
    spans = [AdmittedSpan(9.0, 9.0 + at / 100, 1.0) for at in range(7)]
    assert check_rate(spans, workspace='a', rate=2, burst=5)


def test_spans_count_only_where_they_lie_wholly_inside() -> None:
    spans = [AdmittedSpan(0.0, 10.0, 1.0)] * 12
    assert not check_rate(spans, workspace='a', rate=2, burst=5)
    assert check_rate(spans, workspace='a', rate=0.5, burst=5)


def test_only_admitted_calls_count() -> None:
    refused = msgspec.structs.replace(ORDER_CALL, status=429, outcome='not-run')
    assert len(admitted_requests([ORDER_CALL, refused], 'a')) == 1


def test_revision_that_went_back_is_found() -> None:
    samples = [
        RevisionSample(
            vm_id='vm-1', incarnation='i', revision=revision, at_s=at_s
        )
        for at_s, revision in enumerate((1, 2, 2, 5))
    ]
    assert not check_revisions(samples)
    invalid = RevisionSample(vm_id='vm-1', incarnation='i', revision=4, at_s=9)
    assert check_revisions([*samples, invalid])


def test_new_work_in_a_domain_out_of_service_is_found() -> None:
    def step(at_s: float) -> EngineStep:
        return EngineStep(
            upstream='e', request_id='r', kind='prefill', at_s=at_s
        )

    def found(at_s: float) -> list[Violation]:
        return check_no_new_work(
            [step(at_s)], ['e'], out_since_s=10.0, back_at_s=20.0
        )

    assert not found(12.9)
    assert found(13.1)
    assert not found(20.1)


def test_key_bytes_at_an_upstream_are_found() -> None:
    valid = {'e': b'POST / x-workspace: a'}
    assert not check_keys(valid, ['planted-key'])
    invalid = {**valid, 'f': b'authorization: Bearer planted-key'}
    found = check_keys(invalid, ['planted-key'])
    assert [violation.subject for violation in found] == ['f']
    assert 'planted-key' not in str(found[0])


def test_queue_beyond_a_bound_is_found() -> None:
    def found(sample: QueueSample) -> list[Violation]:
        return check_queue(
            [sample], max_requests=4, max_tokens=100, max_age_s=10
        )

    valid = QueueSample(
        cell='c', at_s=0, requests=4, tokens=100, oldest_age_s=10
    )
    assert not found(valid)
    assert found(msgspec.structs.replace(valid, requests=5))
    assert found(msgspec.structs.replace(valid, tokens=101))
    assert found(msgspec.structs.replace(valid, oldest_age_s=11.1))
