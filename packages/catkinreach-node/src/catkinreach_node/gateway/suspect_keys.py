"""Keys by which a request that crashes upstreams is known again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.crash_suspects import CrashId, SuspectKey

if TYPE_CHECKING:
    from collections.abc import Collection

    from catkinreach_core.gateway.metadata import RequestMetadata
    from catkinreach_core.gateway.upstream import Upstream

    from ..http.messages import HttpRequest
    from .node import Node

CRASH_STEP_S = 2.0
"""Time in which an upstream counts as crashed once at most."""

MAX_PARTS = 16
"""Parts of one prompt that are looked at, the first ones."""


def suspect_keys(
    request: HttpRequest, metadata: RequestMetadata
) -> tuple[SuspectKey, ...]:
    """Returns the key of the whole request, then those of its shared parts."""
    parts = dict.fromkeys(metadata.shared_parts[:MAX_PARTS])
    return (_request_key(request, metadata), *map(_part_key, parts))


def crash_id(upstream: Upstream, unix_s: float) -> CrashId:
    """Returns the id of a crash, the same at nodes that see it together.

    An upstream may crash again before the store tells of its restart, so its
    incarnation isn't enough.

    Args:
        upstream: Upstream that crashed.
        unix_s: Time of day; nodes whose clocks differ count a crash twice.
    """
    step = int(unix_s // CRASH_STEP_S)
    name = f'{upstream.upstream_id}/{upstream.started_ms}/{step}'
    return CrashId(xxhash.xxh32_intdigest(name.encode()))


def domain_loss_id(upstream: Upstream, unix_s: float) -> CrashId:
    """Returns the id of the loss of an upstream's whole failure domain.

    Args:
        upstream: One of the lost upstreams of a service.
        unix_s: Time of day.
    """
    step = int(unix_s // CRASH_STEP_S)
    name = f'{upstream.service_id}/{upstream.domain_id}/{step}'
    return CrashId(xxhash.xxh32_intdigest(name.encode()))


def refuse_if_quarantined(node: Node, keys: Collection[SuspectKey]) -> None:
    """Refuses a request that would crash its upstream.

    Raises:
        CatkinreachError: the refusal.
    """
    if node.crash_suspects.is_quarantined(keys, node.clock()):
        raise CatkinreachError(
            ErrorKind.INTERNAL,
            'earlier requests like this one crashed upstreams',
        )


def _request_key(request: HttpRequest, metadata: RequestMetadata) -> SuspectKey:
    digest = xxhash.xxh3_64((metadata.key or '').encode())
    digest.update(request.target.encode())
    digest.update(request.body)
    return SuspectKey(digest.hexdigest())


def _part_key(part_id: str) -> SuspectKey:
    return SuspectKey(xxhash.xxh3_64_hexdigest(f'part/{part_id}'.encode()))


__all__ = (
    'CRASH_STEP_S',
    'crash_id',
    'domain_loss_id',
    'refuse_if_quarantined',
    'suspect_keys',
)
