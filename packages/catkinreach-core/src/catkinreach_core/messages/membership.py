"""Messages of the membership protocol, a variant of SWIM.

Nodes probe each other, directly or through a third node, and piggyback member
updates and their own state on probes and acknowledgements.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from ..ids import Incarnation, Revision, VmId
from .base import PeerMessage, wire_tag


class MemberStatus(Enum):
    """Status of a member in the view of another node."""

    ALIVE = 'a'
    SUSPECT = 's'
    DEAD = 'd'


class MemberUpdate(Struct, frozen=True, array_like=True):
    """State of one member, as nodes gossip it.

    Attributes:
        vm_id: VM of the member.
        incarnation: Incarnation of the member that the update describes.
        started_ms: Wall clock of the member when its process started.
        refutation: Number that the member itself raises to refute a
            suspicion.
        status: Status of the member in the sender's view.
        is_voting: Whether the member votes on leases and may own shards.
        is_leaving: Whether the member is releasing its shards to leave.
    """

    vm_id: VmId
    incarnation: Incarnation
    started_ms: int
    refutation: int
    status: MemberStatus
    is_voting: bool
    is_leaving: bool


class HeartbeatState(Struct, frozen=True, array_like=True):
    """State of the sender that every heartbeat carries.

    Attributes:
        member: Member update about the sender itself.
        lists: Revisions of the VM lists that the sender knows.
        config: Revision of the sender's configuration.
        read_age_ms: Age of the newest read of the configuration service, by
            any node, that the sender knows of; -1 if it knows of none.
        is_reader: Whether the sender's own last read of the service
            succeeded.
    """

    member: MemberUpdate
    lists: tuple[Revision, ...]
    config: Revision
    read_age_ms: int
    is_reader: bool


@wire_tag('ping')
class Ping(PeerMessage, frozen=True, kw_only=True):
    """Probe of a member, with piggybacked state.

    Attributes:
        number: Number of the probe.
        digest: Heartbeat state of the sender.
        news: Recent member updates.
    """

    number: int
    digest: HeartbeatState
    news: tuple[MemberUpdate, ...] = ()


@wire_tag('ack')
class Ack(PeerMessage, frozen=True, kw_only=True):
    """Acknowledgement of a probe, with piggybacked state.

    Attributes:
        number: Number of the probe.
        digest: Heartbeat state of the sender.
        news: Recent member updates.
    """

    number: int
    digest: HeartbeatState
    news: tuple[MemberUpdate, ...] = ()


@wire_tag('ping-ask')
class PingRequest(PeerMessage, frozen=True, kw_only=True):
    """Requests that a member probe ``target`` on the sender's behalf."""

    number: int
    target: VmId


@wire_tag('ping-vouch')
class IndirectAck(PeerMessage, frozen=True, kw_only=True):
    """Reports that the target of a ``PingRequest`` acknowledged the probe."""

    number: int
    target: VmId
    incarnation: Incarnation


__all__ = (
    'Ack',
    'HeartbeatState',
    'IndirectAck',
    'MemberStatus',
    'MemberUpdate',
    'Ping',
    'PingRequest',
)
