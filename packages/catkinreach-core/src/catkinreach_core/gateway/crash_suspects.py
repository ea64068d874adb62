"""Requests that crash the upstreams that run them.

Load pattern: one caller sends the same request again and again, and each
upstream that starts to run it crashes.

A fingerprint of API key, target and body identifies a request. An upstream that
disconnects while the request runs, and is unreachable afterwards, counts as one
crash. Nodes exchange their counts, and a request with too many crashes is
refused.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NewType

Fingerprint = NewType('Fingerprint', str)

CRASHES_TO_REFUSE = 3
MAX_SUSPECTS = 2_000
MAX_GOSSIP_SUSPECTS = 16
"""Maximum number of fingerprints in one gossip message."""

REPORT_S = 20.0
"""Time for which a crash is reported to the peers."""


class CrashSuspects:
    """Crash counts by fingerprint, of this node and of its peers."""

    def __init__(self) -> None:
        """Starts without suspects."""
        self._own: OrderedDict[Fingerprint, tuple[int, float]] = OrderedDict()
        self._peers: dict[str, dict[Fingerprint, int]] = {}

    def record_crash(self, fingerprint: Fingerprint, now_s: float) -> int:
        """Counts a crash during the request; returns the count of all nodes."""
        count, _ = self._own.get(fingerprint, (0, 0.0))
        self._own[fingerprint] = (count + 1, now_s)
        self._own.move_to_end(fingerprint)
        while len(self._own) > MAX_SUSPECTS:
            self._own.popitem(last=False)
        return self.crashes(fingerprint)

    def clear(self, fingerprint: Fingerprint) -> None:
        """Resets the count of a request that ran to completion."""
        self._own.pop(fingerprint, None)

    def set_peer_counts(
        self, peer: str, counts: dict[Fingerprint, int]
    ) -> None:
        """Replaces the counts that a peer reported."""
        self._peers[peer] = counts

    def forget_peer(self, peer: str) -> None:
        """Drops the counts of a peer that left or is silent."""
        self._peers.pop(peer, None)

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Returns the number of crashes that all nodes counted."""
        own, _ = self._own.get(fingerprint, (0, 0.0))
        return own + sum(
            counts.get(fingerprint, 0) for counts in self._peers.values()
        )

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        """Returns whether a request must not run again."""
        return self.crashes(fingerprint) >= CRASHES_TO_REFUSE

    def recent_counts(self, now_s: float) -> dict[Fingerprint, int]:
        """Returns this node's recent counts, the newest ones first."""
        recent = [
            (fingerprint, count)
            for fingerprint, (count, at_s) in reversed(self._own.items())
            if now_s - at_s < REPORT_S
        ]
        return dict(recent[:MAX_GOSSIP_SUSPECTS])


__all__ = (
    'CRASHES_TO_REFUSE',
    'CrashSuspects',
    'Fingerprint',
)
