"""Brings random pairs of faults about and checks every invariant.

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
from .catalogue import Catalogue, Fault
from .load import MixedLoad

EXAMPLE = Path('examples/ninepatch/fleet.ini')
SECONDS_PER_MINUTE = 60
QUIET_S = 10.0


def run_faults(trial: Scenario, *, end_s: float) -> int:
    """Keeps two faults going until the time is over; returns their count."""
    catalogue = Catalogue(trial)
    going: list[tuple[float, Fault]] = []
    count = 0
    while time.monotonic() < end_s:
        while len(going) < 2:  # noqa: PLR2004 - faults come in pairs
            fault = catalogue.begin(frozenset(one.party for _, one in going))
            if fault is None:
                break
            count += 1
            until_s = time.monotonic() + trial.random.uniform(1.0, 7.0)
            going.append((until_s, fault))
            _say(trial, fault.title)
        time.sleep(0.1)
        now_s = time.monotonic()
        for until_s, fault in tuple(going):
            if until_s <= now_s:
                going.remove((until_s, fault))
                fault.end()
    for _, fault in going:
        fault.end()
    return count


def check(trial: Scenario, deployment: Deployment) -> list[str]:
    """Returns every violation of the run, one line each."""
    found = [*trial.violations(), *trial.leaked_holdings()]
    for workspace in deployment.settings.workspaces.values():
        found += trial.rate_violations(workspace.workspace_id)
    return [str(one) for one in found]


def main(argv: list[str]) -> int:
    """Runs one seed; returns 1 if anything was violated."""
    values = new_flag_values()
    flags.DEFINE_integer('seed', 1, 'seed of faults', flag_values=values)
    flags.DEFINE_float('minutes', 2.0, 'time of faults', flag_values=values)
    flags.DEFINE_integer('vms', 5, 'entry VMs', flag_values=values)
    values(argv)
    options = BenchOptions(
        fleet=EXAMPLE.read_text(encoding='utf-8'),
        node_count=values.vms,
        seed=values.seed,
        has_proxy=True,
        has_capture=True,
    )
    with Deployment(options) as deployment:
        trial = Scenario(deployment, seed=values.seed)
        trial.start_upstream_restarts()
        load = MixedLoad(trial)
        end_s = time.monotonic() + values.minutes * SECONDS_PER_MINUTE
        count = run_faults(trial, end_s=end_s)
        load.stop()
        trial.heal()
        trial.callers.close()
        time.sleep(QUIET_S)
        violations = check(trial, deployment)
        _report(trial, values.seed, count, violations)
        trial.finish()
    return 1 if violations else 0


def _say(trial: Scenario, title: str) -> None:
    at_s = time.monotonic() - trial.started_s
    sys.stdout.write(f'{at_s:7.1f} s  {title}\n')
    sys.stdout.flush()


def _report(
    trial: Scenario, seed: int, count: int, violations: list[str]
) -> None:
    for kind in CallKind:
        ends = Counter(
            call.code or call.end.value
            for call in trial.callers.records
            if call.kind is kind
        )
        told = ', '.join(f'{name} {many}' for name, many in ends.most_common())
        sys.stdout.write(f'{kind.value}: {told}\n')
    for line in violations:
        sys.stdout.write(f'VIOLATION {line}\n')
    sys.stdout.write(
        f'seed {seed}: {count} faults, {len(trial.callers.records)} calls, '
        f'{len(violations)} violations\n'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv))
