"""Messages between an entry node and the owner of an order shard.

An order is a request that must not run twice; the owner of the shard of its
idempotency key keeps a ledger of orders and their answers.
"""

from __future__ import annotations

from msgspec import Struct

from ..ids import RequestId, RouteId, ShardId, WorkspaceId
from .base import PeerMessage, wire_tag


@wire_tag('order-call')
class OrderCall(PeerMessage, frozen=True, kw_only=True):
    """Call that forwards a caller's order to the owner of its key.

    Attributes:
        workspace_id: Workspace of the caller; empty on open routes.
        key: The caller's idempotency key.
        attempt: Request id of this attempt; retried calls share it.
        route_id: Route that the entry node selected.
        method: HTTP method in upper case.
        target: Path with its query.
        headers: Request headers without the caller's credentials.
        body: The whole request body.
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
    """Answer of the upstream, or an error if ``kind`` is not empty.

    Attributes:
        status: HTTP status of the upstream's answer.
        headers: Headers of the upstream's answer.
        body: Whole body of the upstream's answer.
        kind: Value of the ``ErrorKind``.
        detail: Detail of the error.
        outcome: Value of the error's ``Outcome``.
        retry_after_s: Delay after which the caller may retry.
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    kind: str = ''
    detail: str = ''
    outcome: str = ''
    retry_after_s: float | None = None


class OrderEntry(Struct, frozen=True, kw_only=True):
    """Ledger entry of one order, for a hand-over.

    Attributes:
        workspace_id: Workspace of the key.
        key: The idempotency key.
        digest: Digest of method, target and body.
        kept_from_s: Unix time at which the order began.
        answer: Answer of the order; ``None`` while it runs.
    """

    workspace_id: WorkspaceId
    key: str
    digest: str
    kept_from_s: float
    answer: OrderAnswer | None = None


@wire_tag('order-handover')
class OrderHandover(PeerMessage, frozen=True, kw_only=True):
    """Part of the ledger that a leaving owner sends to its successor.

    Attributes:
        shard: The shard.
        term: Term of the tenure that ends.
        covers_from_s: Unix time from which the ledger has every order.
        part: Number of this part, from 0.
        part_count: Number of parts; the successor uses the ledger only if
            all parts arrived.
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
    """Acknowledges that the successor stored the part."""


@wire_tag('order-finished')
class OrderFinished(PeerMessage, frozen=True, kw_only=True):
    """Answer of an order that was running when its ledger was handed over."""

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
