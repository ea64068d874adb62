"""The VMs that do one job for the fleet, chosen alike by all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ids import VmId
from ..rendezvous import rank_vms

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import ShardId


class RankedHosts:
    """The first VMs of a rendezvous ranking, in one VM's view."""

    def __init__(self, shard: ShardId, count: int | None = None) -> None:
        """Starts without VMs.

        Args:
            shard: Name of the job.
            count: Number of VMs that do it; ``None`` for all.
        """
        self._shard = shard
        self._count = count
        self._known: frozenset[str] = frozenset()
        self._hosts: tuple[str, ...] = ()

    @property
    def hosts(self) -> tuple[str, ...]:
        """Returns the chosen VMs, the most preferred first."""
        return self._hosts

    def update(self, hosts: Iterable[str]) -> None:
        """Chooses among the given VMs; none are chosen if there are none."""
        known = frozenset(hosts)
        if known != self._known:
            self._known = known
            ranked = rank_vms(self._shard, map(VmId, known))
            self._hosts = ranked[: self._count]


__all__ = ('RankedHosts',)
