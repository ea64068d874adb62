"""Scenarios: the offered load and the actions during an experiment."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from catkinreach_core.settings.fleet import DomainState

from ..load.workload import Surge

if TYPE_CHECKING:
    from catkinreach_core.ids import FailureDomainId, UpstreamId
    from catkinreach_core.settings.fleet import FleetSettings

    from ..load.workload import Workload
    from .bench import Bench


class ActionKind(Enum):
    """Kind of action on the deployment."""

    DOMAIN_OUT = 'domain-out'
    DOMAIN_BACK = 'domain-back'
    ENGINE_KILL = 'engine-kill'
    ENGINE_START = 'engine-start'


class Step(Struct, frozen=True):
    """An action at a point of the measured time.

    Attributes:
        at_part: When the action starts, as a fraction of the measured time.
        kind: Kind of the action.
    """

    at_part: float
    kind: ActionKind


class Scenario(Struct, frozen=True, kw_only=True):
    """Offered load and actions of an experiment.

    Attributes:
        name: Name on the command line.
        summary: One line for the help text.
        load: Offered load as a fraction of capacity.
        surge_factor: Factor on the rate of the first workspace.
        steps: Actions, ordered by time.
    """

    name: str
    summary: str
    load: float
    surge_factor: float = 1.0
    steps: tuple[Step, ...] = ()

    def surges(self, workload: Workload) -> tuple[Surge, ...]:
        """Returns the surges of workspaces above their usual rate."""
        if self.surge_factor <= 1:
            return ()
        first = workload.workspaces[0].workspace_id
        return (Surge(workspace_id=first, factor=self.surge_factor),)


SCENARIOS: Final = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            name='steady',
            summary='steady load at 0.9 of capacity',
            load=0.9,
        ),
        Scenario(
            name='surge',
            summary='0.9 of capacity, one workspace at five times its rate',
            load=0.9,
            surge_factor=5.0,
        ),
        Scenario(
            name='overload',
            summary='twice the capacity from all workspaces alike',
            load=2.0,
        ),
        Scenario(
            name='domain',
            summary='a failure domain is taken out and returned',
            load=0.6,
            steps=(
                Step(1 / 3, ActionKind.DOMAIN_OUT),
                Step(2 / 3, ActionKind.DOMAIN_BACK),
            ),
        ),
        Scenario(
            name='engine-kill',
            summary='a decode engine dies and is started again',
            load=0.6,
            steps=(
                Step(1 / 3, ActionKind.ENGINE_KILL),
                Step(2 / 3, ActionKind.ENGINE_START),
            ),
        ),
    )
}


def perform_action(kind: ActionKind, bench: Bench) -> None:
    """Performs an action on the last decode engine or its failure domain."""
    upstream_id, domain_id = _target_engine(bench.settings)
    section = f'failure-domain {domain_id}'
    match kind:
        case ActionKind.DOMAIN_OUT:
            state = DomainState.OUT_OF_SERVICE.value
            bench.publish_setting(section, 'state', state)
        case ActionKind.DOMAIN_BACK:
            state = DomainState.IN_SERVICE.value
            bench.publish_setting(section, 'state', state)
        case ActionKind.ENGINE_KILL:
            bench.kill_upstream(upstream_id)
        case ActionKind.ENGINE_START:
            bench.start_upstream(upstream_id)


def _target_engine(
    settings: FleetSettings,
) -> tuple[UpstreamId, FailureDomainId]:
    pools = [
        service.decode_pool
        for service in settings.services.values()
        if service.decode_pool is not None
    ]
    engine = settings.upstreams_of(pools[0])[-1]
    return engine.upstream_id, engine.domain_id


__all__ = ('SCENARIOS', 'ActionKind', 'Scenario', 'Step', 'perform_action')
