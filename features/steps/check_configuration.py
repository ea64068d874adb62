"""Steps that check what a published configuration brings about."""

from __future__ import annotations

import time
from typing import Any

from behave import then

from catkinreach_standins.checks.fleet import check_no_new_work


@then('within {limit_s:g} s every VM has the newest text in force')
def check_newest_text_in_force(context: Any, limit_s: float) -> None:
    scenario = context.fleet_scenario
    revision = scenario.published_revision()
    assert scenario.wait_for(
        lambda: scenario.lowest_revision() >= revision, limit_s
    ), f'{scenario.observer.revisions()} wanted {revision}'


@then('{vm_id} has a text no older than the others')
def check_text_not_older(context: Any, vm_id: str) -> None:
    scenario = context.fleet_scenario
    current_vm_id = getattr(context, 'replacement', vm_id)

    def has_newest_revision() -> bool:
        samples = scenario.observer.revisions()
        newest = max(sample.revision for sample in samples)
        vm_revisions = [
            sample.revision
            for sample in samples
            if sample.vm_id == current_vm_id
        ]
        return vm_revisions == [newest]

    assert scenario.wait_for(has_newest_revision, 5.0), (
        scenario.observer.revisions()
    )


@then('no VM has a text with a fault in force')
def check_no_faulty_text(context: Any) -> None:
    scenario = context.fleet_scenario
    time.sleep(1.0)  # in which a node could apply the faulty text
    faulty_revision = scenario.published_revision()
    assert all(
        sample.revision < faulty_revision
        for sample in scenario.observer.revisions()
    )


@then('the open connection is refused within {limit_s:g} s')
def check_connection_refused(context: Any, limit_s: float) -> None:
    scenario = context.fleet_scenario
    assert scenario.wait_for(
        lambda: scenario.read_on_open_connection().status == 401, limit_s
    ), 'the key still works'


@then('the open connection is served within {limit_s:g} s')
def check_connection_served(context: Any, limit_s: float) -> None:
    scenario = context.fleet_scenario
    assert scenario.wait_for(
        lambda: scenario.read_on_open_connection().is_success, limit_s
    ), 'the key does not work'


@then('failure domain {domain} got no new work after 3 s')
def check_domain_idle(context: Any, domain: str) -> None:
    upstreams = context.fleet_scenario.deployment.settings.upstreams.values()
    _check_no_new_work(
        context,
        [
            upstream.upstream_id
            for upstream in upstreams
            if upstream.domain_id == domain
        ],
        domain,
    )


@then('upstream {upstream_id} got no new work after 3 s')
def check_upstream_idle(context: Any, upstream_id: str) -> None:
    _check_no_new_work(context, [upstream_id], upstream_id)


def _check_no_new_work(
    context: Any, upstreams: list[str], removed_name: str
) -> None:
    scenario = context.fleet_scenario
    for call_name in scenario.calls:
        scenario.wait_records(call_name)
    violations = check_no_new_work(
        scenario.observer.steps(),
        upstreams,
        out_since_s=scenario.recorded_times[f'{removed_name} out'],
        back_at_s=scenario.recorded_times.get(
            f'{removed_name} back', time.monotonic()
        ),
    )
    assert not violations, '\n'.join(map(str, violations[:5]))


@then('failure domain {domain} gets work again within {limit_s:g} s')
def check_domain_gets_work(context: Any, domain: str, limit_s: float) -> None:
    scenario = context.fleet_scenario
    back_at_s = scenario.recorded_times[f'{domain} back']
    upstreams = {
        upstream.upstream_id
        for upstream in scenario.deployment.settings.upstreams.values()
        if upstream.domain_id == domain
    }

    def gets_work() -> bool:
        context.fleet_scenario.callers.send_completion(
            scenario.deployment.balancer_port,
            'sunday-bee',
            scenario.random_prompt(300),
            max_tokens=2,
        )
        return any(
            step.upstream in upstreams and step.at_s > back_at_s
            for step in scenario.observer.steps()
        )

    assert scenario.wait_for(gets_work, limit_s), 'no work came back'
