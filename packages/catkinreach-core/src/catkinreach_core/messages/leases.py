"""Messages about leases and about the VM lists they rest on."""

from __future__ import annotations

from msgspec import field

from ..fleet_list import VmList
from ..ids import Incarnation, Revision, ShardId
from .base import PeerMessage, wire_tag


@wire_tag('lease-ask')
class LeaseRequest(PeerMessage, frozen=True, kw_only=True):
    """Asks a voter to grant or renew leases.

    Attributes:
        number: Number of the request, unique for the asker's incarnation.
        incarnation: Incarnation of the asker.
        lists: Revisions of the VM lists that the asker knows.
        terms: Term asked for, by shard.
        is_renewal: True if the asker holds every shard already.
    """

    number: int
    incarnation: Incarnation
    lists: tuple[Revision, ...]
    terms: dict[ShardId, int]
    is_renewal: bool = False


@wire_tag('lease-reply')
class LeaseReply(PeerMessage, frozen=True, kw_only=True):
    """Answer of a voter; shards that are not refused are granted.

    Attributes:
        number: Number of the request.
        lists: Revisions of the VM lists that the voter knows.
        is_voting: False if the voter granted nothing, either because it
            started too recently or because the lists differ.
        refused: Highest term known to the voter, for each refused shard.
        previous: Term granted before, for each shard newly granted of
            which the voter has a memory; empty in a renewal.
    """

    number: int
    lists: tuple[Revision, ...]
    is_voting: bool = True
    refused: dict[ShardId, int] = field(default_factory=dict)
    previous: dict[ShardId, int] = field(default_factory=dict)


@wire_tag('lease-release')
class LeaseRelease(PeerMessage, frozen=True, kw_only=True):
    """Gives grants back.

    Attributes:
        incarnation: Incarnation of the holder.
        terms: Term given back, by shard.
        is_aborted: True if the holder never became owner under the terms.
    """

    incarnation: Incarnation
    terms: dict[ShardId, int]
    is_aborted: bool = False


@wire_tag('list-pull')
class ListPull(PeerMessage, frozen=True, kw_only=True):
    """Asks for VM lists by revision."""

    revisions: tuple[Revision, ...]


@wire_tag('list-push')
class ListPush(PeerMessage, frozen=True, kw_only=True):
    """Carries VM lists."""

    lists: tuple[VmList, ...]


__all__ = (
    'LeaseRelease',
    'LeaseReply',
    'LeaseRequest',
    'ListPull',
    'ListPush',
)
