"""Steps that say what has to be seen."""

from __future__ import annotations

import time
from typing import Any

from behave import then

from catkinreach_standins.bench.scenario import CROWD
from catkinreach_standins.checks.fleet import check_no_new_work
from catkinreach_standins.checks.rates import admitted_requests
from catkinreach_standins.checks.records import CallEnd

LEAK_WATCH_S = 20.0


def _only(context: Any, name: str) -> Any:
    records = context.trial.wait_records(name)
    return records[-1]


@then('{name} gets the whole answer')
def gets_answer(context: Any, name: str) -> None:
    for record in context.trial.wait_records(name):
        assert record.is_success, _tell(record)


@then('the crowd gets whole answers')
def crowd_gets_answers(context: Any) -> None:
    gets_answer(context, CROWD)


@then('{name} is refused with {code}')
def is_refused(context: Any, name: str, code: str) -> None:
    record = _only(context, name)
    assert record.code == code, _tell(record)


@then('{name} is told {outcome}')
def is_told(context: Any, name: str, outcome: str) -> None:
    record = _only(context, name)
    assert record.outcome == outcome, _tell(record)


@then('{name} gets no false answer')
def no_false_answer(context: Any, name: str) -> None:
    record = _only(context, name)
    is_open = record.end is CallEnd.INTERRUPTED
    assert is_open or record.is_success or record.outcome, _tell(record)


@then('claim {key} ran exactly once')
def ran_once(context: Any, key: str) -> None:
    assert _runs(context, key) == 1, f'{_runs(context, key)} runs'


@then('claim {key} ran at most once')
def ran_at_most_once(context: Any, key: str) -> None:
    assert _runs(context, key) <= 1, f'{_runs(context, key)} runs'


@then('claim {key} never ran')
def never_ran(context: Any, key: str) -> None:
    assert not _runs(context, key), f'{_runs(context, key)} runs'


def _runs(context: Any, key: str) -> int:
    context.trial.wait_calls()
    wanted = context.trial.idempotency_key(key)
    runs = context.trial.observer.executions()
    return sum(run.key == wanted for run in runs)


@then('no engine holds memory of a request that is gone')
def no_leaks(context: Any) -> None:
    trial = context.trial
    for name in trial.calls:
        trial.wait_records(name)
    last_s = max(call.ended_s for call in trial.callers.records)
    time.sleep(max(0.0, last_s + 5.1 - time.monotonic()))
    leaks = trial.leaked_holdings()
    if leaks:
        trial.wait_for(lambda: not trial.leaked_holdings(), LEAK_WATCH_S)
        print(f'last freed {time.monotonic() - last_s:.1f} s after')  # noqa: T201
    assert not leaks, '\n'.join(map(str, leaks))


@then('within {limit_s:g} s every VM has the newest text in force')
def in_force(context: Any, limit_s: float) -> None:
    trial = context.trial
    revision = trial.published_revision()
    assert trial.wait_for(
        lambda: trial.lowest_revision() >= revision, limit_s
    ), f'{trial.observer.revisions()} wanted {revision}'


@then('{vm_id} has a text no older than the others')
def not_older(context: Any, vm_id: str) -> None:
    trial = context.trial
    name = getattr(context, 'replacement', vm_id)

    def is_newest() -> bool:
        samples = trial.observer.revisions()
        newest = max(one.revision for one in samples)
        own = [one.revision for one in samples if one.vm_id == name]
        return own == [newest]

    assert trial.wait_for(is_newest, 5.0), trial.observer.revisions()


@then('no VM has a text with a fault in force')
def no_bad_text(context: Any) -> None:
    trial = context.trial
    time.sleep(1.0)
    bad = trial.published_revision()
    assert all(one.revision < bad for one in trial.observer.revisions())


@then('the open connection is refused within {limit_s:g} s')
def connection_refused(context: Any, limit_s: float) -> None:
    trial = context.trial
    assert trial.wait_for(
        lambda: trial.read_on_open_connection().status == 401, limit_s
    ), 'the key still works'


@then('the open connection is served within {limit_s:g} s')
def connection_served(context: Any, limit_s: float) -> None:
    trial = context.trial
    assert trial.wait_for(
        lambda: trial.read_on_open_connection().is_success, limit_s
    ), 'the key does not work'


@then('"{workspace}" never had more than its rate and burst')
def within_rate(context: Any, workspace: str) -> None:
    trial = context.trial
    for name in trial.calls:
        trial.wait_records(name)
    spans = admitted_requests(trial.callers.records, workspace)
    found = trial.rate_violations(workspace)
    print(f'{workspace}: {len(spans)} admitted')  # noqa: T201
    assert not found, '\n'.join(map(str, found[:5]))


