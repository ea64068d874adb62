"""Steps that check the outcomes of calls and the state of the fleet."""

from __future__ import annotations

import time
from typing import Any

from behave import then

from catkinreach_standins.bench.scenario import CROWD
from catkinreach_standins.checks.rates import admitted_requests
from catkinreach_standins.checks.records import CallEnd

LEAK_END_TIMEOUT_S = 20.0


def _last_record(context: Any, name: str) -> Any:
    records = context.fleet_scenario.wait_records(name)
    return records[-1]


@then('{name} gets the whole answer')
def check_whole_answer(context: Any, name: str) -> None:
    for record in context.fleet_scenario.wait_records(name):
        assert record.is_success, _describe_call(record)


@then('the crowd gets whole answers')
def check_crowd_answers(context: Any) -> None:
    check_whole_answer(context, CROWD)


@then('{name} is refused with {code}')
def check_refusal_code(context: Any, name: str, code: str) -> None:
    record = _last_record(context, name)
    assert record.code == code, _describe_call(record)


@then('{name} is told {outcome}')
def check_outcome(context: Any, name: str, outcome: str) -> None:
    record = _last_record(context, name)
    assert record.outcome == outcome, _describe_call(record)


@then('{name} gets no false answer')
def check_no_false_answer(context: Any, name: str) -> None:
    record = _last_record(context, name)
    is_interrupted = record.end is CallEnd.INTERRUPTED
    assert is_interrupted or record.is_success or record.outcome, (
        _describe_call(record)
    )


@then('claim {key} ran exactly once')
def check_ran_once(context: Any, key: str) -> None:
    assert _count_executions(context, key) == 1, (
        f'{_count_executions(context, key)} runs'
    )


@then('claim {key} ran at most once')
def check_ran_at_most_once(context: Any, key: str) -> None:
    assert _count_executions(context, key) <= 1, (
        f'{_count_executions(context, key)} runs'
    )


@then('claim {key} never ran')
def check_never_ran(context: Any, key: str) -> None:
    assert not _count_executions(context, key), (
        f'{_count_executions(context, key)} runs'
    )


def _count_executions(context: Any, key: str) -> int:
    context.fleet_scenario.wait_calls()
    idempotency_key = context.fleet_scenario.idempotency_key(key)
    executions = context.fleet_scenario.observer.executions()
    return sum(execution.key == idempotency_key for execution in executions)


@then('no engine holds memory of a request that is gone')
def check_no_leaked_holdings(context: Any) -> None:
    scenario = context.fleet_scenario
    for name in scenario.calls:
        scenario.wait_records(name)
    last_end_s = max(call.ended_s for call in scenario.callers.records)
    # Waits a little longer than the grace period of the check, which is 5 s.
    time.sleep(max(0.0, last_end_s + 5.1 - time.monotonic()))
    leaks = scenario.leaked_holdings()
    if leaks:
        scenario.wait_for(
            lambda: not scenario.leaked_holdings(), LEAK_END_TIMEOUT_S
        )
        print(f'last freed {time.monotonic() - last_end_s:.1f} s after')  # noqa: T201
    assert not leaks, '\n'.join(map(str, leaks))


@then('"{workspace}" never had more than its rate and burst')
def check_rate_and_burst(context: Any, workspace: str) -> None:
    scenario = context.fleet_scenario
    for name in scenario.calls:
        scenario.wait_records(name)
    spans = admitted_requests(scenario.callers.records, workspace)
    violations = scenario.rate_violations(workspace)
    print(f'{workspace}: {len(spans)} admitted')  # noqa: T201
    assert not violations, '\n'.join(map(str, violations[:5]))


@then('at least {count:d} requests of "{workspace}" were served')
def check_served_requests(context: Any, count: int, workspace: str) -> None:
    spans = admitted_requests(context.fleet_scenario.callers.records, workspace)
    assert len(spans) >= count, f'{len(spans)} were served'


@then('no request of "{workspace}" was refused')
def check_no_refusals(context: Any, workspace: str) -> None:
    scenario = context.fleet_scenario
    refused = [
        call
        for name in scenario.calls
        for call in scenario.wait_records(name)
        if call.workspace == workspace and not call.is_success
    ]
    assert not refused, '\n'.join(map(_describe_call, refused[:5]))


@then('{name} still runs')
def check_process_runs(context: Any, name: str) -> None:
    process = context.fleet_scenario.deployment.processes[name]
    assert process.is_running, context.fleet_scenario.deployment.log_of(name)[
        -2000:
    ]


@then('{name} ended by itself within {limit_s:g} s')
def check_process_exit(context: Any, name: str, limit_s: float) -> None:
    process = context.fleet_scenario.deployment.processes[name]
    assert process.wait(limit_s) == 0


def _describe_call(record: Any) -> str:
    return (
        f'{record.kind.value} of {record.workspace}: {record.end.value}, '
        f'status {record.status} {record.code} {record.outcome}, '
        f'{len(record.text.split())} of {record.max_tokens} tokens, '
        f'{record.ended_s - record.sent_s:.2f} s'
    )


@then('at most {count:d} engines crashed')
def check_engine_crashes(context: Any, count: int) -> None:
    crashed = context.fleet_scenario.upstream_restarter.restarted_upstreams
    assert len(crashed) <= count, f'crashed: {crashed}'


@then('no answer of the load was cut')
def check_load_not_interrupted(context: Any) -> None:
    records = context.fleet_scenario.stop_load()
    interrupted = [
        record for record in records if record.end is CallEnd.INTERRUPTED
    ]
    print(f'load: {len(records)} answers')  # noqa: T201
    assert records
    assert not interrupted, '\n'.join(map(_describe_call, interrupted[:5]))


@then('some of the crowd were refused with {code}')
def check_some_refused(context: Any, code: str) -> None:
    codes = [
        record.code for record in context.fleet_scenario.wait_records(CROWD)
    ]
    assert code in codes, f'codes: {sorted(set(codes))}'


@then('every refusal of the crowd says not-run')
def check_refusals_not_run(context: Any) -> None:
    wrong_refusals = [
        record
        for record in context.fleet_scenario.wait_records(CROWD)
        if not record.is_success and record.outcome != 'not-run'
    ]
    assert not wrong_refusals, '\n'.join(
        map(_describe_call, wrong_refusals[:5])
    )


@then('{name} had the first token within {limit_s:g} s')
def check_first_token_time(context: Any, name: str, limit_s: float) -> None:
    for record in context.fleet_scenario.wait_records(name):
        waited_s = record.first_token_s - record.sent_s
        assert record.first_token_s, _describe_call(record)
        assert waited_s <= limit_s, f'{waited_s:.2f} s'
