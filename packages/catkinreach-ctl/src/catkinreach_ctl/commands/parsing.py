"""Command line arguments that several subcommands share."""

from __future__ import annotations

import argparse
from ipaddress import ip_address
from typing import TYPE_CHECKING, NoReturn

from absl.flags import argparse_flags

from catkinreach_core.settings.node import Address

from ..exit_codes import ExitCode
from ..load.example_workloads import WORKLOADS
from ..operator_client import KEY_VARIABLE

if TYPE_CHECKING:
    from typing import Any, TypeAlias

    Subparsers: TypeAlias = Any

MAX_PORT = 65_535


class Parser(argparse_flags.ArgumentParser):
    """Argument parser whose usage errors end with ``ExitCode.USAGE``."""

    def error(self, message: str) -> NoReturn:
        """Prints the usage and the error and exits."""
        self.print_usage()
        self.exit(ExitCode.USAGE, f'{self.prog}: {message}\n')


class HelpFormatter(argparse.RawDescriptionHelpFormatter):
    """Help formatter that keeps line breaks of descriptions."""


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``.

    Raises:
        argparse.ArgumentTypeError: if the text has another form.
    """
    host, _, port = text.rpartition(':')
    try:
        ip_address(host.strip('[]'))
        address = Address(host.strip('[]'), int(port))
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f'expected IP:PORT, found {text!r}'
        ) from error
    if not 1 <= address.port <= MAX_PORT:
        raise argparse.ArgumentTypeError(f'no such port: {address.port}')
    return address


def parse_seeds(text: str) -> tuple[int, ...]:
    """Parses ``1,2,5`` or ``1-5``.

    Raises:
        argparse.ArgumentTypeError: if the text has another form.
    """
    try:
        if '-' in text:
            first, _, last = text.partition('-')
            seeds = tuple(range(int(first), int(last) + 1))
        else:
            seeds = tuple(map(int, text.split(',')))
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f'expected seeds such as 1,2,5 or 1-5, found {text!r}'
        ) from error
    if not seeds:
        raise argparse.ArgumentTypeError(f'{text!r} contains no seed')
    return seeds


def parse_positive(text: str) -> float:
    """Parses a number above 0.

    Raises:
        argparse.ArgumentTypeError: if the text has another form.
    """
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0 < number < float('inf'):
        raise argparse.ArgumentTypeError(
            f'expected a number above 0, found {text!r}'
        )
    return number


def add_command(
    subparsers: Subparsers, name: str, summary: str, description: str
) -> argparse.ArgumentParser:
    """Adds a subcommand and returns its parser."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        name,
        help=summary,
        description=f'{summary}\n\n{description}',
        formatter_class=HelpFormatter,
        inherited_absl_flags=None,
    )
    return parser


def add_node_options(
    parser: argparse.ArgumentParser, *, is_required: bool = True
) -> None:
    """Adds the options of commands that query a node."""
    parser.add_argument(
        '--address',
        type=parse_address,
        required=is_required,
        metavar='IP:PORT',
        help='operator address of the node',
    )
    parser.add_argument(
        '--operator_key_file',
        default='',
        metavar='FILE',
        help=f'file with the operator key (default: the key in {KEY_VARIABLE})',
    )


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Adds ``--json``, which prints JSON instead of text."""
    parser.add_argument(
        '--json', action='store_true', help='print JSON for other programs'
    )


def add_workload_option(parser: argparse.ArgumentParser) -> None:
    """Adds the option that selects a workload."""
    parser.add_argument(
        '--workload',
        choices=sorted(WORKLOADS),
        default='ninepatch',
        help='workload to send (default: %(default)s)',
    )


__all__ = (
    'HelpFormatter',
    'Parser',
    'add_command',
    'add_json_option',
    'add_node_options',
    'add_workload_option',
    'parse_address',
    'parse_positive',
    'parse_seeds',
)
