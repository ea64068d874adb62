"""``catkinreach experiment``: compares variants on the same seeds."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from ..exit_codes import ExitCode
from ..experiment.bench import STANDIN_BENCH, load_bench_module
from ..experiment.experiment_runner import ExperimentOptions, run_experiment
from ..experiment.scenario import SCENARIOS
from ..experiment.tables import format_experiment
from ..experiment.variant import SettingChange, Variant, apply_changes
from ..load.example_workloads import WORKLOADS
from .parsing import (
    add_command,
    add_json_option,
    add_workload_option,
    parse_positive,
    parse_seeds,
)

if TYPE_CHECKING:
    from argparse import ArgumentParser, Namespace

    from ..experiment.result import ExperimentResult
    from ..experiment.scenario import Scenario
    from .parsing import Subparsers

_SCENARIO_HELP = '\n'.join(
    f'  {scenario.name:12} {scenario.summary}'
    for scenario in SCENARIOS.values()
)
_DESCRIPTION = f"""\
Starts real processes on loopback for each run, one run after the other.
A variant is a queue policy, `default` for unchanged fleet settings, or
NAME:SECTION.OPTION=VALUE,... for other changes of the settings.
Ratios compare each variant with the first one on the same seed.

scenarios:
{_SCENARIO_HELP}"""


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers,
        'experiment',
        'Compare policies on the same seeds.',
        _DESCRIPTION,
    )
    parser.add_argument(
        'variants', nargs='+', help='the first one is the baseline'
    )
    add_workload_option(parser)
    parser.add_argument(
        '--scenario', choices=sorted(SCENARIOS), default='steady'
    )
    parser.add_argument(
        '--fleet',
        type=Path,
        required=True,
        metavar='FILE',
        help='fleet settings (INI) that the variants change',
    )
    _add_run_options(parser)
    parser.add_argument(
        '--output', type=Path, metavar='FILE', help='save the result as JSON'
    )
    add_json_option(parser)
    parser.set_defaults(run=run)


def _add_run_options(parser: ArgumentParser) -> None:
    parser.add_argument(
        '--seeds', type=parse_seeds, default=(1, 2, 3, 4, 5), help='1-5 or 1,3'
    )
    parser.add_argument(
        '--load',
        type=parse_positive,
        help='fraction of capacity, instead of that of the scenario',
    )
    parser.add_argument(
        '--duration', type=parse_positive, default=20.0, help='measured seconds'
    )
    parser.add_argument(
        '--warmup',
        type=parse_positive,
        default=12.0,
        help='seconds of load before the measured time',
    )
    parser.add_argument('--nodes', type=int, default=3, help='entry VMs')
    parser.add_argument(
        '--engine_flag',
        action='append',
        default=[],
        metavar='NAME=VALUE',
        help='flag of every engine, for instance cache_blocks=150',
    )
    parser.add_argument(
        '--setting',
        action='append',
        default=[],
        metavar='SECTION.OPTION=VALUE',
        help='change of the fleet settings for all variants',
    )
    parser.add_argument(
        '--bench',
        default=STANDIN_BENCH,
        metavar='MODULE',
        help='module that starts the processes (default: %(default)s)',
    )


def run(options: Namespace) -> int:
    """Runs the experiment and prints the comparison."""
    try:
        experiment_options = _read_options(options)
        bench_module = load_bench_module(options.bench)
    except (OSError, ValueError, ImportError) as error:
        sys.stderr.write(f'catkinreach: {error}\n')
        return ExitCode.SETTINGS
    experiment = run_experiment(
        experiment_options, WORKLOADS[options.workload], bench_module
    )
    _write_result(experiment, options)
    is_fully_answered = all(
        result.load.is_fully_answered for result in experiment.runs
    )
    return ExitCode.OK if is_fully_answered else ExitCode.INCOMPLETE


def _read_options(options: Namespace) -> ExperimentOptions:
    changes = [SettingChange.from_text(text) for text in options.setting]
    return ExperimentOptions(
        scenario=_read_scenario(options),
        variants=tuple(map(Variant.from_text, options.variants)),
        seeds=options.seeds,
        fleet_text=apply_changes(
            options.fleet.read_text(encoding='utf-8'), changes
        ),
        node_count=options.nodes,
        engine_flags=tuple(f'--{flag}' for flag in options.engine_flag),
        duration_s=options.duration,
        warmup_s=options.warmup,
    )


def _read_scenario(options: Namespace) -> Scenario:
    scenario = SCENARIOS[options.scenario]
    if options.load is None:
        return scenario
    return msgspec.structs.replace(scenario, load=options.load)


def _write_result(experiment: ExperimentResult, options: Namespace) -> None:
    document = msgspec.json.encode(experiment)
    if options.output:
        options.output.write_bytes(document)
    text = document.decode() if options.json else format_experiment(experiment)
    sys.stdout.write(f'{text}\n')


__all__ = ('add_parser', 'run')
