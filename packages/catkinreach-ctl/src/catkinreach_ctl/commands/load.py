"""``catkinreach load``: sends open-loop load to one address."""

from __future__ import annotations

import asyncio
import importlib
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from tqdm import tqdm

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet
from catkinreach_node.http.client import HttpClient

from ..exit_codes import ExitCode
from ..experiment.tables import format_load_result
from ..load.caller import Caller
from ..load.checks import LengthCheck
from ..load.example_workloads import WORKLOADS
from ..load.plan import PlanOptions, plan_requests
from ..load.provenance import Provenance
from ..load.runner import run_plan
from ..load.summary import summarize_load
from .parsing import (
    add_command,
    add_json_option,
    add_workload_option,
    parse_address,
    parse_positive,
)

if TYPE_CHECKING:
    from argparse import Namespace

    from catkinreach_core.settings.fleet import FleetSettings

    from ..load.checks import AnswerCheck
    from ..load.observation import Observation
    from ..load.result import LoadResult
    from .parsing import Subparsers

_DESCRIPTION = """\
Arrivals follow the seed and never wait for answers; latencies count from the
intended send time. Exit code 5 if an accepted request was not answered
once and in full."""


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers, 'load', 'Send load and check the answers.', _DESCRIPTION
    )
    parser.add_argument(
        '--address',
        type=parse_address,
        required=True,
        metavar='IP:PORT',
        help='address to which requests are sent',
    )
    parser.add_argument(
        '--fleet',
        type=Path,
        required=True,
        metavar='FILE',
        help='fleet settings (INI) with limits and latency targets',
    )
    parser.add_argument(
        '--keys',
        type=Path,
        required=True,
        metavar='FILE',
        help='lines of WORKSPACE KEY',
    )
    add_workload_option(parser)
    parser.add_argument(
        '--rate', type=parse_positive, default=10.0, help='requests per second'
    )
    parser.add_argument(
        '--duration', type=parse_positive, default=10.0, help='seconds of load'
    )
    parser.add_argument('--seed', type=int, default=1, help='seed of arrivals')
    parser.add_argument(
        '--answers',
        default='',
        metavar='MODULE:CLASS',
        help='class that checks answers (default: only their length)',
    )
    parser.add_argument(
        '--output', type=Path, metavar='FILE', help='save the result as JSON'
    )
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Sends the load, prints the result and returns the exit code."""
    try:
        settings = _load_settings(options.fleet)
        keys = _load_keys(options.keys)
        check = load_answer_check(options.answers)
    except (OSError, ValueError, ImportError, CatkinreachError) as error:
        sys.stderr.write(f'catkinreach: {error}\n')
        return ExitCode.SETTINGS
    result = _send_load(options, settings, keys, check)
    document = msgspec.json.encode(result)
    if options.output:
        options.output.write_bytes(document)
    text = document.decode() if options.json else format_load_result(result)
    sys.stdout.write(f'{text}\n')
    return ExitCode.OK if result.is_fully_answered else ExitCode.INCOMPLETE


def load_answer_check(name: str) -> AnswerCheck:
    """Returns the check of answers that ``--answers`` selects.

    Args:
        name: ``MODULE:CLASS`` of the check. ``LengthCheck`` is used if the
            name is empty or the module has no such class.
    """
    if not name:
        return LengthCheck()
    module, _, class_name = name.partition(':')
    check: AnswerCheck = getattr(
        importlib.import_module(module), class_name, LengthCheck
    )()
    return check


def _load_settings(path: Path) -> FleetSettings:
    text = path.read_text(encoding='utf-8')
    return load_fleet(text, revision=Revision(1), source=str(path))


def _load_keys(path: Path) -> dict[str, str]:
    lines = path.read_text(encoding='utf-8').splitlines()
    pairs = [line.split() for line in lines if line.strip()]
    if any(len(pair) != 2 for pair in pairs):  # noqa: PLR2004
        raise ValueError(f'{path}: expected WORKSPACE KEY on each line')
    return {pair[0]: pair[1] for pair in pairs}


def _send_load(
    options: Namespace,
    settings: FleetSettings,
    keys: dict[str, str],
    check: AnswerCheck,
) -> LoadResult:
    workload = WORKLOADS[options.workload]
    plan_options = PlanOptions(
        rate_per_s=options.rate,
        duration_s=options.duration,
        seed=options.seed,
    )
    plan = plan_requests(workload, plan_options)

    async def send() -> list[Observation]:
        client = HttpClient()
        caller = Caller(
            client,
            options.address,
            lambda workspace_id: keys.get(workspace_id, ''),
            check,
        )
        with tqdm(total=len(plan), unit='req') as progress:
            return await run_plan(plan, caller, progress)

    return summarize_load(
        asyncio.run(send()),
        workload=workload,
        options=plan_options,
        settings=settings,
        provenance=Provenance.of_process(),
    )


__all__ = ('add_parser', 'load_answer_check', 'run')
