"""Datagrams between nodes: their state, and questions to an aggregator."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta, Struct, field

from ..documents import DocumentError, decode_document
from ..ids import (
    FailureDomainId,
    Revision,
    ServiceId,
    UpstreamId,
    WorkspaceId,
)
from .crash_reports import CrashReport
from .datagram_hosts import is_ip_address
from .datagram_ranges import (
    AgeMs,
    Cost,
    GraceSeconds,
    NodeCount,
    RevisionNumber,
    Seconds,
    Tokens,
    UnixMs,
)
from .feed import SmallChange, UpstreamPublished
from .fleet_priority import RankedTokens
from .header_text import is_sendable_name
from .load_table import UpstreamLoad
from .origin_messages import OriginQuery, OriginReply, StreamNotice
from .peer_availability import AvailabilityReport
from .upstream_limits import LimitReport

MAX_GOSSIP_BYTES = 8_000
MAX_GOSSIP_MEMBERS = 12
"""Members listed in one message; later messages list the others."""

_Members = Annotated[list[str], Meta(max_length=MAX_GOSSIP_MEMBERS)]


NO_DOMAIN = FailureDomainId('')
_NO_REVISION = Revision(0)


class Phase(Enum):
    """Lifecycle state of a node."""

    RUNNING = 'running'
    STOPPING = 'stopping'
    LEFT = 'gone'


class GossipMessage(Struct, array_like=True, kw_only=True, tag='state'):
    """State that one node reports to its peers.

    Attributes:
        node: Address of the sender.
        phase: Lifecycle state of the sender.
        members: Random sample of the sender's responsive peers.
        loads: The sender's own work in flight, by upstream.
        admitted: Cost that the sender admitted in the window, by workspace.
        crashes: Counts of earlier versions; no longer read.
        down: Upstreams that don't accept the sender's connections.
        replaced: Start, in Unix milliseconds, of each upstream at whose
            address another upstream answered the sender.
        waiting: Memory, in tokens, that the sender's queued streams need,
            by service.
        holder: Node that the sender votes for as the leader, which sends
            orders to engines.
        switching: Remaining downtime, in seconds, of engines that change
            their stage.
        unavailable: Upstreams that told the sender that they leave, or asked
            it for a pause.
        domain: Failure domain of the sender; empty in a change of load.
        ends_unix_ms: End of the sender's process by its own clock; 0 while it
            isn't stopping.
        counting_ms: Time since the sender started and began to count what it
            admits; 0 once that is a whole window.
        known_nodes: Nodes that the sender has heard, itself included.
        waiting_ranks: The same as ``waiting``, by rank, of services whose
            streams have several priorities.
        store_revision: Revision of the last change of the store that the
            sender has applied; 0 for none.
        limits: Limits that upstreams named to the sender.
        is_cut_off: Whether the sender reaches no upstream.
    """

    node: str
    phase: Phase
    members: _Members = field(default_factory=list)
    loads: dict[UpstreamId, UpstreamLoad] = field(default_factory=dict)
    admitted: dict[WorkspaceId, Cost] = field(default_factory=dict)
    crashes: dict[str, int] | None = None
    down: list[UpstreamId] = field(default_factory=list)
    replaced: dict[UpstreamId, UnixMs] = field(default_factory=dict)
    waiting: dict[ServiceId, Tokens] = field(default_factory=dict)
    holder: str = ''
    switching: dict[UpstreamId, Seconds] = field(default_factory=dict)
    unavailable: dict[UpstreamId, AvailabilityReport] = field(
        default_factory=dict
    )
    domain: FailureDomainId = NO_DOMAIN
    ends_unix_ms: UnixMs = 0
    counting_ms: AgeMs = 0
    known_nodes: NodeCount = 0
    waiting_ranks: dict[ServiceId, RankedTokens] = field(default_factory=dict)
    store_revision: RevisionNumber = _NO_REVISION
    limits: dict[UpstreamId, LimitReport] = field(default_factory=dict)
    is_cut_off: bool = False


class CrashMessage(Struct, array_like=True, kw_only=True, tag='crashes'):
    """Crashes that a node knows, and the requests suspected of them.

    Attributes:
        node: Address of the sender.
        report: What it knows, in part.
    """

    node: str
    report: CrashReport


class LoadQuery(Struct, array_like=True, kw_only=True, tag='query'):
    """Question of a node to an aggregator, before it places a request.

    Attributes:
        node: Address of the sender.
        query_id: Number that the reply repeats.
        service: Service of the request.
        workspace: Workspace of the request, if it has one.
    """

    node: str
    query_id: int
    service: ServiceId
    workspace: WorkspaceId | None


class LoadReply(Struct, array_like=True, kw_only=True, tag='reply'):
    """What an aggregator knows of all nodes but the one that asked.

    Attributes:
        node: Address of the aggregator.
        query_id: Number of the query.
        is_complete: Whether the aggregator has heard the fleet for long
            enough; otherwise the other fields are empty.
        loads: Work in flight, by upstream of the service; idle ones are left
            out.
        admitted: Cost admitted for the workspace in the window.
        queued_tokens: Memory that queued streams of the service need.
        queued_nodes: Number of nodes with queued streams of the service.
        down: Upstreams that the aggregator can't reach.
        replaced: Start, in Unix milliseconds, of each replaced upstream.
        unavailable: Upstreams of the service that leave or asked for a pause,
            as the aggregator or a node that reported to it knows.
        queued_ranks: Memory that queued streams of the service need, by rank,
            if they have several priorities.
    """

    node: str
    query_id: int
    is_complete: bool
    loads: dict[UpstreamId, UpstreamLoad] = field(default_factory=dict)
    admitted: Cost = 0.0
    queued_tokens: Tokens = 0
    queued_nodes: NodeCount = 0
    down: list[UpstreamId] = field(default_factory=list)
    replaced: dict[UpstreamId, UnixMs] = field(default_factory=dict)
    unavailable: dict[UpstreamId, AvailabilityReport] = field(
        default_factory=dict
    )
    queued_ranks: RankedTokens = field(default_factory=dict)


class StoreBeacon(Struct, array_like=True, kw_only=True, tag='read'):
    """What a reader of the store tells all nodes a few times a second.

    Attributes:
        node: Address of the reader.
        revision: Revision up to which it has read.
        changed_revision: Revision of its last batch with a change; nothing
            changed from there to ``revision``.
        age_s: Seconds since the store's last answer.
    """

    node: str
    revision: RevisionNumber
    changed_revision: RevisionNumber
    age_s: Seconds


class StoreChanges(Struct, array_like=True, kw_only=True, tag='changes'):
    """Changes that a reader of the store passes on.

    Attributes:
        node: Address of the reader.
        after: Revision that the changes follow.
        revision: Revision that they end with.
        expiry_grace_s: Remaining time for upstreams to renew entries that
            expired during an outage of the store.
        changes: The changes, in order.
        is_partial: Whether these are only the ones that stop work; others of
            the same revisions, such as a configuration, are too long.
    """

    node: str
    after: RevisionNumber
    revision: RevisionNumber
    expiry_grace_s: GraceSeconds
    changes: list[SmallChange]
    is_partial: bool = False


PeerDatagram: TypeAlias = (
    GossipMessage
    | CrashMessage
    | LoadQuery
    | LoadReply
    | StoreBeacon
    | StoreChanges
    | StreamNotice
    | OriginQuery
    | OriginReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerDatagram] = msgspec.msgpack.Decoder(
    PeerDatagram
)


def encode_gossip(message: PeerDatagram) -> bytes:
    """Encodes a message as msgpack."""
    return _ENCODER.encode(message)


def decode_gossip(data: bytes) -> PeerDatagram | None:
    """Decodes a message; ``None`` if it is malformed.

    Its members are addresses: a name would be looked up with each message that
    is sent to it, and one that can't be a name closes the socket.
    """
    try:
        message = decode_document(_DECODER, data)
    except DocumentError:
        return None
    return message if _is_consistent(message) else None


def _is_consistent(message: PeerDatagram) -> bool:
    """Returns whether a message has nothing that its types can't exclude."""
    if isinstance(message, GossipMessage):
        return all(map(is_ip_address, message.members))
    if isinstance(message, CrashMessage):
        return message.report.is_consistent
    if isinstance(message, StoreChanges):
        return all(
            is_sendable_name(change.upstream.upstream_id)
            for change in message.changes
            if isinstance(change, UpstreamPublished)
        )
    return True


__all__ = (
    'MAX_GOSSIP_BYTES',
    'MAX_GOSSIP_MEMBERS',
    'NO_DOMAIN',
    'CrashMessage',
    'GossipMessage',
    'LoadQuery',
    'LoadReply',
    'PeerDatagram',
    'Phase',
    'StoreBeacon',
    'StoreChanges',
    'decode_gossip',
    'encode_gossip',
)
