"""What peers reported of themselves, and sums over it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ids import Revision, ServiceId, WorkspaceId


class PeerReports:
    """The latest report of each peer.

    Attributes:
        admitted: Cost that each peer admitted in the window, by workspace.
        queued: Memory that each peer's queued streams need, by service.
        waiting_ranks: The same by rank, of services with several priorities.
        votes: Node that each peer votes for as the leader.
        stopping: Peers that are about to stop.
        cut_off: Peers that reach no upstream.
        counting_since_s: Start of each peer that hasn't counted what it admits
            for a whole window.
        revisions: Revision of the last change of the store that each peer has
            applied.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self.admitted: dict[str, dict[WorkspaceId, float]] = {}
        self.queued: dict[str, dict[ServiceId, int]] = {}
        self.waiting_ranks: dict[str, dict[ServiceId, dict[int, int]]] = {}
        self.votes: dict[str, str] = {}
        self.stopping: set[str] = set()
        self.cut_off: set[str] = set()
        self.counting_since_s: dict[str, float] = {}
        self.revisions: dict[str, Revision] = {}

    @property
    def newest_revision(self) -> int:
        """Returns the newest change that a peer has applied; 0 for none."""
        return max(self.revisions.values(), default=0)

    def forget(self, peer: str) -> None:
        """Drops the reports of a peer that left or is silent."""
        self.admitted.pop(peer, None)
        self.queued.pop(peer, None)
        self.waiting_ranks.pop(peer, None)
        self.votes.pop(peer, None)
        self.stopping.discard(peer)
        self.cut_off.discard(peer)
        self.counting_since_s.pop(peer, None)
        self.revisions.pop(peer, None)

    def record_counting(
        self, peer: str, counting_ms: int, now_s: float
    ) -> None:
        """Records for how long a peer has counted; 0 for a whole window."""
        if counting_ms:
            self.counting_since_s[peer] = now_s - counting_ms / 1000
        else:
            self.counting_since_s.pop(peer, None)

    def counting_s(
        self, peers: Iterable[str], now_s: float
    ) -> tuple[float, ...]:
        """Returns for how long each restarted one of the peers has counted."""
        since_s = self.counting_since_s
        if not since_s:
            return ()
        return tuple(now_s - since_s[peer] for peer in peers if peer in since_s)

    def queued_tokens(
        self, service_id: ServiceId, peers: Iterable[str]
    ) -> list[int]:
        """Returns the queued memory tokens of each peer that has any."""
        queued = (
            self.queued.get(peer, {}).get(service_id, 0) for peer in peers
        )
        return [tokens for tokens in queued if tokens]

    def tokens_by_rank(
        self, service_id: ServiceId, peers: Iterable[str]
    ) -> list[dict[int, int]]:
        """Returns what each peer's queued streams need, by rank."""
        ranks = (
            self.waiting_ranks.get(peer, {}).get(service_id) for peer in peers
        )
        return [found for found in ranks if found]

    def admitted_cost(
        self, workspace_id: WorkspaceId, peers: Iterable[str]
    ) -> float:
        """Returns the cost that the peers admitted in the window."""
        return sum(
            self.admitted.get(peer, {}).get(workspace_id, 0.0) for peer in peers
        )


__all__ = ('PeerReports',)
