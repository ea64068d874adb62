"""Software versions of the engines of a soak, and the faults about them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinreach_standins.platform.soak.engine_faults import EngineFaults
from catkinreach_standins.platform.soak.engine_versions import (
    draw_mixed_versions,
    mix_versions,
    replace_software,
)
from catkinreach_standins.platform.soak.plan import (
    VERSION_KINDS,
    Fault,
    FaultKind,
    TargetKind,
    make_plan,
)
from catkinreach_standins.platform.soak.soak_deployment import SoakDeployment
from catkinreach_standins.platform.upstream import UpstreamStandin

if TYPE_CHECKING:
    from pathlib import Path

SEEDS = range(20)
DURATION_S = 12.0
TARGETS = dict.fromkeys(TargetKind, ('one', 'two'))


def test_some_seeds_mix_versions() -> None:
    assert {draw_mixed_versions(seed) for seed in SEEDS} == {False, True}


def test_engines_get_versions_in_turn() -> None:
    engines = [UpstreamStandin(name, 'model', 'decode') for name in 'defg']
    mix_versions(engines)
    assert [engine.version for engine in engines] == ['v1', 'v2', 'v1', 'v2']


def test_replaced_software_holds_no_prompts() -> None:
    engine = UpstreamStandin('d', 'model', 'decode', held_parts={'aa1'})
    replace_software(engine)
    assert engine.version == 'v2'
    assert not engine.held_parts
    replace_software(engine)
    assert engine.version == 'v1'


def test_replaced_engine_has_another_id_and_version(tmp_path: Path) -> None:
    deployment = SoakDeployment(1, tmp_path, 1, has_mixed_versions=True)
    engine = deployment.upstreams['d']
    fault = Fault(FaultKind.REPLACE_VERSION, 'd', 0.0, 0.0)

    async def run() -> None:
        await engine.start()
        await EngineFaults(deployment).inject(fault)
        engine.close()

    asyncio.run(run())
    assert deployment.mixed_engines == ('d', 'e', 'f', 'g')
    assert (engine.instance_id, engine.version) == ('d-1', 'v2')
    assert 'f' not in deployment.older_targets


def test_version_kinds_need_engines_of_two_versions() -> None:
    targets = {**TARGETS, TargetKind.ENGINE: ()}
    for seed in SEEDS:
        plan = make_plan(seed, DURATION_S, TARGETS)
        assert make_plan(seed, DURATION_S, targets) == tuple(
            fault for fault in plan if fault.kind not in VERSION_KINDS
        )


def test_replacements_overlap_with_kills_of_all_fronts() -> None:
    def overlaps(seed: int) -> bool:
        plan = make_plan(seed, DURATION_S, TARGETS)
        return any(
            fault.at_s < kill.at_s < fault.at_s + fault.duration_s
            for fault in plan
            for kill in plan
            if fault.kind is FaultKind.REPLACE_VERSION
            and kill.kind is FaultKind.KILL_ALL
        )

    assert any(overlaps(seed) for seed in SEEDS)
