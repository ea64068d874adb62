"""Table, comparison and plots of a saved experiment."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from catkinreach_ctl.exit_codes import ExitCode
from catkinreach_ctl.experiment.result import (
    ExperimentResult,
    RunResult,
    StepResult,
    compare_variants,
)
from catkinreach_ctl.load.result import (
    Counts,
    LoadResult,
    Percentiles,
    SecondResult,
    WorkspaceResult,
)
from catkinreach_ctl.report.plot_data import goodput_curve
from catkinreach_ctl.run import parse_arguments

if TYPE_CHECKING:
    from pathlib import Path

NO_TIMES = Percentiles()


def _load(seed: int, good: int) -> LoadResult:
    model = Counts(offered=10, answered=10, good=good)
    return LoadResult(
        commit='c',
        command='x',
        workload='ninepatch',
        seed=seed,
        rate_per_s=5,
        duration_s=2,
        model=model,
        plain=Counts(),
        first_token=NO_TIMES,
        between_tokens=NO_TIMES,
        plain_latency=NO_TIMES,
        send_lag=NO_TIMES,
        workspaces={
            'one': WorkspaceResult(
                model=model, plain=Counts(), wrongful_refusals=0
            )
        },
        seconds=(SecondResult(at_s=1, offered=10, good=good, answered=10),),
    )


@pytest.fixture
def experiment() -> ExperimentResult:
    runs = {('old', 1): 4, ('old', 2): 5, ('new', 1): 6, ('new', 2): 10}
    return ExperimentResult(
        commit='c',
        command='x',
        scenario='domain',
        workload='ninepatch',
        capacity_per_s=10,
        load=0.5,
        baseline='old',
        steps=(StepResult('domain-out', 1),),
        runs=tuple(
            RunResult(variant=name, seed=seed, load=_load(seed, good))
            for (name, seed), good in runs.items()
        ),
    )


def test_ratio_is_computed_per_seed(experiment: ExperimentResult) -> None:
    goodput = next(
        comparison
        for comparison in compare_variants(experiment)
        if comparison.variant == 'new' and comparison.measure == 'goodput share'
    )
    assert goodput.ratio is not None
    assert goodput.ratio.low == pytest.approx(1.5)
    assert goodput.ratio.high == pytest.approx(2)
    assert goodput.wins == 2


def test_curve_is_mean_over_seeds(experiment: ExperimentResult) -> None:
    curve = goodput_curve(experiment, 'old')
    assert curve.rates == (0, 4.5)


def test_report_writes_all_plots(
    experiment: ExperimentResult,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'experiment.json'
    path.write_bytes(msgspec.json.encode(experiment))
    options = parse_arguments(
        ['catkinreach', 'report', str(path), f'--plots={tmp_path}']
    )
    assert options.run(options) == ExitCode.OK
    assert len(list(tmp_path.glob('*.png'))) == 4
    assert 'wrongful refusals' in capsys.readouterr().out


def test_malformed_file_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / 'experiment.json'
    path.write_text('{')
    options = parse_arguments(['catkinreach', 'report', str(path)])
    assert options.run(options) == ExitCode.SETTINGS
    assert len(capsys.readouterr().err.splitlines()) == 1
