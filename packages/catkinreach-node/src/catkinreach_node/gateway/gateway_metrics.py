"""Counters and latency histograms of a gateway process."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from ..telemetry.metrics import (
    LatencyHistogram,
    ProcessMetrics,
    summary_lines,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


class RequestStage(Enum):
    """Phases of a request whose duration is measured."""

    WAIT = 'wait'
    PREFILL = 'prefill'
    FIRST_EVENT = 'first-event'
    TOTAL = 'total'


class GatewayMetrics(ProcessMetrics):
    """Metrics of one gateway process."""

    def __init__(self) -> None:
        """Starts with empty counters."""
        super().__init__()
        self._stages = {stage: LatencyHistogram() for stage in RequestStage}
        self._failed_sends: Counter[str] = Counter()
        self._failed_load_queries = 0
        self._relayed = 0

    def record(self, stage: RequestStage, seconds: float) -> None:
        """Records the duration of a phase of a request."""
        self._stages[stage].record(seconds)

    def count_failed_send(self, kind: str) -> None:
        """Counts a failed send; ``kind`` is a value of ``SendFailure``."""
        self._failed_sends[kind] += 1

    def count_failed_load_query(self) -> None:
        """Counts an aggregator that didn't answer or hadn't heard the fleet."""
        self._failed_load_queries += 1

    def count_relayed(self) -> None:
        """Counts a request that a peer passed on to an upstream."""
        self._relayed += 1

    def _lines(self) -> Iterator[str]:
        for stage, histogram in self._stages.items():
            yield from summary_lines(
                'catkinreach_stage_seconds',
                histogram,
                f'stage="{stage.value}"',
            )
        for kind, count in sorted(self._failed_sends.items()):
            yield f'catkinreach_failed_sends_total{{kind="{kind}"}} {count}'
        yield (
            f'catkinreach_failed_load_queries_total {self._failed_load_queries}'
        )
        yield f'catkinreach_relayed_requests_total {self._relayed}'
        yield from super()._lines()


__all__ = ('GatewayMetrics', 'RequestStage')
