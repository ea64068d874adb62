"""Results as text for people."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .result import compare

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..load.result import Counts, LoadResult, Percentiles
    from .result import Comparison, ExperimentResult, Spread


def format_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns aligned columns, the first one to the left."""
    lines = [tuple(head), *map(tuple, rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(_align(line, widths) for line in lines)


def format_load_result(load: LoadResult) -> str:
    """Returns the tables of one run."""
    return '\n\n'.join(
        (_ends_table(load), _times_table(load), _workspace_table(load))
    )


def format_experiment(experiment: ExperimentResult) -> str:
    """Returns the comparison of all variants with the baseline."""
    head = ('measure', 'variant', 'median', 'low', 'high', 'ratio', 'wins')
    title = (
        f'{experiment.workload}, {experiment.scenario}: '
        f'{experiment.load:g} of {experiment.capacity_per_s:.1f} requests/s, '
        f'baseline {experiment.baseline}, commit {experiment.commit}'
    )
    rows = [_comparison_row(one) for one in compare(experiment)]
    return f'{title}\n{format_table(head, rows)}'


def _align(line: Sequence[str], widths: Sequence[int]) -> str:
    first, *rest = zip(line, widths, strict=True)
    cells = [first[0].ljust(first[1])]
    cells += [text.rjust(width) for text, width in rest]
    return '  '.join(cells).rstrip()


def _ends_table(load: LoadResult) -> str:
    head = ('requests', 'offered', 'answered', 'good', 'refused', 'broken')
    rows = [_ends_row('model', load.model), _ends_row('plain', load.plain)]
    lines = [format_table(head, rows)]
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


def _ends_row(name: str, counts: Counts) -> tuple[str, ...]:
    numbers = (
        counts.offered,
        counts.answered,
        counts.good,
        counts.refused,
        counts.broken,
    )
    return (name, *map(str, numbers))


def _times_table(load: LoadResult) -> str:
    head = ('milliseconds', 'p50', 'p95', 'p99', 'max')
    rows = [
        _times_row('first token', load.first_token),
        _times_row('between tokens', load.between_tokens),
        _times_row('plain answer', load.plain_latency),
        _times_row('send lag', load.send_lag),
    ]
    return format_table(head, rows)


def _times_row(name: str, times: Percentiles) -> tuple[str, ...]:
    seconds = (times.p50_s, times.p95_s, times.p99_s, times.max_s)
    return (name, *(f'{one * 1000:.1f}' for one in seconds))


def _workspace_table(load: LoadResult) -> str:
    head = ('workspace', 'offered', 'good', 'share', 'good/s', 'wrongful')
    return format_table(
        head,
        [
            (
                name,
                str(one.model.offered + one.plain.offered),
                str(one.model.good + one.plain.good),
                f'{_share(one.model, one.plain):.3f}',
                f'{(one.model.good + one.plain.good) / load.duration_s:.2f}',
                str(one.wrongful_refusals),
            )
            for name, one in load.workspaces.items()
        ],
    )


def _share(*counts: Counts) -> float:
    offered = sum(one.offered for one in counts)
    return sum(one.good for one in counts) / offered if offered else 0.0


def _comparison_row(one: Comparison) -> tuple[str, ...]:
    spread = (one.spread.median, one.spread.low, one.spread.high)
    return (
        one.measure,
        one.variant,
        *(f'{number:.4g}' for number in spread),
        _ratio(one.ratio),
        str(one.wins),
    )


def _ratio(ratio: Spread | None) -> str:
    if ratio is None:
        return '-'
    return f'{ratio.median:.3f} ({ratio.low:.3f}-{ratio.high:.3f})'


__all__ = ('format_experiment', 'format_load_result', 'format_table')
