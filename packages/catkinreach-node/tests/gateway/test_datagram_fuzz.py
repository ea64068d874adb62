"""Datagrams of peers, whatever is in them, and what a node says afterwards."""

from __future__ import annotations

import asyncio
import ipaddress
import math
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import msgpack
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from catkinreach_core.gateway.crash_reports import (
    CrashReport,
    CrashSource,
    SeenCrash,
    SuspectKey,
    SuspectReport,
)
from catkinreach_core.gateway.feed import (
    DomainEvacuated,
    EntryUnreadable,
    UpstreamPublished,
    UpstreamRemoved,
)
from catkinreach_core.gateway.gossip import (
    CrashMessage,
    GossipMessage,
    LoadQuery,
    LoadReply,
    PeerDatagram,
    Phase,
    StoreBeacon,
    StoreChanges,
    decode_gossip,
    encode_gossip,
)
from catkinreach_core.gateway.load_table import UpstreamLoad
from catkinreach_core.gateway.metadata import ForwardMetadata
from catkinreach_core.gateway.upstream_limits import LimitReport
from catkinreach_core.ids import (
    FailureDomainId,
    Revision,
    UpstreamId,
    WorkspaceId,
)
from catkinreach_node.gateway.peer_link import PeerLink
from catkinreach_node.gateway.store_relay_link import StoreRelayLink
from catkinreach_node.gateway.view_updater import ViewUpdater
from catkinreach_node.http.messages import HttpRequest
from catkinreach_standins.fakes.fuzz_inputs import (
    damaged_bytes,
    damaged_trees,
    fuzz_settings,
    stored_inputs,
)
from catkinreach_standins.fakes.gateway import SERVICE, make_upstream
from catkinreach_standins.fakes.sendable import is_sendable
from catkinreach_standins.platform.deployment import idle_node

if TYPE_CHECKING:
    from catkinreach_node.gateway.node import Node

CORPUS = Path(__file__).parent / 'corpus' / 'datagrams'
PEER = '127.0.0.2'
PEER_ADDRESS = (PEER, 7600)
UPSTREAM = UpstreamId('a')
WORKSPACE = WorkspaceId('sunday-bee')
LOADS = {UPSTREAM: UpstreamLoad(1, 2, 3)}
QUERY = LoadQuery(node=PEER, query_id=1, service=SERVICE, workspace=WORKSPACE)
MESSAGES: tuple[PeerDatagram, ...] = (
    GossipMessage(
        node=PEER,
        phase=Phase.RUNNING,
        members=['127.0.0.3'],
        loads=LOADS,
        admitted={WORKSPACE: 7.0},
        crashes=None,
        down=[UPSTREAM],
        replaced={UPSTREAM: 1_700_000_000_000},
        waiting={SERVICE: 9},
        holder=PEER,
        switching={UPSTREAM: 1.5},
        counting_ms=700,
        known_nodes=3,
        waiting_ranks={SERVICE: {0: 4, 10: 5}},
        store_revision=Revision(4),
        limits={UPSTREAM: LimitReport(1_700_000_000_000, 2.5, 300)},
    ),
    CrashMessage(
        node=PEER,
        report=CrashReport(
            [SeenCrash(CrashSource(5), 10), SeenCrash(CrashSource(6), 20)],
            {
                SuspectKey('one'): SuspectReport([0, 1], None),
                SuspectKey('two'): SuspectReport([1], 30),
            },
        ),
    ),
    QUERY,
    LoadReply(
        node=PEER,
        query_id=1,
        is_complete=True,
        loads=LOADS,
        admitted=5.0,
        queued_tokens=4,
        queued_nodes=1,
        down=[UPSTREAM],
        replaced={UPSTREAM: 3},
        queued_ranks={1: 4},
    ),
    StoreBeacon(
        node=PEER,
        revision=Revision(5),
        changed_revision=Revision(0),
        age_s=0.2,
    ),
    StoreChanges(
        node=PEER,
        after=Revision(0),
        revision=Revision(5),
        expiry_grace_s=0.0,
        changes=[
            UpstreamPublished(make_upstream('b')),
            UpstreamRemoved(UpstreamId('c')),
            DomainEvacuated(FailureDomainId('zone-b')),
            EntryUnreadable('servers/d', 'odd', UpstreamId('d')),
        ],
    ),
)
TREES = tuple(msgspec.to_builtins(message) for message in MESSAGES)
DATAGRAMS = st.one_of(
    *(damaged_trees(tree).map(msgpack.packb) for tree in TREES),
    *(damaged_bytes(encode_gossip(message)) for message in MESSAGES),
    st.binary(max_size=40),
)


