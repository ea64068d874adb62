"""Streams of several priorities that wait at several VMs."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_core.gateway.gossip import GossipMessage, Phase
from catkinreach_core.ids import ServiceId
from catkinreach_standins.platform.config import (
    KEY,
    MODEL_SERVICE,
    make_config,
    make_route,
)
from catkinreach_standins.platform.deployment import (
    eventually,
    running_deployment,
)
from catkinreach_standins.platform.raw_replies import fetch, make_request

PEER = '127.0.0.9'
WITHIN_S = 10.0
TENANTS = [{'name': 'one', 'api-keys': [KEY], 'priority': 1}]
URGENT_RANK = 10
"""Rank of the most urgent route for a workspace of priority 1."""
VERSION = 7
WAITING_TOKENS = 2**40
"""Far more memory than the engines have."""


def _routes(urgent: int, other: int) -> list[object]:
    return [
        make_route(
            'stream',
            'streaming',
            MODEL_SERVICE,
            priority=urgent,
            resumable=True,
        ),
        make_route('once', 'streaming', MODEL_SERVICE, priority=other),
    ]


# A stream took the memory that a more urgent one of a peer waited for.
@pytest.mark.parametrize(
    ('priorities', 'status'), [((0, 2), 503), ((1, 1), 200)]
)
def test_stream_goes_before_a_more_urgent_one_of_a_peer(
    priorities: tuple[int, int], status: int
) -> None:
    async def run() -> None:
        async with running_deployment() as (deployment, gateway):
            node = gateway._node
            deployment.store.put(
                'op/config',
                make_config(
                    VERSION, routes=_routes(*priorities), tenants=TENANTS
                ),
            )

            async def is_applied() -> bool:
                catalog = node.view.catalog
                return catalog is not None and catalog.version == VERSION

            await eventually(is_applied, within_s=WITHIN_S)
            node.peer_handlers[GossipMessage](
                GossipMessage(
                    node=PEER,
                    phase=Phase.RUNNING,
                    waiting_ranks={
                        ServiceId(MODEL_SERVICE): {URGENT_RANK: WAITING_TOKENS}
                    },
                )
            )
            request = make_request(deployment, '/once/')
            assert (await fetch(deployment, request))[0] == status
            urgent = make_request(deployment, '/stream/')
            assert (await fetch(deployment, urgent))[0] == 200

    asyncio.run(run())
