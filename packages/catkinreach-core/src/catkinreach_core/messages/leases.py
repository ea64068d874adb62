"""Messages for leases and for the VM lists that determine the voters."""

from __future__ import annotations

from msgspec import field

from ..fleet_list import VmList
from ..ids import Incarnation, Revision, ShardId
from .base import PeerMessage, wire_tag


@wire_tag('lease-ask')
class LeaseRequest(PeerMessage, frozen=True, kw_only=True):
    """Requests that a voter grant or renew leases.

    Attributes:
        number: Number of the request, unique for the sender's incarnation.
        incarnation: Incarnation of the sender.
        lists: Revisions of the VM lists that the sender knows.
        terms: Requested term, by shard.
        is_renewal: Whether the sender already holds every listed shard.
    """

    number: int
    incarnation: Incarnation
    lists: tuple[Revision, ...]
    terms: dict[ShardId, int]
    is_renewal: bool = False


@wire_tag('lease-reply')
class LeaseReply(PeerMessage, frozen=True, kw_only=True):
    """Reply of a voter; shards that are not refused are granted.

    Attributes:
        number: Number of the request.
        lists: Revisions of the VM lists that the voter knows.
        is_voting: False if the voter granted nothing, either because it
            started too recently or because the VM lists differ.
        refused: Highest term known to the voter, for each refused shard.
        previous: Term of the voter's previous grant, for each newly granted
            shard of which it has a record; empty in a renewal.
    """

    number: int
    lists: tuple[Revision, ...]
    is_voting: bool = True
    refused: dict[ShardId, int] = field(default_factory=dict)
    previous: dict[ShardId, int] = field(default_factory=dict)


@wire_tag('lease-release')
class LeaseRelease(PeerMessage, frozen=True, kw_only=True):
    """Releases leases that a voter granted.

    Attributes:
        incarnation: Incarnation of the holder.
        terms: Released term, by shard.
        is_aborted: True if the holder never became owner under the terms.
    """

    incarnation: Incarnation
    terms: dict[ShardId, int]
    is_aborted: bool = False


@wire_tag('list-pull')
class ListPull(PeerMessage, frozen=True, kw_only=True):
    """Requests the VM lists with these revisions."""

    revisions: tuple[Revision, ...]


@wire_tag('list-push')
class ListPush(PeerMessage, frozen=True, kw_only=True):
    """Reply to ``ListPull``: the requested VM lists that the node knows."""

    lists: tuple[VmList, ...]


__all__ = (
    'LeaseRelease',
    'LeaseReply',
    'LeaseRequest',
    'ListPull',
    'ListPush',
)
