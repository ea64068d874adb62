"""Published list of the VMs that run gateway nodes."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from .ids import FailureDomainId, Revision, VmId
from .ranges import MAX_PORT, HostPort
from .settings.node import Address


class VmState(Enum):
    """State of a VM in the published list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmEntry(Struct, frozen=True, kw_only=True):
    """Entry of a VM in the list.

    Attributes:
        id: Id of the VM.
        peer_address: Address for messages of other nodes, as ``IP:port``.
        failure_domain: Failure domain that the VM runs in.
        state: Whether the VM stays in the fleet or is about to leave it.
    """

    id: VmId
    peer_address: HostPort
    failure_domain: FailureDomainId
    state: VmState = VmState.LIVE

    @property
    def address(self) -> Address | None:
        """Returns the parsed address, ``None`` if there can't be such one."""
        try:
            address = Address.from_text(self.peer_address)
        except ValueError:
            return None
        return address if 0 < address.port <= MAX_PORT else None


class VmList(Struct, frozen=True, kw_only=True):
    """A revision of the published list; revision 0 is the empty list."""

    revision: Revision = Revision(0)
    vms: tuple[VmEntry, ...] = ()

    def entry(self, vm_id: VmId) -> VmEntry | None:
        """Returns the entry of a VM, or ``None`` if it is not listed."""
        return next((entry for entry in self.vms if entry.id == vm_id), None)

    @property
    def ids(self) -> tuple[VmId, ...]:
        """Returns the ids of the listed VMs in list order."""
        return tuple(entry.id for entry in self.vms)


__all__ = ('VmEntry', 'VmList', 'VmState')
