"""Short runs of the soak, and every seed that once violated an invariant."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from typing import TYPE_CHECKING

import pytest

from catkinreach_standins.platform.builds import ROOT
from catkinreach_standins.platform.soak.plan import (
    ENGINE_KINDS,
    LATER_KINDS,
    FaultKind,
    TargetKind,
    make_plan,
)
from catkinreach_standins.platform.soak.run import SoakOptions, run_soak

if TYPE_CHECKING:
    from pathlib import Path

DURATION_S = 8.0
SHORT_SEEDS = (101, 103)
CRASHING_SEED = 301
MIXED_SEEDS = (801,)
REGRESSION_SEEDS: dict[int, str] = {
    64: 'no response: deadline of a request after SIGTERM past the grace;'
    ' later a refusal, see 404',
    102: 'the same, of a request placed 1.41 s after SIGTERM',
}
"""Seeds that once violated an invariant, with the cause."""

CRASHING_DURATION_S = 12.0
CRASHING_REGRESSION_SEEDS: dict[int, str] = {
    404: 'refused: a silent engine was closed before another one had begun',
    407: 'wrong refusals: a paused front named a crash anew',
    410: 'wrong refusals: a cut link counted as a crash',
    458: 'wrong refusals: a crash had two names at a step of 2 s',
    473: 'late crashing requests: parts that crash together excused each other',
    2608: 'error in the log: a stop cut the refusals of a crowd; two reads of a'
    ' client that was too slow',
    2616: 'refusals without a log line: a crowd used up the lines of all codes',
}
"""The same with crashing requests."""

COUNT_OF_SEED_64 = 42
LATER_COUNT_OF_SEED_64 = 6
START_OF_SEED_64 = [
    (FaultKind.STORE_RESETS, 'one', 0.291),
    (FaultKind.STORE_SILENT, 'two', 0.363),
    (FaultKind.ROLL, 'two', 0.413),
]
"""Faults of 12 s with two targets of each kind, before later kinds came."""


@pytest.mark.parametrize('seed', MIXED_SEEDS)
def test_invariants_hold_beside_earlier_builds(
    seed: int, tmp_path: Path, earlier_builds: tuple[Path, ...]
) -> None:
    options = SoakOptions(
        seed=seed,
        duration_s=DURATION_S,
        front_count=3,
        folder=tmp_path,
        has_crashing_requests=False,
        builds=(ROOT, *earlier_builds),
    )
    assert asyncio.run(run_soak(options)).violations == []


@pytest.mark.parametrize('seed', [*SHORT_SEEDS, *REGRESSION_SEEDS])
def test_invariants_hold_under_faults(seed: int, tmp_path: Path) -> None:
    options = SoakOptions(
        seed=seed,
        duration_s=DURATION_S,
        front_count=3,
        folder=tmp_path,
        has_crashing_requests=False,
    )
    result = asyncio.run(run_soak(options))
    assert not result.violations
    assert result.fault_count


def test_requests_that_crash_engines_are_stopped(tmp_path: Path) -> None:
    options = SoakOptions(
        seed=CRASHING_SEED,
        duration_s=DURATION_S,
        front_count=3,
        folder=tmp_path,
    )
    result = asyncio.run(run_soak(options))
    assert not result.violations
    assert result.crash_count


@pytest.mark.parametrize('seed', CRASHING_REGRESSION_SEEDS)
def test_invariants_hold_with_crashing_requests(
    seed: int, tmp_path: Path
) -> None:
    options = SoakOptions(
        seed=seed,
        duration_s=CRASHING_DURATION_S,
        front_count=3,
        folder=tmp_path,
    )
    assert not asyncio.run(run_soak(options)).violations


def test_plan_is_deterministic_and_covers_every_fault() -> None:
    targets = dict.fromkeys(TargetKind, ('one', 'two'))
    assert make_plan(7, 30.0, targets) == make_plan(7, 30.0, targets)
    drawn = {
        fault.kind
        for seed in range(20)
        for fault in make_plan(seed, 30.0, targets)
    }
    assert drawn == set(FaultKind)


def test_crashing_requests_leave_the_other_faults_as_they_are() -> None:
    targets = dict.fromkeys(TargetKind, ('one', 'two'))
    faults = make_plan(7, 30.0, targets, has_crashing_requests=False)
    others = tuple(
        fault
        for fault in make_plan(7, 30.0, targets)
        if fault.kind is not FaultKind.CRASHING_REQUESTS
    )
    assert faults == others


def test_later_kinds_leave_the_older_faults_as_they_were() -> None:
    targets = dict.fromkeys(TargetKind, ('one', 'two'))
    later = {
        *LATER_KINDS,
        *ENGINE_KINDS,
        FaultKind.CRASHING_REQUESTS,
        FaultKind.CROWD,
        FaultKind.NAME_LIMIT,
        FaultKind.STORE_RESTORED,
    }
    faults = [
        (fault.kind, fault.target, round(fault.at_s, 3))
        for fault in make_plan(64, 12.0, targets)
        if fault.kind not in later
    ]
    assert len(faults) == COUNT_OF_SEED_64
    assert faults[:3] == START_OF_SEED_64


def test_engine_kinds_leave_the_later_faults_as_they_were() -> None:
    targets = dict.fromkeys(TargetKind, ('one', 'two'))
    kinds = [fault.kind for fault in make_plan(64, 12.0, targets)]
    assert sum(kind in LATER_KINDS for kind in kinds) == LATER_COUNT_OF_SEED_64
    assert any(kind in ENGINE_KINDS for kind in kinds)
    assert FaultKind.CROWD in kinds


def test_later_kinds_come_in_series_and_overlap() -> None:
    targets = dict.fromkeys(TargetKind, ('one', 'two', 'three'))
    faults = [
        fault
        for seed in range(20)
        for fault in make_plan(seed, 30.0, targets)
        if fault.kind in LATER_KINDS
    ]
    pairs = list(pairwise(faults))
    for kind in LATER_KINDS:
        assert any(
            first.kind is second.kind is kind and first.target == second.target
            for first, second in pairs
        )
    assert any(
        first.kind is not second.kind
        and first.at_s < second.at_s < first.at_s + first.duration_s
        for first, second in pairs
    )
