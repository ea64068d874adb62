"""Decides which node reads the configuration service, and when.

One node reads for the fleet and passes the results on. The others read the
service themselves only when peers report no recent read, each a little later
than the node before it: suppression by staggered timers as in Floyd, Jacobson,
Liu, McCanne and Zhang, "A reliable multicast framework for light-weight
sessions and application level framing", IEEE/ACM ToN 5(6), 1997.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..ids import ShardId
from ..rendezvous import rank_vms

if TYPE_CHECKING:
    from ..ids import VmId

CONFIG_PERIOD_S: Final = 1.4
"""Time between two reads of the configuration text by the reader."""

VM_LIST_PERIOD_S: Final = 5.0
"""Time between two reads of the VM list by the reader."""

BACKUP_AGE_S: Final = 4.0
"""Age of the fleet's last read at which the first backup node reads."""

BACKUP_STEP_S: Final = 0.5
"""Additional age at which each further backup node reads."""

MAX_BACKUP_RANK: Final = 8
"""Rank from which all further backup nodes read at the same age."""

RETRY_S: Final = 5.0
"""Time between reads of a node that can't reach the service."""

_READER_SHARD: Final = ShardId('reader')


class ReadPolicy:
    """Decides when this node reads the configuration service."""

    def __init__(self, vm_id: VmId) -> None:
        """Starts as a node that has never read."""
        self._vm_id = vm_id
        self._peer_is_reader: dict[VmId, bool] = {}
        self._has_read = False
        self._failed_at_s: float | None = None
        self._fleet_read_at_s: float | None = None
        self._vm_list_read_at_s: float | None = None
        self._config_read_at_s: float | None = None
        self._asked_at_s: float | None = None

    @property
    def is_reader(self) -> bool:
        """Returns whether this node has read and its last read succeeded."""
        return self._has_read and self._failed_at_s is None

    @property
    def has_tried(self) -> bool:
        """Returns whether the node has tried to read, even without success."""
        return self._has_read or self._failed_at_s is not None

    def age_s(self, now_s: float) -> float | None:
        """Returns the age of the newest read by any node, if there was one."""
        if self._fleet_read_at_s is None:
            return None
        return max(0.0, now_s - self._fleet_read_at_s)

    def record_peer_read(
        self,
        vm_id: VmId,
        age_s: float | None,
        now_s: float,
        *,
        is_reader: bool,
    ) -> None:
        """Records the reads that a peer's heartbeat reports."""
        self._peer_is_reader[vm_id] = is_reader
        if age_s is not None:
            self._record_read(now_s - age_s)

    def record_config_read(self, now_s: float) -> None:
        """Records a successful read of the configuration text."""
        self._has_read = True
        self._failed_at_s = None
        self._config_read_at_s = now_s
        self._record_read(now_s)

    def record_vm_list_read(self, now_s: float) -> None:
        """Records a successful read of the VM list."""
        self._vm_list_read_at_s = now_s

    def record_failure(self, now_s: float) -> None:
        """Records a read that failed."""
        self._failed_at_s = now_s

    def is_config_due(self, alive: tuple[VmId, ...], now_s: float) -> bool:
        """Returns whether to read the configuration text now."""
        if self._failed_at_s is not None:
            return now_s >= self._failed_at_s + RETRY_S
        age_s = self.age_s(now_s)
        if not self._has_read or age_s is None:
            return True
        rank = self._rank(alive)
        if rank == 0:
            return _is_past(self._config_read_at_s, CONFIG_PERIOD_S, now_s)
        wait_s = BACKUP_AGE_S + BACKUP_STEP_S * min(rank, MAX_BACKUP_RANK)
        return age_s >= wait_s

    def is_vm_list_due(self, alive: tuple[VmId, ...], now_s: float) -> bool:
        """Returns whether to read the VM list now."""
        if self._failed_at_s is not None:
            return False
        if self._vm_list_read_at_s is None:
            return True
        return self._rank(alive) == 0 and _is_past(
            self._vm_list_read_at_s, VM_LIST_PERIOD_S, now_s
        )

    def _rank(self, alive: tuple[VmId, ...]) -> int:
        """Returns how many nodes that may be able to read rank before this."""
        readers = [
            vm_id for vm_id in alive if self._peer_is_reader.get(vm_id, True)
        ]
        ranked = rank_vms(_READER_SHARD, (*readers, self._vm_id))
        return ranked.index(self._vm_id)

    def _record_read(self, at_s: float) -> None:
        newest_s = self._fleet_read_at_s
        self._fleet_read_at_s = (
            at_s if newest_s is None else max(newest_s, at_s)
        )


def _is_past(since_s: float | None, period_s: float, now_s: float) -> bool:
    return since_s is None or now_s >= since_s + period_s


__all__ = ('ReadPolicy',)
