"""Draws the plots of an experiment as PNG files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from matplotlib.figure import Figure

from ..experiment.result import MEASURES
from .plot_data import (
    goodput_curve,
    measure_bars,
    offered_curve,
    workspace_bars,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from matplotlib.axes import Axes

    from ..experiment.result import ExperimentResult
    from .plot_data import Bar

SIZE_INCHES = (9.0, 4.5)
DOTS_PER_INCH = 110
GROUP_WIDTH = 0.8
"""Width of a group of bars; groups are 1 apart."""


def draw_plots(experiment: ExperimentResult, directory: Path) -> list[Path]:
    """Writes all plots to a directory and returns their paths."""
    directory.mkdir(parents=True, exist_ok=True)
    drawings = {
        'goodput-over-time': _draw_goodput_over_time,
        'goodput-by-workspace': _draw_goodput_by_workspace,
        'wasted-prefill': _draw_wasted_prefill,
        'wrongful-refusals': _draw_wrongful_refusals,
    }
    paths = []
    for name, draw in drawings.items():
        figure = Figure(figsize=SIZE_INCHES, layout='constrained')
        axes = figure.subplots()
        draw(axes, experiment)
        _add_legend(figure, axes)
        figure.suptitle(_figure_title(experiment), fontsize='small')
        path = directory / f'{experiment.scenario}-{name}.png'
        figure.savefig(path, dpi=DOTS_PER_INCH)
        paths.append(path)
    return paths


def _figure_title(experiment: ExperimentResult) -> str:
    seeds = sorted({run.seed for run in experiment.runs})
    return (
        f'{experiment.workload}, {experiment.scenario} at '
        f'{experiment.load:g} of capacity, seeds {seeds}, '
        f'commit {experiment.commit}'
    )


def _add_legend(figure: Figure, axes: Axes) -> None:
    handles, labels = axes.get_legend_handles_labels()
    if labels:
        figure.legend(
            handles, labels, loc='outside lower center', ncols=len(labels)
        )


def _draw_goodput_over_time(axes: Axes, experiment: ExperimentResult) -> None:
    offered = offered_curve(experiment, experiment.baseline)
    axes.plot(
        offered.at_s, offered.rates, color='0.6', linestyle=':', label='offered'
    )
    for variant in experiment.variants:
        curve = goodput_curve(experiment, variant)
        axes.plot(curve.at_s, curve.rates, label=variant)
    for step in experiment.steps:
        axes.axvline(step.at_s, color='0.3', linewidth=0.8)
        axes.annotate(
            step.name,
            (step.at_s, 1),
            xycoords=('data', 'axes fraction'),
            xytext=(3, -12),
            textcoords='offset points',
            fontsize='small',
        )
    axes.set_xlabel('intended time of sending, s')
    axes.set_ylabel('good model requests /s, mean over seeds')
    axes.set_ylim(bottom=0)


def _draw_goodput_by_workspace(
    axes: Axes, experiment: ExperimentResult
) -> None:
    groups = [
        workspace_bars(
            experiment, variant, lambda workspace: workspace.model.good_share
        )
        for variant in experiment.variants
    ]
    width = GROUP_WIDTH / len(groups)
    for position, bars in enumerate(groups):
        _draw_bars(
            axes,
            bars,
            offset=(position - (len(groups) - 1) / 2) * width,
            width=width,
            label=experiment.variants[position],
        )
    axes.set_xticks(range(len(groups[0])), [bar.label for bar in groups[0]])
    axes.set_ylabel('good part of the model requests offered')
    axes.set_ylim(0, 1.05)


def _draw_wasted_prefill(axes: Axes, experiment: ExperimentResult) -> None:
    _draw_measure(axes, experiment, 'wasted prefill')
    axes.set_ylabel('part of prefills that no completed decode used')


def _draw_wrongful_refusals(axes: Axes, experiment: ExperimentResult) -> None:
    _draw_measure(axes, experiment, 'wrongful refusals')
    axes.set_ylabel('refused by rate though inside it, requests a run')


def _draw_measure(
    axes: Axes, experiment: ExperimentResult, measure: str
) -> None:
    bars = measure_bars(experiment, MEASURES[measure])
    _draw_bars(axes, bars, offset=0, width=GROUP_WIDTH / 2, label='')
    axes.set_xticks(range(len(bars)), [bar.label for bar in bars])
    axes.set_ylim(bottom=0, top=max(bar.high for bar in bars) * 1.2 or 1)


def _draw_bars(
    axes: Axes,
    bars: Sequence[Bar],
    *,
    offset: float,
    width: float,
    label: str,
) -> None:
    drawn = axes.bar(
        [position + offset for position in range(len(bars))],
        [bar.mean for bar in bars],
        width,
        yerr=[
            [bar.mean - bar.low for bar in bars],
            [bar.high - bar.mean for bar in bars],
        ],
        capsize=3,
        label=label or None,
    )
    axes.bar_label(drawn, fmt='%.3g', fontsize='x-small', padding=2)


__all__ = ('draw_plots',)
