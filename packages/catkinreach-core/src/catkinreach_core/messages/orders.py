"""Messages between an entry node and the owner of an order shard."""

from __future__ import annotations

from msgspec import Struct

from ..ids import RequestId, RouteId, ShardId, WorkspaceId
from .base import PeerMessage, wire_tag


@wire_tag('order-call')
class OrderCall(PeerMessage, frozen=True, kw_only=True):
    """A caller's order on its way to the owner of its key.

    Attributes:
        workspace_id: Workspace of the caller, empty on open routes.
        key: The caller's idempotency key.
        attempt: Request id of this attempt; repeated calls share it.
        route_id: Route that the entry node found.
        method: Method in capitals.
        target: Path with its query.
        headers: Headers without the caller's credentials.
        body: The whole body.
    """

    workspace_id: WorkspaceId
    key: str
    attempt: RequestId
    route_id: RouteId
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@wire_tag('order-answer')
class OrderAnswer(PeerMessage, frozen=True, kw_only=True):
    """Answer of the upstream, or a refusal if ``kind`` is not empty.

    Attributes:
        status: HTTP status of the upstream.
        headers: Its headers.
        body: Its whole body.
        kind: Error kind of a refusal.
        detail: Sentence of a refusal.
        outcome: What a refusal says about execution.
        retry_after_s: Advice of a refusal.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    kind: str = ''
    detail: str = ''
    outcome: str = ''
    retry_after_s: float | None = None


class OrderEntry(Struct, frozen=True, kw_only=True):
    """One order of a ledger that is handed over.

    Attributes:
        workspace_id: Workspace of the key.
        key: The idempotency key.
        digest: Digest of method, target and body.
        kept_from_s: Unix time at which it began.
        answer: Its answer, ``None`` while it runs.
    """

    workspace_id: WorkspaceId
    key: str
    digest: str
    kept_from_s: float
    answer: OrderAnswer | None = None


@wire_tag('order-handover')
class OrderHandover(PeerMessage, frozen=True, kw_only=True):
    """A part of the ledger that a leaving owner gives to its successor.

    Attributes:
        shard: The shard.
        term: Term of the tenure that ends.
        covers_from_s: Unix time from which the ledger knows every order.
        part: Number of this part, from 0.
        part_count: Parts in all; the ledger counts only if all arrived.
        entries: Orders of this part.
    """

    shard: ShardId
    term: int
    covers_from_s: float
    part: int
    part_count: int
    entries: tuple[OrderEntry, ...] = ()


@wire_tag('order-handover-kept')
class OrderHandoverAck(PeerMessage, frozen=True, kw_only=True):
    """The successor keeps the part."""


@wire_tag('order-finished')
class OrderFinished(PeerMessage, frozen=True, kw_only=True):
    """Answer of an order that still ran when its ledger was handed over."""

    shard: ShardId
    workspace_id: WorkspaceId
    key: str
    attempt: RequestId
    answer: OrderAnswer


__all__ = (
    'OrderAnswer',
    'OrderCall',
    'OrderEntry',
    'OrderFinished',
    'OrderHandover',
    'OrderHandoverAck',
)
