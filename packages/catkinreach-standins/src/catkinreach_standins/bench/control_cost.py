"""Measures the control-plane cost of a node by size of fleet and settings.

Run as ``python -m catkinreach_standins.bench.control_cost --sizes=3,6,9``.
Every node is a process that gets no calls. Upstreams are configured but do not
run.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from absl import flags

from ..command_line import new_flag_values
from .deployment import BenchOptions, Deployment
from .processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Mapping

SETTLE_S = 10.0
VOTERS_TIMEOUT_S = 120.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_MIB = 1024 * 1024
_IDLE_PROGRAM = 'import catkinreach_node.app; import time; time.sleep(60)'


@dataclass(frozen=True, slots=True)
class NodeCost:
    """Control-plane cost of a node over a period.

    Attributes:
        bytes_s: Bytes sent to peers per second.
        frames_s: Messages sent to peers per second.
        cpu_percent: Processor time in percent of one core.
        rss_mib: Resident memory at the end.
    """

    bytes_s: float
    frames_s: float
    cpu_percent: float
    rss_mib: float


class IdleDeployment(Deployment):
    """A deployment whose configured upstreams do not run."""

    def start(self) -> None:
        """Starts the configuration service and the nodes."""
        self._start_config_service()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_ready(node)

    def status(self, number: int) -> Mapping[str, Any]:
        """Returns the status document of a node."""
        _, document = self.operator_call(self.nodes[number], 'GET', '/status')
        return dict(document)


def new_fleet_text(workspaces: int, upstreams: int) -> str:
    """Returns a fleet configuration with that many workspaces and upstreams."""
    lines = ['[failure-domain a]', '[failure-domain b]', '[failure-domain c]']
    lines += ['[pool p]', 'role = prefill', 'model = m']
    lines += ['[pool d]', 'role = decode', 'model = m']
    for number in range(upstreams):
        pool = 'p' if number % 3 == 0 else 'd'
        lines += [
            f'[upstream u{number}]',
            f'pool = {pool}',
            f'address = 127.77.0.1:{40_000 + number}',
            f'failure_domain = {"abc"[number % 3]}',
        ]
    if upstreams:
        lines += ['[service m]', 'kind = model']
        lines += ['prefill_pool = p', 'decode_pool = d']
    for number in range(workspaces):
        lines += [
            f'[workspace w{number}]',
            'requests_per_s=9',
            'request_burst=9',
            'tokens_per_s=9',
            'token_burst=9',
        ]
    return '\n'.join(lines) + '\n'


def measure_fleet(size: int, text: str, period_s: float) -> list[NodeCost]:
    """Runs an idle fleet for a period; returns the cost of each node."""
    options = BenchOptions(fleet=text, node_count=size, has_balancer=False)
    fleet = IdleDeployment(options)
    with fleet:
        wait_until(
            lambda: all(
                fleet.status(number)['ownership']['voting']
                for number in range(size)
            ),
            timeout_s=VOTERS_TIMEOUT_S,
        )
        time.sleep(SETTLE_S)
        before = [_take_sample(fleet, number) for number in range(size)]
        time.sleep(period_s)
        after = [_take_sample(fleet, number) for number in range(size)]
    return [
        _compute_cost(first, last)
        for first, last in zip(before, after, strict=True)
    ]


def measure_base_rss_mib() -> float:
    """Returns the resident memory of a process that imports the node only."""
    with subprocess.Popen(  # noqa: S603 - our own modules
        [sys.executable, '-c', _IDLE_PROGRAM]
    ) as process:
        time.sleep(5.0)
        rss = _rss_mib(process.pid)
        process.kill()
    return rss


@dataclass(frozen=True, slots=True)
class _Sample:
    """Counters of a node's process at one time."""

    at_s: float
    sent_bytes: int
    sent_frames: int
    cpu_s: float
    rss_mib: float


def _take_sample(fleet: IdleDeployment, number: int) -> _Sample:
    pid = fleet.processes[fleet.nodes[number].vm_id].pid
    document = fleet.status(number)
    return _Sample(
        at_s=time.monotonic(),
        sent_bytes=document['peer_bytes_sent'],
        sent_frames=document['peer_frames_sent'],
        cpu_s=_cpu_s(pid),
        rss_mib=_rss_mib(pid),
    )


def _compute_cost(first: _Sample, last: _Sample) -> NodeCost:
    period_s = last.at_s - first.at_s
    return NodeCost(
        bytes_s=(last.sent_bytes - first.sent_bytes) / period_s,
        frames_s=(last.sent_frames - first.sent_frames) / period_s,
        cpu_percent=100 * (last.cpu_s - first.cpu_s) / period_s,
        rss_mib=last.rss_mib,
    )


def _cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    user_ticks, system_ticks = fields[11:13]
    return (int(user_ticks) + int(system_ticks)) / _TICKS_PER_S


def _rss_mib(pid: int) -> float:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / _MIB


def _format_row(label: str, costs: list[NodeCost]) -> str:
    columns = []
    for name in ('bytes_s', 'frames_s', 'cpu_percent', 'rss_mib'):
        numbers = [getattr(cost, name) for cost in costs]
        columns.append(f'{statistics.mean(numbers):.1f} ({max(numbers):.1f})')
    return f'| {label} | {" | ".join(columns)} |'


def main(argv: list[str]) -> None:
    """Prints a row for each fleet size and configuration size."""
    values = new_flag_values()
    flags.DEFINE_list(
        'sizes', ['3', '6', '9'], 'numbers of nodes', flag_values=values
    )
    flags.DEFINE_list(
        'workspaces', ['5'], 'numbers of workspaces', flag_values=values
    )
    flags.DEFINE_list(
        'upstreams', ['0'], 'numbers of upstreams', flag_values=values
    )
    flags.DEFINE_float(
        'period_s', 20.0, 'length of a measurement', flag_values=values
    )
    values(argv)
    sys.stdout.write(
        f'idle Python with the imports: {measure_base_rss_mib():.1f}\n'
    )
    sys.stdout.write('mean (largest) over the nodes\n')
    sys.stdout.write(
        '| nodes, workspaces, upstreams, KiB of text '
        '| bytes/s | messages/s | CPU % | RSS MiB |\n'
    )
    for size in map(int, values.sizes):
        for workspaces in map(int, values.workspaces):
            for upstreams in map(int, values.upstreams):
                text = new_fleet_text(workspaces, upstreams)
                label = (
                    f'{size}, {workspaces}, {upstreams}, {len(text) // _KIB}'
                )
                costs = measure_fleet(size, text, values.period_s)
                sys.stdout.write(_format_row(label, costs) + '\n')
                sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv)

__all__ = ('IdleDeployment', 'NodeCost', 'measure_fleet', 'new_fleet_text')
