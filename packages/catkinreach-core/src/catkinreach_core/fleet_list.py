"""The published list of entry VMs."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from .ids import FailureDomainId, Revision, VmId


class VmState(Enum):
    """State of a VM in the published list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmEntry(Struct, frozen=True, kw_only=True):
    """One VM of the published list; ``peer_address`` is ``IP:port``."""

    id: VmId
    peer_address: str
    failure_domain: FailureDomainId
    state: VmState = VmState.LIVE


class VmList(Struct, frozen=True, kw_only=True):
    """One revision of the published list."""

    revision: Revision = Revision(0)
    vms: tuple[VmEntry, ...] = ()

    def entry(self, vm_id: VmId) -> VmEntry | None:
        """Returns the entry of a VM, if it is listed."""
        return next((one for one in self.vms if one.id == vm_id), None)

    @property
    def ids(self) -> tuple[VmId, ...]:
        """Returns the listed VMs in the order of the list."""
        return tuple(one.id for one in self.vms)


__all__ = ('VmEntry', 'VmList', 'VmState')
