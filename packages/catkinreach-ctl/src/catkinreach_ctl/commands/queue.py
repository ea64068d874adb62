"""``catkinreach queue``: shows queued requests by workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .node_document import show_document
from .parsing import add_command, add_json_option, add_node_options

if TYPE_CHECKING:
    from argparse import Namespace

    from .parsing import Subparsers


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers,
        'queue',
        'Show the queued requests.',
        'Depth, tokens and age by workspace, as this node sees them.\n'
        'Exit code 3 if the node does not answer.',
    )
    add_node_options(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Prints the queue and returns the exit code."""
    return show_document(options, '/queue')


__all__ = ('add_parser', 'run')
