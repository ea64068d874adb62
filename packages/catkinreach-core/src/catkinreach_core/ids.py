"""Typed identifiers shared by every package."""

from __future__ import annotations

from typing import NewType

VmId = NewType('VmId', str)
Incarnation = NewType('Incarnation', str)
FailureDomainId = NewType('FailureDomainId', str)
WorkspaceId = NewType('WorkspaceId', str)
UpstreamId = NewType('UpstreamId', str)
PoolId = NewType('PoolId', str)
ServiceId = NewType('ServiceId', str)
RouteId = NewType('RouteId', str)
RequestId = NewType('RequestId', str)
Revision = NewType('Revision', int)
"""Revision of the published configuration or VM list; only ever grows."""

ShardId = NewType('ShardId', str)
"""Unit of ownership, for instance ``limit/17`` or ``cell/pattern-llm``."""


def attempt_id(request_id: RequestId, attempt: int) -> RequestId:
    """Returns the id under which the engines know an attempt."""
    if not attempt:
        return request_id
    return RequestId(f'{request_id}.{attempt}')


__all__ = (
    'FailureDomainId',
    'Incarnation',
    'PoolId',
    'RequestId',
    'Revision',
    'RouteId',
    'ServiceId',
    'ShardId',
    'UpstreamId',
    'VmId',
    'WorkspaceId',
    'attempt_id',
)
