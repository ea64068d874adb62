"""Work in flight at upstreams: this node's own and that of its peers."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from msgspec import Struct

from .datagram_ranges import Tokens

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..ids import UpstreamId

PEER_LOAD_TTL_S = 1.5
"""Age after which the loads that a peer reported are ignored."""

AGGREGATE_TTL_S = 0.5
"""Age after which the loads that an aggregator reported are ignored."""


class UpstreamLoad(Struct, array_like=True):
    """Work in flight at one upstream.

    Attributes:
        running: Number of requests, prefills included.
        prefill_tokens: Prompt tokens of queued and running prefills.
        memory_tokens: KV cache, in tokens, reserved for decoding requests.
    """

    running: Tokens = 0
    prefill_tokens: Tokens = 0
    memory_tokens: Tokens = 0

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
    """Loads of this node and its peers, by upstream.

    The sum over the peers is kept up to date with each message, as a placement
    reads it for every upstream of a service.
    """

    def __init__(self) -> None:
        """Starts without load."""
        self._own: dict[UpstreamId, UpstreamLoad] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._peer_totals: dict[UpstreamId, UpstreamLoad] = {}
        self._expires_at_s = math.inf
        self._aggregated: dict[UpstreamId, tuple[float, UpstreamLoad]] = {}

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
        self.forget_peer(peer)
        self._peers[peer] = _PeerLoads(now_s, loads)
        for upstream_id, load in loads.items():
            self._peer_totals.setdefault(upstream_id, UpstreamLoad()).add(load)
        self._expires_at_s = min(self._expires_at_s, now_s + PEER_LOAD_TTL_S)

    def set_aggregated_loads(
        self,
        upstream_ids: Iterable[UpstreamId],
        loads: Mapping[UpstreamId, UpstreamLoad],
        now_s: float,
    ) -> None:
        """Replaces the sum over the peers that an aggregator reported.

        Args:
            upstream_ids: Upstreams that the report covers.
            loads: The peers' loads; upstreams without load are left out.
            now_s: Monotonic clock.
        """
        for upstream_id in upstream_ids:
            load = loads.get(upstream_id, UpstreamLoad())
            self._aggregated[upstream_id] = (now_s, load)

    def forget_peer(self, peer: str) -> None:
        """Drops the loads of a peer that left or is silent."""
        known = self._peers.pop(peer, None)
        if known is None:
            return
        for upstream_id, load in known.loads.items():
            total = self._peer_totals.setdefault(upstream_id, UpstreamLoad())
            total.subtract(load)
            if total.is_idle:
                del self._peer_totals[upstream_id]

    def own_loads(self) -> dict[UpstreamId, UpstreamLoad]:
        """Returns this node's loads."""
        return self._own

    def load_without_peer(
        self, upstream_id: UpstreamId, peer: str, now_s: float
    ) -> UpstreamLoad:
        """Returns the load of all nodes but one, as that peer needs it."""
        self._expire(now_s)
        load = UpstreamLoad()
        self._add_known(load, upstream_id)
        known = self._peers.get(peer)
        if known is not None and upstream_id in known.loads:
            load.subtract(known.loads[upstream_id])
        return load

    def total_load(self, upstream_id: UpstreamId, now_s: float) -> UpstreamLoad:
        """Returns the load of all nodes on one upstream."""
        total = UpstreamLoad()
        at_s, aggregated = self._aggregated.get(
            upstream_id, (-math.inf, UpstreamLoad())
        )
        if now_s - at_s <= AGGREGATE_TTL_S:
            total.add(aggregated)
            own = self._own.get(upstream_id)
            if own is not None:
                total.add(own)
            return total
        self._expire(now_s)
        self._add_known(total, upstream_id)
        return total

    def _add_known(self, total: UpstreamLoad, upstream_id: UpstreamId) -> None:
        """Adds this node's load and what its peers reported."""
        for loads in (self._own, self._peer_totals):
            load = loads.get(upstream_id)
            if load is not None:
                total.add(load)

    def _expire(self, now_s: float) -> None:
        """Drops reports that are older than ``PEER_LOAD_TTL_S``."""
        if now_s <= self._expires_at_s:
            return
        expired = [
            peer
            for peer, known in self._peers.items()
            if now_s - known.received_at_s > PEER_LOAD_TTL_S
        ]
        for peer in expired:
            self.forget_peer(peer)
        oldest_s = min(
            (known.received_at_s for known in self._peers.values()),
            default=math.inf,
        )
        self._expires_at_s = oldest_s + PEER_LOAD_TTL_S


__all__ = ('PEER_LOAD_TTL_S', 'LoadTable', 'UpstreamLoad')
