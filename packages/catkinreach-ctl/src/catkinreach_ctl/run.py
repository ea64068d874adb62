"""Entry point of ``catkinreach``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import app

from .commands import (
    check,
    experiment,
    explain,
    load,
    page,
    queue,
    report,
    status,
)
from .commands.parsing import HelpFormatter, Parser

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Sequence

_EPILOG = """\
exit codes: 0 done; 1 usage; 2 faulty settings; 3 node unreachable;
4 refused by the node; 5 an accepted request was not answered in full"""

_COMMANDS = (
    check,
    status,
    queue,
    explain,
    page,
    load,
    experiment,
    report,
)


def parse_arguments(argv: Sequence[str]) -> Namespace:
    """Parses the command line and returns the options of the subcommand."""
    parser = Parser(  # type: ignore[no-untyped-call]
        prog='catkinreach',
        description='Checks, status, load and experiments of catkinreach.',
        epilog=_EPILOG,
        formatter_class=HelpFormatter,
    )
    subparsers = parser.add_subparsers(
        required=True, metavar='COMMAND', parser_class=Parser
    )
    for command in _COMMANDS:
        command.add_parser(subparsers)
    options: Namespace = parser.parse_args(argv[1:])
    return options


def _run_command(options: Namespace) -> int:
    exit_code: int = options.run(options)
    return exit_code


def main() -> None:
    """Runs the ``catkinreach`` command."""
    app.run(_run_command, flags_parser=parse_arguments)


__all__ = ('main', 'parse_arguments')

if __name__ == '__main__':
    main()