@then('at least {count:d} requests of "{workspace}" were served')
def served_at_least(context: Any, count: int, workspace: str) -> None:
    spans = admitted_requests(context.trial.callers.records, workspace)
    assert len(spans) >= count, f'{len(spans)} were served'


@then('no request of "{workspace}" was refused')
def none_refused(context: Any, workspace: str) -> None:
    trial = context.trial
    refused = [
        call
        for name in trial.calls
        for call in trial.wait_records(name)
        if call.workspace == workspace and not call.is_success
    ]
    assert not refused, '\n'.join(map(_tell, refused[:5]))


@then('failure domain {domain} got no new work after 3 s')
def domain_idle(context: Any, domain: str) -> None:
    upstreams = context.trial.deployment.settings.upstreams.values()
    _no_new_work(
        context,
        [one.upstream_id for one in upstreams if one.domain_id == domain],
        domain,
    )


@then('upstream {upstream_id} got no new work after 3 s')
def upstream_idle(context: Any, upstream_id: str) -> None:
    _no_new_work(context, [upstream_id], upstream_id)


def _no_new_work(context: Any, upstreams: list[str], name: str) -> None:
    trial = context.trial
    for call_name in trial.calls:
        trial.wait_records(call_name)
    found = check_no_new_work(
        trial.observer.steps(),
        upstreams,
        out_since_s=trial.recorded_times[f'{name} out'],
        back_at_s=trial.recorded_times.get(f'{name} back', time.monotonic()),
    )
    assert not found, '\n'.join(map(str, found[:5]))


@then('failure domain {domain} gets work again within {limit_s:g} s')
def domain_works(context: Any, domain: str, limit_s: float) -> None:
    trial = context.trial
    back_s = trial.recorded_times[f'{domain} back']
    upstreams = {
        one.upstream_id
        for one in trial.deployment.settings.upstreams.values()
        if one.domain_id == domain
    }

    def has_work() -> bool:
        context.trial.callers.send_completion(
            trial.deployment.balancer_port,
            'sunday-bee',
            trial.prompt(300),
            max_tokens=2,
        )
        return any(
            step.upstream in upstreams and step.at_s > back_s
            for step in trial.observer.steps()
        )

    assert trial.wait_for(has_work, limit_s), 'no work came back'


@then('{name} still runs')
def still_runs(context: Any, name: str) -> None:
    process = context.trial.deployment.processes[name]
    assert process.is_running, context.trial.deployment.log_of(name)[-2000:]


@then('{name} ended by itself within {limit_s:g} s')
def ended_by_itself(context: Any, name: str, limit_s: float) -> None:
    process = context.trial.deployment.processes[name]
    assert process.wait(limit_s) == 0


def _tell(record: Any) -> str:
    return (
        f'{record.kind.value} of {record.workspace}: {record.end.value}, '
        f'status {record.status} {record.code} {record.outcome}, '
        f'{len(record.text.split())} of {record.max_tokens} tokens, '
        f'{record.ended_s - record.sent_s:.2f} s'
    )


@then('at most {count:d} engines crashed')
def crashes_at_most(context: Any, count: int) -> None:
    crashes = context.trial.upstream_restarts.crashes
    assert len(crashes) <= count, f'crashed: {crashes}'


@then('no answer of the load was cut')
def load_uncut(context: Any) -> None:
    records = context.trial.stop_load()
    cut = [one for one in records if one.end is CallEnd.INTERRUPTED]
    print(f'load: {len(records)} answers')  # noqa: T201
    assert records
    assert not cut, '\n'.join(map(_tell, cut[:5]))


@then('some of the crowd were refused with {code}')
def some_refused(context: Any, code: str) -> None:
    codes = [record.code for record in context.trial.wait_records(CROWD)]
    assert code in codes, f'codes: {sorted(set(codes))}'


@then('every refusal of the crowd says not-run')
def refusals_not_run(context: Any) -> None:
    wrong = [
        record
        for record in context.trial.wait_records(CROWD)
        if not record.is_success and record.outcome != 'not-run'
    ]
    assert not wrong, '\n'.join(map(_tell, wrong[:5]))


@then('{name} had the first token within {limit_s:g} s')
def first_token(context: Any, name: str, limit_s: float) -> None:
    for record in context.trial.wait_records(name):
        waited_s = record.first_token_s - record.sent_s
        assert record.first_token_s, _tell(record)
        assert waited_s <= limit_s, f'{waited_s:.2f} s'
