"""Request plans: reproducibility, rate, surges and prompt prefixes."""

from __future__ import annotations

import uuid

import pytest

from catkinreach_core.ids import WorkspaceId
from catkinreach_ctl.load.example_workloads import WORKLOADS
from catkinreach_ctl.load.idempotency import uuid7
from catkinreach_ctl.load.plan import PlanOptions, plan_requests
from catkinreach_ctl.load.workload import RequestKind, Surge, Workload

USUAL_OPTIONS = PlanOptions(rate_per_s=20, duration_s=20, seed=3)


@pytest.mark.parametrize('workload', WORKLOADS.values(), ids=WORKLOADS)
def test_plan_is_reproducible(workload: Workload) -> None:
    assert plan_requests(workload, USUAL_OPTIONS) == plan_requests(
        workload, USUAL_OPTIONS
    )


def test_plan_has_requested_rate() -> None:
    plan = plan_requests(WORKLOADS['ninepatch'], USUAL_OPTIONS)
    assert len(plan) == pytest.approx(400, rel=0.2)
    assert [request.at_s for request in plan] == sorted(
        request.at_s for request in plan
    )


def test_surge_does_not_change_other_workspaces() -> None:
    surging = WorkspaceId('sunday-bee')
    options = PlanOptions(
        rate_per_s=20,
        duration_s=20,
        seed=3,
        surges=(Surge(workspace_id=surging, factor=5, from_s=5, until_s=15),),
    )
    before = plan_requests(WORKLOADS['ninepatch'], USUAL_OPTIONS)
    after = plan_requests(WORKLOADS['ninepatch'], options)
    others = [request for request in after if request.workspace_id != surging]
    extra = [request for request in after if request not in before]
    assert others == [
        request for request in before if request.workspace_id != surging
    ]
    assert extra
    assert all(5 <= request.at_s < 15 for request in extra)


def test_prompts_share_prefixes() -> None:
    plan = plan_requests(WORKLOADS['dar-el-qarmid'], USUAL_OPTIONS)
    verdicts = [
        request
        for request in plan
        if request.request_class.name == 'shade-verdict'
    ]
    prefixes = {request.prompt[:2048] for request in verdicts}
    assert len(verdicts) > len(prefixes)
    assert len({request.prompt for request in verdicts}) == len(verdicts)
    assert all(
        request.request_class.kind is RequestKind.MODEL for request in verdicts
    )


def test_uuid7_contains_its_time() -> None:
    key = uuid.UUID(uuid7(1_700_000_000_123, (1 << 74) - 1))
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert key.int >> 80 == 1_700_000_000_123
