"""Computed capacity, limited by prefill or decode engines."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from catkinreach_core.ids import Revision
from catkinreach_core.settings import load_fleet
from catkinreach_ctl.experiment.bench import EngineRates
from catkinreach_ctl.experiment.capacity import capacity_per_s
from catkinreach_ctl.load.example_workloads import WORKLOADS

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
RATES = EngineRates(
    prefill_base_s=0.02,
    prefill_tokens_per_s=8000,
    step_base_s=0.012,
    step_per_request_s=0.0008,
)


def _capacity(name: str, rates: EngineRates) -> float:
    text = (EXAMPLES / name / 'fleet.ini').read_text(encoding='utf-8')
    settings = load_fleet(text, revision=Revision(1), source=name)
    return capacity_per_s(WORKLOADS[name], settings, rates)


@pytest.mark.parametrize('name', sorted(WORKLOADS))
def test_slower_engines_lower_capacity(name: str) -> None:
    slower = msgspec.structs.replace(
        RATES, prefill_base_s=0.2, step_base_s=0.12
    )
    assert 0 < _capacity(name, slower) < _capacity(name, RATES)


def test_ninepatch_is_limited_by_decode() -> None:
    mean_output = (20 * 180 + 15 * 100 + 15 * 55) / 50
    model_per_s = 3 * 20 / (0.012 + 20 * 0.0008) / mean_output
    assert _capacity('ninepatch', RATES) == pytest.approx(2 * model_per_s)
