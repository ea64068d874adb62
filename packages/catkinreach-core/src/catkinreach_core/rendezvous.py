"""Rendezvous hashing: a ranking of VMs for each shard.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .ids import ShardId, VmId


def rank_vms(shard: ShardId, vms: Iterable[VmId]) -> tuple[VmId, ...]:
    """Returns the VMs from most to least preferred for the shard."""
    return tuple(
        sorted(
            vms,
            key=lambda vm: (
                xxhash.xxh3_64_intdigest(f'{shard}|{vm}'.encode()),
                vm,
            ),
            reverse=True,
        )
    )


def shard_number(key: str, shard_count: int) -> int:
    """Returns the number of the shard that a key hashes to, from 0."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


__all__ = ('rank_vms', 'shard_number')
