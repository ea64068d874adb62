"""Keys by which a request that crashes upstreams is known again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from catkinreach_core.errors import CatkinreachError, ErrorKind
from catkinreach_core.gateway.crash_reports import CrashSource, SuspectKey

if TYPE_CHECKING:
    from collections.abc import Collection

    from catkinreach_core.gateway.metadata import RequestMetadata
    from catkinreach_core.gateway.upstream import Upstream

    from ..http.messages import HttpRequest
    from .node import Node

MAX_PARTS = 16
"""Parts of one prompt that are looked at, the first ones."""


def suspect_keys(
    request: HttpRequest, metadata: RequestMetadata
) -> tuple[SuspectKey, ...]:
    """Returns the key of the whole request, then those of its shared parts."""
    parts = dict.fromkeys(metadata.shared_parts[:MAX_PARTS])
    return (_request_key(request, metadata), *map(_part_key, parts))


def crash_source(upstream: Upstream) -> CrashSource:
    """Returns the name under which all nodes know crashes of an upstream.

    It is that of the address: nodes hear of a restart at different times.
    """
    return _source(str(upstream.address))


def domain_source(upstream: Upstream) -> CrashSource:
    """Returns the name of the loss of an upstream's whole failure domain."""
    return _source(f'{upstream.service_id}/{upstream.domain_id}')


def refuse_if_quarantined(
    node: Node, keys: Collection[SuspectKey], *, begins_run: bool = True
) -> None:
    """Refuses a request that would crash its upstream.

    Args:
        node: State of the gateway process.
        keys: Keys of the request.
        begins_run: Whether the request is sent next.

    Raises:
        CatkinreachError: the refusal.
    """
    if node.crash_suspects.is_quarantined(
        keys, node.clock(), begins_run=begins_run
    ):
        raise CatkinreachError(
            ErrorKind.INTERNAL,
            'earlier requests like this one crashed upstreams',
        )


def _source(name: str) -> CrashSource:
    return CrashSource(xxhash.xxh32_intdigest(name.encode()))


def _request_key(request: HttpRequest, metadata: RequestMetadata) -> SuspectKey:
    digest = xxhash.xxh3_64((metadata.key or '').encode())
    digest.update(request.target.encode())
    digest.update(request.body)
    return SuspectKey(digest.hexdigest())


def _part_key(part_id: str) -> SuspectKey:
    return SuspectKey(xxhash.xxh3_64_hexdigest(f'part/{part_id}'.encode()))


__all__ = (
    'crash_source',
    'domain_source',
    'refuse_if_quarantined',
    'suspect_keys',
)
