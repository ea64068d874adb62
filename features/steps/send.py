"""Steps in which callers send requests."""

from __future__ import annotations

import time
from typing import Any

from behave import when

from catkinreach_standins.bench.scenario import CROWD

CLAIMS_PATH = '/bee/claims'
CRASH_TOKEN = -666
ENGINE_RESTART_WAIT_S = 1.5


@when('"{workspace}" asks for {tokens:d} tokens through {vm_id} as {name}')
def send_completion_through(
    context: Any, workspace: str, tokens: int, vm_id: str, name: str
) -> None:
    trial = context.trial
    call = trial.callers.start_retried_completion(
        trial.caller_port(vm_id),
        workspace,
        trial.prompt(300),
        max_tokens=tokens,
    )
    trial.add_call(name, call)


@when('"{workspace}" asks for {tokens:d} tokens as {name}')
def send_completion(
    context: Any, workspace: str, tokens: int, name: str
) -> None:
    send_completion_through(context, workspace, tokens, '', name)


@when('{count:d} impatient callers of "{workspace}" ask for {tokens:d} tokens')
def send_completions_without_retry(
    context: Any, count: int, workspace: str, tokens: int
) -> None:
    trial = context.trial
    for _ in range(count):
        call = trial.callers.start_completion(
            trial.caller_port(''),
            workspace,
            trial.prompt(300),
            max_tokens=tokens,
        )
        trial.add_call(CROWD, call)


@when('{count:d} callers of "{workspace}" ask for {tokens:d} tokens')
def send_completions(
    context: Any, count: int, workspace: str, tokens: int
) -> None:
    for _ in range(count):
        send_completion_through(context, workspace, tokens, '', CROWD)


@when('"{workspace}" leaves after {tokens:d} of {total:d} tokens as {name}')
def cancel_completion(
    context: Any, workspace: str, tokens: int, total: int, name: str
) -> None:
    trial = context.trial
    call = trial.callers.start_completion(
        trial.caller_port(''),
        workspace,
        trial.prompt(300),
        max_tokens=total,
        cancel_after=tokens,
    )
    trial.add_call(name, call)


@when('"{workspace}" claims {key} with another body as {name}')
def send_claim_with_other_body(
    context: Any, workspace: str, key: str, name: str
) -> None:
    _start_claim(context, workspace, key, '', name, body='{"slot": "another"}')


@when('"{workspace}" claims {key} through {vm_id} as {name}')
def send_claim_through(
    context: Any, workspace: str, key: str, vm_id: str, name: str
) -> None:
    _start_claim(context, workspace, key, vm_id, name)


@when('"{workspace}" claims {key} as {name}')
def send_claim(context: Any, workspace: str, key: str, name: str) -> None:
    _start_claim(context, workspace, key, '', name)


def _start_claim(
    context: Any,
    workspace: str,
    key: str,
    vm_id: str,
    name: str,
    *,
    body: str = '{}',
) -> None:
    trial = context.trial
    call = trial.callers.start_order(
        trial.caller_port(vm_id),
        workspace,
        CLAIMS_PATH,
        trial.idempotency_key(key),
        body,
    )
    trial.add_call(name, call)


@when('"{workspace}" reads "{path}" as {name}')
def send_read(context: Any, workspace: str, path: str, name: str) -> None:
    trial = context.trial
    trial.add_call(
        name,
        trial.callers.start_read(trial.caller_port(''), workspace, path),
    )


@when('someone without a key reads "{path}" as {name}')
def send_read_without_key(context: Any, path: str, name: str) -> None:
    send_read(context, '', path, name)


@when('"{workspace}" reads {count:d} times within {span_s:g} s through all VMs')
def send_reads(context: Any, workspace: str, count: int, span_s: float) -> None:
    trial = context.trial
    nodes = trial.deployment.nodes
    for number in range(count):
        port = trial.caller_port(nodes[number % len(nodes)].vm_id)
        call = trial.callers.start_read(port, workspace, '/bee/status')
        trial.add_call(CROWD, call)
        time.sleep(span_s / count)


@when('"{workspace}" stays connected to {vm_id}')
def open_connection(context: Any, workspace: str, vm_id: str) -> None:
    record = context.trial.open_connection(workspace, vm_id)
    assert record.is_success, record


@when('{seconds:g} s pass')
def pass_time(context: Any, seconds: float) -> None:
    del context
    time.sleep(seconds)


@when('all calls have ended')
def wait_for_calls(context: Any) -> None:
    for name in context.trial.calls:
        context.trial.wait_records(name)


@when('"{workspace}" asks for the crashing prompt {count:d} times')
def send_crashing_prompt(context: Any, workspace: str, count: int) -> None:
    trial = context.trial
    trial.start_upstream_restarts()
    for _ in range(count):
        trial.callers.send_completion(
            trial.caller_port(''),
            workspace,
            [CRASH_TOKEN, 1, 2, 3],
            max_tokens=5,
        )
        time.sleep(ENGINE_RESTART_WAIT_S)


@when('"{workspace}" keeps asking for {tokens:d} tokens through the balancer')
def start_load(context: Any, workspace: str, tokens: int) -> None:
    context.trial.start_load(workspace, tokens)
