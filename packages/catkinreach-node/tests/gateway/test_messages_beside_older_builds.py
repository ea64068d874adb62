"""Messages between VMs of which some run an older build."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from catkinreach_core.documents import DocumentError
from catkinreach_core.gateway.catalog import Catalog
from catkinreach_core.gateway.feed import (
    CatalogPublished,
    ChangeBatch,
    DomainEvacuated,
    UpstreamPublished,
)
from catkinreach_core.gateway.gossip import (
    PeerDatagram,
    StoreChanges,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.snapshot import StoreSnapshot, decode_snapshot
from catkinreach_core.gateway.store_relay import has_next_changes
from catkinreach_core.ids import FailureDomainId, Revision
from catkinreach_node.gateway.relay_messages import RelayOutcome, read_outcome
from catkinreach_node.gateway.store_relay_link import StoreRelayLink
from catkinreach_node.gateway.view_updater import ViewUpdater
from catkinreach_standins.fakes.gateway import make_upstream
from catkinreach_standins.platform.fake_fleet import FakeFleet

if TYPE_CHECKING:
    from catkinreach_core.gateway.feed import Change

CATALOG = Catalog(
    version=7, routes={}, services={}, workspaces={}, has_workspaces=False
)
NODES = 40
EARLIER, LATER = Revision(10), Revision(12)


def _sent_beside_a_configuration() -> list[StoreChanges]:
    """Returns what a reader sends of changes among which is a configuration."""
    sent: list[PeerDatagram | None] = []
    fleet = FakeFleet(NODES)
    for node in fleet.nodes.values():
        link = StoreRelayLink(node, ViewUpdater(node))
        node.send_datagram = lambda _, data: sent.append(decode_gossip(data))
        link._relay.update_readers(fleet.nodes)
        node.changed_revision = EARLIER
        changes: list[Change] = [
            CatalogPublished(CATALOG),
            DomainEvacuated(FailureDomainId('zone-a')),
        ]
        link.record_batch(ChangeBatch(changes, LATER))
    return [one for one in sent if isinstance(one, StoreChanges)]


# A build that doesn't know partial changes took them for all there were, and
# never applied the configuration that was left out.
def test_partial_changes_hide_a_configuration_from_older_builds() -> None:
    async def run() -> None:
        messages = _sent_beside_a_configuration()
        assert messages
        for message in messages:
            for held in range(EARLIER, LATER + 1):
                assert not has_next_changes(
                    Revision(held), message.after, message.revision
                )

    asyncio.run(run())


# The answer of an older build, which passes nothing on, counted as a send that
# may have run.
@pytest.mark.parametrize('status', [400, 404, 408, 413, 431])
def test_peer_that_knows_no_relays_may_have_run_a_request(
    status: int,
) -> None:
    assert read_outcome(status, []) is RelayOutcome.NO_PATH


# The version of an engine that an older build left out was taken for that of
# engines without a version, and streams of two versions could be joined.
def test_upstream_of_unknown_version_counts_as_one_of_none() -> None:
    upstream = make_upstream('d')
    document = msgspec.to_builtins(upstream)
    del document['software_version']
    changes = msgspec.msgpack.decode(
        encode_gossip(
            StoreChanges(
                node='10.0.0.1',
                after=EARLIER,
                revision=LATER,
                expiry_grace_s=0.0,
                changes=[UpstreamPublished(upstream)],
            )
        )
    )
    snapshot = msgspec.msgpack.decode(
        msgspec.msgpack.encode(
            StoreSnapshot(
                revision=LATER,
                changed_revision=LATER,
                expiry_grace_s=0.0,
                catalog=None,
                upstreams=[upstream],
                evacuated=[],
            )
        )
    )
    assert decode_gossip(msgspec.msgpack.encode(changes)) is not None
    changes[5][0][1] = document
    assert decode_gossip(msgspec.msgpack.encode(changes)) is None
    decode_snapshot(msgspec.msgpack.encode(snapshot))
    snapshot[4][0] = document
    with pytest.raises(DocumentError):
        decode_snapshot(msgspec.msgpack.encode(snapshot))
