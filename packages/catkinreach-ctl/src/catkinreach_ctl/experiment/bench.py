"""What an experiment needs of a bench of real processes."""

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
    from ..load.result import PrefillUse

STANDIN_BENCH = 'catkinreach_standins.bench.load_bench'


class EngineRates(Struct, frozen=True, kw_only=True):
    """Rates of an engine, from which capacity is worked out.

    Attributes:
        prefill_base_s: Time of an empty prefill.
        prefill_tokens_per_s: Uncached prompt tokens a second.
        step_base_s: Time of a decode step without requests.
        step_per_request_s: Time that each running request adds to a step.
    """

    prefill_base_s: float
    prefill_tokens_per_s: float
    step_base_s: float
    step_per_request_s: float


class BenchSpec(Struct, frozen=True, kw_only=True):
    """What a bench is made of.

    Attributes:
        fleet_text: The fleet's text; the bench replaces the addresses.
        node_count: Entry VMs.
        engine_flags: Extra flags of every engine.
        seed: Seed of the stand-ins.
    """

    fleet_text: str
    node_count: int = 3
    engine_flags: tuple[str, ...] = ()
    seed: int = 1


class Bench(Protocol):
    """A running deployment."""

    @property
    def address(self) -> Address:
        """Returns where callers connect."""

    @property
    def settings(self) -> FleetSettings:
        """Returns the settings that were published first."""

    @property
    def rates(self) -> EngineRates:
        """Returns the rates of the engines."""

    @property
    def check(self) -> AnswerCheck:
        """Returns the judge of answers."""

    def key_of(self, workspace_id: WorkspaceId) -> str:
        """Returns a key in force."""

    def prefill_use(self) -> PrefillUse:
        """Returns what the engines have done so far."""

    def publish_setting(self, section: str, option: str, text: str) -> None:
        """Publishes the fleet's text with one option changed."""

    def kill_upstream(self, upstream_id: UpstreamId) -> None:
        """Ends an upstream's process without notice."""

    def start_upstream(self, upstream_id: UpstreamId) -> None:
        """Starts an upstream that was killed."""


class BenchModule(Protocol):
    """A module that can set up benches."""

    def open_bench(self, spec: BenchSpec) -> AbstractContextManager[Bench]:
        """Returns a bench that runs inside the ``with`` block."""


def load_bench_module(name: str = STANDIN_BENCH) -> BenchModule:
    """Returns a bench module by name, so that the product needs none.

    Raises:
        ImportError: if there is no such module.
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
