"""Which software version began each stream, as far as one VM knows.

Load pattern: engines and VMs are lost while two versions serve, and callers
take their streams up again at other VMs.

The VM that passes on a stream's first event tells peers the version: all of
them in a small fleet, else a few that all VMs choose alike by the request. A VM
at which a caller takes a stream up asks the same ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ids import ShardId, VmId
from ..rendezvous import rank_vms
from .software_versions import STREAM_LIFETIME_S

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ..ids import RequestId, ServiceId, SoftwareVersion

MAX_ORIGINS = 32_768
"""Streams that a VM remembers; the oldest ones yield."""

MAX_TOLD_NODES = 24
"""Largest fleet in which all peers are told of each stream."""

TOLD_NODES = 6
"""Peers that are told of a stream in a larger fleet."""


READING_NODES = 3
"""VMs of a larger fleet that ask engines; two of them may be lost at once."""


class StreamOrigins:
    """Software versions by the request that brought a stream's first event."""

    def __init__(self) -> None:
        """Starts without streams."""
        self._origins: dict[RequestId, tuple[SoftwareVersion, float]] = {}

    def record(
        self, request_id: RequestId, version: SoftwareVersion, now_s: float
    ) -> None:
        """Records the version of a stream that began, or goes on.

        Streams whose request isn't known have nothing in common. What is known
        of a stream stays: a later notice may rest on a wrong guess, or on
        another request under the same id.
        """
        if not request_id:
            return
        known = self._origins.pop(request_id, None)
        if known is not None:
            version = known[0]
        self._origins[request_id] = (version, now_s)
        self._drop_oldest(now_s)

    def find(self, request_id: RequestId) -> SoftwareVersion | None:
        """Returns the version that began a stream, if known."""
        origin = self._origins.get(request_id)
        return None if origin is None else origin[0]

    def merge(
        self, origins: Mapping[RequestId, SoftwareVersion], now_s: float
    ) -> None:
        """Records what a peer told."""
        for request_id, version in origins.items():
            self.record(request_id, version, now_s)

    def _drop_oldest(self, now_s: float) -> None:
        while self._origins:
            request_id, (_, at_s) = next(iter(self._origins.items()))
            is_old = now_s - at_s > 2 * STREAM_LIFETIME_S
            if not is_old and len(self._origins) <= MAX_ORIGINS:
                return
            del self._origins[request_id]


def told_hosts(
    request_id: RequestId, peers: Collection[str]
) -> tuple[str, ...]:
    """Returns the peers that are told, and asked, of a stream.

    Args:
        request_id: Request that brought the stream's first event.
        peers: Addresses of the peers that aren't silent.
    """
    if len(peers) <= MAX_TOLD_NODES:
        return tuple(peers)
    return rank_vms(ShardId(request_id), map(VmId, peers))[:TOLD_NODES]


def reading_hosts(
    service_id: ServiceId, hosts: Collection[str]
) -> tuple[str, ...]:
    """Returns the VMs that ask engines which prompts they hold, for all VMs.

    After a restart of a large fleet each engine would be asked by every VM.

    Args:
        service_id: Service of the engines.
        hosts: Addresses of the responsive VMs, this one included.

    Returns:
        None of them in a small fleet, where each VM asks for itself.
    """
    if len(hosts) <= MAX_TOLD_NODES:
        return ()
    shard = ShardId(f'held-prompts/{service_id}')
    return rank_vms(shard, map(VmId, hosts))[:READING_NODES]


__all__ = ('StreamOrigins', 'reading_hosts', 'told_hosts')
