"""Formats results as text tables."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .result import compare_variants

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..load.result import Counts, LoadResult, Percentiles
    from .result import Comparison, ExperimentResult, Spread


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a text table; the first column is left-aligned."""
    lines = [tuple(header), *map(tuple, rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align_cells(line, widths) for line in lines)


def format_load_result(load: LoadResult) -> str:
    """Returns the text tables of one load run."""
    return '\n\n'.join(
        (_outcome_table(load), _latency_table(load), _workspace_table(load))
    )


def format_experiment(experiment: ExperimentResult) -> str:
    """Returns a text table that compares all variants with the baseline."""
    header = ('measure', 'variant', 'median', 'low', 'high', 'ratio', 'wins')
    title = (
        f'{experiment.workload}, {experiment.scenario}: '
        f'{experiment.load:g} of {experiment.capacity_per_s:.1f} requests/s, '
        f'baseline {experiment.baseline}, commit {experiment.commit}'
    )
    rows = [
        _comparison_row(comparison)
        for comparison in compare_variants(experiment)
    ]
    return f'{title}\n{format_table(header, rows)}'


def _align_cells(line: Sequence[str], widths: Sequence[int]) -> str:
    first, *rest = zip(line, widths, strict=True)
    cells = [first[0].ljust(first[1])]
    cells += [text.rjust(width) for text, width in rest]
    return '  '.join(cells).rstrip()


def _outcome_table(load: LoadResult) -> str:
    header = ('requests', 'offered', 'answered', 'good', 'refused', 'broken')
    rows = [
        _outcome_row('model', load.model),
        _outcome_row('plain', load.plain),
    ]
    lines = [format_table(header, rows)]
    for name, counts in (('model', load.model), ('plain', load.plain)):
        lines += [
            f'  {name} {kind} {code}: {count}'
            for kind, codes in (
                ('refused', counts.refusals),
                ('broken', counts.breaks),
            )
            for code, count in codes.items()
        ]
    prefill = load.prefill
    lines.append(
        f'prefills {prefill.prefills}, wasted {prefill.wasted_share:.2%}, '
        f'cached tokens {prefill.cached_tokens} of '
        f'{prefill.cached_tokens + prefill.prefill_tokens}'
    )
    return '\n'.join(lines)


def _outcome_row(name: str, counts: Counts) -> tuple[str, ...]:
    numbers = (
        counts.offered,
        counts.answered,
        counts.good,
        counts.refused,
        counts.broken,
    )
    return (name, *map(str, numbers))


def _latency_table(load: LoadResult) -> str:
    header = ('milliseconds', 'p50', 'p95', 'p99', 'max')
    rows = [
        _latency_row('first token', load.first_token),
        _latency_row('between tokens', load.between_tokens),
        _latency_row('plain answer', load.plain_latency),
        _latency_row('send lag', load.send_lag),
    ]
    return format_table(header, rows)


def _latency_row(name: str, times: Percentiles) -> tuple[str, ...]:
    seconds = (times.p50_s, times.p95_s, times.p99_s, times.max_s)
    return (name, *(f'{value * 1000:.1f}' for value in seconds))


def _workspace_table(load: LoadResult) -> str:
    header = ('workspace', 'offered', 'good', 'share', 'good/s', 'wrongful')
    return format_table(
        header,
        [
            (
                name,
                str(item.model.offered + item.plain.offered),
                str(item.model.good + item.plain.good),
                f'{_good_share(item.model, item.plain):.3f}',
                f'{(item.model.good + item.plain.good) / load.duration_s:.2f}',
                str(item.wrongful_refusals),
            )
            for name, item in load.workspaces.items()
        ],
    )


def _good_share(*counts: Counts) -> float:
    offered = sum(group.offered for group in counts)
    return sum(group.good for group in counts) / offered if offered else 0.0


def _comparison_row(comparison: Comparison) -> tuple[str, ...]:
    spread = (
        comparison.spread.median,
        comparison.spread.low,
        comparison.spread.high,
    )
    return (
        comparison.measure,
        comparison.variant,
        *(f'{number:.4g}' for number in spread),
        _format_ratio(comparison.ratio),
        str(comparison.wins),
    )


def _format_ratio(ratio: Spread | None) -> str:
    if ratio is None:
        return '-'
    return f'{ratio.median:.3f} ({ratio.low:.3f}-{ratio.high:.3f})'


__all__ = ('format_experiment', 'format_load_result', 'format_table')
