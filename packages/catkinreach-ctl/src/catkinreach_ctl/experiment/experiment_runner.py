"""Runs each variant on each seed, one bench at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct
from tqdm import tqdm

from ..load.provenance import Provenance
from .bench import BenchSpec
from .capacity import capacity_per_s
from .result import ExperimentResult, RunResult, StepResult
from .scenario import Scenario
from .scenario_runner import plan_scenario, run_scenario
from .variant import Variant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ..load.runner import Progress
    from ..load.workload import Workload
    from .bench import Bench, BenchModule


class ExperimentOptions(Struct, frozen=True, kw_only=True):
    """Options of an experiment.

    Attributes:
        scenario: Offered load and actions.
        variants: Variants to compare; the first one is the baseline.
        seeds: Seeds on which each variant runs.
        fleet_text: Fleet settings as INI text, without the variants' changes.
        node_count: Number of entry VMs.
        engine_flags: Extra flags of every engine.
        duration_s: Measured time of a run.
        warmup_s: Time of load before the measured time.
    """

    scenario: Scenario
    variants: tuple[Variant, ...]
    seeds: tuple[int, ...]
    fleet_text: str
    node_count: int = 3
    engine_flags: tuple[str, ...] = ()
    duration_s: float = 20.0
    warmup_s: float = 12.0


def run_experiment(
    options: ExperimentOptions, workload: Workload, module: BenchModule
) -> ExperimentResult:
    """Runs all variants on all seeds and returns the results."""
    provenance = Provenance.of_process()
    capacity = 0.0
    runs = []
    for seed, variant in _run_order(options):
        with module.open_bench(_bench_spec(options, variant, seed)) as bench:
            capacity = capacity_per_s(workload, bench.settings, bench.rates)
            runs.append(
                _run_variant(
                    options, workload, bench, variant, seed, provenance
                )
            )
    return ExperimentResult(
        commit=provenance.commit,
        command=provenance.command,
        scenario=options.scenario.name,
        workload=workload.name,
        capacity_per_s=capacity,
        load=options.scenario.load,
        baseline=options.variants[0].name,
        steps=tuple(
            StepResult(step.kind.value, step.at_part * options.duration_s)
            for step in options.scenario.steps
        ),
        runs=tuple(runs),
    )


def _run_order(options: ExperimentOptions) -> Iterator[tuple[int, Variant]]:
    """Yields the runs; every second seed reverses the order of variants."""
    for position, seed in enumerate(options.seeds):
        direction = -1 if position % 2 else 1
        for variant in options.variants[::direction]:
            yield seed, variant


def _bench_spec(
    options: ExperimentOptions, variant: Variant, seed: int
) -> BenchSpec:
    return BenchSpec(
        fleet_text=variant.apply(options.fleet_text),
        node_count=options.node_count,
        engine_flags=options.engine_flags,
        seed=seed,
    )


def _run_variant(
    options: ExperimentOptions,
    workload: Workload,
    bench: Bench,
    variant: Variant,
    seed: int,
    provenance: Provenance,
) -> RunResult:
    plan = plan_scenario(
        options.scenario,
        workload,
        bench,
        seed=seed,
        duration_s=options.duration_s,
        warmup_s=options.warmup_s,
    )
    load = run_scenario(
        options.scenario,
        workload,
        bench,
        plan,
        provenance=provenance,
        new_progress=_progress_bar_factory(f'{variant.name} seed {seed}'),
    )
    return RunResult(variant=variant.name, seed=seed, load=load)


def _progress_bar_factory(name: str) -> Callable[[int], Progress]:
    def new_progress(total: int) -> Progress:
        return tqdm(total=total, desc=name, unit='req', mininterval=0.5)

    return new_progress


__all__ = ('ExperimentOptions', 'run_experiment')
