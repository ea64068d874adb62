"""Starts deployments of stand-ins for ``catkinreach experiment``.

The command imports this module by its name.
"""

from __future__ import annotations

import hashlib
from contextlib import contextmanager
from typing import TYPE_CHECKING

import msgspec

from catkinreach_core.settings.fleet import PoolRole
from catkinreach_core.settings.node import Address
from catkinreach_ctl.experiment.bench import EngineRates
from catkinreach_ctl.experiment.variant import SettingChange
from catkinreach_ctl.load.result import EngineCounters
from catkinreach_ctl.load.workload import RequestKind

from ..answer import expected_answer
from ..engine_options import EngineOptions
from .deployment import BenchOptions, Deployment
from .ports import LOOPBACK
from .processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinreach_core.ids import UpstreamId, WorkspaceId
    from catkinreach_core.settings.fleet import FleetSettings, Upstream
    from catkinreach_ctl.experiment.bench import BenchSpec
    from catkinreach_ctl.load.plan import PlannedRequest


OWNER_TIMEOUT_S = 30.0
OWNER_SETTLE_S = 0.5


class PlainAnswer(msgspec.Struct, frozen=True):
    """Answer of the plain stand-in, which describes the request."""

    path: str
    execution: int
    workspace: str
    body_sha256: str


class StandinCheck:
    """Compares answers with the expected answers of the stand-ins."""

    def completion_fault(self, planned: PlannedRequest, text: str) -> str:
        """Returns the name of a completion's error, empty if it is correct."""
        expected = expected_answer(planned.prompt, planned.output_tokens)
        return '' if text == expected else 'wrong-text'

    def plain_fault(self, planned: PlannedRequest, body: bytes) -> str:
        """Returns the name of a plain answer's error, empty if it is correct.

        The request must have run for its workspace and with its whole body. An
        order must have run only once.
        """
        answer = msgspec.json.decode(body, type=PlainAnswer)
        if answer.workspace != planned.workspace_id:
            return 'wrong-workspace'
        if answer.body_sha256 != hashlib.sha256(planned.body).hexdigest():
            return 'wrong-body'
        is_order = planned.request_class.kind is RequestKind.ORDER
        if is_order and answer.execution != 1:
            return 'ran-twice'
        return ''


class StandinBench:
    """Deployment of stand-ins and nodes on which an experiment runs."""

    def __init__(self, deployment: Deployment, rates: EngineRates) -> None:
        """Uses a running deployment."""
        self._deployment = deployment
        self._rates = rates
        self._check = StandinCheck()
        self._fleet_text = deployment.fleet_text
        self._killed_counters = EngineCounters()

    @property
    def address(self) -> Address:
        """Returns the address to which callers connect."""
        return Address(LOOPBACK, self._deployment.balancer_port)

    @property
    def settings(self) -> FleetSettings:
        """Returns the initial settings of the fleet."""
        return self._deployment.settings

    @property
    def rates(self) -> EngineRates:
        """Returns the processing rates of the engines."""
        return self._rates

    @property
    def check(self) -> StandinCheck:
        """Returns the check of answers."""
        return self._check

    def key_of(self, workspace_id: WorkspaceId) -> str:
        """Returns the API key of a workspace."""
        return f'demo-key-{workspace_id}'

    def engine_counters(self) -> EngineCounters:
        """Returns the prefill totals of all engines, also of killed ones."""
        uses = [
            self._counters_of(engine)
            for engine in self._engines()
            if self._deployment.processes[engine.upstream_id].is_running
        ]
        return _sum_counters([self._killed_counters, *uses])

    def publish_setting(self, section: str, option: str, text: str) -> None:
        """Publishes the fleet configuration with an option changed."""
        change = SettingChange(section, option, text)
        self._fleet_text = change.apply(self._fleet_text)
        self._deployment.publish_config(self._fleet_text)

    def kill_upstream(self, upstream_id: UpstreamId) -> None:
        """Kills an upstream's process and keeps its prefill totals."""
        engine = self.settings.upstreams[upstream_id]
        self._killed_counters = _sum_counters(
            [self._killed_counters, self._counters_of(engine)]
        )
        self._deployment.processes[upstream_id].kill()

    def start_upstream(self, upstream_id: UpstreamId) -> None:
        """Starts an upstream that was killed."""
        self._deployment.start_upstream(self.settings.upstreams[upstream_id])

    def _engines(self) -> list[Upstream]:
        return [
            upstream
            for upstream in self.settings.upstreams.values()
            if self.settings.pools[upstream.pool_id].role is not PoolRole.PLAIN
        ]

    def _counters_of(self, engine: Upstream) -> EngineCounters:
        record = self._deployment.standin_call(
            engine.port, 'GET', '/standin/record'
        )
        return EngineCounters(
            prefills=record['prefills'],
            completed=record['completed_decodes'],
            expired=record['wasted_exports'],
            prefill_tokens=record['prefill_tokens'],
            cached_tokens=record['cached_tokens'],
        )


@contextmanager
def open_bench(spec: BenchSpec) -> Iterator[StandinBench]:
    """Runs a deployment with the spec inside the ``with`` block."""
    options = BenchOptions(
        fleet=spec.fleet_text,
        node_count=spec.node_count,
        engine_flags=spec.engine_flags,
        seed=spec.seed,
    )
    with Deployment(options) as deployment:
        wait_for_owners(deployment)
        yield StandinBench(deployment, _engine_rates(spec.engine_flags))


def wait_for_owners(deployment: Deployment) -> None:
    """Waits until the shards of a new fleet have owners.

    That is assumed once the number of owned shards no longer changes.

    Raises:
        RuntimeError: the shards had no owners in time.
    """
    counts = [0]

    def is_stable() -> bool:
        counts.append(_owned_count(deployment))
        return 0 < counts[-1] == counts[-2]

    if not wait_until(
        is_stable, timeout_s=OWNER_TIMEOUT_S, step_s=OWNER_SETTLE_S
    ):
        raise RuntimeError(f'shards have no owners after {OWNER_TIMEOUT_S} s')


def _owned_count(deployment: Deployment) -> int:
    count = 0
    for node in deployment.nodes:
        _, status = deployment.operator_call(node, 'GET', '/status')
        count += len(status['ownership']['owned'])
    return count


def _engine_rates(engine_flags: tuple[str, ...]) -> EngineRates:
    engine = EngineOptions.from_argv(['engine', *engine_flags])
    scale = engine.time_scale
    return EngineRates(
        prefill_base_s=engine.prefill_base_s * scale,
        prefill_tokens_per_s=engine.prefill_tokens_per_s / scale,
        step_base_s=engine.step_base_s * scale,
        step_per_request_s=engine.step_per_request_s * scale,
    )


def _sum_counters(uses: list[EngineCounters]) -> EngineCounters:
    return EngineCounters(
        **{
            name: sum(getattr(use, name) for use in uses)
            for name in EngineCounters.__struct_fields__
        }
    )


__all__ = ('StandinBench', 'StandinCheck', 'open_bench', 'wait_for_owners')
