"""Which revisions of the VM list still count for a quorum.

A list stays open for a shard until a majority of its voters are known to
know a newer one for a whole lease: until then an owner may hold the shard
under the old list alone. The joint majorities follow the reconfiguration of
Raft (Ongaro and Ousterhout, USENIX ATC 2014), without its log.
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
"""Voters of a shard; a smaller fleet votes as a whole."""

MAX_RETIRED_LISTS: Final = 32
"""Lists kept although no quorum needs them any more."""


def majority(count: int) -> int:
    """Returns the smallest majority of that many voters."""
    return count // 2 + 1


class ListHistory:
    """The VM lists that this node knows, and who else knows them."""

    def __init__(self) -> None:
        """Starts without any list."""
        self._lists: dict[Revision, VmList] = {}
        self._newest = VmList()
        self._forgotten: set[Revision] = set()
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
        """Takes a list; returns True if it is the newest."""
        revision = vm_list.revision
        if not revision or revision in self._lists:
            return False
        if revision in self._forgotten:
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
            if revision not in self._lists and revision not in self._forgotten
        )

    def has_matching_lists(self, revisions: Collection[Revision]) -> bool:
        """Returns whether a peer knows every list that counts, and no other."""
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
        """Notes which lists a peer says it knows.

        Returns:
            True if this node knows all of them too; only then do they count.
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
        """Drops what a peer said; its process started anew."""
        self._known_since_s.pop(peer, None)

    def voters(self, vm_list: VmList, shard: ShardId) -> tuple[VmId, ...]:
        """Returns the voters of a shard, the most preferred first."""
        slot = (vm_list.revision, shard)
        if slot not in self._voters:
            ranked = rank_vms(shard, vm_list.ids)
            self._voters[slot] = ranked[:MAX_VOTERS]
        return self._voters[slot]

    def quorums(
        self, shard: ShardId, now_s: float
    ) -> tuple[tuple[VmId, ...], ...]:
        """Returns the voters of every open list; each needs a majority."""
        return tuple(
            self.voters(vm_list, shard)
            for vm_list in self._lists.values()
            if self._is_open(vm_list, shard, now_s)
        )

    def retire_lists(self, now_s: float) -> None:
        """Drops lists that count for no shard any more."""
        for revision, vm_list in self._lists.items():
            if revision != self._newest.revision and all(
                self._has_abandoned(one, revision, now_s) for one in vm_list.ids
            ):
                self._retired.add(revision)
        for revision in sorted(self._retired)[:-MAX_RETIRED_LISTS]:
            self._forget(revision)

    def _forget(self, revision: Revision) -> None:
        del self._lists[revision]
        self._retired.discard(revision)
        self._forgotten.add(revision)
        for slot in [one for one in self._voters if one[0] == revision]:
            del self._voters[slot]

    def _record_absence(self, now_s: float) -> None:
        listed = set(self._newest.ids)
        for vm_list in self._lists.values():
            for one in vm_list.ids:
                if one not in listed:
                    self._absent_since_s.setdefault(one, now_s)
        for one in listed:
            self._absent_since_s.pop(one, None)

    def _is_open(self, vm_list: VmList, shard: ShardId, now_s: float) -> bool:
        revision = vm_list.revision
        if revision == self._newest.revision:
            return True
        if revision in self._retired:
            return False
        voters = self.voters(vm_list, shard)
        left = sum(self._has_abandoned(one, revision, now_s) for one in voters)
        return left < majority(len(voters))

    def _has_abandoned(
        self, vm_id: VmId, revision: Revision, now_s: float
    ) -> bool:
        """Returns whether a VM refuses the list, for a whole lease by now."""
        latest_s = now_s - MAX_LEASE_S
        absent_s = self._absent_since_s.get(vm_id)
        if absent_s is not None and absent_s <= latest_s:
            return True
        return any(
            known > revision and since_s <= latest_s
            for known, since_s in self._known_since_s.get(vm_id, {}).items()
        )


__all__ = ('MAX_VOTERS', 'ListHistory', 'majority')
