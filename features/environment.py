"""One deployment serves all scenarios of a feature that ask for the same."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from behave.model import Feature
    from behave.model import Scenario as Story

    from catkinreach_standins.bench.scenario import Scenario

SPOILS_TAG = 'spoils_upstreams'
"""Marks a scenario whose upstreams keep faults that it set."""


def before_all(context: Any) -> None:
    """Reads the seed."""
    context.seed = int(context.config.userdata.get('seed', 1))


def before_feature(context: Any, feature: Feature) -> None:
    """Nothing runs until a scenario asks for it."""
    del feature
    context.deployments = {}


def before_scenario(context: Any, story: Story) -> None:
    """A scenario starts without calls."""
    del story
    context.trial = None


def after_scenario(context: Any, story: Story) -> None:
    """Checks what always holds and makes the deployment whole again."""
    scenario: Scenario | None = context.trial
    if scenario is None:
        return
    try:
        scenario.faults.heal()
        found = scenario.violations()
        print(scenario.summary())  # noqa: T201
        scenario.finish()
    except Exception:
        stop_deployments(context)
        raise
    is_spoilt = scenario.faults.has_replaced or SPOILS_TAG in story.tags
    if story.status == 'failed' or is_spoilt:
        stop_deployments(context)
    if found:
        raise AssertionError('\n'.join(map(str, found)))


def after_feature(context: Any, feature: Feature) -> None:
    """Ends every process."""
    del feature
    stop_deployments(context)


def stop_deployments(context: Any) -> None:
    """Ends the processes of all deployments of the feature."""
    while context.deployments:
        _, deployment = context.deployments.popitem()
        deployment.stop()
