"""Callers that leave before their request is sent to an engine."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from catkinreach_core.gateway.gossip import GossipMessage, Phase, encode_gossip
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.ids import ServiceId, UpstreamId, WorkspaceId
from catkinreach_standins.platform.config import MODEL_SERVICE
from catkinreach_standins.platform.deployment import (
    Deployment,
    eventually,
    running_deployment,
)

if TYPE_CHECKING:
    import pytest

PEER_HOST = '127.0.0.9'
FULL_TOKENS = 59_500


def _report_full_engines(deployment: Deployment) -> None:
    """Reports to the gateway, as a peer, that the decode engines are full."""
    load = UpstreamLoad(running=1, prefill_tokens=0, memory_tokens=FULL_TOKENS)
    message = GossipMessage(
        node=PEER_HOST,
        phase=Phase.RUNNING,
        loads={UpstreamId(name): load for name in 'de'},
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((PEER_HOST, 0))
        address = (deployment.peer_address.host, deployment.peer_address.port)
        sender.sendto(encode_gossip(message), address)


def test_request_of_gone_caller_counts_towards_quota(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A caller that left and came back was charged twice and got a 429.
    refunds: list[tuple[WorkspaceId, float]] = []

    async def run() -> None:
        async with running_deployment() as (deployment, gateway):
            node = gateway._node
            monkeypatch.setattr(
                node.quota,
                'refund',
                lambda workspace, cost, _: refunds.append((workspace, cost)),
            )
            _report_full_engines(deployment)
            request = deployment.make_request(
                '/stream/', method='POST', token_count='1000,100'
            )
            calling = asyncio.ensure_future(
                deployment.client.call_raw(deployment.caller_address, request)
            )

            async def is_queued() -> bool:
                return node.wait_queues.of(ServiceId(MODEL_SERVICE)).count > 0

            async def has_left() -> bool:
                return not await is_queued()

            await eventually(is_queued, within_s=1.0)
            calling.cancel()
            await eventually(has_left, within_s=1.0)
            assert not deployment.upstreams['d'].received

    asyncio.run(run())
    assert refunds == [(WorkspaceId('one'), 1100)]
