"""Result of an experiment and its comparison with the baseline."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, Final

import msgspec

from ..load.result import LoadResult

if TYPE_CHECKING:
    from collections.abc import Callable


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """One variant on one seed."""

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
        spread: The measure itself.
        ratio: To the baseline on the same seed; ``None`` where it is 0.
        wins: Seeds on which the measure is higher than the baseline's.
    """

    variant: str
    measure: str
    spread: Spread
    ratio: Spread | None
    wins: int


class StepResult(msgspec.Struct, frozen=True):
    """An action and when it was done, from the start of the measured time."""

    name: str
    at_s: float


class ExperimentResult(msgspec.Struct, frozen=True, kw_only=True):
    """All runs of an experiment.

    Attributes:
        commit: Commit of the tree.
        command: Command line that was run.
        scenario: Name of the scenario.
        workload: Name of the workload.
        capacity_per_s: Requests of all classes a second at capacity.
        load: Offered load as a part of capacity.
        baseline: Variant that ratios refer to.
        steps: Actions of the scenario.
        runs: One for each variant and seed.
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
        """Returns the names of the variants in the order of the runs."""
        return tuple(dict.fromkeys(run.variant for run in self.runs))

    def runs_of(self, variant: str) -> dict[int, LoadResult]:
        """Returns a variant's results by seed."""
        return {
            run.seed: run.load for run in self.runs if run.variant == variant
        }


MEASURES: Final[dict[str, Callable[[LoadResult], float]]] = {
    'goodput share': lambda load: load.model.good_share,
    'goodput /s': lambda load: load.model.good / load.duration_s,
    'worst workspace': lambda load: load.worst_share,
    'plain goodput share': lambda load: load.plain.good_share,
    'wasted prefill': lambda load: load.prefill.wasted_share,
    'wrongful refusals': lambda load: float(load.wrongful_refusals),
    'refused': lambda load: float(load.model.refused + load.plain.refused),
    'broken': lambda load: float(load.model.broken + load.plain.broken),
    'first token p95 s': lambda load: load.first_token.p95_s,
    'between tokens p95 s': lambda load: load.between_tokens.p95_s,
}
"""Name of each measure and how it is read from a run."""


def compare(experiment: ExperimentResult) -> list[Comparison]:
    """Compares every variant with the baseline, measure by measure."""
    return [
        _compare(experiment, variant, measure)
        for measure in MEASURES
        for variant in experiment.variants
    ]


def _compare(
    experiment: ExperimentResult, variant: str, measure: str
) -> Comparison:
    read = MEASURES[measure]
    baseline = experiment.runs_of(experiment.baseline)
    pairs = [
        (read(load), read(baseline[seed]))
        for seed, load in experiment.runs_of(variant).items()
        if seed in baseline
    ]
    ratios = [own / other for own, other in pairs if other]
    return Comparison(
        variant=variant,
        measure=measure,
        spread=Spread.from_values([own for own, _ in pairs]),
        ratio=Spread.from_values(ratios) if ratios else None,
        wins=sum(own > other for own, other in pairs),
    )


__all__ = (
    'MEASURES',
    'Comparison',
    'ExperimentResult',
    'RunResult',
    'Spread',
    'StepResult',
    'compare',
)
