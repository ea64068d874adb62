"""Behave hooks that manage deployments and check invariants.

Scenarios of a feature that start the same fleet share one deployment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from behave.model import Feature
    from behave.model import Scenario as BehaveScenario

    from catkinreach_standins.bench.scenario import Scenario

PERSISTENT_FAULTS_TAG = 'spoils_upstreams'
"""Tag of scenarios that leave faults in upstreams.

The feature's deployments are not reused after such a scenario.
"""


def before_all(context: Any) -> None:
    """Reads the random seed from ``--define=seed=N`` (default 1)."""
    context.seed = int(context.config.userdata.get('seed', 1))


def before_feature(context: Any, feature: Feature) -> None:
    """Clears the deployments; the scenarios start them on demand."""
    del feature
    context.deployments = {}


def before_scenario(context: Any, behave_scenario: BehaveScenario) -> None:
    """Clears the fleet scenario, which the step that starts a fleet sets."""
    del behave_scenario
    context.fleet_scenario = None


def after_scenario(context: Any, behave_scenario: BehaveScenario) -> None:
    """Checks the invariants and restores the deployment for the next scenario.

    The feature's deployments are stopped after a failed scenario, and after one
    that replaced a VM or left faults in upstreams.
    """
    fleet_scenario: Scenario | None = context.fleet_scenario
    if fleet_scenario is None:
        return
    try:
        fleet_scenario.faults.heal()
        violations = fleet_scenario.violations()
        print(fleet_scenario.summary())  # noqa: T201
        fleet_scenario.finish()
    except Exception:
        stop_deployments(context)
        raise
    has_persistent_faults = (
        fleet_scenario.faults.has_replaced_vm
        or PERSISTENT_FAULTS_TAG in behave_scenario.tags
    )
    if behave_scenario.status == 'failed' or has_persistent_faults:
        stop_deployments(context)
    if violations:
        raise AssertionError('\n'.join(map(str, violations)))


def after_feature(context: Any, feature: Feature) -> None:
    """Stops all processes of the feature."""
    del feature
    stop_deployments(context)


def stop_deployments(context: Any) -> None:
    """Stops the processes of all deployments of the feature."""
    while context.deployments:
        _, deployment = context.deployments.popitem()
        deployment.stop()
