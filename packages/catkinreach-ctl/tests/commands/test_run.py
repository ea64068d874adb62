"""Exit codes and error messages of the command line."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from catkinreach_ctl.exit_codes import ExitCode

ROOT = Path(__file__).resolve().parents[4]
PROGRAM = (sys.executable, '-m', 'catkinreach_ctl.run')
UNREACHABLE_ADDRESS = '--address=127.0.0.1:1'


def _run_program(
    *arguments: str, key: str = 'k'
) -> subprocess.CompletedProcess[str]:
    return subprocess.run(  # noqa: S603 - our own program
        [*PROGRAM, *arguments],
        capture_output=True,
        text=True,
        check=False,
        env={'CATKINREACH_OPERATOR_KEY': key},
    )


@pytest.mark.parametrize(
    'command',
    [
        'check',
        'status',
        'queue',
        'explain',
        'page',
        'load',
        'experiment',
        'report',
    ],
)
def test_command_prints_help(command: str) -> None:
    completed = _run_program(command, '--help')
    assert completed.returncode == ExitCode.OK
    assert f'usage: catkinreach {command}' in completed.stdout


@pytest.mark.parametrize(
    'arguments',
    [(), ('nonsense',), ('status',), ('status', '--address=host:1')],
)
def test_usage_error_has_exit_code(arguments: tuple[str, ...]) -> None:
    assert _run_program(*arguments).returncode == ExitCode.USAGE


def test_unreachable_node_is_reported_in_one_line() -> None:
    completed = _run_program('status', UNREACHABLE_ADDRESS)
    assert completed.returncode == ExitCode.UNREACHABLE
    assert completed.stderr == 'catkinreach: no node answers at 127.0.0.1:1\n'


def test_missing_key_is_reported_in_one_line() -> None:
    completed = _run_program('status', UNREACHABLE_ADDRESS, key='')
    assert completed.returncode == ExitCode.USAGE
    assert len(completed.stderr.splitlines()) == 1


def test_check_reports_every_fault(tmp_path: Path) -> None:
    path = tmp_path / 'fleet.ini'
    path.write_text('[pool a]\nrole = plian\n[queue]\nmax_requests = x\n')
    completed = _run_program('check', str(path), '--json')
    assert completed.returncode == ExitCode.SETTINGS
    assert len(json.loads(completed.stdout)['faults']) == 2


def test_check_accepts_example() -> None:
    path = ROOT / 'examples' / 'ninepatch' / 'fleet.ini'
    assert _run_program('check', str(path)).returncode == ExitCode.OK
