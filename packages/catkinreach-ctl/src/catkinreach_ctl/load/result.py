"""Result of a load run; the types define its JSON format."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
"""Range of the latency histograms; other latencies count as its bounds."""

SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


class Percentiles(msgspec.Struct, frozen=True):
    """Percentiles of a latency in seconds."""

    count: int = 0
    p50_s: float = 0.0
    p95_s: float = 0.0
    p99_s: float = 0.0
    max_s: float = 0.0

    @classmethod
    def from_seconds(cls, times_s: Iterable[float]) -> Percentiles:
        """Returns the percentiles of recorded times."""
        histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        for time_s in times_s:
            rounded_us = max(MIN_LATENCY_US, round(time_s * US_PER_S))
            histogram.record_value(min(MAX_LATENCY_US, rounded_us))
        if not histogram.total_count:
            return cls()
        return cls(
            count=histogram.total_count,
            p50_s=histogram.get_value_at_percentile(50) / US_PER_S,
            p95_s=histogram.get_value_at_percentile(95) / US_PER_S,
            p99_s=histogram.get_value_at_percentile(99) / US_PER_S,
            max_s=histogram.get_max_value() / US_PER_S,
        )


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """How requests ended.

    Attributes:
        offered: Requests sent.
        answered: Answered once and completely.
        refused: Refused with the outcome ``not-run``.
        broken: Neither answered nor refused.
        good: Answered within both latency targets.
        refusals: Refused requests by code.
        breaks: Broken requests by reason.
    """

    offered: int = 0
    answered: int = 0
    refused: int = 0
    broken: int = 0
    good: int = 0
    refusals: dict[str, int] = {}
    breaks: dict[str, int] = {}

    @property
    def good_share(self) -> float:
        """Returns the ratio of good to offered requests."""
        return self.good / self.offered if self.offered else 0.0


class WorkspaceResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one workspace.

    Attributes:
        model: Requests to engines.
        plain: Requests to plain services.
        wrongful_refusals: Requests refused by rate although within rate and
            burst.
    """

    model: Counts
    plain: Counts
    wrongful_refusals: int


class SecondResult(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of the model requests with intended send times in one second."""

    at_s: int
    offered: int
    good: int
    answered: int


class EngineCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of all engines together, from the engines' own records.

    Attributes:
        prefills: Completed prefills.
        completed: Completed decodes.
        expired: Exports of KV cache that expired without an import.
        prefill_tokens: Prompt tokens that were prefilled.
        cached_tokens: Prompt tokens found in the prefix cache.
    """

    prefills: int = 0
    completed: int = 0
    expired: int = 0
    prefill_tokens: int = 0
    cached_tokens: int = 0

    @property
    def wasted_share(self) -> float:
        """Returns the fraction of prefills that no completed decode used."""
        if not self.prefills:
            return 0.0
        return max(0, self.prefills - self.completed) / self.prefills

    def since(self, earlier: EngineCounters) -> EngineCounters:
        """Returns the increase since an earlier reading."""
        return EngineCounters(
            **{
                name: getattr(self, name) - getattr(earlier, name)
                for name in self.__struct_fields__
            }
        )


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run, with what is needed to reproduce it.

    Attributes:
        commit: Commit of the source tree, with ``+`` if it has changes.
        command: Command line that was run.
        workload: Name of the workload.
        seed: Seed of the arrivals.
        rate_per_s: Requests of all classes a second.
        duration_s: Measured time.
        model: Requests to engines, all workspaces.
        plain: Requests to plain services, all workspaces.
        first_token: Times from the intended send time to the first token.
        between_tokens: Times between tokens of answered requests.
        plain_latency: Times from the intended send time to the end of the
            answer, for plain services.
        send_lag: Times from the intended to the actual send time.
        workspaces: Results by workspace.
        seconds: Model requests by second.
        prefill: Counters of the engines for the run.
    """

    commit: str
    command: str
    workload: str
    seed: int
    rate_per_s: float
    duration_s: float
    model: Counts
    plain: Counts
    first_token: Percentiles
    between_tokens: Percentiles
    plain_latency: Percentiles
    send_lag: Percentiles
    workspaces: dict[str, WorkspaceResult]
    seconds: tuple[SecondResult, ...]
    prefill: EngineCounters = EngineCounters()

    @property
    def is_fully_answered(self) -> bool:
        """Returns whether every accepted request was answered completely."""
        return not self.model.broken and not self.plain.broken

    @property
    def wrongful_refusals(self) -> int:
        """Returns the wrongful refusals of all workspaces."""
        return sum(
            workspace.wrongful_refusals
            for workspace in self.workspaces.values()
        )

    @property
    def lowest_good_share(self) -> float:
        """Returns the good share of the workspace in which it is lowest.

        Only model requests count.
        """
        shares = [
            workspace.model.good_share
            for workspace in self.workspaces.values()
            if workspace.model.offered
        ]
        return min(shares, default=0.0)


__all__ = (
    'Counts',
    'EngineCounters',
    'LoadResult',
    'Percentiles',
    'SecondResult',
    'WorkspaceResult',
)
