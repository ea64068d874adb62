"""Counters and latencies of a gateway process, as text."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from ..telemetry.metrics import LatencyHistogram, summary_lines

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


class Stage(Enum):
    """Where the time of a request goes."""

    WAIT = 'wait'
    PREFILL = 'prefill'
    FIRST_EVENT = 'first-event'
    TOTAL = 'total'


class GatewayMetrics:
    """Everything that one gateway process counts."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._stages = {stage: LatencyHistogram() for stage in Stage}
        self._answers: Counter[tuple[int, str]] = Counter()
        self._failed_sends: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}

    def record(self, stage: Stage, seconds: float) -> None:
        """Records how long a stage of a request took."""
        self._stages[stage].record(seconds)

    def count_answer(self, status: int, code: str) -> None:
        """Counts an answer by status and error code, ``ok`` if none."""
        self._answers[status, code] += 1

    def count_failed_send(self, kind: str) -> None:
        """Counts a send that failed, by a kind of a closed list."""
        self._failed_sends[kind] += 1

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge that is read when the metrics are asked for."""
        self._gauges[name] = read

    def exposition(self) -> str:
        """Returns all metrics as text."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        for stage, histogram in self._stages.items():
            yield from summary_lines(
                'catkinreach_stage_seconds',
                histogram,
                f'stage="{stage.value}"',
            )
        for (status, code), count in sorted(self._answers.items()):
            labels = f'status="{status}",code="{code}"'
            yield f'catkinreach_answers_total{{{labels}}} {count}'
        for kind, count in sorted(self._failed_sends.items()):
            yield f'catkinreach_failed_sends_total{{kind="{kind}"}} {count}'
        for name, read in sorted(self._gauges.items()):
            yield f'catkinreach_{name} {read():g}'


__all__ = ('GatewayMetrics', 'Stage')
