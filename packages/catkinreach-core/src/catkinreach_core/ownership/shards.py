"""Names of the shards and the mapping of keys to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..ids import ShardId
from ..rendezvous import shard_number
from ..settings.fleet import ServiceKind

if TYPE_CHECKING:
    from ..ids import WorkspaceId
    from ..settings.fleet import FleetSettings

SHARD_COUNT: Final = 64
"""Number of shards of each of the kinds ``limit`` and ``order``."""

LIMIT_PREFIX: Final = 'limit/'
ORDER_PREFIX: Final = 'order/'
CELL_PREFIX: Final = 'cell/'


def limit_shard(workspace_id: WorkspaceId) -> ShardId:
    """Returns the shard whose owner enforces the limits of a workspace."""
    number = shard_number(workspace_id, SHARD_COUNT)
    return ShardId(f'{LIMIT_PREFIX}{number}')


def order_shard(workspace_id: WorkspaceId, idempotency_key: str) -> ShardId:
    """Returns the shard whose owner records the outcome of an order."""
    number = shard_number(f'{workspace_id}|{idempotency_key}', SHARD_COUNT)
    return ShardId(f'{ORDER_PREFIX}{number}')


def cell_shard(name: str) -> ShardId:
    """Returns the shard whose owner schedules a cell of engines."""
    return ShardId(f'{CELL_PREFIX}{name}')


def shards_of(settings: FleetSettings) -> tuple[ShardId, ...]:
    """Returns every shard that the settings require."""
    numbered = [
        ShardId(f'{prefix}{number}')
        for prefix in (LIMIT_PREFIX, ORDER_PREFIX)
        for number in range(SHARD_COUNT)
    ]
    cells = [
        cell_shard(service.service_id)
        for service in settings.services.values()
        if service.kind is ServiceKind.MODEL
    ]
    return (*numbered, *cells)


__all__ = (
    'CELL_PREFIX',
    'LIMIT_PREFIX',
    'ORDER_PREFIX',
    'SHARD_COUNT',
    'cell_shard',
    'limit_shard',
    'order_shard',
    'shards_of',
)
