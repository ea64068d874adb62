"""Work in flight at upstreams: this node's own and that of its peers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..ids import UpstreamId

PEER_LOAD_TTL_S = 1.5
"""Age after which the loads that a peer reported are ignored."""


class UpstreamLoad(Struct, array_like=True):
    """Work in flight at one upstream.

    Attributes:
        running: Number of requests, prefills included.
        prefill_tokens: Prompt tokens of queued and running prefills.
        memory_tokens: KV cache, in tokens, reserved for decoding requests.
    """

    running: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0

    @property
    def is_idle(self) -> bool:
        """Returns whether nothing is in flight."""
        return not (self.running or self.prefill_tokens or self.memory_tokens)

    def add(self, other: UpstreamLoad) -> None:
        """Adds the work of another load to this one."""
        self.running += other.running
        self.prefill_tokens += other.prefill_tokens
        self.memory_tokens += other.memory_tokens

    def subtract(self, other: UpstreamLoad) -> None:
        """Subtracts the work of another load from this one."""
        self.running -= other.running
        self.prefill_tokens -= other.prefill_tokens
        self.memory_tokens -= other.memory_tokens


@dataclass(slots=True)
class _PeerLoads:
    received_at_s: float
    loads: Mapping[UpstreamId, UpstreamLoad] = field(default_factory=dict)


class LoadTable:
    """Loads of this node and its peers, by upstream."""

    def __init__(self) -> None:
        """Starts without load."""
        self._own: dict[UpstreamId, UpstreamLoad] = {}
        self._peers: dict[str, _PeerLoads] = {}

    def begin_work(self, upstream_id: UpstreamId, work: UpstreamLoad) -> None:
        """Adds work that is about to be sent to an upstream."""
        self._own.setdefault(upstream_id, UpstreamLoad()).add(work)

    def end_work(self, upstream_id: UpstreamId, work: UpstreamLoad) -> None:
        """Removes work that has ended."""
        load = self._own[upstream_id]
        load.subtract(work)
        if load.is_idle:
            del self._own[upstream_id]

    def set_peer_loads(
        self,
        peer: str,
        loads: Mapping[UpstreamId, UpstreamLoad],
        now_s: float,
    ) -> None:
        """Replaces the loads that a peer reported."""
        self._peers[peer] = _PeerLoads(now_s, loads)

    def forget_peer(self, peer: str) -> None:
        """Drops the loads of a peer that left or is silent."""
        self._peers.pop(peer, None)

    def own_loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Returns this node's loads."""
        return self._own

    def total_load(self, upstream_id: UpstreamId, now_s: float) -> UpstreamLoad:
        """Returns the load of all nodes on one upstream."""
        total = UpstreamLoad()
        own = self._own.get(upstream_id)
        if own is not None:
            total.add(own)
        for peer in self._peers.values():
            if now_s - peer.received_at_s > PEER_LOAD_TTL_S:
                continue
            load = peer.loads.get(upstream_id)
            if load is not None:
                total.add(load)
        return total


__all__ = ('PEER_LOAD_TTL_S', 'LoadTable', 'UpstreamLoad')
