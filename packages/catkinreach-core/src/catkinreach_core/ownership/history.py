"""Revisions of the VM list whose voters are still needed for a quorum.

A list stays active for a shard until a majority of its voters have known a
newer list for at least the longest lifetime of a lease. Until then an owner
may hold the shard by votes under the old list alone, so a quorum needs a
majority of every active list. The joint majorities follow the reconfiguration
of Raft (Ongaro and Ousterhout, USENIX ATC 2014), without its log.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..fleet_list import VmList
from ..rendezvous import rank_vms
from .timing import MAX_LEASE_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..ids import Revision, ShardId, VmId

MAX_VOTERS: Final = 9
"""Maximum number of voters of a shard; in a smaller fleet every VM votes."""

MAX_RETIRED_LISTS: Final = 32
"""Number of lists that are kept after no quorum needs them any more."""


def majority(count: int) -> int:
    """Returns the size of the smallest majority of ``count`` voters."""
    return count // 2 + 1


class ListHistory:
    """The VM lists that this node knows, and which peers know them."""

    def __init__(self) -> None:
        """Starts without any list."""
        self._lists: dict[Revision, VmList] = {}
        self._newest = VmList()
        self._dropped_revisions: set[Revision] = set()
        self._retired: set[Revision] = set()
        self._absent_since_s: dict[VmId, float] = {}
        self._known_since_s: dict[VmId, dict[Revision, float]] = {}
        self._voters: dict[tuple[Revision, ShardId], tuple[VmId, ...]] = {}

    @property
    def newest(self) -> VmList:
        """Returns the newest list, empty if there is none."""
        return self._newest

    @property
    def revisions(self) -> tuple[Revision, ...]:
        """Returns the revisions of the known lists, oldest first."""
        return tuple(sorted(self._lists))

    def add_list(self, vm_list: VmList, now_s: float) -> bool:
        """Adds a list; returns True if it is the newest."""
        revision = vm_list.revision
        if not revision or revision in self._lists:
            return False
        if revision in self._dropped_revisions:
            return False
        self._lists[revision] = vm_list
        is_newest = revision > self._newest.revision
        if is_newest:
            self._newest = vm_list
        self._record_absence(now_s)
        return is_newest

    def missing_revisions(
        self, revisions: Iterable[Revision]
    ) -> tuple[Revision, ...]:
        """Returns those of a peer's revisions that this node lacks."""
        return tuple(
            revision
            for revision in revisions
            if revision not in self._lists
            and revision not in self._dropped_revisions
        )

    def has_matching_lists(self, revisions: Collection[Revision]) -> bool:
        """Returns whether a peer knows all active lists and no unknown list."""
        needed = self._lists.keys() - self._retired
        return needed.issubset(revisions) and not self.missing_revisions(
            revisions
        )

    def lists(self, revisions: Iterable[Revision]) -> tuple[VmList, ...]:
        """Returns the known lists among the revisions."""
        return tuple(
            self._lists[revision]
            for revision in revisions
            if revision in self._lists
        )

    def record_revisions(
        self, peer: VmId, revisions: Collection[Revision], now_s: float
    ) -> bool:
        """Records which lists a peer reports to know.

        Returns:
            True if this node knows all of them too. Otherwise nothing is
            recorded.
        """
        if self.missing_revisions(revisions):
            return False
        known = self._known_since_s.setdefault(peer, {})
        for revision in revisions:
            known.setdefault(revision, now_s)
        for revision in known.keys() - set(revisions):
            del known[revision]
        return True

    def forget_peer(self, peer: VmId) -> None:
        """Drops the lists recorded for a peer whose process restarted."""
        self._known_since_s.pop(peer, None)

    def voters(self, vm_list: VmList, shard: ShardId) -> tuple[VmId, ...]:
        """Returns the voters of a shard, the most preferred first."""
        key = (vm_list.revision, shard)
        if key not in self._voters:
            ranked = rank_vms(shard, vm_list.ids)
            self._voters[key] = ranked[:MAX_VOTERS]
        return self._voters[key]

    def quorums(
        self, shard: ShardId, now_s: float
    ) -> tuple[tuple[VmId, ...], ...]:
        """Returns the voters of every active list; each needs a majority."""
        return tuple(
            self.voters(vm_list, shard)
            for vm_list in self._lists.values()
            if self._is_active(vm_list, shard, now_s)
        )

    def retire_lists(self, now_s: float) -> None:
        """Retires lists that all their VMs have abandoned; drops the oldest."""
        for revision, vm_list in self._lists.items():
            if revision != self._newest.revision and all(
                self._has_abandoned(vm_id, revision, now_s)
                for vm_id in vm_list.ids
            ):
                self._retired.add(revision)
        for revision in sorted(self._retired)[:-MAX_RETIRED_LISTS]:
            self._drop_list(revision)

    def _drop_list(self, revision: Revision) -> None:
        del self._lists[revision]
        self._retired.discard(revision)
        self._dropped_revisions.add(revision)
        for key in [entry for entry in self._voters if entry[0] == revision]:
            del self._voters[key]

    def _record_absence(self, now_s: float) -> None:
        listed = set(self._newest.ids)
        for vm_list in self._lists.values():
            for vm_id in vm_list.ids:
                if vm_id not in listed:
                    self._absent_since_s.setdefault(vm_id, now_s)
        for vm_id in listed:
            self._absent_since_s.pop(vm_id, None)

    def _is_active(self, vm_list: VmList, shard: ShardId, now_s: float) -> bool:
        revision = vm_list.revision
        if revision == self._newest.revision:
            return True
        if revision in self._retired:
            return False
        voters = self.voters(vm_list, shard)
        abandoned = sum(
            self._has_abandoned(vm_id, revision, now_s) for vm_id in voters
        )
        return abandoned < majority(len(voters))

    def _has_abandoned(
        self, vm_id: VmId, revision: Revision, now_s: float
    ) -> bool:
        """Returns whether all grants of a VM under the list have expired.

        That holds ``MAX_LEASE_S`` after the VM left the newest list or was
        first seen to know a newer list.
        """
        latest_s = now_s - MAX_LEASE_S
        absent_s = self._absent_since_s.get(vm_id)
        if absent_s is not None and absent_s <= latest_s:
            return True
        return any(
            known > revision and since_s <= latest_s
            for known, since_s in self._known_since_s.get(vm_id, {}).items()
        )


__all__ = ('MAX_VOTERS', 'ListHistory', 'majority')
