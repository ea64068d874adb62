"""Messages between entry nodes and the owner of a cell.

An entry node is the node that accepted the caller's request. The owner of a
cell queues the requests of one model service and reserves engines for them.
"""

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
    """Wire form of the cell's ``PlacementRequest``.

    Attributes:
        request_id: The request.
        attempt: Number of the attempt, from 0.
        vm_id: VM of the entry node.
        workspace_id: Workspace of the caller; ``None`` on open routes.
        prompt_tokens: Tokens to prefill; in a resume, these include the
            answer so far.
        max_tokens: Maximum number of tokens still to be generated.
        blocks: Keys of the prompt's prefix blocks.
        digest: Digest of the prompt that the caller sent.
        age_s: Time since the caller's request was accepted.
        is_resume: Whether the caller has part of the answer or an earlier
            attempt failed.
        excluded: Upstreams that failed this request.
    """

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
    """Call to queue a request and reserve engines for it.

    The owner replies when the engines are reserved, or refuses the request.
    """

    shard: ShardId
    ask: PlacementDetails


@wire_tag('cell-placed')
class PlaceReply(PeerMessage, frozen=True, kw_only=True):
    """Reply to ``PlaceRequest``: the engines on which places are reserved.

    Attributes:
        prefill: The prefill engine.
        decode: The decode engine.
        is_alone: Whether the request runs alone on the engine, because its
            prompt is suspected of a crash.
    """

    prefill: UpstreamId
    decode: UpstreamId
    is_alone: bool = False


@wire_tag('cell-withdraw')
class RequestWithdrawn(PeerMessage, frozen=True, kw_only=True):
    """Notice that the caller of a queued or placed request disconnected."""

    shard: ShardId
    request_id: RequestId


@wire_tag('cell-prefilled')
class PrefillFinished(PeerMessage, frozen=True, kw_only=True):
    """Notice that the prefill of an attempt finished.

    Attributes:
        shard: Shard of the cell.
        request_id: The request.
        attempt: Number of the attempt, from 0.
        cached_tokens: Prompt tokens that the engine found in its prefix cache.
    """

    shard: ShardId
    request_id: RequestId
    attempt: int
    cached_tokens: int


@wire_tag('cell-started')
class FirstTokenReceived(PeerMessage, frozen=True, kw_only=True):
    """Notice that the entry node received the first token of an attempt."""

    shard: ShardId
    request_id: RequestId
    attempt: int


@wire_tag('cell-ended')
class AttemptEnded(PeerMessage, frozen=True, kw_only=True):
    """Notice that an attempt ended; the wire form of ``AttemptResult``.

    Attributes:
        shard: Shard of the cell.
        request_id: The request.
        attempt: Number of the attempt, from 0.
        is_complete: Whether the engine sent the end of the answer.
        tokens: Tokens that the attempt generated.
        token_s: Mean time between tokens; 0 if unknown.
        failed: Upstream that failed; ``None`` if none did.
        failure: Value of the ``FailureKind``; empty without a failure.
    """

    shard: ShardId
    request_id: RequestId
    attempt: int
    is_complete: bool
    tokens: int = 0
    token_s: float = 0.0
    failed: UpstreamId | None = None
    failure: str = ''


class LiveReservation(Struct, frozen=True, kw_only=True):
    """A reservation that an entry node holds.

    Attributes:
        ask: The request that was placed.
        prefill: The prefill engine.
        decode: The decode engine.
        stage: Value of the ``Stage`` that the request has reached.
    """

    ask: PlacementDetails
    prefill: UpstreamId
    decode: UpstreamId
    stage: str


class WarmupProgress(Struct, frozen=True, kw_only=True):
    """Requests that an engine completed for an entry node since its boot.

    The owner limits the concurrent requests of an engine until the engine has
    completed enough requests.

    Attributes:
        upstream_id: The engine.
        boot: Boot id of the engine.
        completed: Completed requests.
    """

    upstream_id: UpstreamId
    boot: str
    completed: int


class QuarantinedPrompt(Struct, frozen=True, kw_only=True):
    """A prompt whose requests are refused for another ``left_s`` seconds."""

    digest: str
    left_s: float


class SuspectedPrompt(Struct, frozen=True, kw_only=True):
    """A prompt that was running on an engine when the engine crashed.

    Attributes:
        digest: Digest of the prompt.
        upstream_id: The engine.
        boot: Boot id of the engine before the crash.
    """

    digest: str
    upstream_id: UpstreamId
    boot: str


class SuspectedBlock(Struct, frozen=True, kw_only=True):
    """A prefix block of a prompt that ran on an engine that crashed.

    Attributes:
        block: Key of the block.
        upstream_id: The engine.
        boot: Boot id of the engine before the crash.
    """

    block: int
    upstream_id: UpstreamId
    boot: str


@wire_tag('cell-renew')
class ReservationRenewal(PeerMessage, frozen=True, kw_only=True):
    """Call by which an entry node reports and renews its reservations.

    Attributes:
        shard: Shard of the cell.
        incarnation: Incarnation of the entry node.
        seen: Last ``version`` that the node received from the owner in this
            term.
        live: All reservations of the node.
        told: Details of the reservations that the owner's last reply listed
            as ``unknown``.
        warm: Warm-up progress of engines; a new owner starts from it.
        quarantined: Quarantined prompts; a new owner starts from them.
        suspected: Suspected prompts; a new owner starts from them.
        suspected_blocks: Blocks with several crashes; likewise.
    """

    shard: ShardId
    incarnation: Incarnation
    seen: int = 0
    live: tuple[RequestId, ...] = ()
    told: tuple[LiveReservation, ...] = ()
    warm: tuple[WarmupProgress, ...] = ()
    quarantined: tuple[QuarantinedPrompt, ...] = ()
    suspected: tuple[SuspectedPrompt, ...] = ()
    suspected_blocks: tuple[SuspectedBlock, ...] = ()


@wire_tag('cell-renewed')
class ReservationRenewalReply(PeerMessage, frozen=True, kw_only=True):
    """Reply to ``ReservationRenewal``, with the state that nodes replicate.

    The nodes keep the fields after ``unknown`` for the next owner. These are
    sent, and valid, only if ``version`` differs from the version that the node
    has seen.

    Attributes:
        term: Term of the owner's tenure.
        version: Version of the replicated state.
        unknown: Reservations whose details the owner requests.
        warm: Warm-up progress of engines.
        quarantined: Quarantined prompts.
        suspected: Suspected prompts.
        suspected_blocks: Blocks with several crashes.
    """

    term: int
    version: int = 0
    unknown: tuple[RequestId, ...] = ()
    warm: tuple[WarmupProgress, ...] = ()
    quarantined: tuple[QuarantinedPrompt, ...] = ()
    suspected: tuple[SuspectedPrompt, ...] = ()
    suspected_blocks: tuple[SuspectedBlock, ...] = ()


@wire_tag('cell-holdings')
class HoldingsQuery(PeerMessage, frozen=True, kw_only=True):
    """Call that asks which of the listed requests still use an upstream."""

    incarnation: Incarnation
    upstream_id: UpstreamId
    request_ids: tuple[RequestId, ...]


@wire_tag('cell-holdings-answer')
class HoldingsAnswer(PeerMessage, frozen=True, kw_only=True):
    """Reply to ``HoldingsQuery``.

    Attributes:
        incarnation: Incarnation of the replying node.
        live: The listed requests that still use the upstream.
    """

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
    'SuspectedBlock',
    'SuspectedPrompt',
    'WarmupProgress',
)
