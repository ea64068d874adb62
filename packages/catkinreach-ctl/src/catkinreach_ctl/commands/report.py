"""``catkinreach report``: prints and plots a saved experiment."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from catkinreach_core.documents import DocumentError, decode_json

from ..exit_codes import ExitCode
from ..experiment.result import ExperimentResult
from ..experiment.tables import format_experiment
from .parsing import add_command

if TYPE_CHECKING:
    from argparse import Namespace

    from .parsing import Subparsers

_DESCRIPTION = """\
Prints the comparison; with --plots it draws goodput over time, goodput by
workspace, wasted prefill and wrongful refusals. Plots need the extra `plots`
(matplotlib)."""


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers, 'report', 'Show a saved experiment.', _DESCRIPTION
    )
    parser.add_argument('file', type=Path, help='JSON of an experiment')
    parser.add_argument(
        '--plots',
        type=Path,
        metavar='DIRECTORY',
        help='directory for the plots (PNG)',
    )
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Prints the table, draws the plots and returns the exit code."""
    try:
        experiment = decode_json(options.file.read_bytes(), ExperimentResult)
        paths = _draw_plots(experiment, options.plots) if options.plots else []
    except (OSError, DocumentError, ImportError) as error:
        sys.stderr.write(f'catkinreach: {error}\n')
        return ExitCode.SETTINGS
    sys.stdout.write(f'{format_experiment(experiment)}\n')
    sys.stdout.write(''.join(f'{path}\n' for path in paths))
    return ExitCode.OK


def _draw_plots(experiment: ExperimentResult, directory: Path) -> list[Path]:
    plots = importlib.import_module('..report.plots', __package__)
    paths: list[Path] = plots.draw_plots(experiment, directory)
    return paths


__all__ = ('add_parser', 'run')
