"""Checks lease event logs of all nodes for shards with two owners at once.

Run as ``python -m catkinreach_standins.bench.lease_logs vm-1.events ...``;
the nodes must have run on one machine, since their monotonic clocks are
compared.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.ownership.checker import check_events, owned_periods
from catkinreach_core.ownership.events import LeaseEvent

if TYPE_CHECKING:
    from collections.abc import Iterable


def read_events(paths: Iterable[Path]) -> list[LeaseEvent]:
    """Returns the events of all logs; skips an incomplete last line."""
    decoder = msgspec.json.Decoder(LeaseEvent)
    return [
        decoder.decode(line)
        for path in paths
        for line in path.read_bytes().split(b'\n')[:-1]
    ]


def main(arguments: list[str]) -> int:
    """Prints the violations and a summary; returns the exit code."""
    events = read_events(Path(name) for name in arguments)
    violations = check_events(events)
    for violation in violations:
        sys.stdout.write(f'{violation}\n')
    tenures = len(owned_periods(events))
    sys.stdout.write(f'{tenures} tenures, {len(violations)} violations\n')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

__all__ = ('main', 'read_events')
