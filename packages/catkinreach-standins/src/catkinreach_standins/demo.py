"""Demo: a deployment on loopback under load for about ten seconds.

Run as ``python -m catkinreach_standins.demo``.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from tqdm import tqdm

from catkinreach_ctl.experiment.bench import BenchSpec
from catkinreach_ctl.experiment.scenario import Scenario
from catkinreach_ctl.experiment.scenario_runner import (
    plan_scenario,
    run_scenario,
)
from catkinreach_ctl.experiment.tables import format_load_result
from catkinreach_ctl.load.example_workloads import NINEPATCH
from catkinreach_ctl.load.provenance import Provenance

from .bench.load_bench import open_bench

if TYPE_CHECKING:
    from catkinreach_ctl.load.result import LoadResult
    from catkinreach_ctl.load.runner import Progress

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
DURATION_S = 8.0
SEED = 1
_SCENARIO = Scenario(
    name='demo', summary='moderate load from all workspaces', load=0.25
)


def run_demo() -> LoadResult:
    """Starts a deployment, sends it load and returns the load's result."""
    fleet = EXAMPLES / NINEPATCH.name / 'fleet.ini'
    spec = BenchSpec(fleet_text=fleet.read_text(encoding='utf-8'), seed=SEED)
    with open_bench(spec) as bench:
        options = plan_scenario(
            _SCENARIO,
            NINEPATCH,
            bench,
            seed=SEED,
            duration_s=DURATION_S,
            warmup_s=0,
        )
        return run_scenario(
            _SCENARIO,
            NINEPATCH,
            bench,
            options,
            provenance=Provenance.of_process(),
            new_progress=_new_progress,
        )


def _new_progress(total: int) -> Progress:
    return tqdm(total=total, desc='requests', unit='req')


def main() -> int:
    """Runs the demo and returns the exit code."""
    sys.stdout.write('Starting 3 nodes, 5 engines, 3 plain upstreams ...\n')
    sys.stdout.flush()
    result = run_demo()
    sys.stdout.write(f'\n{format_load_result(result)}\n\n')
    answered = result.model.answered + result.plain.answered
    if not result.is_fully_answered or not answered:
        sys.stdout.write('An accepted request was not answered in full.\n')
        return 1
    sys.stdout.write('Every accepted request was answered once, in full.\n')
    if result.model.refused:
        sys.stdout.write(
            'Some requests were refused: new engines are in slow start.\n'
        )
    return 0


__all__ = ('main', 'run_demo')

if __name__ == '__main__':
    sys.exit(main())
