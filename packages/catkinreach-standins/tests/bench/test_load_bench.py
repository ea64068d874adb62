"""Tests the check of stand-in answers and a run on real processes.

The check must find answers that are truncated, extended, sent to the wrong
workspace or executed twice; otherwise an experiment would count them as good.
"""

from __future__ import annotations

import hashlib
from pathlib import Path

import msgspec
import pytest

from catkinreach_core.ids import WorkspaceId
from catkinreach_ctl.experiment.bench import BenchSpec, load_bench_module
from catkinreach_ctl.experiment.scenario import Scenario
from catkinreach_ctl.experiment.scenario_runner import (
    plan_scenario,
    run_scenario,
)
from catkinreach_ctl.load.example_workloads import NINEPATCH
from catkinreach_ctl.load.plan import (
    PlannedRequest,
    PlanOptions,
    plan_requests,
)
from catkinreach_ctl.load.provenance import Provenance
from catkinreach_ctl.load.workload import RequestKind
from catkinreach_standins.answer import expected_answer
from catkinreach_standins.bench.load_bench import StandinCheck

FLEET = Path(__file__).resolve().parents[4] / 'examples/ninepatch/fleet.ini'
OPTIONS = PlanOptions(rate_per_s=20, duration_s=5, seed=2)


def _plan_request(kind: RequestKind) -> PlannedRequest:
    plan = plan_requests(NINEPATCH, OPTIONS)
    return next(
        request for request in plan if request.request_class.kind is kind
    )


def _encode_plain_answer(planned: PlannedRequest, **fields: object) -> bytes:
    document = {
        'path': planned.request_class.path,
        'execution': 1,
        'workspace': planned.workspace_id,
        'body_sha256': hashlib.sha256(planned.body).hexdigest(),
        **fields,
    }
    return msgspec.json.encode(document)


def test_truncated_or_extended_completion_is_a_fault() -> None:
    planned = _plan_request(RequestKind.MODEL)
    text = expected_answer(planned.prompt, planned.output_tokens)
    check = StandinCheck()
    assert not check.completion_fault(planned, text)
    assert check.completion_fault(planned, text[:-1])
    assert check.completion_fault(planned, text + text.split()[-1] + ' ')


@pytest.mark.parametrize(
    ('fields', 'fault'),
    [
        ({}, ''),
        ({'execution': 2}, 'ran-twice'),
        ({'workspace': WorkspaceId('other')}, 'wrong-workspace'),
        ({'body_sha256': ''}, 'wrong-body'),
    ],
)
def test_fault_of_an_order_is_named(
    fields: dict[str, object], fault: str
) -> None:
    planned = _plan_request(RequestKind.ORDER)
    answer = _encode_plain_answer(planned, **fields)
    assert StandinCheck().plain_fault(planned, answer) == fault


def test_light_load_on_processes_has_no_faults() -> None:
    scenario = Scenario(name='light', summary='light load', load=0.15)
    spec = BenchSpec(fleet_text=FLEET.read_text(encoding='utf-8'))
    with load_bench_module().open_bench(spec) as bench:
        options = plan_scenario(
            scenario, NINEPATCH, bench, seed=1, duration_s=3, warmup_s=0
        )
        load_result = run_scenario(
            scenario,
            NINEPATCH,
            bench,
            options,
            provenance=Provenance('commit', 'command'),
            new_progress=lambda _: SilentProgress(),
        )
    assert load_result.is_fully_answered
    assert load_result.model.answered
    assert load_result.plain.answered == load_result.plain.offered
    assert load_result.prefill.completed >= load_result.model.answered


class SilentProgress:
    """Progress display that prints nothing."""

    def update(self, count: float | None = 1, /) -> bool | None:
        """Ignores the count of finished requests."""
