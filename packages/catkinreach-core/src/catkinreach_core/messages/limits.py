"""Messages between a node and the owner of a limit shard.

Every tuple of two has the requests first and the tokens second.
"""

from __future__ import annotations

from msgspec import Struct

from ..ids import Incarnation, ShardId, WorkspaceId
from .base import PeerMessage, wire_tag


class SliceNeed(Struct, frozen=True, kw_only=True):
    """What a node holds and wants of one kind of unit.

    Attributes:
        held: Units that it holds, claims included, less what it returns.
        claims: Part of ``held`` that running requests may still use.
        returned: Units that it gives back with this message.
        need: Units that waiting requests lack.
        first: Part of ``need`` that the longest waiting request lacks.
        prefetch: Units that it expects to need soon.
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
        workspace_id: Workspace whose limits are meant.
        incarnation: Life of the asking process.
        sequence: Grows with each ask; grants to earlier asks are void.
        term: Term of the tenure that lent what the node holds.
        accepted: Sequence of the last grant that the node took.
        needs: What it holds and wants.
    """

    workspace_id: WorkspaceId
    incarnation: Incarnation
    sequence: int
    term: int
    accepted: int
    needs: tuple[SliceNeed, SliceNeed]


class Slice(Struct, frozen=True, kw_only=True):
    """Units of one kind lent to a node.

    Attributes:
        granted: Units lent.
        forfeit: Claims that the node counts as used from now on.
        ready_in_s: Time until more of the need would be there.
    """

    granted: float = 0.0
    forfeit: float = 0.0
    ready_in_s: float = 0.0


@wire_tag('slice-grant')
class SliceGrant(PeerMessage, frozen=True, kw_only=True):
    """Reply of the owner to ``SliceRequest``.

    Attributes:
        term: Term of the owner's tenure.
        sequence: Sequence of the ask.
        slices: What is lent.
        is_recovering: Whether the owner is new and its buckets still fill.
    """

    term: int
    sequence: int
    slices: tuple[Slice, Slice]
    is_recovering: bool = False


class BucketState(Struct, frozen=True, kw_only=True):
    """Units at hand and lent of one kind."""

    level: float
    outstanding: float


class AccountState(Struct, frozen=True, kw_only=True):
    """Buckets of one workspace."""

    workspace_id: WorkspaceId
    buckets: tuple[BucketState, BucketState]


@wire_tag('limit-handover')
class LimitHandover(PeerMessage, frozen=True, kw_only=True):
    """What a leaving owner of a limit shard gives to its successor.

    Attributes:
        shard: The shard.
        term: Term of the tenure that ends.
        filled_for_s: How long buckets without an account have been filled;
            negative while they are not filled yet.
        accounts: Buckets of the workspaces that were asked for.
    """

    shard: ShardId
    term: int
    filled_for_s: float
    accounts: tuple[AccountState, ...] = ()


@wire_tag('limit-handover-kept')
class LimitHandoverAck(PeerMessage, frozen=True, kw_only=True):
    """The successor keeps a hand-over until its own tenure begins."""


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
