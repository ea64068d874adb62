"""Messages between a node and the owner of a limit shard.

The owner keeps the rate-limit buckets of its workspaces and leases slices of
them to the nodes. In every pair of items, the first one counts requests and
the second one tokens.
"""

from __future__ import annotations

from msgspec import Struct

from ..ids import Incarnation, ShardId, WorkspaceId
from .base import PeerMessage, wire_tag


class SliceNeed(Struct, frozen=True, kw_only=True):
    """Balance and demand of a node in one unit (requests or tokens).

    Attributes:
        held: Units that the node holds, with ``claims``, without
            ``returned``.
        claims: Part of ``held`` that running requests may still use.
        returned: Units that the node returns with this message.
        need: Units that queued requests lack.
        first: Part of ``need`` that the longest queued request lacks.
        prefetch: Units that the node expects to need soon.
    """

    held: float = 0.0
    claims: float = 0.0
    returned: float = 0.0
    need: float = 0.0
    first: float = 0.0
    prefetch: float = 0.0


@wire_tag('slice-ask')
class SliceRequest(PeerMessage, frozen=True, kw_only=True):
    """A node's request for slices of one workspace's limits.

    Attributes:
        workspace_id: Workspace of the limits.
        incarnation: Incarnation of the node.
        sequence: Number that increases with each request; the node discards
            grants to earlier requests.
        term: Term of the tenure that granted what the node holds.
        accepted: Sequence of the last grant that the node accepted.
        needs: Balance and demand in requests and in tokens.
    """

    workspace_id: WorkspaceId
    incarnation: Incarnation
    sequence: int
    term: int
    accepted: int
    needs: tuple[SliceNeed, SliceNeed]


class Slice(Struct, frozen=True, kw_only=True):
    """Grant in one unit (requests or tokens).

    Attributes:
        granted: Units that are leased to the node.
        forfeit: Claimed units that the node must count as used from now on.
        ready_in_s: Time until the owner can grant more of the need.
    """

    granted: float = 0.0
    forfeit: float = 0.0
    ready_in_s: float = 0.0


@wire_tag('slice-grant')
class SliceGrant(PeerMessage, frozen=True, kw_only=True):
    """Reply of the owner to ``SliceRequest``.

    Attributes:
        term: Term of the owner's tenure.
        sequence: Sequence of the request.
        slices: Grants in requests and in tokens.
        is_recovering: Whether the owner is new and its buckets are still
            refilling.
    """

    term: int
    sequence: int
    slices: tuple[Slice, Slice]
    is_recovering: bool = False


class BucketState(Struct, frozen=True, kw_only=True):
    """State of a bucket in one unit (requests or tokens).

    Attributes:
        level: Units that the bucket can still grant.
        outstanding: Units that are leased to nodes.
    """

    level: float
    outstanding: float


class AccountState(Struct, frozen=True, kw_only=True):
    """Buckets of one workspace, for requests and for tokens."""

    workspace_id: WorkspaceId
    buckets: tuple[BucketState, BucketState]


@wire_tag('limit-handover')
class LimitHandover(PeerMessage, frozen=True, kw_only=True):
    """State that a leaving owner of a limit shard sends to its successor.

    Attributes:
        shard: The shard.
        term: Term of the tenure that ends.
        filled_for_s: Time for which the buckets of workspaces without an
            account have been refilling; negative if refilling hasn't begun.
        accounts: Buckets of the workspaces that requested slices.
    """

    shard: ShardId
    term: int
    filled_for_s: float
    accounts: tuple[AccountState, ...] = ()


@wire_tag('limit-handover-kept')
class LimitHandoverAck(PeerMessage, frozen=True, kw_only=True):
    """Acknowledges that the successor stored a hand-over.

    It keeps the hand-over until its own tenure begins.
    """


__all__ = (
    'AccountState',
    'BucketState',
    'LimitHandover',
    'LimitHandoverAck',
    'Slice',
    'SliceGrant',
    'SliceNeed',
    'SliceRequest',
)
