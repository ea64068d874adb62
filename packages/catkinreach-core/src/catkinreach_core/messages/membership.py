"""Heartbeats between the nodes: probes, their answers and what they carry."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from ..ids import Incarnation, Revision, VmId
from .base import PeerMessage, wire_tag


class MemberStatus(Enum):
    """What a node believes of another one."""

    ALIVE = 'a'
    SUSPECT = 's'
    DEAD = 'd'


class MemberUpdate(Struct, frozen=True, array_like=True):
    """News of one member.

    Attributes:
        vm_id: The member.
        incarnation: Life of its process that the news is about.
        started_ms: Wall clock of the member when its process started.
        refutation: Number that the member itself raises to refute a
            suspicion.
        status: What is believed of it.
        is_voting: Whether it votes on leases and may own shards.
        is_leaving: Whether it gives its shards up.
    """

    vm_id: VmId
    incarnation: Incarnation
    started_ms: int
    refutation: int
    status: MemberStatus
    is_voting: bool
    is_leaving: bool


class HeartbeatState(Struct, frozen=True, array_like=True):
    """What a node holds, on every heartbeat.

    Attributes:
        member: The sender itself.
        lists: Revisions of the VM lists that it knows.
        config: Revision of its configuration.
        read_age_ms: Age of the newest read of the configuration service
            that it knows of, by any node; -1 if it knows of none.
        is_reader: Whether its own last read of the service succeeded.
    """

    member: MemberUpdate
    lists: tuple[Revision, ...]
    config: Revision
    read_age_ms: int
    is_reader: bool


@wire_tag('ping')
class Ping(PeerMessage, frozen=True, kw_only=True):
    """Probe of a member."""

    number: int
    digest: HeartbeatState
    news: tuple[MemberUpdate, ...] = ()


@wire_tag('ack')
class Ack(PeerMessage, frozen=True, kw_only=True):
    """Answer to a probe."""

    number: int
    digest: HeartbeatState
    news: tuple[MemberUpdate, ...] = ()


@wire_tag('ping-ask')
class PingRequest(PeerMessage, frozen=True, kw_only=True):
    """Asks a member to probe another one on the sender's behalf."""

    number: int
    target: VmId


@wire_tag('ping-vouch')
class IndirectAck(PeerMessage, frozen=True, kw_only=True):
    """Says that the target of a ``PingRequest`` answered."""

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
