"""Which VMs read the store of a large fleet, and when the others rely on them.

Load pattern: hundreds of VMs watch the store, each is woken by each change and
asks again, although all of them get the same few bytes.

In a fleet above ``MAX_READING_NODES`` a few readers, which all VMs choose
alike, watch the store. They pass small changes on, and tell a few times a
second how old their last read is. A VM that has heard of no read for a while,
or of a change that it lacks, reads the store itself; so that a reader that is
cut off, frozen or gone costs a bounded delay and no rule depends on it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..ids import Revision, ShardId
from .ranked_hosts import RankedHosts
from .store_position import era_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .gossip import StoreBeacon

MAX_READING_NODES = 24
"""Largest fleet in which every VM reads the store."""

READERS = 3
"""VMs that read the store for a fleet; two of them may be lost at once."""

BEACON_INTERVAL_S = 0.4
"""Time between two beacons of a reader."""

MAX_AGE_RATIO = 0.45
"""Greatest age of a read that a VM relies on, as a fraction of the time within
which a published change must apply."""

MISSING_GRACE_S = 0.15
"""Time for a relayed change to arrive after a beacon that mentions it."""

_SHARD = ShardId('store')


class StoreRelay:
    """What one VM has heard of the readers."""

    def __init__(self, own_host: str, *, apply_within_s: float) -> None:
        """Starts without readers.

        Args:
            own_host: Address of this VM.
            apply_within_s: Time within which a published change must apply.
        """
        self._own_host = own_host
        self._ranked = RankedHosts(_SHARD, READERS)
        self._max_age_s = apply_within_s * MAX_AGE_RATIO
        self._read_at_s = -math.inf
        self._missing_since_s: float | None = None

    @property
    def is_reader(self) -> bool:
        """Returns whether this VM reads the store for others."""
        return self._own_host in self._ranked.hosts

    @property
    def lacks_changes(self) -> bool:
        """Returns whether a beacon mentioned changes that this VM lacks."""
        return self._missing_since_s is not None

    @property
    def reading_reason(self) -> str:
        """Returns why this VM reads the store itself, for the log."""
        if self.is_reader:
            return 'this VM is a reader'
        if not self._ranked.hosts:
            return 'small fleet'
        return 'lacks a change' if self.lacks_changes else 'no recent read'

    @property
    def reader_wait_s(self) -> float:
        """Returns the long-poll time of a reader's watch."""
        return self._max_age_s / 2

    def update_readers(self, responsive: Iterable[str]) -> None:
        """Chooses the readers among the responsive VMs and this one."""
        hosts = (self._own_host, *responsive)
        self._ranked.update(hosts if len(hosts) > MAX_READING_NODES else ())

    def accepts(self, host: str) -> bool:
        """Returns whether a VM is a reader in this VM's view."""
        return host in self._ranked.hosts

    def record_beacon(
        self, beacon: StoreBeacon, *, held: Revision, now_s: float
    ) -> Revision:
        """Records a reader's beacon.

        Args:
            beacon: The beacon.
            held: Revision up to which this VM has the changes.
            now_s: Clock that also runs while the VM is suspended.

        Returns:
            Revision up to which this VM now knows that it has the changes.
        """
        if era_of(beacon.revision) < era_of(held):
            return held
        if held < beacon.changed_revision:
            if self._missing_since_s is None:
                self._missing_since_s = now_s
            return held
        self._missing_since_s = None
        self._read_at_s = max(self._read_at_s, now_s - max(0.0, beacon.age_s))
        return max(held, beacon.revision)

    def record_held(self) -> None:
        """Records that this VM has got the changes that it lacked."""
        self._missing_since_s = None

    def read_age_s(self, now_s: float) -> float:
        """Returns the age of the newest read that this VM has heard of."""
        return now_s - self._read_at_s

    def relies_for_s(self, now_s: float) -> float:
        """Returns for how long this VM needn't read the store itself.

        Args:
            now_s: Clock that also runs while the VM is suspended.
        """
        if self.is_reader or not self._ranked.hosts:
            return 0.0
        until_s = self._read_at_s + self._max_age_s
        if self._missing_since_s is not None:
            until_s = self._missing_since_s + MISSING_GRACE_S
        return max(0.0, until_s - now_s)


def has_next_changes(held: Revision, after: Revision, upto: Revision) -> bool:
    """Returns whether relayed changes continue what this VM has.

    Changes that the VM has already may be among them: applied again in order
    they end in the same state.
    """
    return after <= held < upto


__all__ = (
    'BEACON_INTERVAL_S',
    'MAX_READING_NODES',
    'READERS',
    'StoreRelay',
    'has_next_changes',
)
