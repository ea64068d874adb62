"""Behave hooks that manage deployments and check invariants.

Scenarios of a feature that request the same fleet share one deployment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from behave.model import Feature
    from behave.model import Scenario as BehaveScenario

    from catkinreach_standins.bench.scenario import Scenario

PERSISTENT_FAULTS_TAG = 'spoils_upstreams'
"""Tags scenarios that leave faults in upstreams; their fleet is not reused."""


def before_all(context: Any) -> None:
    """Reads the seed of the run from ``--define=seed=N`` (default 1)."""
    context.seed = int(context.config.userdata.get('seed', 1))


def before_feature(context: Any, feature: Feature) -> None:
    """Resets the deployments; the scenarios start them on demand."""
    del feature
    context.deployments = {}


def before_scenario(context: Any, behave_scenario: BehaveScenario) -> None:
    """Clears the fleet scenario, which the step that starts a fleet sets."""
    del behave_scenario
    context.trial = None


def after_scenario(context: Any, behave_scenario: BehaveScenario) -> None:
    """Checks the invariants and prepares the deployment for the next scenario.

    The feature's deployments are stopped after a failed scenario, and after one
    that replaced a VM or left faults in upstreams.
    """
    scenario: Scenario | None = context.trial
    if scenario is None:
        return
    try:
        scenario.faults.heal()
        violations_found = scenario.violations()
        print(scenario.summary())  # noqa: T201
        scenario.finish()
    except Exception:
        stop_deployments(context)
        raise
    has_persistent_faults = (
        scenario.faults.has_replaced
        or PERSISTENT_FAULTS_TAG in behave_scenario.tags
    )
    if behave_scenario.status == 'failed' or has_persistent_faults:
        stop_deployments(context)
    if violations_found:
        raise AssertionError('\n'.join(map(str, violations_found)))


def after_feature(context: Any, feature: Feature) -> None:
    """Stops all processes of the feature."""
    del feature
    stop_deployments(context)


def stop_deployments(context: Any) -> None:
    """Stops the processes of all deployments of the feature."""
    while context.deployments:
        _, deployment = context.deployments.popitem()
        deployment.stop()
