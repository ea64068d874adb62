"""Steps that check the ownership of shards."""

from __future__ import annotations

from typing import Any

from behave import then

from catkinreach_core.ownership.checker import check_events


@then('every shard had one owner at a time')
def check_single_owner(context: Any) -> None:
    events = context.fleet_scenario.observer.lease_events()
    print(f'{len(events)} lease events')  # noqa: T201
    assert events
    violations = check_events(events)
    assert not violations, '\n'.join(map(str, violations[:5]))


@then('within {limit_s:g} s every shard has an owner')
def check_all_shards_owned(context: Any, limit_s: float) -> None:
    scenario = context.fleet_scenario
    assert scenario.wait_for(
        lambda: not scenario.observer.unowned_shards(), limit_s
    ), f'without an owner: {sorted(scenario.observer.unowned_shards())[:5]}'
