"""Steps in which callers send requests, and waits between steps."""

from __future__ import annotations

import time
from typing import Any

from behave import when

from catkinreach_standins.bench.scenario import CROWD

CLAIMS_PATH = '/bee/claims'
CRASH_TOKEN = -666
"""Prompt token on which an engine stand-in exits (its ``poison_token``)."""

ENGINE_RESTART_WAIT_S = 1.5


@when('"{workspace}" asks for {tokens:d} tokens through {vm_id} as {name}')
def send_completion_through(
    context: Any, workspace: str, tokens: int, vm_id: str, name: str
) -> None:
    scenario = context.fleet_scenario
    call = scenario.callers.start_retried_completion(
        scenario.caller_port(vm_id),
        workspace,
        scenario.random_prompt(300),
        max_tokens=tokens,
    )
    scenario.add_call(name, call)


@when('"{workspace}" asks for {tokens:d} tokens as {name}')
def send_completion(
    context: Any, workspace: str, tokens: int, name: str
) -> None:
    send_completion_through(context, workspace, tokens, '', name)


@when('{count:d} impatient callers of "{workspace}" ask for {tokens:d} tokens')
def send_completions_without_retry(
    context: Any, count: int, workspace: str, tokens: int
) -> None:
    scenario = context.fleet_scenario
    for _ in range(count):
        call = scenario.callers.start_completion(
            scenario.caller_port(''),
            workspace,
            scenario.random_prompt(300),
            max_tokens=tokens,
        )
        scenario.add_call(CROWD, call)


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
    scenario = context.fleet_scenario
    call = scenario.callers.start_completion(
        scenario.caller_port(''),
        workspace,
        scenario.random_prompt(300),
        max_tokens=total,
        cancel_after_tokens=tokens,
    )
    scenario.add_call(name, call)


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
    scenario = context.fleet_scenario
    call = scenario.callers.start_order(
        scenario.caller_port(vm_id),
        workspace,
        CLAIMS_PATH,
        scenario.idempotency_key(key),
        body,
    )
    scenario.add_call(name, call)


@when('"{workspace}" reads "{path}" as {name}')
def send_read(context: Any, workspace: str, path: str, name: str) -> None:
    scenario = context.fleet_scenario
    scenario.add_call(
        name,
        scenario.callers.start_read(scenario.caller_port(''), workspace, path),
    )


@when('someone without a key reads "{path}" as {name}')
def send_read_without_key(context: Any, path: str, name: str) -> None:
    send_read(context, '', path, name)


@when('"{workspace}" reads {count:d} times within {span_s:g} s through all VMs')
def send_reads(context: Any, workspace: str, count: int, span_s: float) -> None:
    scenario = context.fleet_scenario
    nodes = scenario.deployment.nodes
    for number in range(count):
        port = scenario.caller_port(nodes[number % len(nodes)].vm_id)
        call = scenario.callers.start_read(port, workspace, '/bee/status')
        scenario.add_call(CROWD, call)
        time.sleep(span_s / count)


@when('"{workspace}" stays connected to {vm_id}')
def open_connection(context: Any, workspace: str, vm_id: str) -> None:
    record = context.fleet_scenario.open_connection(workspace, vm_id)
    assert record.is_success, record


@when('{seconds:g} s pass')
def pass_time(context: Any, seconds: float) -> None:
    del context
    time.sleep(seconds)


@when('all calls have ended')
def wait_for_calls(context: Any) -> None:
    for name in context.fleet_scenario.calls:
        context.fleet_scenario.wait_records(name)


@when('"{workspace}" asks for the crashing prompt {count:d} times')
def send_crashing_prompt(context: Any, workspace: str, count: int) -> None:
    scenario = context.fleet_scenario
    scenario.start_upstream_restarter()
    for _ in range(count):
        scenario.callers.send_completion(
            scenario.caller_port(''),
            workspace,
            [CRASH_TOKEN, 1, 2, 3],
            max_tokens=5,
        )
        time.sleep(ENGINE_RESTART_WAIT_S)


@when('"{workspace}" keeps asking for {tokens:d} tokens through the balancer')
def start_load(context: Any, workspace: str, tokens: int) -> None:
    context.fleet_scenario.start_load(workspace, tokens)
