"""Injects random faults, two at a time, under load and checks invariants.

``python -m catkinreach_standins.chaos --seed=7 --minutes=5``
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from pathlib import Path

from absl import flags

from ..bench.deployment import BenchOptions, Deployment
from ..bench.scenario import Scenario
from ..checks.records import CallKind
from ..command_line import new_flag_values
from .fault_catalog import Fault, FaultCatalog
from .mixed_load import MixedLoad

FLEET_PATH = Path('examples/ninepatch/fleet.ini')
SECONDS_PER_MINUTE = 60
SETTLE_S = 10.0


def inject_faults(scenario: Scenario, *, end_s: float) -> int:
    """Keeps two faults active, each for 1 to 7 s, until the end time.

    Returns:
        The number of injected faults.
    """
    catalog = FaultCatalog(scenario)
    active_faults: list[tuple[float, Fault]] = []
    fault_count = 0
    while time.monotonic() < end_s:
        while len(active_faults) < 2:  # noqa: PLR2004 - two at a time
            fault = catalog.inject(
                frozenset(active.group for _, active in active_faults)
            )
            if fault is None:
                break
            fault_count += 1
            until_s = time.monotonic() + scenario.random.uniform(1.0, 7.0)
            active_faults.append((until_s, fault))
            _print_fault(scenario, fault.title)
        time.sleep(0.1)
        now_s = time.monotonic()
        for until_s, fault in tuple(active_faults):
            if until_s <= now_s:
                active_faults.remove((until_s, fault))
                fault.revert()
    for _, fault in active_faults:
        fault.revert()
    return fault_count


def collect_violations(scenario: Scenario, deployment: Deployment) -> list[str]:
    """Returns a line for each violation of an invariant during the run."""
    violations = [*scenario.violations(), *scenario.leaked_holdings()]
    for workspace in deployment.settings.workspaces.values():
        violations += scenario.rate_violations(workspace.workspace_id)
    return [str(violation) for violation in violations]


def main(argv: list[str]) -> int:
    """Runs one seed; returns exit code 1 if an invariant was violated."""
    values = new_flag_values()
    flags.DEFINE_integer('seed', 1, 'seed of faults', flag_values=values)
    flags.DEFINE_float('minutes', 2.0, 'time of faults', flag_values=values)
    flags.DEFINE_integer('vms', 5, 'entry VMs', flag_values=values)
    values(argv)
    options = BenchOptions(
        fleet=FLEET_PATH.read_text(encoding='utf-8'),
        node_count=values.vms,
        seed=values.seed,
        has_proxy=True,
        has_capture=True,
    )
    with Deployment(options) as deployment:
        scenario = Scenario(deployment, seed=values.seed)
        scenario.start_upstream_restarter()
        load = MixedLoad(scenario)
        end_s = time.monotonic() + values.minutes * SECONDS_PER_MINUTE
        fault_count = inject_faults(scenario, end_s=end_s)
        load.stop()
        scenario.heal()
        scenario.callers.close()
        time.sleep(SETTLE_S)
        violations = collect_violations(scenario, deployment)
        _print_report(scenario, values.seed, fault_count, violations)
        scenario.finish()
    return 1 if violations else 0


def _print_fault(scenario: Scenario, title: str) -> None:
    at_s = time.monotonic() - scenario.started_s
    sys.stdout.write(f'{at_s:7.1f} s  {title}\n')
    sys.stdout.flush()


def _print_report(
    scenario: Scenario, seed: int, fault_count: int, violations: list[str]
) -> None:
    for kind in CallKind:
        ends = Counter(
            call.code or call.end.value
            for call in scenario.callers.records
            if call.kind is kind
        )
        counts = ', '.join(
            f'{name} {ended_count}' for name, ended_count in ends.most_common()
        )
        sys.stdout.write(f'{kind.value}: {counts}\n')
    for line in violations:
        sys.stdout.write(f'VIOLATION {line}\n')
    sys.stdout.write(
        f'seed {seed}: {fault_count} faults, '
        f'{len(scenario.callers.records)} calls, '
        f'{len(violations)} violations\n'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv))
