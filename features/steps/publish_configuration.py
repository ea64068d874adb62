"""Steps in which operators publish the fleet configuration."""

from __future__ import annotations

from typing import Any

from behave import when

from catkinreach_core.keys import key_digest
from catkinreach_standins.bench.fleet_text_edits import (
    remove_section,
    set_option,
)


@when('operators take failure domain {domain} out')
def set_domain_out_of_service(context: Any, domain: str) -> None:
    scenario = context.fleet_scenario
    section = f'failure-domain {domain}'
    scenario.record_time(f'{domain} out')
    scenario.publish(
        set_option(scenario.fleet_text, section, 'state', 'out-of-service')
    )


@when('operators return failure domain {domain}')
def set_domain_in_service(context: Any, domain: str) -> None:
    scenario = context.fleet_scenario
    section = f'failure-domain {domain}'
    scenario.record_time(f'{domain} back')
    scenario.publish(
        set_option(scenario.fleet_text, section, 'state', 'in-service')
    )


@when('operators take upstream {upstream_id} away')
def remove_upstream(context: Any, upstream_id: str) -> None:
    scenario = context.fleet_scenario
    scenario.record_time(f'{upstream_id} out')
    scenario.publish(
        remove_section(scenario.fleet_text, f'upstream {upstream_id}')
    )


@when('operators withdraw the key of "{workspace}"')
def withdraw_key(context: Any, workspace: str) -> None:
    _publish_key(context, workspace, 'some-other-key')


@when('operators grant the key of "{workspace}" again')
def restore_key(context: Any, workspace: str) -> None:
    _publish_key(context, workspace, f'demo-key-{workspace}')


def _publish_key(context: Any, workspace: str, key: str) -> None:
    scenario = context.fleet_scenario
    scenario.publish(
        set_option(
            scenario.fleet_text,
            f'workspace {workspace}',
            'key_digests',
            f'sha256:{key_digest(key)}',
        )
    )


@when('operators bound the queue to {count:d} requests')
def limit_queue(context: Any, count: int) -> None:
    scenario = context.fleet_scenario
    scenario.publish(
        set_option(scenario.fleet_text, 'queue', 'max_requests', str(count))
    )


@when('operators publish {count:d} texts at once')
def publish_texts(context: Any, count: int) -> None:
    scenario = context.fleet_scenario
    for number in range(count):
        scenario.publish(
            set_option(
                scenario.fleet_text, 'queue', 'max_requests', str(300 + number)
            )
        )


@when('operators publish a text with a fault')
def publish_faulty_text(context: Any) -> None:
    scenario = context.fleet_scenario
    valid_text = scenario.fleet_text
    scenario.publish(valid_text + '\n[pool nonsense]\nrole = plian\n')
    scenario.fleet_text = valid_text
