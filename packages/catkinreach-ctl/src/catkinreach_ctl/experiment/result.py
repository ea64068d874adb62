"""Result of an experiment and the comparison with its baseline."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, Final

import msgspec

from ..load.result import LoadResult

if TYPE_CHECKING:
    from collections.abc import Callable


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one variant on one seed."""

    variant: str
    seed: int
    load: LoadResult


class Spread(msgspec.Struct, frozen=True):
    """Median and range over the seeds."""

    median: float
    low: float
    high: float

    @classmethod
    def from_values(cls, numbers: list[float]) -> Spread:
        """Returns the spread of at least one number."""
        return cls(median(numbers), min(numbers), max(numbers))


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """One measure of one variant, over all seeds.

    Attributes:
        variant: Name of the variant.
        measure: Name of the measure.
        spread: Values of the measure.
        ratio: Ratios to the baseline on the same seed, without seeds on which
            the baseline is 0; ``None`` if no seed remains.
        wins: Number of seeds on which the measure is above the baseline.
    """

    variant: str
    measure: str
    spread: Spread
    ratio: Spread | None
    wins: int


class StepResult(msgspec.Struct, frozen=True):
    """An action of the scenario and its time within the measured time."""

    name: str
    at_s: float


class ExperimentResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of all runs of an experiment.

    Attributes:
        commit: Commit of the source tree.
        command: Command line of the experiment.
        scenario: Name of the scenario.
        workload: Name of the workload.
        capacity_per_s: Requests per second, over all classes, at capacity.
        load: Offered load as a fraction of capacity.
        baseline: Variant with which the others are compared.
        steps: Actions of the scenario.
        runs: One result for each variant and seed.
    """

    commit: str
    command: str
    scenario: str
    workload: str
    capacity_per_s: float
    load: float
    baseline: str
    steps: tuple[StepResult, ...]
    runs: tuple[RunResult, ...]

    @property
    def variants(self) -> tuple[str, ...]:
        """Returns the names of the variants, ordered by first run."""
        return tuple(dict.fromkeys(run.variant for run in self.runs))

    def runs_of(self, variant: str) -> dict[int, LoadResult]:
        """Returns the results of a variant by seed."""
        return {
            run.seed: run.load for run in self.runs if run.variant == variant
        }


MEASURES: Final[dict[str, Callable[[LoadResult], float]]] = {
    'goodput share': lambda load: load.model.good_share,
    'goodput /s': lambda load: load.model.good / load.duration_s,
    'worst workspace': lambda load: load.lowest_good_share,
    'plain goodput share': lambda load: load.plain.good_share,
    'wasted prefill': lambda load: load.prefill.wasted_share,
    'wrongful refusals': lambda load: float(load.wrongful_refusals),
    'refused': lambda load: float(load.model.refused + load.plain.refused),
    'broken': lambda load: float(load.model.broken + load.plain.broken),
    'first token p95 s': lambda load: load.first_token.p95_s,
    'between tokens p95 s': lambda load: load.between_tokens.p95_s,
}
"""Name of each measure and the function that returns its value."""


def compare_variants(experiment: ExperimentResult) -> list[Comparison]:
    """Returns the comparison of each variant with the baseline by measure."""
    return [
        _compare_measure(experiment, variant, measure)
        for measure in MEASURES
        for variant in experiment.variants
    ]


def _compare_measure(
    experiment: ExperimentResult, variant: str, measure: str
) -> Comparison:
    read_measure = MEASURES[measure]
    baseline = experiment.runs_of(experiment.baseline)
    pairs = [
        (read_measure(load), read_measure(baseline[seed]))
        for seed, load in experiment.runs_of(variant).items()
        if seed in baseline
    ]
    ratios = [
        value / baseline_value
        for value, baseline_value in pairs
        if baseline_value
    ]
    return Comparison(
        variant=variant,
        measure=measure,
        spread=Spread.from_values([value for value, _ in pairs]),
        ratio=Spread.from_values(ratios) if ratios else None,
        wins=sum(value > baseline_value for value, baseline_value in pairs),
    )


__all__ = (
    'MEASURES',
    'Comparison',
    'ExperimentResult',
    'RunResult',
    'Spread',
    'StepResult',
    'compare_variants',
)
