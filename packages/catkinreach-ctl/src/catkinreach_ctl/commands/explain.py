"""``catkinreach explain``: why a request went where it went."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from .node_document import show_document
from .parsing import add_command, add_json_option, add_node_options

if TYPE_CHECKING:
    from argparse import Namespace

    from .parsing import Subparsers


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers,
        'explain',
        'Explain the decisions on one request.',
        'Ask the node that answered; the id is its x-request-id header.\n'
        'Exit code 4 if the node does not know the request.',
    )
    parser.add_argument('request', help='id of the request')
    add_node_options(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Prints the decisions; returns the exit code."""
    request_id = quote(options.request, safe='')
    return show_document(options, f'/explain?request={request_id}')


__all__ = ('add_parser', 'run')
