"""What nodes tell each other of the streams that begin at them."""

from __future__ import annotations

import asyncio

import pytest

from catkinreach_core.gateway.origin_messages import MAX_TOLD_CHARS
from catkinreach_core.ids import RequestId, ServiceId, SoftwareVersion
from catkinreach_node.gateway.origin_link import OriginLink
from catkinreach_standins.platform.fake_fleet import FakeFleet

NODES = 30
SERVICE = ServiceId('service')
V1 = SoftwareVersion('v1')
LONGEST = RequestId('r' * MAX_TOLD_CHARS)


async def _read_nothing(_service_id: ServiceId, _part: str) -> None:
    """Stands for engines that hold no prompt."""


async def _no_sole_version(_service_id: ServiceId) -> None:
    """Stands for a node that knows of several versions."""


def test_peers_know_the_version_of_a_stream() -> None:
    async def run() -> None:
        fleet = FakeFleet(NODES)
        links = [
            OriginLink(node, _read_nothing, _no_sole_version)
            for node in fleet.nodes.values()
        ]
        links[0].record(LONGEST, V1)
        assert await links[1].ask(LONGEST, SERVICE) == V1

    asyncio.run(run())


@pytest.mark.parametrize('request_id', [f'{LONGEST}r', 'r' * 60_000])
def test_long_request_ids_filled_the_memory_and_the_link(
    request_id: str,
) -> None:
    async def run() -> None:
        node = FakeFleet(NODES).nodes['10.0.0.0']
        sent: list[bytes] = []
        node.send_datagram = lambda _host, data: sent.append(data)
        link = OriginLink(node, _read_nothing, _no_sole_version)
        link.record(RequestId(request_id), V1)
        assert link.find(RequestId(request_id)) is None
        assert await link.ask(RequestId(request_id), SERVICE) is None
        assert not sent

    asyncio.run(run())
