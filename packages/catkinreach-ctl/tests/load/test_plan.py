"""Plans depend on the seed alone, and surges on one workspace alone."""

from __future__ import annotations

import uuid

import pytest

from catkinreach_core.ids import WorkspaceId
from catkinreach_ctl.load.example_workloads import WORKLOADS
from catkinreach_ctl.load.idempotency import uuid7
from catkinreach_ctl.load.plan import PlanOptions, plan_requests
from catkinreach_ctl.load.workload import RequestKind, Surge, Workload

USUAL = PlanOptions(rate_per_s=20, duration_s=20, seed=3)


@pytest.mark.parametrize('workload', WORKLOADS.values(), ids=WORKLOADS)
def test_plan_repeats(workload: Workload) -> None:
    assert plan_requests(workload, USUAL) == plan_requests(workload, USUAL)


def test_rate_is_near_the_one_asked_for() -> None:
    plan = plan_requests(WORKLOADS['ninepatch'], USUAL)
    assert len(plan) == pytest.approx(400, rel=0.2)
    assert [one.at_s for one in plan] == sorted(one.at_s for one in plan)


def test_surge_leaves_other_workspaces_alone() -> None:
    surging = WorkspaceId('sunday-bee')
    options = PlanOptions(
        rate_per_s=20,
        duration_s=20,
        seed=3,
        surges=(Surge(workspace_id=surging, factor=5, from_s=5, until_s=15),),
    )
    before = plan_requests(WORKLOADS['ninepatch'], USUAL)
    after = plan_requests(WORKLOADS['ninepatch'], options)
    others = [one for one in after if one.workspace_id != surging]
    extra = [one for one in after if one not in before]
    assert others == [one for one in before if one.workspace_id != surging]
    assert extra
    assert all(5 <= one.at_s < 15 for one in extra)


def test_prompts_share_prefixes() -> None:
    plan = plan_requests(WORKLOADS['dar-el-qarmid'], USUAL)
    verdicts = [
        one for one in plan if one.request_class.name == 'shade-verdict'
    ]
    prefixes = {one.prompt[:2048] for one in verdicts}
    assert len(verdicts) > len(prefixes)
    assert len({one.prompt for one in verdicts}) == len(verdicts)
    assert all(one.request_class.kind is RequestKind.MODEL for one in verdicts)


def test_uuid7_carries_its_time() -> None:
    key = uuid.UUID(uuid7(1_700_000_000_123, (1 << 74) - 1))
    assert key.version == 7
    assert key.variant == uuid.RFC_4122
    assert key.int >> 80 == 1_700_000_000_123
