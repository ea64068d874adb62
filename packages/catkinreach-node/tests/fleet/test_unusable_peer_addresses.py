"""A published VM list with an address that can't be."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from catkinreach_core.fleet_list import VmEntry, VmList
from catkinreach_core.ids import (
    FailureDomainId,
    Incarnation,
    Revision,
    UpstreamId,
    VmId,
)
from catkinreach_core.messages.cell import HoldingsAnswer, HoldingsQuery
from catkinreach_core.settings import load_node
from catkinreach_node.cell.orphan_sweeper import _refuses_connections
from catkinreach_node.peers.transport import PeerUnreachableError
from catkinreach_node.wiring import wire_node

EXAMPLES = Path(__file__).resolve().parents[4] / 'examples'
QUERY = HoldingsQuery(
    incarnation=Incarnation('a'), upstream_id=UpstreamId('u'), request_ids=()
)


def _entry(address: str) -> VmEntry:
    return VmEntry(
        id=VmId('odd'),
        peer_address=address,
        failure_domain=FailureDomainId('a'),
    )


# The error ended the task that holds the leases of the node.
@pytest.mark.parametrize(
    'address',
    ['', 'host', 'host:', ':1', '127.0.0.1:port', '127.0.0.1:-1', 'h:99999'],
)
def test_unusable_address_ends_tasks(address: str) -> None:
    async def run() -> None:
        text = (EXAMPLES / 'ninepatch' / 'vm-1.ini').read_text()
        settings = load_node(text, source='vm-1.ini')
        wiring = wire_node(settings, Incarnation('i'))
        vms = VmList(revision=Revision(1), vms=(_entry(address),))
        assert wiring.context.state.accept_vms(vms)
        transport = wiring.context.transport
        try:
            transport.send(VmId('odd'), QUERY)
            with pytest.raises(PeerUnreachableError):
                await transport.call(
                    VmId('odd'), QUERY, HoldingsAnswer, timeout_s=0.5
                )
        finally:
            transport.close()
            wiring.tracing.close()
        assert not await _refuses_connections(_entry(address))

    asyncio.run(run())
