"""``catkinreach check``: validates a fleet settings file."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.errors import CatkinreachError
from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet

from ..exit_codes import ExitCode
from .parsing import add_command, add_json_option

if TYPE_CHECKING:
    from argparse import Namespace

    from .parsing import Subparsers


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers,
        'check',
        'Check fleet settings before they are published.',
        'Prints every fault with its line; exit code 2 if there is one.',
    )
    parser.add_argument('file', type=Path, help='fleet settings (INI)')
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Prints all faults and returns the exit code."""
    faults = find_fleet_faults(options.file)
    if options.json:
        document = {'file': str(options.file), 'faults': faults}
        sys.stdout.write(msgspec.json.encode(document).decode() + '\n')
    elif faults:
        sys.stderr.write('\n'.join(faults) + '\n')
    else:
        sys.stdout.write(f'{options.file}: no faults\n')
    return ExitCode.SETTINGS if faults else ExitCode.OK


def find_fleet_faults(path: Path) -> list[str]:
    """Returns one line for each fault of a fleet settings file."""
    try:
        text = path.read_text(encoding='utf-8')
        load_fleet(text, revision=Revision(1), source=str(path))
    except OSError as error:
        return [f'{path}: {error.strerror}']
    except UnicodeDecodeError:
        return [f'{path}: not UTF-8']
    except CatkinreachError as error:
        return error.detail.splitlines()
    return []


__all__ = ('add_parser', 'find_fleet_faults', 'run')
