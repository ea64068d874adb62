"""Responses of one upstream that end together share one check of their ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from catkinreach_core.gateway.metadata import NO_REQUEST, ReplyMetadata
from catkinreach_node.gateway.identity_check import IdentityCheck
from catkinreach_standins.platform.deployment import (
    Deployment,
    running_deployment,
)

if TYPE_CHECKING:
    from catkinreach_core.gateway.upstream import Upstream
    from catkinreach_node.gateway.node import Node

PAUSE_S = 0.4
RESPONSES = 4
REFUSAL = ReplyMetadata(
    request_id=None,
    is_sealed=False,
    has_not_run=True,
    is_misdirected=False,
    answered_by=None,
    idle_timeout_s=None,
    pause_s=PAUSE_S,
)


def _start_checks(
    check: IdentityCheck, node: Node, upstream: Upstream
) -> list[asyncio.Task[bool]]:
    """Starts checks that wait until the upstream wants requests again."""
    node.pool.drop(upstream.upstream_id)
    node.note_reply(upstream, REFUSAL, NO_REQUEST)
    return [
        asyncio.create_task(check.is_same(upstream, node.clock(), 0.0))
        for _ in range(RESPONSES)
    ]


# An upstream got a check for each response, also of those whose callers left.
@pytest.mark.parametrize(
    ('cancelled', 'checks'), [(0, 1), (1, 1), (RESPONSES, 0)]
)
def test_each_response_that_ends_costs_a_check(
    cancelled: int, checks: int
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, gateway):
            await _check(deployment, gateway._node)

    async def _check(deployment: Deployment, node: Node) -> None:
        name = 'a'
        (upstream,) = (
            known.upstream
            for known in node.view.known_upstreams
            if known.upstream.upstream_id == name
        )
        before = deployment.upstreams[name].check_count
        running = _start_checks(IdentityCheck(node), node, upstream)
        await asyncio.sleep(PAUSE_S / 4)
        for task in running[:cancelled]:
            task.cancel()
        answers = await asyncio.gather(*running[cancelled:])
        assert answers == [True] * (RESPONSES - cancelled)
        await asyncio.sleep(2 * PAUSE_S)
        assert deployment.upstreams[name].check_count - before == checks

    asyncio.run(run())


def test_check_after_one_that_nobody_waits_for_is_cancelled() -> None:
    async def run() -> None:
        async with running_deployment() as (_, gateway):
            node = gateway._node
            upstream = node.view.known_upstreams[0].upstream
            check = IdentityCheck(node)
            for task in _start_checks(check, node, upstream):
                await asyncio.sleep(0)
                task.cancel()
            await asyncio.sleep(0)
            assert await check.is_same(upstream, node.clock(), 0.0)

    asyncio.run(run())
