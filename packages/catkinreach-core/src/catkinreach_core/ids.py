"""Distinct types for identifiers, shared by every package."""

from __future__ import annotations

from typing import NewType

VmId = NewType('VmId', str)
Incarnation = NewType('Incarnation', str)
"""Identifies one run of a node's process; a restart gets a new one."""

FailureDomainId = NewType('FailureDomainId', str)
WorkspaceId = NewType('WorkspaceId', str)
UpstreamId = NewType('UpstreamId', str)
PoolId = NewType('PoolId', str)
ServiceId = NewType('ServiceId', str)
RouteId = NewType('RouteId', str)
RequestId = NewType('RequestId', str)
SoftwareVersion = NewType('SoftwareVersion', str)
Revision = NewType('Revision', int)
"""Revision of the published configuration or VM list; never decreases."""

ShardId = NewType('ShardId', str)
"""Unit of ownership, such as ``limit/17`` or ``cell/pattern-llm``.

At most one node owns a shard at a time, under a lease.
"""


def attempt_id(request_id: RequestId, attempt: int) -> RequestId:
    """Returns the request id that engines receive for an attempt.

    The first attempt (0) has the id of the request itself.
    """
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
    'SoftwareVersion',
    'UpstreamId',
    'VmId',
    'WorkspaceId',
    'attempt_id',
)