@dataclass
class _Transport(asyncio.DatagramTransport):
    """Keeps what is sent."""

    sent: list[bytes] = field(default_factory=list)

    def sendto(self, data: Any, addr: Any = None) -> None:
        del addr
        self.sent.append(data)


def _fail(name: str, error: BaseException) -> None:
    raise AssertionError(name) from error


async def _receive(datagrams: list[bytes]) -> None:
    """Lets a node take datagrams, and checks what it says and believes."""
    node = idle_node()
    node.view.put_upstream(make_upstream('a'), node.clock())
    link = PeerLink(node)
    relay = StoreRelayLink(node, ViewUpdater(node))
    relay.record_listing(Revision(0))
    node.quota.refund(WORKSPACE, 5.0, node.clock())
    transport = _Transport()
    link._transport = transport
    node.send_datagram = link._send_to
    with (
        patch.object(node.supervisor, 'record', _fail),
        patch.object(relay._relay, 'accepts', return_value=True),
        patch.object(node.load_queries._role, '_since_s', -math.inf),
        patch.object(node.checks, 'check_reachable'),
    ):
        for data in datagrams:
            link.datagram_received(data, PEER_ADDRESS)
            message = decode_gossip(data)
            if isinstance(message, LoadReply):
                node.load_queries._apply(SERVICE, WORKSPACE, message)
        link.send_message()
        link.send_message(is_load_change=True)
        node.load_queries._answer(QUERY)
        relay._send_beacon()
    assert transport.sent
    for data in transport.sent:
        assert decode_gossip(data) is not None
    _check_beliefs(node)


def _check_beliefs(node: Node) -> None:
    now_s = node.clock()
    for host in node.members.contacts:
        ipaddress.ip_address(host)
    for upstream_id in node.view.upstream_ids:
        metadata = ForwardMetadata(
            upstream_id=upstream_id,
            deadline_s=1.0,
            priority=1,
            workspace_id=None,
        )
        request = HttpRequest('GET', '/x')
        assert is_sendable(node.dialect.upstream_request(request, metadata))
    numbers = [
        *node.switching_engines.remaining_s(now_s).values(),
        node.view.remaining_grace_s(now_s),
        node.totals.reported_cost(WORKSPACE),
        node.totals.peer_costs(WORKSPACE).cost,
        node.totals.queued_tokens(SERVICE),
    ]
    assert all(map(math.isfinite, numbers))
    assert min(numbers) >= 0
    load = node.loads.total_load(UPSTREAM, now_s)
    assert min(load.running, load.prefill_tokens, load.memory_tokens) >= 0


# A peer's member with a null character closed the socket for good.
@fuzz_settings()
@given(datagrams=st.lists(DATAGRAMS, min_size=1, max_size=3))
@example(datagrams=[encode_gossip(message) for message in MESSAGES])
def test_odd_datagrams_of_a_peer_spoil_a_node(datagrams: list[bytes]) -> None:
    asyncio.run(_receive(datagrams))


@pytest.mark.parametrize('name', stored_inputs(CORPUS))
def test_stored_datagram_spoils_a_node_again(name: str) -> None:
    asyncio.run(_receive([stored_inputs(CORPUS)[name]]))


@pytest.mark.parametrize(
    'message', MESSAGES, ids=lambda one: type(one).__name__
)
def test_sound_datagram_is_refused(message: PeerDatagram) -> None:
    assert decode_gossip(encode_gossip(message)) == message


def test_forged_sender_becomes_a_member() -> None:
    node = idle_node()
    link = PeerLink(node)
    link.datagram_received(encode_gossip(MESSAGES[0]), ('127.0.0.9', 7600))
    assert node.members.count == 1
