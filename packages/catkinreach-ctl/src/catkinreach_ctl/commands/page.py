"""``catkinreach page``: saves the status page of a node as HTML."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from ..exit_codes import ExitCode
from ..operator_client import OperatorCallError
from .node_document import fetch_document
from .parsing import add_command, add_node_options

if TYPE_CHECKING:
    from argparse import Namespace

    from .parsing import Subparsers


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers,
        'page',
        'Save the status page of one node as HTML.',
        'Queue by workspace, upstreams and their ramp, owners, configuration.\n'
        'The file contains no key and loads nothing.',
    )
    add_node_options(parser)
    parser.add_argument(
        '--output',
        type=Path,
        default=Path('catkinreach.html'),
        metavar='FILE',
        help='file to write (default: %(default)s)',
    )
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Saves the page and returns the exit code."""
    try:
        options.output.write_bytes(fetch_document(options, '/page'))
    except OperatorCallError as error:
        sys.stderr.write(f'catkinreach: {error}\n')
        return error.exit_code
    except OSError as error:
        sys.stderr.write(f'catkinreach: {options.output}: {error.strerror}\n')
        return ExitCode.USAGE
    sys.stdout.write(f'{options.output}\n')
    return ExitCode.OK


__all__ = ('add_parser', 'run')
