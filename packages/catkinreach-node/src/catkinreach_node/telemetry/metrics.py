"""Counters, gauges and latency histograms of one process.

They are exposed in the Prometheus text exposition format, version 0.0.4.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from .hops import Hop

MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
QUANTILES: Final = (0.5, 0.95, 0.99, 1.0)
MICROSECONDS_PER_S: Final = 1_000_000
METRICS_TYPE: Final = 'text/plain; version=0.0.4'


class LatencyHistogram:
    """Histogram of one kind of latency, from 1 microsecond to 1 hour."""

    def __init__(self) -> None:
        """Starts empty."""
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    @property
    def count(self) -> int:
        """Returns the number of recorded latencies."""
        return int(self._histogram.get_total_count())

    @property
    def sum_s(self) -> float:
        """Returns the sum of the recorded latencies in seconds."""
        return self._sum_s

    def record(self, latency_s: float) -> None:
        """Records a latency; one out of range counts as the nearest bound."""
        self._sum_s += latency_s
        latency_us = int(latency_s * MICROSECONDS_PER_S)
        self._histogram.record_value(
            min(max(latency_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def quantile_s(self, quantile: float) -> float:
        """Returns a quantile in seconds, 0 if no latency was recorded."""
        latency_us = self._histogram.get_value_at_percentile(quantile * 100)
        return float(latency_us) / MICROSECONDS_PER_S


class ProcessMetrics:
    """Metrics common to all processes: answers, failed tasks and gauges."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._answers: Counter[tuple[str, str]] = Counter()
        self._unanswered: Counter[str] = Counter()
        self._task_failures: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}

    def count_answer(self, status: int, code: str) -> None:
        """Counts an answer by HTTP status and error code, ``ok`` if none."""
        self._answers[str(status), code] += 1

    def count_unanswered(self, end: str) -> None:
        """Counts a request without a whole response.

        Args:
            end: Value of the ``ConnectionEnd``.
        """
        self._unanswered[end] += 1

    def count_task_failure(self, name: str) -> None:
        """Counts an unexpected error of a task."""
        self._task_failures[name] += 1

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge; ``read`` is called for each exposition."""
        self._gauges[name] = read

    def exposition(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        for (status, code), count in sorted(self._answers.items()):
            labels = f'status="{status}",code="{code}"'
            yield f'catkinreach_answers_total{{{labels}}} {count}'
        for end, count in sorted(self._unanswered.items()):
            labels = f'end="{end}"'
            yield f'catkinreach_unanswered_requests_total{{{labels}}} {count}'
        for name, count in sorted(self._task_failures.items()):
            yield f'catkinreach_task_failures_total{{task="{name}"}} {count}'
        for name, read in sorted(self._gauges.items()):
            yield f'catkinreach_{name} {read():g}'


class Metrics(ProcessMetrics):
    """Metrics of a node: hops and token latencies besides the answers."""

    def __init__(self) -> None:
        """Starts with empty histograms."""
        super().__init__()
        self._hops: defaultdict[Hop, LatencyHistogram] = defaultdict(
            LatencyHistogram
        )
        self._first_token = LatencyHistogram()
        self._between_tokens = LatencyHistogram()

    @property
    def first_token(self) -> LatencyHistogram:
        """Returns the latencies from acceptance to the first token."""
        return self._first_token

    @property
    def between_tokens(self) -> LatencyHistogram:
        """Returns the latencies between two tokens."""
        return self._between_tokens

    def hop_latency(self, hop: Hop) -> LatencyHistogram:
        """Returns the latency histogram of a hop."""
        return self._hops[hop]

    def _lines(self) -> Iterator[str]:
        for hop, histogram in sorted(
            self._hops.items(), key=lambda pair: pair[0].value
        ):
            yield from summary_lines(
                'catkinreach_hop_seconds', histogram, f'hop="{hop.value}"'
            )
        yield from summary_lines(
            'catkinreach_first_token_seconds', self._first_token
        )
        yield from summary_lines(
            'catkinreach_between_tokens_seconds', self._between_tokens
        )
        yield from super()._lines()


def summary_lines(
    name: str, histogram: LatencyHistogram, labels: str = ''
) -> Iterator[str]:
    """Yields the exposition lines of a histogram as a summary."""
    for quantile in QUANTILES:
        label_text = ','.join(filter(None, (labels, f'quantile="{quantile}"')))
        yield f'{name}{{{label_text}}} {histogram.quantile_s(quantile):g}'
    suffix = f'{{{labels}}}' if labels else ''
    yield f'{name}_sum{suffix} {histogram.sum_s:g}'
    yield f'{name}_count{suffix} {histogram.count}'


__all__ = (
    'METRICS_TYPE',
    'LatencyHistogram',
    'Metrics',
    'ProcessMetrics',
    'summary_lines',
)
