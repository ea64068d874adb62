"""Computes the data of the plots, without any plotting library."""

from __future__ import annotations

from collections import defaultdict
from statistics import mean
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..experiment.result import ExperimentResult
    from ..load.result import LoadResult, SecondResult, WorkspaceResult


class Curve(Struct, frozen=True):
    """Rate of requests over time, as the mean over the seeds.

    Attributes:
        at_s: Start of each second, from the start of the measured time.
        rates: Requests in each second.
    """

    at_s: tuple[int, ...]
    rates: tuple[float, ...]


class Bar(Struct, frozen=True):
    """Mean and range of a value over the seeds.

    Attributes:
        label: Name of the variant or workspace.
        mean: Mean of the values.
        low: Lowest value.
        high: Highest value.
    """

    label: str
    mean: float
    low: float
    high: float

    @classmethod
    def from_values(cls, label: str, numbers: list[float]) -> Bar:
        """Returns the bar of at least one number."""
        return cls(label, mean(numbers), min(numbers), max(numbers))


def goodput_curve(experiment: ExperimentResult, variant: str) -> Curve:
    """Returns the good model requests per second over time."""
    return _curve(experiment, variant, lambda second: second.good)


def offered_curve(experiment: ExperimentResult, variant: str) -> Curve:
    """Returns the offered model requests per second over time."""
    return _curve(experiment, variant, lambda second: second.offered)


def measure_bars(
    experiment: ExperimentResult, read_value: Callable[[LoadResult], float]
) -> list[Bar]:
    """Returns the bar of a measure for each variant."""
    return [
        Bar.from_values(
            variant,
            [read_value(load) for load in experiment.runs_of(variant).values()],
        )
        for variant in experiment.variants
    ]


def workspace_bars(
    experiment: ExperimentResult,
    variant: str,
    read_value: Callable[[WorkspaceResult], float],
) -> list[Bar]:
    """Returns the bar of a value for each workspace of a variant."""
    values_by_workspace: defaultdict[str, list[float]] = defaultdict(list)
    for load in experiment.runs_of(variant).values():
        for name, workspace in load.workspaces.items():
            values_by_workspace[name].append(read_value(workspace))
    return [
        Bar.from_values(name, values)
        for name, values in values_by_workspace.items()
    ]


def _curve(
    experiment: ExperimentResult,
    variant: str,
    read_value: Callable[[SecondResult], int],
) -> Curve:
    loads = list(experiment.runs_of(variant).values())
    sums: defaultdict[int, int] = defaultdict(int)
    for second in _all_seconds(loads):
        sums[second.at_s] += read_value(second)
    times = tuple(range(max(sums, default=0) + 1))
    return Curve(times, tuple(sums[at_s] / len(loads) for at_s in times))


def _all_seconds(loads: Iterable[LoadResult]) -> Iterable[SecondResult]:
    for load in loads:
        yield from load.seconds


__all__ = (
    'Bar',
    'Curve',
    'goodput_curve',
    'measure_bars',
    'offered_curve',
    'workspace_bars',
)
