"""Interface to a bench: a deployment of real processes for experiments.

The module that starts the processes is loaded by name, so that this package
does not depend on the stand-ins.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Protocol, cast

from msgspec import Struct

if TYPE_CHECKING:
    from contextlib import AbstractContextManager

    from catkinreach_core.ids import UpstreamId, WorkspaceId
    from catkinreach_core.settings.fleet import FleetSettings
    from catkinreach_core.settings.node import Address

    from ..load.checks import AnswerCheck
    from ..load.result import EngineCounters

STANDIN_BENCH = 'catkinreach_standins.bench.load_bench'


class EngineRates(Struct, frozen=True, kw_only=True):
    """Rates of an engine, from which the capacity is computed.

    Attributes:
        prefill_base_s: Fixed time of a prefill.
        prefill_tokens_per_s: Uncached prompt tokens prefilled each second.
        step_base_s: Fixed time of a decode step.
        step_per_request_s: Time that each running request adds to a step.
    """

    prefill_base_s: float
    prefill_tokens_per_s: float
    step_base_s: float
    step_per_request_s: float


class BenchSpec(Struct, frozen=True, kw_only=True):
    """Parameters of a bench.

    Attributes:
        fleet_text: Fleet settings as INI text; the bench replaces addresses.
        node_count: Number of entry VMs.
        engine_flags: Extra flags of every engine.
        seed: Seed of the stand-ins.
    """

    fleet_text: str
    node_count: int = 3
    engine_flags: tuple[str, ...] = ()
    seed: int = 1


class Bench(Protocol):
    """A running deployment on which an experiment sends load."""

    @property
    def address(self) -> Address:
        """Returns the address to which callers connect."""

    @property
    def settings(self) -> FleetSettings:
        """Returns the fleet settings at the start of the bench."""

    @property
    def rates(self) -> EngineRates:
        """Returns the rates of the engines."""

    @property
    def check(self) -> AnswerCheck:
        """Returns the check of answers."""

    def key_of(self, workspace_id: WorkspaceId) -> str:
        """Returns a valid API key of a workspace."""

    def engine_counters(self) -> EngineCounters:
        """Returns the counters of all engines, including killed ones."""

    def publish_setting(self, section: str, option: str, text: str) -> None:
        """Publishes the fleet settings with one option changed.

        Changes of earlier calls are kept.
        """

    def kill_upstream(self, upstream_id: UpstreamId) -> None:
        """Kills the process of an upstream without a drain."""

    def start_upstream(self, upstream_id: UpstreamId) -> None:
        """Starts the process of a killed upstream again."""


class BenchModule(Protocol):
    """A module that starts benches."""

    def open_bench(self, spec: BenchSpec) -> AbstractContextManager[Bench]:
        """Returns a bench that runs inside the ``with`` block."""


def load_bench_module(name: str = STANDIN_BENCH) -> BenchModule:
    """Imports a bench module by name.

    Raises:
        ImportError: if there is no module of this name.
    """
    return cast('BenchModule', importlib.import_module(name))


__all__ = (
    'STANDIN_BENCH',
    'Bench',
    'BenchModule',
    'BenchSpec',
    'EngineRates',
    'load_bench_module',
)
