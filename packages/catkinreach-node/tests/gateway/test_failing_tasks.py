"""Tasks of a gateway process that fail with an error nobody expected."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.health import HealthTable
from catkinreach_core.gateway.quota import QuotaTable
from catkinreach_node.gateway.decision_log import Event
from catkinreach_node.gateway.view_updater import ViewUpdater
from catkinreach_standins.platform.deployment import (
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.upstream import UpstreamStandin

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinreach_standins.platform.deployment import Deployment

FAILURES = 3


def _failing(work: Callable[..., object]) -> Callable[..., object]:
    """Returns a function that fails some times before it works."""
    left = FAILURES

    def call(*args: object, **options: object) -> object:
        nonlocal left
        if left:
            left -= 1
            raise OverflowError('int too large to convert to float')
        return work(*args, **options)

    return call


async def _status(deployment: Deployment) -> int:
    status, _ = await deployment.client.call_raw(
        deployment.caller_address, deployment.make_request('/read/')
    )
    return status


async def _check_that_changes_apply(deployment: Deployment) -> None:
    late = UpstreamStandin('late', deployment.upstreams['a'].service)
    deployment.upstreams['late'] = late
    await late.start()
    deployment.publish_upstream(late)

    async def is_used() -> bool:
        assert await _status(deployment) == 200
        return bool(late.received)

    await eventually(is_used, within_s=5.0)


# The process ended, with the requests of all callers.
@pytest.mark.parametrize(
    ('owner', 'name', 'task'),
    [
        (QuotaTable, 'own_counts', 'peers'),
        (HealthTable, 'due_probes', 'probes'),
        (ViewUpdater, 'apply_change', 'store'),
    ],
)
def test_failing_task_ends_the_gateway(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str, task: str
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, gateway):
            monkeypatch.setattr(owner, name, _failing(getattr(owner, name)))
            deployment.publish()
            await _check_that_changes_apply(deployment)
            text = gateway._node.metrics.exposition()
            assert f'catkinreach_task_failures_total{{task="{task}"}}' in text

    asyncio.run(run())


def test_failing_background_work_leaves_no_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        async with running_deployment() as (_, gateway):
            node = gateway._node
            written: list[Event] = []
            monkeypatch.setattr(
                node.log, 'write', lambda event, **_: written.append(event)
            )

            async def work() -> None:
                raise LookupError('gone')

            await asyncio.wait({node.spawn(work())})
            await asyncio.sleep(0)
            assert Event.TASK_FAILED in written

    asyncio.run(run())
