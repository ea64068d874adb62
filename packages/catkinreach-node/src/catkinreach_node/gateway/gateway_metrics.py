"""Counters and latencies of a gateway process, as text."""

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


class Stage(Enum):
    """Where the time of a request goes."""

    WAIT = 'wait'
    PREFILL = 'prefill'
    FIRST_EVENT = 'first-event'
    TOTAL = 'total'


class GatewayMetrics(ProcessMetrics):
    """Everything that one gateway process counts."""

    def __init__(self) -> None:
        """Starts at zero."""
        super().__init__()
        self._stages = {stage: LatencyHistogram() for stage in Stage}
        self._failed_sends: Counter[str] = Counter()

    def record(self, stage: Stage, seconds: float) -> None:
        """Records how long a stage of a request took."""
        self._stages[stage].record(seconds)

    def count_failed_send(self, kind: str) -> None:
        """Counts a send that failed, by a kind of a closed list."""
        self._failed_sends[kind] += 1

    def _lines(self) -> Iterator[str]:
        for stage, histogram in self._stages.items():
            yield from summary_lines(
                'catkinreach_stage_seconds',
                histogram,
                f'stage="{stage.value}"',
            )
        for kind, count in sorted(self._failed_sends.items()):
            yield f'catkinreach_failed_sends_total{{kind="{kind}"}} {count}'
        yield from super()._lines()


__all__ = ('GatewayMetrics', 'Stage')
