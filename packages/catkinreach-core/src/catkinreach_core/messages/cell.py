"""Messages between entry nodes and the owner of a cell."""

from __future__ import annotations

from msgspec import Struct

from ..ids import (
    Incarnation,
    RequestId,
    ShardId,
    UpstreamId,
    VmId,
    WorkspaceId,
)
from .base import PeerMessage, wire_tag


class PlacementDetails(Struct, frozen=True, kw_only=True):
    """A ``PlacementRequest`` of a cell, as its entry node sends it."""

    request_id: RequestId
    attempt: int
    vm_id: VmId
    workspace_id: WorkspaceId | None
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...] = ()
    digest: str = ''
    age_s: float = 0.0
    is_resume: bool = False
    excluded: tuple[UpstreamId, ...] = ()


@wire_tag('cell-place')
class PlaceRequest(PeerMessage, frozen=True, kw_only=True):
    """Call: reply once the request has its turn, or refuse it."""

    shard: ShardId
    ask: PlacementDetails


@wire_tag('cell-placed')
class PlaceReply(PeerMessage, frozen=True, kw_only=True):
    """Reply: the places that were reserved."""

    prefill: UpstreamId
    decode: UpstreamId
    is_alone: bool = False


@wire_tag('cell-withdraw')
class RequestWithdrawn(PeerMessage, frozen=True, kw_only=True):
    """The caller of a waiting or reserved request is gone."""

    shard: ShardId
    request_id: RequestId


@wire_tag('cell-prefilled')
class PrefillFinished(PeerMessage, frozen=True, kw_only=True):
    """A prefill is done."""

    shard: ShardId
    request_id: RequestId
    attempt: int
    cached_tokens: int


@wire_tag('cell-started')
class FirstTokenReceived(PeerMessage, frozen=True, kw_only=True):
    """The first token of an attempt has come."""

    shard: ShardId
    request_id: RequestId
    attempt: int


@wire_tag('cell-ended')
class AttemptEnded(PeerMessage, frozen=True, kw_only=True):
    """An attempt is over; see ``AttemptResult``."""

    shard: ShardId
    request_id: RequestId
    attempt: int
    is_complete: bool
    tokens: int = 0
    token_s: float = 0.0
    failed: UpstreamId | None = None
    failure: str = ''


class LiveReservation(Struct, frozen=True, kw_only=True):
    """A reservation that an entry node holds."""

    ask: PlacementDetails
    prefill: UpstreamId
    decode: UpstreamId
    stage: str


class WarmupProgress(Struct, frozen=True, kw_only=True):
    """Work that one life of an engine completed for an entry node."""

    upstream_id: UpstreamId
    boot: str
    completed: int


class QuarantinedPrompt(Struct, frozen=True, kw_only=True):
    """A prompt that is refused, for some more seconds."""

    digest: str
    left_s: float


class SuspectedPrompt(Struct, frozen=True, kw_only=True):
    """A prompt that ran on an engine when it crashed."""

    digest: str
    upstream_id: UpstreamId
    boot: str


@wire_tag('cell-renew')
class ReservationRenewal(PeerMessage, frozen=True, kw_only=True):
    """Call: an entry node tells the owner what it holds.

    ``live`` names all reservations; ``told`` describes those that the owner
    asked for in its last reply; ``seen`` is the last version of the owner's
    news in this term. The rest is what a new owner starts from.
    """

    shard: ShardId
    incarnation: Incarnation
    seen: int = 0
    live: tuple[RequestId, ...] = ()
    told: tuple[LiveReservation, ...] = ()
    warm: tuple[WarmupProgress, ...] = ()
    quarantined: tuple[QuarantinedPrompt, ...] = ()
    suspected: tuple[SuspectedPrompt, ...] = ()


@wire_tag('cell-renewed')
class ReservationRenewalReply(PeerMessage, frozen=True, kw_only=True):
    """Reply: what the owner wants described, and what all nodes keep.

    The last three fields are sent, and hold, only where ``version`` differs
    from what the node has seen.
    """

    term: int
    version: int = 0
    unknown: tuple[RequestId, ...] = ()
    warm: tuple[WarmupProgress, ...] = ()
    quarantined: tuple[QuarantinedPrompt, ...] = ()
    suspected: tuple[SuspectedPrompt, ...] = ()


@wire_tag('cell-holdings')
class HoldingsQuery(PeerMessage, frozen=True, kw_only=True):
    """Call: which of these requests still use an upstream."""

    incarnation: Incarnation
    upstream_id: UpstreamId
    request_ids: tuple[RequestId, ...]


@wire_tag('cell-holdings-answer')
class HoldingsAnswer(PeerMessage, frozen=True, kw_only=True):
    """Reply: the requests that do; ``incarnation`` is the answering one."""

    incarnation: Incarnation
    live: tuple[RequestId, ...]


__all__ = (
    'AttemptEnded',
    'FirstTokenReceived',
    'HoldingsAnswer',
    'HoldingsQuery',
    'LiveReservation',
    'PlaceReply',
    'PlaceRequest',
    'PlacementDetails',
    'PrefillFinished',
    'QuarantinedPrompt',
    'RequestWithdrawn',
    'ReservationRenewal',
    'ReservationRenewalReply',
    'SuspectedPrompt',
    'WarmupProgress',
)
