"""``catkinreach explain``: shows the decisions on a request."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final
from urllib.parse import quote

from ..exit_codes import ExitCode
from ..log_reading.lines import read_lines
from ..log_reading.rendering import render_history, summarize_causes
from ..log_reading.request_history import build_histories
from .node_document import show_document
from .parsing import add_command, add_json_option, add_node_options

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Iterator

    from ..log_reading.lines import LogLine
    from .parsing import Subparsers

STANDARD_INPUT: Final = '-'


def add_parser(subparsers: Subparsers) -> None:
    """Adds the subcommand."""
    parser = add_command(
        subparsers,
        'explain',
        'Explain the decisions on one request.',
        'With --logs it reads the JSON lines of front processes, a file for\n'
        'each process or - for the standard input, and shows the history of a\n'
        'request; without an id it counts all requests by cause.\n'
        'With --address it queries the node that answered; the id is its\n'
        'x-request-id header.\n'
        'Exit code 4 if the request is not known.',
    )
    parser.add_argument('request', nargs='?', help='id of the request')
    parser.add_argument(
        '--logs', nargs='+', default=(), metavar='FILE', help='logs to read'
    )
    add_node_options(parser, is_required=False)
    add_json_option(parser)
    parser.set_defaults(run=run)


def run(options: Namespace) -> int:
    """Prints the decisions and returns the exit code."""
    if options.logs:
        return _explain_logs(options.logs, options.request)
    if options.address is None or options.request is None:
        sys.stderr.write('explain: give --logs, or an id and --address\n')
        return ExitCode.USAGE
    request_id = quote(options.request, safe='')
    return show_document(options, f'/explain?request={request_id}')


def _explain_logs(sources: list[str], request: str | None) -> int:
    unreadable = 0
    lines: list[LogLine] = []
    try:
        for line in _read_sources(sources):
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    except OSError as error:
        sys.stderr.write(f'explain: {error}\n')
        return ExitCode.USAGE
    if unreadable:
        sys.stderr.write(
            f'explain: skipped {unreadable} lines that are not log lines\n'
        )
    histories = build_histories(lines, request)
    if request is None:
        report_lines = summarize_causes(histories)
    else:
        report_lines = [
            text for history in histories for text in render_history(history)
        ]
    sys.stdout.write('\n'.join((*report_lines, '')) if report_lines else '')
    return ExitCode.OK if histories else ExitCode.REFUSED


def _read_sources(sources: list[str]) -> Iterator[LogLine | None]:
    for source in sources:
        if source == STANDARD_INPUT:
            yield from read_lines(source, sys.stdin.buffer)
            continue
        with Path(source).open('rb') as lines:
            yield from read_lines(Path(source).name, lines)


__all__ = ('add_parser', 'run')
