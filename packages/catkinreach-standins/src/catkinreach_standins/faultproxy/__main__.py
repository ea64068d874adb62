"""Runs the fault proxy.

``python -m catkinreach_standins.faultproxy --port=9300 --links=links.json``,
where the file contains a JSON list of `LinkPlan`.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
from absl import flags

from ..command_line import new_flag_values
from ..process import serve_forever
from .faults import LinkPlan
from .service import FaultProxy


def main(argv: list[str]) -> None:
    """Runs the fault proxy until the process is stopped."""
    values = new_flag_values()
    flags.DEFINE_integer('port', 0, 'control port', flag_values=values)
    flags.DEFINE_string('links', '', 'JSON file of links', flag_values=values)
    flags.DEFINE_integer('seed', 1, 'seed of the jitter', flag_values=values)
    values(argv)
    links_json = Path(values.links).read_bytes() if values.links else b'[]'
    plans = msgspec.json.decode(links_json, type=tuple[LinkPlan, ...])
    proxy = FaultProxy(plans, seed=values.seed)
    asyncio.run(serve_forever(proxy, name='faultproxy', port=values.port))


if __name__ == '__main__':
    main(sys.argv)
